use super::*;
use crate::mechanisms::Mechanisms;

#[test]
fn idle_endpoints_share_requests() {
    let directory = with(&[("r", announcement("s", 1, 5, 9)), ("q", announcement("s", 2, 5, 9))]);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let mut chosen: Vec<_> = (0..64)
        .filter_map(|_| placement.choose(TimeMs(0), &directory, &want(&[]), |_| true))
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 2);
}

#[test]
fn a_prompt_returns_to_the_endpoint_that_read_it_unless_that_is_full() {
    let mut directory =
        with(&[("r", announcement("s", 1, 5, 9)), ("q", announcement("s", 2, 5, 9))]);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let holder = directory.find("q").expect("known");
    placement.read(TimeMs(0), holder, &[(1, 2_000)]);
    for _ in 0..4 {
        assert_eq!(
            placement.choose(TimeMs(1), &directory, &want(&[(1, 2_000)]), |_| true),
            Some(holder)
        );
    }
    (0..6).for_each(|_| directory.record_sent(TimeMs(1), holder));
    assert_ne!(
        placement.choose(TimeMs(1), &directory, &want(&[(1, 2_000)]), |_| true),
        Some(holder)
    );
}

// The network loses the answers of all endpoints for a while. Leaving all of them out would turn a
// part of the requests lost into all of them refused.
#[test]
fn most_endpoints_of_a_service_are_never_left_out() {
    let entries = ["a", "b", "c", "d"].map(|id| (id, announcement("s", 1, 5, 9)));
    let mut directory = with(&entries);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let keys: Vec<_> = directory.all().map(|(key, _)| key).collect();
    for key in keys {
        (0..3).for_each(|_| directory.record_failure(TimeMs(0), key));
    }
    assert!(placement.choose(TimeMs(100), &directory, &want(&[]), |_| true).is_some());
}

#[test]
fn an_endpoint_that_fails_in_a_row_is_left_out_and_tried_again() {
    let mut directory = with(&[("r", announcement("s", 1, 5, 9))]);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let key = directory.find("r").expect("known");
    (0..3).for_each(|_| directory.record_failure(TimeMs(0), key));
    assert_eq!(placement.choose(TimeMs(100), &directory, &want(&[]), |_| true), None);
    assert_eq!(placement.choose(TimeMs(1_000), &directory, &want(&[]), |_| true), Some(key));
    directory.record_sent(TimeMs(1_000), key);
    assert_eq!(placement.choose(TimeMs(1_000), &directory, &want(&[]), |_| true), None);
}

// Many entries send to many endpoints, each to each so seldom that its connection is closed before the
// next request. Most requests then open a connection, which endpoints accept a limited number of.
#[test]
fn a_kept_connection_decides_between_endpoints_that_are_alike() {
    let directory = with(&[("r", announcement("s", 1, 5, 9)), ("q", announcement("s", 2, 5, 9))]);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let kept = directory.find("q").expect("known");
    for _ in 0..8 {
        let connected = |address: std::net::SocketAddr| address.port() == 2;
        assert_eq!(placement.choose(TimeMs(0), &directory, &want(&[]), connected), Some(kept));
    }
}

// Two of three endpoints are left out, and the third has just failed a stream in its middle. Refused for
// want of an endpoint, the caller would lose a turn that one of the two could have gone on with.
#[test]
fn what_may_run_again_is_rather_tried_where_it_may_fail_than_refused() {
    let entries = ["a", "b", "c"].map(|id| (id, announcement("s", 1, 5, 9)));
    let mut directory = with(&entries);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let keys: Vec<_> = directory.all().map(|(key, _)| key).collect();
    for key in &keys[..2] {
        (0..3).for_each(|_| directory.record_failure(TimeMs(0), *key));
    }
    let once = PlacementRequest { excluded: vec![keys[2]], ..want(&[]) };
    assert_eq!(placement.choose(TimeMs(100), &directory, &once, |_| true), None);
    let again = PlacementRequest { accepts_ejected: true, ..once };
    let chosen = placement.choose(TimeMs(100), &directory, &again, |_| true);
    assert!(chosen.is_some_and(|key| key != keys[2]));
}

// A session's last part grows with each turn. Where its earlier turns were read only the news is unread,
// and anywhere else that holds what all sessions share only the session is.
#[test]
fn a_session_that_has_grown_returns_to_where_it_was_read() {
    let directory = with(&[("r", announcement("s", 1, 5, 9)), ("q", announcement("s", 2, 5, 9))]);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let holder = directory.find("q").expect("known");
    let other = directory.find("r").expect("known");
    placement.read(TimeMs(0), other, &[(1, 12_000)]);
    placement.read(TimeMs(0), holder, &[(1, 12_000), (2, 4_000)]);
    for _ in 0..4 {
        let grown = want(&[(1, 12_000), (2, 4_500)]);
        assert_eq!(placement.choose(TimeMs(1), &directory, &grown, |_| true), Some(holder));
    }
}

// Programs act on objects, and an endpoint that has lately handled one is faster at the next. Spread by load
// alone, hardly any request about an object came to where it was known.
#[test]
fn requests_about_an_object_share_an_endpoint_until_it_is_full() {
    let entries: Vec<_> =
        (1..20).map(|port| (format!("r{port}"), announcement("s", port, 5, 9))).collect();
    let entries: Vec<_> = entries.iter().map(|(id, entry)| (id.as_str(), entry.clone())).collect();
    let mut directory = with(&entries);
    let about = |object| PlacementRequest { object: Some(object), ..want(&[]) };
    let chosen = |domain: &str, directory: &Directory, object| {
        let mut placement = Placement::open(at(domain), Mechanisms::default());
        placement.choose(TimeMs(0), directory, &about(object), |_| true)
    };
    let home = chosen("d", &directory, 7).expect("one");
    assert_eq!(chosen("another", &directory, 7), Some(home));
    let mut homes: Vec<_> = (0..200).filter_map(|object| chosen("d", &directory, object)).collect();
    homes.sort();
    homes.dedup();
    assert!(homes.len() >= 15, "objects spread over endpoints: {}", homes.len());
    (0..9).for_each(|_| directory.record_sent(TimeMs(0), home));
    assert_ne!(chosen("d", &directory, 7), Some(home));
}
