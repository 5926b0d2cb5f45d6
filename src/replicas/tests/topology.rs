use super::*;
use crate::mechanisms::Mechanisms;

fn in_domain(port: u16, domain: &str) -> Announcement {
    Announcement { failure_domain: domain.into(), ..announcement("s", port, 5, 9) }
}

// The endpoints of an evacuated failure domain stay listed and become idle, so every entry would
// prefer them.
#[test]
fn no_request_is_sent_to_an_evacuated_domain() {
    let mut directory = directory_with(&[("r", in_domain(1, "d")), ("q", in_domain(2, "e"))]);
    let mut placement = Placement::open(topology_in("d"), Mechanisms::default());
    let (evacuated, other) = (directory.find("r").unwrap(), directory.find("q").unwrap());
    placement.record_prefill(TimeMs(0), evacuated, &[(1, 9_000)]);
    (0..20).for_each(|_| directory.record_sent(TimeMs(0), other));
    directory.update_evacuations(TimeMs(0), 7, domains(&["d"]));
    let again = PlacementRequest { accepts_ejected: true, ..request(&[(1, 9_000)]) };
    assert_eq!(placement.choose(TimeMs(0), &directory, &again, |_| true), Some(other));
    directory.update_evacuations(TimeMs(0), 8, domains(&["d", "e"]));
    assert_eq!(placement.choose(TimeMs(0), &directory, &again, |_| true), None);
    directory.update_evacuations(TimeMs(0), 9, domains(&[]));
    assert_eq!(placement.choose(TimeMs(0), &directory, &again, |_| true), Some(evacuated));
}

// A message from an entry that has read less of the operator's log must not undo a later state.
#[test]
fn an_older_evacuation_state_is_ignored() {
    let mut evacuations = Evacuations::default();
    evacuations.replace(8, domains(&["d"]));
    evacuations.replace(7, domains(&[]));
    assert!(evacuations.contains("d"));
    evacuations.replace(9, domains(&[]));
    assert!(!evacuations.contains("d"));
}

// The only idle endpoint is in a region where the route's requests may not run.
#[test]
fn a_request_is_sent_only_to_its_regions() {
    let mut directory = directory_with(&[("r", in_domain(1, "d")), ("q", in_domain(2, "e"))]);
    let mut placement = Placement::open(topology_in("d"), Mechanisms::default());
    let (local, remote) = (directory.find("r").expect("known"), directory.find("q"));
    (0..20).for_each(|_| directory.record_sent(TimeMs(0), local));
    let only = |names: &[&str]| PlacementRequest {
        regions: Regions::only(names.iter().copied()),
        accepts_ejected: true,
        ..request(&[])
    };
    let mut chosen =
        |request: &PlacementRequest| placement.choose(TimeMs(0), &directory, request, |_| true);
    assert_eq!(chosen(&only(&[])), remote);
    assert_eq!(chosen(&only(&["r1"])), Some(local));
    assert_eq!(chosen(&only(&["r3"])), None);
}
