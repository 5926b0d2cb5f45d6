use test_case::test_case;

use crate::load::SlotLimit;
use crate::prelude::*;

const TARGET_MS: u64 = 200;

/// Measures the same time to the first event every 50 ms, and returns the limit at the end.
fn measure(limit: &mut SlotLimit, from_ms: u64, until_ms: u64, first_event_ms: u64) -> f64 {
    for now in (from_ms..until_ms).step_by(50) {
        limit.record(TimeMs(now), first_event_ms, TARGET_MS);
        limit.part(TimeMs(now));
    }
    limit.part(TimeMs(until_ms))
}

// Requests queued at slow endpoints until all programs were late, or were kept away long after.
#[test]
fn a_spell_of_slowness_lowers_the_limit_and_it_recovers() {
    let mut limit = SlotLimit::open(TimeMs(0));
    let slow = measure(&mut limit, 0, 600, 400);
    assert!(slow < 0.8, "{slow}");
    let recovered = measure(&mut limit, 600, 4_000, 40);
    assert!(recovered > 0.95, "{recovered}");
}

// A limit without bounds refuses everything, or admits without end.
#[test_case(100_000, 0.6; "slow")]
#[test_case(0, 1.2; "fast")]
fn the_limit_stays_within_its_bounds(first_event_ms: u64, expected: f64) {
    let mut limit = SlotLimit::open(TimeMs(0));
    assert_eq!(measure(&mut limit, 0, 10_000, first_event_ms), expected);
}

// The limit of a past surge held after a pause in which no program asked to start.
#[test_case(400; "too low")]
#[test_case(0; "too high")]
fn without_measurements_the_limit_moves_back_to_the_slots(first_event_ms: u64) {
    let mut limit = SlotLimit::open(TimeMs(0));
    let before = measure(&mut limit, 0, 5_000, first_event_ms);
    assert!((before - 1.0).abs() > 0.15, "{before}");
    assert_eq!(limit.part(TimeMs(60_000)), 1.0);
}

// Any time is too long for a route without a target, so its turns lowered the limit for all.
#[test]
fn turns_without_a_target_do_not_change_the_limit() {
    let mut limit = SlotLimit::open(TimeMs(0));
    for now in (0..2_000).step_by(50) {
        limit.record(TimeMs(now), 30, 0);
    }
    assert!(limit.part(TimeMs(2_000)) >= 1.0);
}
