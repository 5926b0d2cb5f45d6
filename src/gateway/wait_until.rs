//! Waiting for the end of a store outage.
//!
//! While the store is unreachable for some seconds, every request of a program fails. Callers retry
//! only a few times: if each attempt is refused at once, a program has used up its attempts after
//! about four seconds. A request that first waits here for part of its time, and is then refused
//! with a retry delay, lets its program survive an outage about twice as long.

use std::time::Duration;

use tokio::sync::Notify;

/// Upper bound of the wait. A caller of a stream disconnects after two seconds without a first
/// event, and then never receives the retry delay.
const MAX_WAIT_MS: u64 = 1_500;

/// Fraction of a request's remaining time that the wait may use up. After that, callers accept a
/// retry delay of at most a third of the time left, and need the remainder for another attempt.
const WAIT_FRACTION: f64 = 0.4;

/// Waits until `condition` holds, which is checked whenever `changed` is notified. Returns `false`
/// if it did not hold in time; a request with `left_ms` left should then be refused.
pub(super) async fn wait_until(
    left_ms: u64,
    changed: &Notify,
    condition: impl Fn() -> bool,
) -> bool {
    let wait_ms = ((left_ms as f64 * WAIT_FRACTION) as u64).min(MAX_WAIT_MS);
    let until_met = async {
        loop {
            let change = changed.notified();
            if condition() {
                return;
            }
            change.await;
        }
    };
    tokio::time::timeout(Duration::from_millis(wait_ms), until_met).await.is_ok()
}
