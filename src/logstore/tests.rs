use super::Pacer;
use crate::prelude::*;

#[test]
fn entries_share_the_append_budget() {
    let mut pacer = Pacer::new(300);
    pacer.share_between(3);
    let (mut now, mut appends) = (10_000, 0);
    while now < 20_000 {
        now += pacer.reserve(TimeMs(now));
        appends += 1;
    }
    // Half a second's burst of its part, then 100 a second.
    assert!((1_000..=1_060).contains(&appends), "{appends}");
}

#[test]
fn appends_get_their_turn_in_the_order_of_asking() {
    let mut pacer = Pacer::new(100);
    let waits: Vec<u64> = (0..60).map(|_| pacer.reserve(TimeMs(10_000))).collect();
    assert!(waits.is_sorted());
    assert_eq!((waits[49], waits[59]), (0, 90));
}
