use super::*;

#[test]
fn an_older_announcement_changes_nothing() {
    let mut directory = with(&[("r", announcement("s", 1, 5, 9))]);
    let old = announcement("s", 1, 5, 8);
    assert!(!directory.apply(TimeMs(1), EndpointChange::Announcement("r".into(), old)));
    let earlier_life = announcement("s", 1, 4, 100);
    assert!(!directory.apply(TimeMs(1), EndpointChange::Announcement("r".into(), earlier_life)));
}

#[test]
fn a_later_life_under_the_same_name_starts_afresh() {
    let mut directory = with(&[("r", announcement("s", 1, 5, 9))]);
    let before = directory.find("r").expect("known");
    directory.record_sent(TimeMs(0), before);
    assert!(
        directory
            .apply(TimeMs(1), EndpointChange::Announcement("r".into(), announcement("s", 1, 6, 0)))
    );
    let after = directory.find("r").expect("known");
    assert_ne!(before, after);
    assert_eq!(directory.get(after).expect("known").in_flight, 0);
}

#[test]
fn a_removed_endpoint_is_left_at_once_while_the_list_is_sound() {
    let mut directory = with(&[("r", announcement("s", 1, 5, 9))]);
    directory.apply(TimeMs(10), EndpointChange::Removed("r".into()));
    assert!(directory.find("r").is_none());
}

// All endpoints vanish from the list when it returns after an outage, since they could not renew
// their entries meanwhile. Callers would be refused for two seconds though every endpoint runs.
#[test]
fn entries_that_lapsed_in_an_outage_stay_until_they_had_time_to_return() {
    let mut directory =
        with(&[("r", announcement("s", 1, 5, 9)), ("q", announcement("s", 2, 5, 9))]);
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

// One entry can read the list again after an outage; half a second later an endpoint leaves and is
// removed. Requests kept reaching it for longer than it may be used, since its removal was taken
// for a lapse and its grace counted from there instead of from the end of the outage.
#[test]
fn the_grace_of_a_lapse_ends_with_that_of_its_outage() {
    let mut directory = with(&[("r", announcement("s", 1, 5, 9))]);
    directory.record_list_recovery(TimeMs(1_000));
    directory.apply(TimeMs(1_900), EndpointChange::Removed("r".into()));
    directory.remove_expired(TimeMs(3_300));
    assert!(directory.find("r").is_none());
}
