use std::collections::HashMap;

use crate::load::{PausedServices, is_due, is_poller};
use crate::prelude::*;

fn hashes(prefix: &str, count: u32) -> Vec<u64> {
    (0..count).map(|n| Digest::of(&[format!("{prefix}{n}").as_bytes()]).prefix()).collect()
}

/// The entries that poll an endpoint, if all of them hear each other.
fn pollers(entries: &[u64], endpoint: u64) -> Vec<u64> {
    let polls = |own: &&u64| {
        let others: Vec<_> = entries.iter().copied().filter(|entry| entry != *own).collect();
        is_poller(**own, &others, endpoint)
    };
    entries.iter().filter(polls).copied().collect()
}

// With several pollers, requests multiply with the number of entries; with none, a dead entry's
// requests stay counted. A lost entry must not move the polls of the others.
#[test]
fn each_endpoint_has_one_poller_among_the_entries_that_hear_each_other() {
    let entries = hashes("entry", 10);
    let mut polls = HashMap::new();
    for endpoint in hashes("endpoint", 100) {
        let [before, after] = [&entries[..], &entries[1..]].map(|e| pollers(e, endpoint));
        assert_eq!((before.len(), after.len()), (1, 1));
        assert!(before == after || before == [entries[0]]);
        assert!(is_poller(entries[0], &[], endpoint), "it hears no other entry");
        *polls.entry(before[0]).or_insert(0) += 1;
    }
    assert!(polls.values().all(|count| (2..25).contains(count)), "uneven shares: {polls:?}");
}

// Polls of all endpoints at one moment would delay the requests of that moment.
#[test]
fn polls_come_once_per_interval_and_spread_over_it() {
    let endpoints = hashes("endpoint", 60);
    let due_in = |step: u64| {
        let (last, now) = (TimeMs(step * 190), TimeMs((step + 1) * 190));
        endpoints.iter().filter(move |endpoint| is_due(last, now, **endpoint)).count()
    };
    assert_eq!((0..50).map(due_in).sum::<usize>(), 60 * 19);
    assert!((0..50).all(|step| due_in(step) < 40), "too many endpoints are polled at once");
}

// A pause that outlasts its reason would leave a service without reports because of one answer.
#[test]
fn a_pause_ends_after_its_time_or_with_a_fresh_report() {
    let mut paused = PausedServices::default();
    paused.pause(TimeMs(1_000), "s".into());
    assert!(paused.is_paused(TimeMs(30_000), "s", false));
    assert!(!paused.is_paused(TimeMs(30_000), "s", true));
    assert!(!paused.is_paused(TimeMs(31_000), "s", false));
}
