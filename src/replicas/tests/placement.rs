use super::*;
use crate::mechanisms::Mechanisms;

#[test]
fn idle_endpoints_share_requests() {
    let directory =
        directory_with(&[("r", announcement("s", 1, 5, 9)), ("q", announcement("s", 2, 5, 9))]);
    let mut placement = Placement::open(topology_in("d"), Mechanisms::default());
    let mut chosen: Vec<_> = (0..64)
        .filter_map(|_| placement.choose(TimeMs(0), &directory, &request(&[]), |_| true))
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 2);
}

// Entries that rarely send began with the same endpoints, and of many idle endpoints only the first
// 64 ever got a request.
#[test]
fn first_requests_of_many_entries_spread_over_all_idle_endpoints() {
    const ENDPOINTS: u16 = 300;
    let names: Vec<String> = (0..ENDPOINTS).map(|number| format!("e{number}")).collect();
    let endpoints: Vec<_> = (1..=ENDPOINTS).map(|port| announcement("s", port, 5, 9)).collect();
    let listed: Vec<_> = names.iter().map(String::as_str).zip(endpoints).collect();
    let directory = directory_with(&listed);
    let mut chosen = std::collections::HashMap::new();
    for entry in 0..1_200_u64 {
        let seed = Digest::of(&[&entry.to_le_bytes()]).prefix();
        let mut placement = Placement::open(topology_in("d"), Mechanisms::default())
            .with_endpoint_choice(EndpointChoice::All, seed);
        let key = placement.choose(TimeMs(0), &directory, &request(&[]), |_| true);
        *chosen.entry(key).or_insert(0) += 1;
    }
    let most = chosen.values().max().copied().unwrap_or_default();
    assert!(chosen.len() > 280, "{} endpoints were chosen", chosen.len());
    assert!(most <= 4 * 4, "one endpoint got {most} of four requests each");
}

#[test]
fn a_prompt_is_sent_to_the_endpoint_that_cached_it_unless_it_is_full() {
    let mut directory =
        directory_with(&[("r", announcement("s", 1, 5, 9)), ("q", announcement("s", 2, 5, 9))]);
    let mut placement = Placement::open(topology_in("d"), Mechanisms::default());
    let holder = directory.find("q").expect("known");
    placement.record_prefill(TimeMs(0), holder, &[(1, 2_000)]);
    for _ in 0..4 {
        assert_eq!(
            placement.choose(TimeMs(1), &directory, &request(&[(1, 2_000)]), |_| true),
            Some(holder)
        );
    }
    (0..6).for_each(|_| directory.record_sent(TimeMs(1), holder));
    assert_ne!(
        placement.choose(TimeMs(1), &directory, &request(&[(1, 2_000)]), |_| true),
        Some(holder)
    );
}

// The network loses answers of all endpoints for a while. Ejecting all of them would refuse every
// request, although only some would fail.
#[test]
fn endpoints_stay_in_use_if_most_are_ejected() {
    let endpoints = ["a", "b", "c", "d"].map(|id| (id, announcement("s", 1, 5, 9)));
    let mut directory = directory_with(&endpoints);
    let mut placement = Placement::open(topology_in("d"), Mechanisms::default());
    let keys: Vec<_> = directory.all().map(|(key, _)| key).collect();
    for key in keys {
        (0..3).for_each(|_| directory.record_failure(TimeMs(0), key));
    }
    assert!(placement.choose(TimeMs(100), &directory, &request(&[]), |_| true).is_some());
}

#[test]
fn an_endpoint_with_consecutive_failures_is_ejected_and_retried() {
    let mut directory = directory_with(&[("r", announcement("s", 1, 5, 9))]);
    let mut placement = Placement::open(topology_in("d"), Mechanisms::default());
    let key = directory.find("r").expect("known");
    (0..3).for_each(|_| directory.record_failure(TimeMs(0), key));
    assert_eq!(placement.choose(TimeMs(100), &directory, &request(&[]), |_| true), None);
    assert_eq!(placement.choose(TimeMs(1_000), &directory, &request(&[]), |_| true), Some(key));
    directory.record_sent(TimeMs(1_000), key);
    assert_eq!(placement.choose(TimeMs(1_000), &directory, &request(&[]), |_| true), None);
}

// With many entries and many endpoints, an entry sends to each endpoint so rarely that the
// connection is closed before the next request. Most requests then open a new connection, and
// endpoints accept only a limited number.
#[test]
fn the_endpoint_with_an_open_connection_is_preferred() {
    let directory =
        directory_with(&[("r", announcement("s", 1, 5, 9)), ("q", announcement("s", 2, 5, 9))]);
    let mut placement = Placement::open(topology_in("d"), Mechanisms::default());
    let connected_endpoint = directory.find("q").expect("known");
    for _ in 0..8 {
        let connected = |address: std::net::SocketAddr| address.port() == 2;
        assert_eq!(
            placement.choose(TimeMs(0), &directory, &request(&[]), connected),
            Some(connected_endpoint)
        );
    }
}

