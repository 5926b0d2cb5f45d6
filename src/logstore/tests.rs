use super::Pacer;
use crate::prelude::*;

#[test]
fn append_rate_is_divided_among_entries() {
    let mut pacer = Pacer::new(300);
    pacer.share_between(3);
    let (mut now, mut appends) = (10_000, 0);
    while now < 20_000 {
        now += pacer.reserve(TimeMs(now));
        appends += 1;
    }
    // A third of 300 per second: a burst of half a second, then 100 per second for ten seconds.
    assert!((1_000..=1_060).contains(&appends), "{appends}");
}

#[test]
fn appends_are_scheduled_in_call_order() {
    let mut pacer = Pacer::new(100);
    let waits: Vec<u64> = (0..60).map(|_| pacer.reserve(TimeMs(10_000))).collect();
    assert!(waits.is_sorted());
    assert_eq!((waits[49], waits[59]), (0, 90));
}
