use proptest::prelude::*;
use test_case::test_case;

use super::*;
use crate::catalog::Regions;
use crate::mechanisms::Mechanisms;
use crate::prelude::*;

fn announced(service: &str, port: u16, born_ms: u64, sequence: u64) -> Announced {
    Announced {
        service: service.into(),
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: "d".into(),
        slots: 2,
        leaving: false,
        cold_left_ms: 0,
        born_ms,
        sequence,
    }
}

fn at(domain: &str) -> Places {
    let regions = [("d", "r1"), ("e", "r2")].map(|(domain, region)| (domain.into(), region.into()));
    Places { domain: domain.into(), region: "r1".into(), regions: regions.into() }
}

fn with(entries: &[(&str, Announced)]) -> Directory {
    let mut directory = Directory::default();
    for (id, entry) in entries {
        directory.apply(TimeMs(0), Change::Announced((*id).into(), entry.clone()));
    }
    directory
}

fn want(parts: &[(u64, u64)]) -> Want {
    Want {
        service: "s".into(),
        parts: parts.to_vec(),
        object: None,
        regions: Regions::default(),
        not: vec![],
        accepts_ejected: false,
    }
}

#[test]
fn an_older_announcement_changes_nothing() {
    let mut directory = with(&[("r", announced("s", 1, 5, 9))]);
    let old = announced("s", 1, 5, 8);
    assert!(!directory.apply(TimeMs(1), Change::Announced("r".into(), old)));
    let earlier_life = announced("s", 1, 4, 100);
    assert!(!directory.apply(TimeMs(1), Change::Announced("r".into(), earlier_life)));
}

#[test]
fn a_later_life_under_the_same_name_starts_afresh() {
    let mut directory = with(&[("r", announced("s", 1, 5, 9))]);
    let before = directory.find("r").expect("known");
    directory.sent(TimeMs(0), before);
    assert!(directory.apply(TimeMs(1), Change::Announced("r".into(), announced("s", 1, 6, 0))));
    let after = directory.find("r").expect("known");
    assert_ne!(before, after);
    assert_eq!(directory.get(after).expect("known").in_flight, 0);
}

#[test]
fn a_removed_endpoint_is_left_at_once_while_the_list_is_sound() {
    let mut directory = with(&[("r", announced("s", 1, 5, 9))]);
    directory.apply(TimeMs(10), Change::Removed("r".into()));
    assert!(directory.find("r").is_none());
}

// All endpoints vanish from the list when it returns after an outage, since they could not renew
// their entries meanwhile. Callers would be refused for two seconds though every endpoint runs.
#[test]
fn entries_that_lapsed_in_an_outage_stay_until_they_had_time_to_return() {
    let mut directory = with(&[("r", announced("s", 1, 5, 9)), ("q", announced("s", 2, 5, 9))]);
    directory.list_is_back(TimeMs(1_000));
    directory.apply(TimeMs(1_100), Change::Removed("r".into()));
    directory.apply(TimeMs(1_100), Change::Removed("q".into()));
    directory.apply(TimeMs(2_000), Change::Announced("r".into(), announced("s", 1, 5, 10)));
    directory.tidy(TimeMs(3_200));
    assert_eq!(directory.of_service("s").count(), 2);
    directory.tidy(TimeMs(3_400));
    assert!(directory.find("r").is_some());
    assert!(directory.find("q").is_none());
}

#[test]
fn idle_endpoints_share_requests() {
    let directory = with(&[("r", announced("s", 1, 5, 9)), ("q", announced("s", 2, 5, 9))]);
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
    let mut directory = with(&[("r", announced("s", 1, 5, 9)), ("q", announced("s", 2, 5, 9))]);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let holder = directory.find("q").expect("known");
    placement.read(TimeMs(0), holder, &[(1, 2_000)]);
    for _ in 0..4 {
        assert_eq!(
            placement.choose(TimeMs(1), &directory, &want(&[(1, 2_000)]), |_| true),
            Some(holder)
        );
    }
    (0..6).for_each(|_| directory.sent(TimeMs(1), holder));
    assert_ne!(
        placement.choose(TimeMs(1), &directory, &want(&[(1, 2_000)]), |_| true),
        Some(holder)
    );
}