// Two of three endpoints are ejected, and the third has just broken off a stream. Refusing the
// request would lose a turn that one of the ejected endpoints might continue.
#[test]
fn a_repeatable_request_is_sent_to_an_ejected_endpoint_rather_than_refused() {
    let endpoints = ["a", "b", "c"].map(|id| (id, announcement("s", 1, 5, 9)));
    let mut directory = directory_with(&endpoints);
    let mut placement = Placement::open(topology_in("d"), Mechanisms::default());
    let keys: Vec<_> = directory.all().map(|(key, _)| key).collect();
    for key in &keys[..2] {
        (0..3).for_each(|_| directory.record_failure(TimeMs(0), *key));
    }
    let once = PlacementRequest { excluded: vec![keys[2]], ..request(&[]) };
    assert_eq!(placement.choose(TimeMs(100), &directory, &once, |_| true), None);
    let again = PlacementRequest { accepts_ejected: true, ..once };
    let chosen = placement.choose(TimeMs(100), &directory, &again, |_| true);
    assert!(chosen.is_some_and(|key| key != keys[2]));
}

// The last part of a program's prompt grows with each turn. The endpoint that has the earlier turns
// in its cache has to prefill only the new tokens. One that has only the first part, which all
// programs share, has to prefill all the turns.
#[test]
fn a_grown_prompt_is_sent_to_the_endpoint_that_cached_it() {
    let directory =
        directory_with(&[("r", announcement("s", 1, 5, 9)), ("q", announcement("s", 2, 5, 9))]);
    let mut placement = Placement::open(topology_in("d"), Mechanisms::default());
    let holder = directory.find("q").expect("known");
    let other = directory.find("r").expect("known");
    placement.record_prefill(TimeMs(0), other, &[(1, 12_000)]);
    placement.record_prefill(TimeMs(0), holder, &[(1, 12_000), (2, 4_000)]);
    for _ in 0..4 {
        let grown = request(&[(1, 12_000), (2, 4_500)]);
        assert_eq!(placement.choose(TimeMs(1), &directory, &grown, |_| true), Some(holder));
    }
}

// An endpoint is faster at requests about an object that it has recently handled. When requests
// were distributed by load alone, hardly any reached such an endpoint.
#[test]
fn requests_about_an_object_share_an_endpoint_until_it_is_full() {
    let endpoints: Vec<_> =
        (1..20).map(|port| (format!("r{port}"), announcement("s", port, 5, 9))).collect();
    let endpoints: Vec<_> =
        endpoints.iter().map(|(id, announcement)| (id.as_str(), announcement.clone())).collect();
    let mut directory = directory_with(&endpoints);
    let about = |object| PlacementRequest { object: Some(object), ..request(&[]) };
    let chosen = |domain: &str, directory: &Directory, object| {
        let mut placement = Placement::open(topology_in(domain), Mechanisms::default());
        placement.choose(TimeMs(0), directory, &about(object), |_| true)
    };
    let preferred = chosen("d", &directory, 7).expect("an endpoint is chosen");
    assert_eq!(chosen("another", &directory, 7), Some(preferred));
    let mut all_preferred: Vec<_> =
        (0..200).filter_map(|object| chosen("d", &directory, object)).collect();
    all_preferred.sort();
    all_preferred.dedup();
    assert!(
        all_preferred.len() >= 15,
        "objects are distributed over only {} endpoints",
        all_preferred.len()
    );
    (0..9).for_each(|_| directory.record_sent(TimeMs(0), preferred));
    assert_ne!(chosen("d", &directory, 7), Some(preferred));
}

// A request that does not fit into an endpoint's memory is preempted there, and takes a multiple of
// its time. While no endpoint has the memory, one of them must still get the request.
#[test]
fn an_endpoint_without_memory_for_the_prompt_is_left_out_unless_all_are() {
    let mut directory =
        directory_with(&[("r", announcement("s", 1, 5, 9)), ("q", announcement("s", 2, 5, 9))]);
    let mut placement = Placement::open(topology_in("d"), Mechanisms::default());
    let (short, other) = (directory.find("r").expect("known"), directory.find("q").expect("known"));
    placement.record_prefill(TimeMs(0), short, &[(1, 2_000)]);
    let report = |free_tokens| EndpointReport {
        used_tokens: Some(0),
        total_tokens: Some(free_tokens),
        ..EndpointReport::default()
    };
    let mut choose = |directory: &Directory, now| {
        placement.choose(TimeMs(now), directory, &request(&[(1, 2_000)]), |_| true)
    };
    directory.record_report(TimeMs(10), short, TimeMs(10), report(1_999));
    assert_eq!(choose(&directory, 20), Some(other));
    assert_eq!(choose(&directory, 1_600), Some(short), "the report is too old");
    directory.record_report(TimeMs(1_700), short, TimeMs(1_700), report(1_999));
    directory.record_report(TimeMs(1_700), other, TimeMs(1_700), report(100));
    assert_eq!(choose(&directory, 1_700), Some(short));
    assert_eq!(placement.left_out_for_memory(), 1);
}
