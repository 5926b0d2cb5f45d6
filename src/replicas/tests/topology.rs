use super::*;
use crate::mechanisms::Mechanisms;

fn in_domain(port: u16, domain: &str) -> Announcement {
    Announcement { failure_domain: domain.into(), ..announcement("s", port, 5, 9) }
}

// An operator evacuates a failure domain, and endpoints there stay listed and idle: they were the first
// choice of every entry.
#[test]
fn nothing_is_placed_in_an_evacuated_domain() {
    let mut directory = with(&[("r", in_domain(1, "d")), ("q", in_domain(2, "e"))]);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let (evacuated, other) = (directory.find("r").unwrap(), directory.find("q").unwrap());
    placement.read(TimeMs(0), evacuated, &[(1, 9_000)]);
    (0..20).for_each(|_| directory.record_sent(TimeMs(0), other));
    directory.update_evacuations(TimeMs(0), 7, domains(&["d"]));
    let again = PlacementRequest { accepts_ejected: true, ..want(&[(1, 9_000)]) };
    assert_eq!(placement.choose(TimeMs(0), &directory, &again, |_| true), Some(other));
    directory.update_evacuations(TimeMs(0), 8, domains(&["d", "e"]));
    assert_eq!(placement.choose(TimeMs(0), &directory, &again, |_| true), None);
    directory.update_evacuations(TimeMs(0), 9, domains(&[]));
    assert_eq!(placement.choose(TimeMs(0), &directory, &again, |_| true), Some(evacuated));
}

// An entry has read further than another, whose message arrives late: what that one knew is out of date.
#[test]
fn an_older_view_of_what_is_evacuated_changes_nothing() {
    let mut evacuations = Evacuations::default();
    evacuations.replace(8, domains(&["d"]));
    evacuations.replace(7, domains(&[]));
    assert!(evacuations.contains("d"));
    evacuations.replace(9, domains(&[]));
    assert!(!evacuations.contains("d"));
}

// A route's requests may run in one region only, and the only idle endpoint is in another.
#[test]
fn a_request_stays_in_its_regions() {
    let mut directory = with(&[("r", in_domain(1, "d")), ("q", in_domain(2, "e"))]);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let (home, abroad) = (directory.find("r").expect("known"), directory.find("q"));
    (0..20).for_each(|_| directory.record_sent(TimeMs(0), home));
    let only = |names: &[&str]| PlacementRequest {
        regions: Regions::only(names.iter().copied()),
        accepts_ejected: true,
        ..want(&[])
    };
    let mut chosen =
        |want: &PlacementRequest| placement.choose(TimeMs(0), &directory, want, |_| true);
    assert_eq!(chosen(&only(&[])), abroad);
    assert_eq!(chosen(&only(&["r1"])), Some(home));
    assert_eq!(chosen(&only(&["r3"])), None);
}
