use std::time::Duration;

use test_case::test_case;
use tokio::time::Instant;

use super::DrainBounds;

// Calls in flight got a closed connection, because nothing answered them before the exit.
#[test_case(0, 0, 0; "no time")]
#[test_case(500, 125, 400; "a short time")]
#[test_case(60_000, 2_000, 59_000; "a long time")]
fn answers_are_due_before_the_exit(drain_timeout_ms: u64, close_ms: u64, answers_due_ms: u64) {
    let started = Instant::now();
    let bounds = DrainBounds::new(started, Duration::from_millis(drain_timeout_ms));
    assert_eq!(bounds.close - started, Duration::from_millis(close_ms));
    assert_eq!(bounds.answers_due - started, Duration::from_millis(answers_due_ms));
    assert_eq!(bounds.exit - started, Duration::from_millis(drain_timeout_ms));
}

// Calls that end by themselves before answers are due must not be given up.
#[tokio::test(start_paused = true)]
async fn calls_are_given_up_only_when_answers_are_due() {
    let (started, timeout) = (Instant::now(), Duration::from_secs(10));
    let bounds = DrainBounds::new(started, timeout);
    let ends_at = |ms| tokio::time::sleep_until(started + Duration::from_millis(ms));
    assert!(bounds.finish(ends_at(8_900), || panic!("not due")).await);
    let mut given_up_at = None;
    assert!(bounds.finish(ends_at(9_500), || given_up_at = Some(Instant::now())).await);
    assert_eq!(given_up_at, Some(bounds.answers_due));
    assert!(!bounds.finish(std::future::pending(), || ()).await);
    assert_eq!(Instant::now(), bounds.exit);
}
