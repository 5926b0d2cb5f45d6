use slotmap::SlotMap;

use super::turn;
use crate::load::{PaceTable, PaceTotals};
use crate::prelude::*;
use crate::replicas::ReplicaKey;

fn keys(count: usize) -> Vec<ReplicaKey> {
    let mut map = SlotMap::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

/// A table in which `keys` have each completed 30 turns at 10 ms per event.
fn table_with_even_paces(keys: &[ReplicaKey]) -> PaceTable {
    let mut table = PaceTable::default();
    let all = keys.iter().cycle().take(30 * keys.len());
    for key in all {
        table.record(TimeMs(0), *key, &turn(10));
    }
    table
}

// An endpoint that turns slow has to lose requests before most of its callers are late, and to get
// them back afterwards although it completes few turns meanwhile.
#[test]
fn a_spell_of_slowness_is_noticed_within_ten_turns_and_forgotten() {
    let keys = keys(6);
    let mut table = table_with_even_paces(&keys);
    assert!((table.pace(TimeMs(0), keys[0]) - 1.0).abs() < 0.05);
    let changes = (0..10).filter_map(|_| table.record(TimeMs(1), keys[0], &turn(25))).count();
    let slow = table.pace(TimeMs(1), keys[0]);
    assert!(changes > 0 && slow > 1.6, "{slow}");
    let later = table.pace(TimeMs(15_000), keys[0]);
    assert!(later < 1.1, "{later}");
}

// Only the product of a pace and the service's times is measured. If both drifted, a new endpoint,
// which starts at pace 1, would seem fast or slow.
#[test]
fn the_mean_pace_stays_at_one() {
    let keys = keys(6);
    let mut table = PaceTable::default();
    for index in 0..600 {
        let event_ms = if index % 6 < 2 { 17 } else { 10 };
        table.record(TimeMs(index as u64), keys[index % 6], &turn(event_ms));
    }
    let paces: Vec<_> = keys.iter().map(|key| table.pace(TimeMs(600), *key)).collect();
    let mean = paces.iter().sum::<f64>() / 6.0;
    assert!((mean - 1.0).abs() < 0.05 && paces[0] / paces[5] > 1.5, "{paces:?}");
}

// A lost message must not lose measurements, and a repeated or delayed one must not count twice.
#[test]
fn lost_repeated_and_delayed_totals_change_nothing() {
    let keys = keys(6);
    let pace_after = |turns: &[u64]| {
        let mut table = table_with_even_paces(&keys);
        for turns in turns {
            let totals = PaceTotals { events: 20 * turns, events_ms: 500 * turns };
            table.merge(TimeMs(1), keys[0], &"s".into(), 7, totals);
        }
        table.pace(TimeMs(1), keys[0])
    };
    assert!(pace_after(&[10, 13]) > 1.3);
    assert_eq!(pace_after(&[10, 13, 13, 12]), pace_after(&[10, 13]));
    assert!((pace_after(&[10, 11, 12, 13]) - pace_after(&[10, 13])).abs() < 0.001);
}

// A restarted entry counts from zero again. The difference to its earlier totals would be negative,
// and its new ones would be ignored until they exceed the earlier ones. The first totals of an
// instance may be hours old and must not outweigh recent turns.
#[test]
fn a_restarted_peer_is_heard_from_its_first_message_on() {
    let keys = keys(6);
    let mut table = table_with_even_paces(&keys);
    let mut merge = |instance, events, events_ms| {
        let totals = PaceTotals { events, events_ms };
        table.merge(TimeMs(1), keys[0], &"s".into(), instance, totals);
        table.pace(TimeMs(1), keys[0])
    };
    let first = merge(7, 2_000_000, 50_000_000);
    assert!((1.05..1.25).contains(&first), "{first}");
    let restarted = merge(8, 20, 500);
    assert!(restarted > first);
    assert!(merge(8, 60, 1_500) > restarted);
}

// An endpoint that starts again under its id is another process, perhaps on another machine.
#[test]
fn paces_of_removed_endpoints_and_services_are_dropped() {
    let keys = keys(2);
    let mut table = table_with_even_paces(&keys);
    for _ in 0..9 {
        table.record(TimeMs(1), keys[0], &turn(25));
    }
    table.retain(|key| key != keys[0], |_| true);
    assert_eq!(table.pace(TimeMs(1), keys[0]), 1.0);
    assert_eq!(table.totals_to_share(0, 8).len(), 1);
    table.retain(|_| true, |_| false);
    assert_eq!((table.totals_to_share(0, 8).len(), table.service_times().count()), (0, 0));
}

// Rows that are left out of a message must come in the next ones, or the endpoints listed last would
// never be heard of.
#[test]
fn all_endpoints_are_shared_in_turn() {
    let keys = keys(20);
    let table = table_with_even_paces(&keys);
    let mut shared: Vec<_> = (3..6).flat_map(|round| table.totals_to_share(round, 8)).collect();
    assert_eq!((shared.len(), shared[0].1), (24, PaceTotals { events: 600, events_ms: 6_000 }));
    shared.sort_by_key(|(key, _)| *key);
    shared.dedup_by_key(|(key, _)| *key);
    assert_eq!(shared.len(), 20);
}
