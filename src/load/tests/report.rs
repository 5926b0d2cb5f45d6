use test_case::test_case;

use crate::load::{Correction, EndpointReport, ReportOutcome, ReportedLoad};
use crate::prelude::*;

const SLOTS: u32 = 6;

/// What the slots and the queue of an endpoint hold.
const CAPACITY: u32 = 24;

fn report(running: u32) -> EndpointReport {
    EndpointReport {
        running: Some(running),
        waiting: Some(0),
        used_tokens: Some(600),
        total_tokens: Some(1_000),
        born: Some(1),
    }
}

/// An endpoint at which a constant number of requests is counted, with one report each 500 ms.
fn reported(count: u32, reports: &[EndpointReport]) -> ReportedLoad {
    let mut load = ReportedLoad::open(TimeMs(0), count);
    for (taken_at, report) in (500..).step_by(500).zip(reports) {
        load.record(TimeMs(taken_at + 5), TimeMs(taken_at), *report);
        load.settle(TimeMs(taken_at + 400));
    }
    load
}

/// The corrected number of requests after these reports, none of which this entry has sent.
fn corrected(count: u32, reports: &[EndpointReport]) -> u32 {
    reported(count, reports).corrected(TimeMs(reports.len() as u64 * 500 + 400), count, 0, SLOTS)
}

// The requests of an entry that died stay counted, and its endpoints look full while they idle. A
// single report may have been taken at an unlucky moment, so it lowers nothing.
#[test]
fn two_reports_below_the_count_lower_it_by_the_smaller_difference() {
    assert_eq!(corrected(5, &[report(1)]), 5);
    assert_eq!(corrected(5, &[report(2), report(1)]), 2);
    assert_eq!(corrected(5, &[report(1), report(5)]), 5);
    assert_eq!(corrected(5, &[report(1), report(5), report(1)]), 5);
    let load = reported(5, &[report(2), report(2)]);
    assert_eq!(load.corrected(TimeMs(1_400), 2, 0, SLOTS), 2, "the count was right meanwhile");
}

// The endpoints of an entry that can't be heard would look idle.
#[test]
fn a_report_above_the_count_raises_it() {
    assert_eq!(corrected(2, &[report(6)]), 6);
    assert_eq!(corrected(2, &[report(6), report(2)]), 2);
}

// Requests come and go faster than reports. Each difference that a change of the count explains
// would otherwise be taken for a dead entry or an unheard one.
#[test]
fn a_changing_count_explains_reports_within_its_range() {
    let mut load = ReportedLoad::open(TimeMs(0), 0);
    for step in 1..200 {
        let now = TimeMs(step * 20);
        load.record_count(now, (step % 10) as u32);
        if step % 25 == 0 {
            load.record(now, now, report((step * 7 % 10) as u32));
        }
        assert_eq!(load.settle(now), None);
    }
}

// Another entry's gossip arrives after the report that shows its requests. Counted at once, they
// would be counted twice when the gossip arrives.
#[test]
fn requests_that_are_gossiped_after_the_report_are_not_counted_twice() {
    let mut load = ReportedLoad::open(TimeMs(0), 1);
    load.record(TimeMs(505), TimeMs(500), report(4));
    load.record_count(TimeMs(700), 4);
    assert_eq!(load.settle(TimeMs(900)), None);
    assert_eq!(load.corrected(TimeMs(900), 4, 0, SLOTS), 4);
}

// An endpoint that stops reporting must not keep an old correction.
#[test]
fn a_stale_report_counts_for_nothing() {
    let load = reported(5, &[report(1), report(1)]);
    assert_eq!(load.corrected(TimeMs(2_500), 5, 0, SLOTS), 1);
    assert_eq!(load.corrected(TimeMs(2_501), 5, 0, SLOTS), 5);
    assert!(load.fresh(TimeMs(2_501)).is_none());
}

// A faulty endpoint that reports itself idle would attract all requests, and one that reports an
// absurd load must not make sums overflow.
#[test_case(0, 9, 4, 4; "idle: the requests that this entry has sent remain")]
#[test_case(0, 100, 0, 100 - CAPACITY; "idle: lowered by what the endpoint holds")]
#[test_case(1_000_000, 3, 1, CAPACITY; "overloaded: raised to what the endpoint holds")]
#[test_case(u32::MAX, 30, 0, 30; "overloaded: more is counted than it holds")]
fn a_false_report_is_bounded(running: u32, count: u32, own: u32, expected: u32) {
    let lie = EndpointReport { waiting: Some(running), ..report(running) };
    let load = reported(count, &[lie, lie, lie]);
    assert_eq!(load.corrected(TimeMs(1_900), count, own, SLOTS), expected);
}

// What an endpoint has reported before a restart says nothing about its new process.
#[test]
fn a_restart_discards_what_was_known() {
    let mut load = reported(5, &[report(1), report(1)]);
    let restarted = EndpointReport { born: Some(2), used_tokens: Some(0), ..report(1) };
    let outcome = load.record(TimeMs(1_410), TimeMs(1_405), restarted);
    assert_eq!(outcome, ReportOutcome::Restarted);
    assert_eq!(load.corrected(TimeMs(1_410), 5, 0, SLOTS), 5);
    assert_eq!(load.fresh(TimeMs(1_410)).and_then(EndpointReport::free_tokens), Some(1_000));
    assert_eq!(load.settle(TimeMs(1_800)), Some(Correction::None), "one report lowers nothing");
}

// Parted entries poll the same endpoint. Two reports of one moment must not count as two in a row.
#[test]
fn reports_of_two_pollers_do_no_harm() {
    let mut load = ReportedLoad::open(TimeMs(0), 5);
    assert_eq!(load.record(TimeMs(505), TimeMs(500), report(1)), ReportOutcome::Recorded);
    assert_eq!(load.record(TimeMs(560), TimeMs(550), report(1)), ReportOutcome::Ignored);
    assert_eq!(load.settle(TimeMs(900)), None);
    assert_eq!(load.record(TimeMs(1_005), TimeMs(1_000), report(5)), ReportOutcome::Recorded);
    assert_eq!(load.settle(TimeMs(1_400)), None);
}

// A report without some of its fields must not be taken for an idle endpoint.
#[test]
fn missing_numbers_correct_nothing() {
    let partial = EndpointReport { waiting: None, total_tokens: None, ..report(0) };
    assert_eq!(corrected(5, &[partial, partial]), 5);
    assert_eq!(EndpointReport { used_tokens: Some(2_000), ..report(0) }.free_tokens(), Some(0));
}
