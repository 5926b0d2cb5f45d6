use proptest::prelude::*;
use test_case::test_case;

use super::*;
use crate::mechanisms::Mechanisms;

/// The quotas of `entries` entries for one endpoint, in requests per window.
fn quotas(entries: u64, limits: &ColdLimits) -> Vec<u32> {
    let id_hash = |number: u64| Digest::of(&[&number.to_be_bytes()]).prefix();
    let all: Vec<u64> = (0..entries).map(id_hash).collect();
    let quota = |own: &u64| {
        let mut quota = SenderQuota::open(*own);
        quota.update_others(2_000, all.iter().copied().filter(|other| other != own).collect());
        quota.quota_for(id_hash(1 << 40), limits)
    };
    all.iter().map(quota).collect()
}

fn limits_for(requests_per_s: f64) -> ColdLimits {
    ColdLimits {
        duration_ms: 3_000,
        requests_per_s,
        max_requests_per_s: requests_per_s * 1.5 + 5.0,
    }
}

// After a restart of several endpoints, all entries find them idle at the same moment. Together
// they sent more requests than a cold endpoint can serve, and it crashed.
#[test_case(1; "one entry")]
#[test_case(3; "few")]
#[test_case(26; "tens")]
#[test_case(300; "hundreds, each with less than one request a second")]
fn cold_endpoints_receive_no_more_than_their_limit(entries: u64) {
    for requests_per_s in [0.5, 1.0, 3.0, 12.0, 33.0, 400.0] {
        let limits = limits_for(requests_per_s);
        let sum = f64::from(quotas(entries, &limits).iter().sum::<u32>());
        assert!(sum >= 1.0, "{requests_per_s} requests/s: no entry sends to the endpoint");
        assert!(
            2.0 * sum <= limits.max_requests_per_s,
            "{requests_per_s} requests/s: {sum} requests per window and view exceed the limit"
        );
    }
}

// An entry that has just started knows neither the other entries nor what its previous process
// instance sent.
#[test]
fn an_entry_sends_nothing_to_cold_endpoints_after_its_start() {
    let mut quota = SenderQuota::open(7);
    assert_eq!(quota.quota_for(1, &limits_for(33.0)), 0);
    quota.update_others(500, vec![]);
    assert_eq!(quota.quota_for(1, &limits_for(33.0)), 0);
    quota.update_others(2_000, vec![]);
    assert!(quota.quota_for(1, &limits_for(33.0)) > 0);
}

/// A directory with one cold and one warm endpoint, in which this entry is the only sender.
fn cold_and_warm() -> (Directory, ReplicaKey, ReplicaKey) {
    let cold = Announcement { cold_left_ms: 3_000, ..announcement("s", 1, 5, 9) };
    let mut directory = directory_with(&[("r", cold), ("q", announcement("s", 2, 5, 9))]);
    directory.set_cold_limits([("s".into(), limits_for(33.0))].into());
    directory.update_entries(TimeMs(2_000), vec![]);
    let (cold, warm) = (directory.find("r"), directory.find("q"));
    (directory, cold.expect("known"), warm.expect("known"))
}

// A cold endpoint has the least load, so every request would be sent to it.
#[test]
fn a_cold_endpoint_is_skipped_once_the_quota_is_used_up() {
    let (mut directory, cold, warm) = cold_and_warm();
    let mut placement = Placement::open(topology_in("d"), Mechanisms::default());
    (0..40).for_each(|_| directory.record_sent(TimeMs(0), warm));
    let mut sent = 0;
    while placement.choose(TimeMs(2_000), &directory, &request(&[]), |_| true) == Some(cold) {
        directory.record_sent(TimeMs(2_000), cold);
        directory.record_finished(TimeMs(2_000), cold);
        sent += 1;
    }
    assert_eq!(sent, 5);
    assert!(!directory.may_send(TimeMs(2_900), cold));
    assert!(
        directory.may_send(TimeMs(3_200), cold),
        "the window has passed, and the endpoint is warm"
    );
}

// Endpoints of a restored failure domain have lost their caches, and an endpoint that broke off a
// request may have restarted. Either is announced up to some seconds later.
#[test]
fn an_endpoint_that_may_be_cold_is_treated_as_cold() {
    let (mut directory, _, warm) = cold_and_warm();
    directory.update_evacuations(TimeMs(10_000), 1, domains(&["d"]));
    directory.update_evacuations(TimeMs(15_000), 2, domains(&[]));
    assert!(directory.get(warm).expect("known").is_cold(TimeMs(17_900)));
    assert!(!directory.get(warm).expect("known").is_cold(TimeMs(18_100)));
    directory.assume_cold(TimeMs(20_000), warm);
    assert!(directory.get(warm).expect("known").is_cold(TimeMs(22_900)));
}

// A record of another writer said that an endpoint is cold for a day. The endpoint got a few requests a
// second only, although it announced that it is warm.
#[test]
fn an_endpoint_is_cold_as_its_latest_announcement_says() {
    let (mut directory, _, warm) = cold_and_warm();
    let known = directory.get(warm).expect("known");
    let (id, announced) = (known.id.clone(), known.announcement.clone());
    let is_cold_after = |directory: &mut Directory, sequence: u64, cold_left_ms: u64| {
        let announcement = Announcement { sequence, cold_left_ms, ..announced.clone() };
        let now = TimeMs(10_000 + sequence);
        directory.apply(now, EndpointChange::Announcement(id.clone(), announcement));
        directory.get(warm).expect("the same process instance").is_cold(now)
    };
    assert!(is_cold_after(&mut directory, 100, 86_400_000));
    assert!(!is_cold_after(&mut directory, 101, 0));
    directory.assume_cold(TimeMs(10_101), warm);
    assert!(is_cold_after(&mut directory, 102, 0), "it may have restarted without saying so yet");
}

// An endpoint restarts under the same identifier. The requests that reached it before its new
// announcement were not counted against the quota.
#[test]
fn requests_sent_before_a_restart_was_announced_count() {
    let (mut directory, _, warm) = cold_and_warm();
    (0..9).for_each(|_| directory.record_sent(TimeMs(9_900), warm));
    let restarted = Announcement { cold_left_ms: 3_000, ..announcement("s", 2, 6, 0) };
    directory.apply(TimeMs(10_000), EndpointChange::Announcement("q".into(), restarted));
    let restarted = directory.find("q").expect("known");
    assert!(!directory.may_send(TimeMs(10_000), restarted));
}

proptest! {
    // During a partition or while entries start, an entry knows only some of the others. The quota
    // of a single sender limits how much such an entry can add to the requests of those that know
    // all.
    #[test]
    fn an_entry_sends_at_most_one_quota(
        known in proptest::collection::vec(any::<u64>(), 0..40),
        own: u64,
        endpoint: u64,
        requests_per_s in 0.1_f64..500.0,
    ) {
        let limits = limits_for(requests_per_s);
        let mut quota = SenderQuota::open(own);
        quota.update_others(2_000, known);
        prop_assert!(quota.quota_for(endpoint, &limits) <= (requests_per_s / 5.0).max(1.0) as u32);
    }
}
