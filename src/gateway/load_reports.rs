//! What the entries tell each other of the endpoints of services under load control.

use super::endpoint_polls::{apply_report, is_polled};
use super::message::{EndpointRow, LoadReport, PaceRow, rotating_slice};
use super::observe::record_pace_change;
use super::state::Gateway;
use crate::load::{MAX_REPORT_AGE_MS, PaceTotals};
use crate::prelude::*;
use crate::replicas::ReplicaKey;

/// The most rows of each kind in one report.
const MAX_REPORT_ROWS: usize = 8;

/// The rows of this round, or nothing if no service is under load control.
pub(super) fn compose_load_report(gateway: &Gateway, round: usize) -> Option<LoadReport> {
    let report =
        LoadReport { paces: pace_rows(gateway, round), endpoints: endpoint_rows(gateway, round) };
    (!report.is_empty()).then_some(report)
}

/// Applies what the process instance `instance` of another entry has reported.
pub(super) fn apply_load_report(gateway: &Gateway, instance: u64, report: &LoadReport) {
    report.paces.iter().for_each(|row| apply_pace_row(gateway, instance, row));
    apply_endpoint_rows(gateway, &report.endpoints);
}

/// What this process has measured of the endpoints whose turn it is in this round.
fn pace_rows(gateway: &Gateway, round: usize) -> Vec<PaceRow> {
    let (placement, directory) = (gateway.placement.borrow(), gateway.directory.borrow());
    let totals = placement.paces().totals_to_share(round, MAX_REPORT_ROWS).into_iter();
    let rows = totals.filter_map(|(key, totals)| {
        let endpoint = directory.get(key)?.hash;
        Some(PaceRow { endpoint, events: totals.events, events_ms: totals.events_ms })
    });
    rows.collect()
}

/// Applies what another entry has measured of one endpoint, unless this entry does not know the
/// endpoint or its service is not under load control here.
fn apply_pace_row(gateway: &Gateway, instance: u64, row: &PaceRow) {
    let directory = gateway.directory.borrow();
    let found = directory.find_by_hash(row.endpoint);
    let Some((key, replica)) = found.and_then(|key| Some((key, directory.get(key)?))) else {
        return;
    };
    let service = &replica.announcement.service;
    let mut placement = gateway.placement.borrow_mut();
    if !placement.learns_paces(service) {
        return;
    }
    let totals = PaceTotals { events: row.events, events_ms: row.events_ms };
    let change = placement.paces_mut().merge(gateway.now(), key, service, instance, totals);
    if let Some(change) = change {
        record_pace_change(&replica.id, service, change);
    }
}

/// The fresh reports that this entry has received from endpoints of services under load control.
fn endpoint_rows(gateway: &Gateway, round: usize) -> Vec<EndpointRow> {
    let now = gateway.now();
    let directory = gateway.directory.borrow();
    let polls = gateway.endpoint_polls.borrow();
    let is_polled_endpoint = |endpoint: u64| {
        let key = directory.find_by_hash(endpoint);
        key.is_some_and(|key| is_polled_replica(gateway, key))
    };
    let fresh = polls.fresh_reports(now).filter(|(endpoint, _)| is_polled_endpoint(*endpoint));
    let rows = fresh.map(|(endpoint, own)| EndpointRow {
        endpoint,
        age_ms: now.since(own.taken_at),
        report: own.report,
    });
    rotating_slice(rows.collect(), round, MAX_REPORT_ROWS)
}

/// Records the reports that another entry has received from endpoints.
fn apply_endpoint_rows(gateway: &Gateway, rows: &[EndpointRow]) {
    let now = gateway.now();
    for row in rows.iter().filter(|row| row.age_ms <= MAX_REPORT_AGE_MS) {
        let key = gateway.directory.borrow().find_by_hash(row.endpoint);
        // The clock of this process starts at zero: it can't express earlier times.
        let taken_at = now.0.checked_sub(row.age_ms).map(TimeMs);
        if let (Some(key), Some(taken_at)) = (key, taken_at)
            && is_polled_replica(gateway, key)
        {
            apply_report(gateway, now, key, taken_at, row.report);
        }
    }
}

fn is_polled_replica(gateway: &Gateway, key: ReplicaKey) -> bool {
    let directory = gateway.directory.borrow();
    directory.get(key).is_some_and(|replica| is_polled(gateway, &replica.announcement.service))
}