// An endpoint resets four of ten requests while its health check is good. Thirty entries send to it,
// each so seldom that none sees three failures in a row; its callers lost two of five calls for as
// long as that lasted.
#[test]
fn an_endpoint_that_fails_in_part_is_left_out_by_what_all_entries_see() {
    let mut health = Health::default();
    (0..30).for_each(|life| {
        let failures = u32::from(life % 5 < 2);
        health.told(TimeMs(100 + life), life, Answers { failures, served: 1 - failures });
    });
    assert!(health.is_ejected(TimeMs(200)));
    assert!(!health.is_ejected(TimeMs(1_300)));
}

#[test]
fn an_endpoint_that_loses_few_answers_stays_in_use() {
    let mut health = Health::default();
    for request in 0..1_000_u64 {
        let now = TimeMs(request * 50);
        match request % 20 {
            7 => health.failed(now),
            _ => health.served(now),
        }
        assert!(!health.is_ejected(now), "{request}");
    }
}

#[test]
fn a_failed_trial_leaves_an_endpoint_out_for_longer() {
    let mut health = Health::default();
    (0..3).for_each(|_| health.failed(TimeMs(0)));
    assert!(health.is_ejected(TimeMs(499)));
    assert!(!health.is_ejected(TimeMs(1_000)));
    health.failed(TimeMs(1_000));
    assert!(health.is_ejected(TimeMs(1_999)));
    assert!(!health.is_ejected(TimeMs(3_000)));
}

// An endpoint fails all requests for five seconds and is sound then. Whenever it had been left out
// for a while, each of thirty entries took it for idle and sent it requests until each had seen
// failures of its own: callers lost ten times as many requests as it takes to find out.
#[test]
fn a_trial_costs_one_request_and_not_one_of_every_entry() {
    const NEWS_MS: u64 = 25;
    let mut entries: Vec<_> = (0..30).map(|seed| Health::open(seed * 0x1234_5678_9abc)).collect();
    let mut counts = [Answers::default(); 30];
    let mut news: Vec<(u64, usize, Answers)> = Vec::new();
    let (mut lost, mut served) = (0, 0);
    for now in 0..10_000 {
        for (_, from, answers) in news.extract_if(.., |(at, _, _)| *at <= now) {
            let others = entries.iter_mut().enumerate().filter(|(to, _)| *to != from);
            others.for_each(|(_, health)| health.told(TimeMs(now), from as u64, answers));
        }
        for (at, health) in entries.iter_mut().enumerate() {
            let asks = (now + at as u64 * 7).is_multiple_of(100);
            if !asks || health.is_ejected(TimeMs(now)) {
                continue;
            }
            if now < 5_000 {
                lost += 1;
                health.failed(TimeMs(now));
                counts[at].failures += 1;
                news.push((now + NEWS_MS, at, counts[at]));
            } else {
                served += 1;
                health.served(TimeMs(now));
            }
        }
    }
    assert!(lost <= 60, "{lost}");
    assert!(served > 300, "{served}");
}

// The network loses the answers of all endpoints for a while. Leaving all of them out would turn a
// part of the requests lost into all of them refused.
#[test]
fn most_endpoints_of_a_service_are_never_left_out() {
    let entries = ["a", "b", "c", "d"].map(|id| (id, announced("s", 1, 5, 9)));
    let mut directory = with(&entries);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let keys: Vec<_> = directory.all().map(|(key, _)| key).collect();
    for key in keys {
        (0..3).for_each(|_| directory.failed(TimeMs(0), key));
    }
    assert!(placement.choose(TimeMs(100), &directory, &want(&[]), |_| true).is_some());
}

#[test]
fn an_endpoint_that_fails_in_a_row_is_left_out_and_tried_again() {
    let mut directory = with(&[("r", announced("s", 1, 5, 9))]);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let key = directory.find("r").expect("known");
    (0..3).for_each(|_| directory.failed(TimeMs(0), key));
    assert_eq!(placement.choose(TimeMs(100), &directory, &want(&[]), |_| true), None);
    assert_eq!(placement.choose(TimeMs(1_000), &directory, &want(&[]), |_| true), Some(key));
    directory.sent(TimeMs(1_000), key);
    assert_eq!(placement.choose(TimeMs(1_000), &directory, &want(&[]), |_| true), None);
}

// One entry can read the list again after an outage; half a second later an endpoint leaves and is
// removed. Requests kept reaching it for longer than it may be used, since its removal was taken
// for a lapse and its grace counted from there instead of from the end of the outage.
#[test]
fn the_grace_of_a_lapse_ends_with_that_of_its_outage() {
    let mut directory = with(&[("r", announced("s", 1, 5, 9))]);
    directory.list_is_back(TimeMs(1_000));
    directory.apply(TimeMs(1_900), Change::Removed("r".into()));
    directory.tidy(TimeMs(3_300));
    assert!(directory.find("r").is_none());
}

