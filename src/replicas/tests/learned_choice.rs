use std::collections::HashSet;

use super::*;
use crate::load::tests::turn;
use crate::mechanisms::Mechanisms;

fn endpoints(count: u16) -> Directory {
    let announced = |port: u16| Announcement { slots: 6, ..announcement("s", port, 5, 9) };
    let ids: Vec<_> = (0..count).map(|port| (format!("r{port:02}"), announced(port))).collect();
    let ids: Vec<_> = ids.iter().map(|(id, announced)| (id.as_str(), announced.clone())).collect();
    directory_with(&ids)
}

fn keys(directory: &Directory) -> Vec<ReplicaKey> {
    directory.of_service("s").map(|(key, _)| key).collect()
}

/// A placement that has measured 30 turns of every endpoint; those of each third one take 1.7 times
/// as long.
fn measured(directory: &Directory, choice: EndpointChoice, seed: u64) -> Placement {
    let placement = Placement::open(topology_in("d"), Mechanisms::default());
    let mut placement = placement.with_endpoint_choice(choice, seed);
    placement.set_load_controlled(&HashSet::from(["s".into()]));
    for (index, key) in keys(directory).iter().enumerate().cycle().take(30 * 24) {
        let event_ms = if index % 3 == 0 { 17 } else { 10 };
        placement.paces_mut().record(TimeMs(0), *key, &turn(event_ms));
    }
    placement
}

// A third of the endpoints takes 1.7 times as long. A choice by load alone gave them a third of the
// turns; one by the time to completion alone let turns queue at the fast ones while slots of the
// slow ones were free.
#[test]
fn slow_endpoints_get_fewer_turns_and_no_turn_waits_while_one_has_a_free_slot() {
    let ((slow_least, slow_most), (fast_least, _)) = loads_after(16 * 6);
    assert!(slow_least >= 2 && slow_most < fast_least, "{slow_least} {slow_most} {fast_least}");
    assert_eq!(loads_after(24 * 6), ((6, 6), (6, 6)));
}

/// The least and most turns at a slow endpoint and at a fast one after some turns were sent.
fn loads_after(turns: usize) -> ((u32, u32), (u32, u32)) {
    let mut directory = endpoints(24);
    let mut placement = measured(&directory, EndpointChoice::All, 1);
    for _ in 0..turns {
        let key = placement.choose(TimeMs(1), &directory, &request(&[]), |_| true);
        directory.record_sent(TimeMs(1), key.expect("an endpoint is usable"));
    }
    let load = |key: &ReplicaKey| directory.get(*key).expect("known").load(TimeMs(0));
    let loads: Vec<_> = keys(&directory).iter().map(load).collect();
    let range = |is_slow: bool| {
        let of_kind = loads.iter().enumerate().filter(move |(at, _)| (at % 3 == 0) == is_slow);
        let least = of_kind.clone().map(|(_, load)| *load).min();
        (least.unwrap_or(0), of_kind.map(|(_, load)| *load).max().unwrap_or(0))
    };
    (range(true), range(false))
}

/// The highest load of an endpoint when 24 entries send requests for a round before they hear of
/// each other's requests; the mean is 3.
fn busiest_load(choice: EndpointChoice) -> u32 {
    let mut entries: Vec<_> = (0..24).map(|seed| (endpoints(24), seed)).collect();
    let mut placements: Vec<_> =
        entries.iter().map(|(directory, seed)| measured(directory, choice, *seed)).collect();
    let keys = keys(&entries[0].0);
    for _round in 0..3 {
        for ((directory, _), placement) in entries.iter_mut().zip(&mut placements) {
            let key = placement.choose(TimeMs(1), directory, &request(&[]), |_| true);
            directory.record_sent(TimeMs(1), key.expect("an endpoint is usable"));
        }
        for key in &keys {
            let own = |directory: &Directory| directory.get(*key).expect("known").in_flight;
            let total: u32 = entries.iter().map(|(directory, _)| own(directory)).sum();
            for (directory, _) in &mut entries {
                directory.set_others_in_flight(TimeMs(0), *key, total - own(directory));
            }
        }
    }
    let loads = keys.iter().map(|key| entries[0].0.get(*key).expect("known").load(TimeMs(0)));
    loads.max().unwrap_or(0)
}

