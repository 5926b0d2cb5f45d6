use std::time::Duration;

use super::StoreError;

/// Time limit for calls that the store, while healthy, answers at once.
pub(super) const STORE_CALL_TIMEOUT_MS: u64 = 700;

/// Pause between two reads of a feed of which there is more: short for the reader, and a bound on what
/// the store is asked if a read makes no progress.
pub(super) const NEXT_PART_PAUSE_MS: u64 = 5;

/// Runs a call to the store with a time limit of `limit_ms`. The store, or one connection to it,
/// may hang without closing. Without a limit, the call and the task that made it would then never
/// end, even after the store has recovered.
///
/// # Errors
/// Those of the call; [`StoreError::NoAnswer`] if the time limit is exceeded.
pub(super) async fn call_store<T>(
    limit_ms: u64,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::time::timeout(Duration::from_millis(limit_ms), call)
        .await
        .unwrap_or_else(|_| Err(StoreError::NoAnswer("timeout".to_string())))
}
