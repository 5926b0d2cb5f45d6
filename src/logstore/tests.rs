use super::Pacer;
use crate::prelude::*;

#[test]
fn entries_share_the_append_budget() {
    let mut pacer = Pacer::new(300, TimeMs(0));
    pacer.share_between(3);
    let taken = (0..10_000).filter(|ms| pacer.take(TimeMs(*ms)).is_ok()).count();
    // A second's burst of its share, then 100 a second.
    assert!((1_000..=1_200).contains(&taken), "took {taken}");
}

#[test]
fn a_refused_append_fits_after_the_time_named() {
    let mut pacer = Pacer::new(10, TimeMs(0));
    while pacer.take(TimeMs(0)).is_ok() {}
    let wait_ms = pacer.take(TimeMs(0)).unwrap_err();
    assert_eq!(pacer.take(TimeMs(wait_ms - 1)), Err(1));
    assert_eq!(pacer.take(TimeMs(wait_ms)), Ok(()));
}
