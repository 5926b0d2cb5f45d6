use test_case::test_case;

use super::*;

#[test]
fn an_older_announcement_is_ignored() {
    let mut directory = directory_with(&[("r", announcement("s", 1, 5, 9))]);
    let old = announcement("s", 1, 5, 8);
    let earlier_instance = announcement("s", 1, 4, 100);
    for outdated in [old, earlier_instance] {
        let change = EndpointChange::Announcement("r".into(), outdated);
        assert_eq!(directory.apply(TimeMs(1), change), ChangeOutcome::Outdated);
    }
}

/// Applies announcements of process instance 5 at port 1, one a second from this second on, and returns
/// the last outcome.
fn beat(directory: &mut Directory, seconds: std::ops::RangeInclusive<u64>) -> ChangeOutcome {
    let outcomes = seconds.map(|second| {
        let change = EndpointChange::Announcement("r".into(), announcement("s", 1, 5, second));
        directory.apply(TimeMs(second * 1_000), change)
    });
    outcomes.last().expect("it announces itself")
}

fn port(directory: &Directory) -> u16 {
    let key = directory.find("r").expect("known");
    directory.get(key).expect("known").announcement.address.port()
}

// Another writer left a record with a later start time or a higher number, or the clock of the endpoint
// was set back before a restart. All that the endpoint announced was ignored as long as it ran.
#[test_case(announcement("s", 2, u64::MAX, 3); "a later start time")]
#[test_case(announcement("s", 2, 5, u64::MAX); "a higher number")]
#[test_case(announcement("other", 1, 5, u64::MAX); "another service")]
fn an_endpoint_that_runs_is_used_again_after_a_record_with_later_numbers(odd: Announcement) {
    let mut directory = directory_with(&[("r", announcement("s", 1, 5, 0))]);
    directory.apply(TimeMs(500), EndpointChange::Announcement("r".into(), odd));
    assert_eq!(beat(&mut directory, 1..=10), ChangeOutcome::Outdated);
    assert_eq!(beat(&mut directory, 11..=11), ChangeOutcome::Reinstated);
    assert_eq!(beat(&mut directory, 12..=12), ChangeOutcome::Announced);
    assert_eq!((port(&directory), directory.of_service("s").count()), (1, 1));
}

// Writes that the store executes late must not bring back an endpoint that is draining.
#[test]
fn late_writes_are_no_heartbeat() {
    let draining = Announcement { draining: true, ..announcement("s", 1, 5, 1_000) };
    let mut directory = directory_with(&[("r", draining.clone())]);
    assert_eq!(beat(&mut directory, 1..=4), ChangeOutcome::Outdated);
    // The store executes the last one again.
    let last = EndpointChange::Announcement("r".into(), announcement("s", 1, 5, 4));
    for at in [12_000, 14_000] {
        assert_eq!(directory.apply(TimeMs(at), last.clone()), ChangeOutcome::Outdated);
    }
    // Some more, much later.
    assert_eq!(beat(&mut directory, 31..=34), ChangeOutcome::Outdated);
    // The endpoint says again that it is draining.
    let renewed = Announcement { sequence: 1_001, ..draining };
    directory.apply(TimeMs(35_000), EndpointChange::Announcement("r".into(), renewed));
    assert_eq!(beat(&mut directory, 36..=44), ChangeOutcome::Outdated);
    let key = directory.find("r").expect("known");
    assert!(!directory.may_send(TimeMs(44_000), key));
}

#[test]
fn a_restart_under_the_same_id_resets_the_record() {
    let mut directory = directory_with(&[("r", announcement("s", 1, 5, 9))]);
    let before = directory.find("r").expect("known");
    directory.record_sent(TimeMs(0), before);
    let restarted = EndpointChange::Announcement("r".into(), announcement("s", 1, 6, 0));
    assert_eq!(directory.apply(TimeMs(1), restarted), ChangeOutcome::Announced);
    let after = directory.find("r").expect("known");
    assert_ne!(before, after);
    assert_eq!(directory.get(after).expect("known").in_flight, 0);
}

#[test]
fn a_removed_endpoint_is_dropped_at_once_without_an_outage() {
    let mut directory = directory_with(&[("r", announcement("s", 1, 5, 9))]);
    directory.apply(TimeMs(10), EndpointChange::Removed("r".into()));
    assert!(directory.find("r").is_none());
}

/// Ends an outage of the store for all entries, in which the list was not read for `unread_ms`.
fn end_outage(directory: &mut Directory, ended_at: u64, unread_ms: u64) {
    directory.record_list_read(TimeMs(ended_at - unread_ms), TimeMs(ended_at - unread_ms));
    directory.record_list_failure(true);
    directory.record_list_read(TimeMs(ended_at), TimeMs(ended_at));
}

