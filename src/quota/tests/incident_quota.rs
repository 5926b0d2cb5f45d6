//! Windows that held more requests that ran than the limit allows.

use super::{ALL_HEARD, rate_limit, totals, window};
use crate::prelude::*;
use crate::quota::{Claim, Grant, PeerCounts, ProgramStats, SharedWindow};

const WINDOW_MS: u64 = 5_000;

fn admit_at(window: &mut SharedWindow, now: u64, peer_counts: PeerCounts) -> Option<Grant> {
    window.try_admit(TimeMs(now), peer_counts, Claim::Call, &ProgramStats::default()).ok()
}

/// How many of 1,000 requests are admitted.
fn admitted_at(window: &mut SharedWindow, now: u64, peer_counts: PeerCounts) -> usize {
    (0..1_000).filter_map(|_| admit_at(window, now, peer_counts)).count()
}

// Requests that waited for seconds and were refused without running were refunded in the newest slot:
// once their own slot had left the window, as many requests too many were admitted.
#[test]
fn a_late_refund_frees_no_room_after_its_request_has_left_the_window() {
    let mut window = window(20.0, 20.0);
    let grants: Vec<_> =
        (0..100).filter_map(|_| admit_at(&mut window, 10_000, ALL_HEARD)).collect();
    assert_eq!(grants.len(), 100);
    window.usage(TimeMs(14_000));
    grants.into_iter().for_each(|grant| window.refund(TimeMs(14_000), grant));
    let ran: usize = [14_000, 15_200, 18_000, 18_900]
        .map(|now| admitted_at(&mut window, now, ALL_HEARD))
        .iter()
        .sum();
    assert_eq!(ran, 120, "within five seconds; the limit is 120");
}

// The same at an entry that only hears of the admissions and their refunds.
#[test]
fn a_late_refund_at_another_entry_frees_no_room_after_its_request_has_left_the_window() {
    let (mut local, mut remote) = (window(20.0, 20.0), window(20.0, 20.0));
    remote.record_baseline(TimeMs(9_000), 1, totals(0));
    let grants: Vec<_> = (0..100).filter_map(|_| admit_at(&mut local, 10_000, ALL_HEARD)).collect();
    remote.apply_usage(TimeMs(10_100), 1, local.admitted());
    grants.into_iter().for_each(|grant| local.refund(TimeMs(14_000), grant));
    remote.apply_usage(TimeMs(14_000), 1, local.admitted());
    remote.apply_refunds(TimeMs(14_000), 1, &local.refunds(TimeMs(14_000)));
    let ran: usize = [14_000, 15_200, 18_000, 18_900]
        .map(|now| admitted_at(&mut remote, now, ALL_HEARD))
        .iter()
        .sum();
    assert_eq!(ran, 120, "within five seconds; the limit is 120");
}

// Ten of thirty entries were cut off from the others while a workspace used its whole limit. Each added
// its share at once to what the others had admitted and went on to admit.
#[test]
fn entries_cut_off_from_a_full_window_add_no_share_of_the_limit_to_it() {
    const CUT_OFF: u64 = 10;
    let limit = 100.0 * 5.0 + 100.0;
    let alone = PeerCounts { entries: 30, heard: 1 };
    let mut cut_off: Vec<_> = (0..CUT_OFF).map(|_| window(100.0, 100.0)).collect();
    for window in &mut cut_off {
        window.record_baseline(TimeMs(9_000), 1, totals(0));
        window.apply_usage(TimeMs(10_000), 1, totals(600));
    }
    let added: usize = cut_off.iter_mut().map(|window| admitted_at(window, 10_600, alone)).sum();
    assert!(limit + added as f64 <= limit * 1.1 + 20.0, "600 and {added} in a window");
}

// All entries were killed just after a surge had used a workspace's whole limit, and started again. They
// took the requests before the start to be spread evenly over the window and admitted others.
#[test]
fn requests_just_before_all_entries_were_killed_are_counted_for_a_whole_window() {
    let limit = 100.0 * 5.0 + 100.0;
    let mut started = window(100.0, 100.0);
    let admitted: usize = (0..(WINDOW_MS - 100) / 20)
        .map(|step| admitted_at(&mut started, step * 20, ALL_HEARD))
        .sum();
    assert!(limit + admitted as f64 <= limit * 1.1 + 20.0, "600 and {admitted} in a window");
}

// An entry started with an older configuration, and a limit was raised before it knew what the window
// held. It took the difference to be free, although the others had used it.
#[test]
fn a_limit_raised_before_the_window_is_known_frees_no_room() {
    let mut started = window(10.0, 10.0);
    started.set_rate_limit(TimeMs(100), rate_limit(100.0, 100.0));
    let admitted = admitted_at(&mut started, 200, ALL_HEARD);
    assert!(600.0 + admitted as f64 <= 600.0 * 1.1 + 20.0, "600 and {admitted} in a window");
}

// The same for a workspace that had no limit at all.
#[test]
fn a_limit_set_before_the_window_is_known_frees_no_room() {
    let mut started = window(0.0, 0.0);
    started.set_rate_limit(TimeMs(100), rate_limit(100.0, 100.0));
    let admitted = admitted_at(&mut started, 200, ALL_HEARD);
    assert!(600.0 + admitted as f64 <= 600.0 * 1.1 + 20.0, "600 and {admitted} in a window");
}

// Other entries reported to one that started what they had admitted in the last moments. It took them to
// be spread evenly over the window, and half of them to have left it after half of the time.
#[test]
fn an_adopted_window_stays_counted_until_all_of_it_may_have_left() {
    let mut started = window(100.0, 100.0);
    (0..6).for_each(|round| started.merge(TimeMs(round * 100), 600.0));
    let admitted: usize = (0..(WINDOW_MS - 1_000) / 20)
        .map(|step| admitted_at(&mut started, 500 + step * 20, ALL_HEARD))
        .sum();
    assert!(600.0 + admitted as f64 <= 600.0 * 1.1 + 20.0, "600 and {admitted} in a window");
}
