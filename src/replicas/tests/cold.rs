use proptest::prelude::*;
use test_case::test_case;

use super::*;
use crate::mechanisms::Mechanisms;

/// What each of `entries` entries may send to one endpoint within a window.
fn shares(entries: u64, rule: &ColdLimits) -> Vec<u32> {
    let name = |number: u64| Digest::of(&[&number.to_be_bytes()]).prefix();
    let all: Vec<u64> = (0..entries).map(name).collect();
    let share = |own: &u64| {
        let mut share = ColdShare::open(*own);
        share.know(2_000, all.iter().copied().filter(|other| other != own).collect());
        share.of(name(1 << 40), rule)
    };
    all.iter().map(share).collect()
}

fn bears(requests_per_s: f64) -> ColdLimits {
    ColdLimits {
        duration_ms: 3_000,
        requests_per_s,
        max_requests_per_s: requests_per_s * 1.5 + 5.0,
    }
}

// Endpoints come back cold, and all entries find them idle at the same moment: together they sent more
// than such an endpoint bears, and it crashed.
#[test_case(1; "one entry")]
#[test_case(3; "few")]
#[test_case(26; "tens")]
#[test_case(300; "hundreds, each with less than one request a second")]
fn a_cold_endpoint_gets_no_more_than_it_bears(entries: u64) {
    for requests_per_s in [0.5, 1.0, 3.0, 12.0, 33.0, 400.0] {
        let rule = bears(requests_per_s);
        let sum = f64::from(shares(entries, &rule).iter().sum::<u32>());
        assert!(sum >= 1.0, "{requests_per_s}: it is never used again");
        assert!(
            2.0 * sum <= rule.max_requests_per_s,
            "{requests_per_s}: {sum}, with two views at once"
        );
    }
}

// An entry that has just started knows neither the others nor what an earlier life of its own sent.
#[test]
fn an_entry_that_starts_leaves_cold_endpoints_to_others() {
    let mut share = ColdShare::open(7);
    assert_eq!(share.of(1, &bears(33.0)), 0);
    share.know(500, vec![]);
    assert_eq!(share.of(1, &bears(33.0)), 0);
    share.know(2_000, vec![]);
    assert!(share.of(1, &bears(33.0)) > 0);
}

/// A directory of one cold endpoint and one warm one, with this entry alone.
fn cold_and_warm() -> (Directory, ReplicaKey, ReplicaKey) {
    let cold = Announcement { cold_left_ms: 3_000, ..announcement("s", 1, 5, 9) };
    let mut directory = with(&[("r", cold), ("q", announcement("s", 2, 5, 9))]);
    directory.set_cold_limits([("s".into(), bears(33.0))].into());
    directory.update_entries(TimeMs(2_000), vec![]);
    let (cold, warm) = (directory.find("r"), directory.find("q"));
    (directory, cold.expect("known"), warm.expect("known"))
}

// A cold endpoint is the emptiest, so that each next request would go there.
#[test]
fn a_cold_endpoint_is_passed_over_once_its_share_is_used() {
    let (mut directory, cold, warm) = cold_and_warm();
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    (0..40).for_each(|_| directory.record_sent(TimeMs(0), warm));
    let mut record_sent = 0;
    while placement.choose(TimeMs(2_000), &directory, &want(&[]), |_| true) == Some(cold) {
        directory.record_sent(TimeMs(2_000), cold);
        directory.record_finished(cold);
        record_sent += 1;
    }
    assert_eq!(record_sent, 5);
    assert!(!directory.may_send(TimeMs(2_900), cold));
    assert!(directory.may_send(TimeMs(3_200), cold), "the window has gone by; it is warm as well");
}

// Endpoints of a domain that was evacuated have lost their caches, and those that broke off may have started
// anew; either says so up to seconds later.
#[test]
fn an_endpoint_that_may_be_cold_counts_as_cold() {
    let (mut directory, _, warm) = cold_and_warm();
    directory.update_evacuations(TimeMs(10_000), 1, domains(&["d"]));
    directory.update_evacuations(TimeMs(15_000), 2, domains(&[]));
    assert!(directory.get(warm).expect("known").is_cold(TimeMs(17_900)));
    assert!(!directory.get(warm).expect("known").is_cold(TimeMs(18_100)));
    directory.assume_cold(TimeMs(20_000), warm);
    assert!(directory.get(warm).expect("known").is_cold(TimeMs(22_900)));
}

// An endpoint starts anew under its name, and what reached it since then is counted from nothing.
#[test]
fn what_a_new_life_got_before_it_was_known_counts() {
    let (mut directory, _, warm) = cold_and_warm();
    (0..9).for_each(|_| directory.record_sent(TimeMs(9_900), warm));
    let anew = Announcement { cold_left_ms: 3_000, ..announcement("s", 2, 6, 0) };
    directory.apply(TimeMs(10_000), EndpointChange::Announcement("q".into(), anew));
    let anew = directory.find("q").expect("known");
    assert!(!directory.may_send(TimeMs(10_000), anew));
}

proptest! {
    // Entries know each other in part, as after a cut or while some start: whatever each of them knows,
    // those that know all keep to the bound, and each of the others adds no more than one share.
    #[test]
    fn an_entry_adds_at_most_one_share(
        known in proptest::collection::vec(any::<u64>(), 0..40),
        own: u64,
        endpoint: u64,
        requests_per_s in 0.1_f64..500.0,
    ) {
        let rule = bears(requests_per_s);
        let mut share = ColdShare::open(own);
        share.know(2_000, known);
        prop_assert!(share.of(endpoint, &rule) <= (requests_per_s / 5.0).max(1.0) as u32);
    }
}