// When the endpoint list returns after an outage, all records have lapsed because endpoints could
// not renew them. Removing the endpoints at once would refuse all requests for two seconds although
// every endpoint is running.
#[test]
fn endpoints_lapsed_in_a_list_outage_stay_for_the_grace_period() {
    let mut directory =
        directory_with(&[("r", announcement("s", 1, 5, 9)), ("q", announcement("s", 2, 5, 9))]);
    end_outage(&mut directory, 5_000, 4_000);
    directory.apply(TimeMs(5_100), EndpointChange::Removed("r".into()));
    directory.apply(TimeMs(5_100), EndpointChange::Removed("q".into()));
    directory.apply(
        TimeMs(6_000),
        EndpointChange::Announcement("r".into(), announcement("s", 1, 5, 10)),
    );
    directory.remove_expired(TimeMs(7_000));
    assert_eq!(directory.of_service("s").count(), 2);
    directory.remove_expired(TimeMs(7_100));
    assert!(directory.find("r").is_some());
    assert!(directory.find("q").is_none());
}

// An endpoint shuts down half a second after the end of a list outage. Its removal was taken for a
// lapse and the grace period counted from the removal instead of from the end of the outage, so
// that it received requests for too long.
#[test]
fn the_grace_period_is_counted_from_the_end_of_the_outage() {
    let mut directory = directory_with(&[("r", announcement("s", 1, 5, 9))]);
    end_outage(&mut directory, 5_000, 4_000);
    directory.apply(TimeMs(5_900), EndpointChange::Removed("r".into()));
    directory.remove_expired(TimeMs(7_100));
    assert!(directory.find("r").is_none());
}

// Each service that a record ever named stayed in memory.
#[test]
fn a_service_without_endpoints_is_forgotten() {
    let mut directory = directory_with(&[("r", announcement("named-once", 1, 5, 9))]);
    directory.apply(TimeMs(10), EndpointChange::Removed("r".into()));
    assert!(!format!("{directory:?}").contains("named-once"));
}

// Removals were taken for lapses after any failed read, and endpoints that had left got requests
// for up to 3.7 s.
#[test_case(4_000, false; "this entry alone failed to read it")]
#[test_case(1_400, true; "too short for a record to lapse")]
fn a_removal_after_failed_reads_without_a_long_outage_counts_at_once(
    unread_ms: u64,
    is_general: bool,
) {
    let mut directory = directory_with(&[("r", announcement("s", 1, 5, 9))]);
    directory.record_list_read(TimeMs(1_000), TimeMs(1_000));
    directory.record_list_failure(is_general);
    directory.record_list_read(TimeMs(1_000 + unread_ms), TimeMs(1_000 + unread_ms));
    let removed = EndpointChange::Removed("r".into());
    assert_eq!(directory.apply(TimeMs(1_100 + unread_ms), removed), ChangeOutcome::Removed);
}

// Lapsed endpoints are removed only with the next read of the list, which may take long or fail.
#[test]
fn a_lapsed_endpoint_gets_no_requests_after_the_grace_period() {
    let mut directory = directory_with(&[("r", announcement("s", 1, 5, 9))]);
    end_outage(&mut directory, 5_000, 4_000);
    directory.apply(TimeMs(5_100), EndpointChange::Removed("r".into()));
    let key = directory.find("r").expect("it is kept");
    assert!(directory.may_send(TimeMs(6_900), key));
    assert!(!directory.may_send(TimeMs(7_100), key));
}

// An entry dies with requests in flight, and the count of the others keeps them. The endpoint is
// idle, but would get no requests.
#[test]
fn reports_lower_the_count_of_a_dead_entry() {
    let mut directory = directory_with(&[("r", announcement("s", 1, 5, 9))]);
    let key = directory.find("r").expect("known");
    directory.record_sent(TimeMs(0), key);
    directory.set_others_in_flight(TimeMs(0), key, 7);
    let idle = EndpointReport { running: Some(1), waiting: Some(0), ..EndpointReport::default() };
    for taken_at in [500, 1_000, 1_500] {
        directory.record_report(TimeMs(taken_at), key, TimeMs(taken_at), idle);
    }
    assert_eq!(directory.settle_reports(TimeMs(1_900)), [(key, Correction::Lowered(7))]);
    let load = |directory: &Directory, now| directory.get(key).expect("known").load(TimeMs(now));
    assert_eq!(load(&directory, 1_900), 1);
    assert_eq!(load(&directory, 3_100), 8, "the reports are too old");
}
