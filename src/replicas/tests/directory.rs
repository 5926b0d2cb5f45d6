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

// When the endpoint list returns after an outage, all records have lapsed because endpoints could
// not renew them. Removing the endpoints at once would refuse all requests for two seconds although
// every endpoint is running.
#[test]
fn endpoints_lapsed_in_a_list_outage_stay_for_the_grace_period() {
    let mut directory =
        directory_with(&[("r", announcement("s", 1, 5, 9)), ("q", announcement("s", 2, 5, 9))]);
    directory.record_list_recovery(TimeMs(1_000));
    directory.apply(TimeMs(1_100), EndpointChange::Removed("r".into()));
    directory.apply(TimeMs(1_100), EndpointChange::Removed("q".into()));
    directory.apply(
        TimeMs(2_000),
        EndpointChange::Announcement("r".into(), announcement("s", 1, 5, 10)),
    );
    directory.remove_expired(TimeMs(3_200));
    assert_eq!(directory.of_service("s").count(), 2);
    directory.remove_expired(TimeMs(3_400));
    assert!(directory.find("r").is_some());
    assert!(directory.find("q").is_none());
}

// An endpoint shuts down half a second after the end of a list outage. Its removal was taken for a
// lapse and the grace period counted from the removal instead of from the end of the outage, so
// that it received requests for too long.
#[test]
fn the_grace_period_is_counted_from_the_end_of_the_outage() {
    let mut directory = directory_with(&[("r", announcement("s", 1, 5, 9))]);
    directory.record_list_recovery(TimeMs(1_000));
    directory.apply(TimeMs(1_900), EndpointChange::Removed("r".into()));
    directory.remove_expired(TimeMs(3_300));
    assert!(directory.find("r").is_none());
}
