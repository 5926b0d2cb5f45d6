//! Pattern: the store is away for some seconds, and each request of a program needs it. Callers come
//! back a few times only: refused at once each time, a program has used up its attempts after some
//! four seconds. A request that waits here for a part of its time, and is then told when to come back,
//! carries its program through an outage about twice as long.

use std::time::Duration;

use tokio::sync::Notify;

/// The longest wait. A caller of a stream leaves after two seconds without a first event, and one that
/// has left is not told when to come back.
const HOLD_MOST_MS: u64 = 1_500;

/// Part of a request's time that the wait may use up: a third of the rest is the longest time to
/// return that callers heed, and the attempt after that needs the remainder.
const HOLD_PART: f64 = 0.4;

/// Waits until `is_over`, looked at whenever `changed` is notified; `false` once a request with
/// `left_ms` to go should rather be refused.
pub(super) async fn wait_until(left_ms: u64, changed: &Notify, is_over: impl Fn() -> bool) -> bool {
    let hold_ms = ((left_ms as f64 * HOLD_PART) as u64).min(HOLD_MOST_MS);
    let until_over = async {
        loop {
            let change = changed.notified();
            if is_over() {
                return;
            }
            change.await;
        }
    };
    tokio::time::timeout(Duration::from_millis(hold_ms), until_over).await.is_ok()
}