// Entries that compare all endpoints by the same outdated counts all choose the same one.
#[test]
fn entries_with_outdated_counts_do_not_all_choose_the_same_endpoint() {
    let (all, sampled) = (busiest_load(EndpointChoice::All), busiest_load(EndpointChoice::Sampled));
    assert!(sampled <= 10 && all >= 2 * sampled, "{all} {sampled}");
}

// A prompt that is cached at one of many endpoints would rarely be found among a few drawn ones.
#[test]
fn the_endpoint_with_the_prompt_is_among_the_drawn_ones() {
    let directory = endpoints(24);
    let mut placement = measured(&directory, EndpointChoice::Sampled, 1);
    let holder = keys(&directory)[4];
    placement.record_prefill(TimeMs(0), holder, &[(1, 9_000)]);
    for _ in 0..20 {
        let chosen = placement.choose(TimeMs(1), &directory, &request(&[(1, 9_000)]), |_| true);
        assert_eq!(chosen, Some(holder));
    }
}

/// What a placement chooses for requests of growing load, and how many choices it counts as learned.
fn choices(mut placement: Placement) -> (Vec<Option<ReplicaKey>>, u64) {
    let mut directory = endpoints(7);
    let keys = keys(&directory);
    placement.record_prefill(TimeMs(0), keys[3], &[(1, 3_000)]);
    let requests = (0..80).map(|index| request(&[(1, 2_000 + 25 * (index % 9))]));
    let chosen = requests.map(|request| {
        let connected = |address: std::net::SocketAddr| address.port().is_multiple_of(2);
        let key = placement.choose(TimeMs(1), &directory, &request, connected);
        key.into_iter().for_each(|key| directory.record_sent(TimeMs(1), key));
        key
    });
    (chosen.collect(), placement.learned_choices())
}

// Services that are not under load control keep the constants, whatever was measured of others; and
// load control alone must not change a choice before anything is measured.
#[test]
fn choices_are_as_before_without_load_control_and_without_samples() {
    let open = |mechanisms| {
        let placement = Placement::open(topology_in("d"), mechanisms);
        placement.with_endpoint_choice(EndpointChoice::All, 1)
    };
    let (before, learned) = choices(open(Mechanisms::default()));
    assert_eq!(learned, 0);
    let mut other = measured(&endpoints(24), EndpointChoice::Sampled, 1);
    other.set_load_controlled(&HashSet::from(["other".into()]));
    assert_eq!(choices(other), (before.clone(), 0));
    let without = Mechanisms::without("learned-pace").expect("a known mechanism");
    let mut disabled = open(without);
    disabled.set_load_controlled(&HashSet::from(["s".into()]));
    assert_eq!(choices(disabled), (before.clone(), 0));
    let mut unmeasured = open(Mechanisms::default());
    unmeasured.set_load_controlled(&HashSet::from(["s".into()]));
    assert_eq!(choices(unmeasured), (before, 80));
}

// The drawn endpoints were still mostly those of the own failure domain with `--without nearness`.
#[test]
fn all_failure_domains_are_drawn_from_without_locality() {
    let ids: Vec<_> = (0..24).map(|port| format!("r{port:02}")).collect();
    let domain = |port: u16| if port < 12 { "d" } else { "e" };
    let announced = |port| Announcement {
        failure_domain: domain(port).into(),
        ..announcement("s", port, 5, 9)
    };
    let endpoints = ids.iter().zip(0..).map(|(id, port)| (id.as_str(), announced(port)));
    let directory = directory_with(&endpoints.collect::<Vec<_>>());
    let without = Mechanisms::without("nearness").expect("a known mechanism");
    let mut placement = Placement::open(topology_in("d"), without);
    placement.set_load_controlled(&HashSet::from(["s".into()]));
    let mut choose = || {
        let key = placement.choose(TimeMs(1), &directory, &request(&[]), |_| true);
        directory.get(key.expect("an endpoint is usable")).expect("known")
    };
    let far = (0..200).filter(|_| &*choose().announcement.failure_domain == "e").count();
    assert!((70..=130).contains(&far), "{far} of 200 in the other half of the endpoints");
}
