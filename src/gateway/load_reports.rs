//! What the entries tell each other of the endpoints of services under load control.

use super::message::{LoadReport, PaceRow};
use super::observe::record_pace_change;
use super::state::Gateway;
use crate::load::PaceTotals;

/// The most rows of each kind in one report.
const MAX_REPORT_ROWS: usize = 8;

/// The rows of this round, or nothing if no service is under load control.
pub(super) fn compose_load_report(gateway: &Gateway, round: usize) -> Option<LoadReport> {
    let report = LoadReport { paces: pace_rows(gateway, round), ..LoadReport::default() };
    (!report.is_empty()).then_some(report)
}

/// Applies what the process instance `instance` of another entry has reported.
pub(super) fn apply_load_report(gateway: &Gateway, instance: u64, report: &LoadReport) {
    report.paces.iter().for_each(|row| apply_pace_row(gateway, instance, row));
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
