use std::time::Duration;

use super::StoreError;

/// The longest wait for a call that is answered at once while the store is sound.
pub(super) const STORE_CALL_TIMEOUT_MS: u64 = 700;

/// Waits for an answer of the store for `limit_ms` at most. The store, or one connection to it, may fall
/// silent without breaking: a call without a limit never ends then, and neither does the task that made
/// it, though the store has long been back.
///
/// # Errors
/// Those of the call; [`StoreError::NoAnswer`] once the time is over.
pub(super) async fn call_store<T>(
    limit_ms: u64,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::time::timeout(Duration::from_millis(limit_ms), call)
        .await
        .unwrap_or_else(|_| Err(StoreError::NoAnswer("timeout".to_string())))
}