// Many entries send to many endpoints, each to each so seldom that its connection is closed before the
// next request. Most requests then open a connection, which endpoints accept a limited number of.
#[test]
fn a_kept_connection_decides_between_endpoints_that_are_alike() {
    let directory = with(&[("r", announced("s", 1, 5, 9)), ("q", announced("s", 2, 5, 9))]);
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
    let entries = ["a", "b", "c"].map(|id| (id, announced("s", 1, 5, 9)));
    let mut directory = with(&entries);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let keys: Vec<_> = directory.all().map(|(key, _)| key).collect();
    for key in &keys[..2] {
        (0..3).for_each(|_| directory.failed(TimeMs(0), *key));
    }
    let once = Want { not: vec![keys[2]], ..want(&[]) };
    assert_eq!(placement.choose(TimeMs(100), &directory, &once, |_| true), None);
    let again = Want { accepts_ejected: true, ..once };
    let chosen = placement.choose(TimeMs(100), &directory, &again, |_| true);
    assert!(chosen.is_some_and(|key| key != keys[2]));
}

// A session's last part grows with each turn. Where its earlier turns were read only the news is unread,
// and anywhere else that holds what all sessions share only the session is.
#[test]
fn a_session_that_has_grown_returns_to_where_it_was_read() {
    let directory = with(&[("r", announced("s", 1, 5, 9)), ("q", announced("s", 2, 5, 9))]);
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

fn in_domain(port: u16, domain: &str) -> Announced {
    Announced { failure_domain: domain.into(), ..announced("s", port, 5, 9) }
}

fn domains(names: &[&str]) -> std::collections::BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

// An operator evacuates a failure domain, and endpoints there stay listed and idle: they were the first
// choice of every entry.
#[test]
fn nothing_is_placed_in_an_evacuated_domain() {
    let mut directory = with(&[("r", in_domain(1, "d")), ("q", in_domain(2, "e"))]);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let (evacuated, other) = (directory.find("r").unwrap(), directory.find("q").unwrap());
    placement.read(TimeMs(0), evacuated, &[(1, 9_000)]);
    (0..20).for_each(|_| directory.sent(TimeMs(0), other));
    directory.evacuate(TimeMs(0), 7, domains(&["d"]));
    let again = Want { accepts_ejected: true, ..want(&[(1, 9_000)]) };
    assert_eq!(placement.choose(TimeMs(0), &directory, &again, |_| true), Some(other));
    directory.evacuate(TimeMs(0), 8, domains(&["d", "e"]));
    assert_eq!(placement.choose(TimeMs(0), &directory, &again, |_| true), None);
    directory.evacuate(TimeMs(0), 9, domains(&[]));
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

/// What each of `entries` entries may send to one endpoint within a window.
fn shares(entries: u64, rule: &ColdRule) -> Vec<u32> {
    let name = |number: u64| Digest::of(&[&number.to_be_bytes()]).prefix();
    let all: Vec<u64> = (0..entries).map(name).collect();
    let share = |own: &u64| {
        let mut share = ColdShare::open(*own);
        share.know(2_000, all.iter().copied().filter(|other| other != own).collect());
        share.of(name(1 << 40), rule)
    };
    all.iter().map(share).collect()
}

fn bears(per_s: f64) -> ColdRule {
    ColdRule { start_ms: 3_000, per_s, bound_per_s: per_s * 1.5 + 5.0 }
}

// Endpoints come back cold, and all entries find them idle at the same moment: together they sent more
// than such an endpoint bears, and it crashed.
#[test_case(1; "one entry")]
#[test_case(3; "few")]
#[test_case(26; "tens")]
#[test_case(300; "hundreds, each with less than one request a second")]
fn a_cold_endpoint_gets_no_more_than_it_bears(entries: u64) {
    for per_s in [0.5, 1.0, 3.0, 12.0, 33.0, 400.0] {
        let rule = bears(per_s);
        let sum = f64::from(shares(entries, &rule).iter().sum::<u32>());
        assert!(sum >= 1.0, "{per_s}: it is never used again");
        assert!(2.0 * sum <= rule.bound_per_s, "{per_s}: {sum}, with two views at once");
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
    let cold = Announced { cold_left_ms: 3_000, ..announced("s", 1, 5, 9) };
    let mut directory = with(&[("r", cold), ("q", announced("s", 2, 5, 9))]);
    directory.declare_cold_rules([("s".into(), bears(33.0))].into());
    directory.know_entries(TimeMs(2_000), vec![]);
    let (cold, warm) = (directory.find("r"), directory.find("q"));
    (directory, cold.expect("known"), warm.expect("known"))
}

// A cold endpoint is the emptiest, so that each next request would go there.
#[test]
fn a_cold_endpoint_is_passed_over_once_its_share_is_used() {
    let (mut directory, cold, warm) = cold_and_warm();
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    (0..40).for_each(|_| directory.sent(TimeMs(0), warm));
    let mut sent = 0;
    while placement.choose(TimeMs(2_000), &directory, &want(&[]), |_| true) == Some(cold) {
        directory.sent(TimeMs(2_000), cold);
        directory.over(cold);
        sent += 1;
    }
    assert_eq!(sent, 5);
    assert!(!directory.may_send(TimeMs(2_900), cold));
    assert!(directory.may_send(TimeMs(3_200), cold), "the window has gone by; it is warm as well");
}

// Endpoints of a domain that was evacuated have lost their caches, and those that broke off may have started
// anew; either says so up to seconds later.
#[test]
fn an_endpoint_that_may_be_cold_counts_as_cold() {
    let (mut directory, _, warm) = cold_and_warm();
    directory.evacuate(TimeMs(10_000), 1, domains(&["d"]));
    directory.evacuate(TimeMs(15_000), 2, domains(&[]));
    assert!(directory.get(warm).expect("known").is_cold(TimeMs(17_900)));
    assert!(!directory.get(warm).expect("known").is_cold(TimeMs(18_100)));
    directory.may_be_cold(TimeMs(20_000), warm);
    assert!(directory.get(warm).expect("known").is_cold(TimeMs(22_900)));
}

// An endpoint starts anew under its name, and what reached it since then is counted from nothing.
#[test]
fn what_a_new_life_got_before_it_was_known_counts() {
    let (mut directory, _, warm) = cold_and_warm();
    (0..9).for_each(|_| directory.sent(TimeMs(9_900), warm));
    let anew = Announced { cold_left_ms: 3_000, ..announced("s", 2, 6, 0) };
    directory.apply(TimeMs(10_000), Change::Announced("q".into(), anew));
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
        per_s in 0.1_f64..500.0,
    ) {
        let rule = bears(per_s);
        let mut share = ColdShare::open(own);
        share.know(2_000, known);
        prop_assert!(share.of(endpoint, &rule) <= (per_s / 5.0).max(1.0) as u32);
    }
}

// Programs act on objects, and an endpoint that has lately handled one is faster at the next. Spread by load
// alone, hardly any request about an object came to where it was known.
#[test]
fn requests_about_an_object_share_an_endpoint_until_it_is_full() {
    let entries: Vec<_> =
        (1..20).map(|port| (format!("r{port}"), announced("s", port, 5, 9))).collect();
    let entries: Vec<_> = entries.iter().map(|(id, entry)| (id.as_str(), entry.clone())).collect();
    let mut directory = with(&entries);
    let about = |object| Want { object: Some(object), ..want(&[]) };
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
    (0..9).for_each(|_| directory.sent(TimeMs(0), home));
    assert_ne!(chosen("d", &directory, 7), Some(home));
}

// A route's requests may run in one region only, and the only idle endpoint is in another.
#[test]
fn a_request_stays_in_its_regions() {
    let mut directory = with(&[("r", in_domain(1, "d")), ("q", in_domain(2, "e"))]);
    let mut placement = Placement::open(at("d"), Mechanisms::default());
    let (home, abroad) = (directory.find("r").expect("known"), directory.find("q"));
    (0..20).for_each(|_| directory.sent(TimeMs(0), home));
    let only = |names: &[&str]| Want {
        regions: Regions::only(names.iter().copied()),
        accepts_ejected: true,
        ..want(&[])
    };
    let mut chosen = |want: &Want| placement.choose(TimeMs(0), &directory, want, |_| true);
    assert_eq!(chosen(&only(&[])), abroad);
    assert_eq!(chosen(&only(&["r1"])), Some(home));
    assert_eq!(chosen(&only(&["r3"])), None);
}
