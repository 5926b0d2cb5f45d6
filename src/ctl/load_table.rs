use std::net::SocketAddr;

use crate::ctl::load::GatewayAnswer;
use crate::gateway::{GatewayStatus, ServiceStatus};

/// What a cell without a value shows.
const EMPTY: &str = "-";

/// The columns that describe a gateway.
const GATEWAY_COLUMNS: [&str; 5] = ["address", "vm", "state", "store", "held_bytes"];

/// The columns that describe a service at a gateway.
const SERVICE_COLUMNS: [&str; 11] = [
    "service",
    "slots",
    "in_flight",
    "limit",
    "share",
    "hears_half",
    "waiting",
    "by_rank",
    "prefill_ms/1000",
    "event_ms",
    "pace",
];

/// The lines of a table with a row for each service at each gateway that answered. A gateway without
/// services under load control has one row.
pub(super) fn table(answers: &[GatewayAnswer]) -> Vec<String> {
    let header = GATEWAY_COLUMNS.iter().chain(&SERVICE_COLUMNS);
    let mut rows = vec![header.map(|column| column.to_string()).collect()];
    for answer in answers {
        if let Ok(status) = &answer.status {
            rows.extend(gateway_rows(answer.address, status));
        }
    }
    align(&rows)
}

fn gateway_rows(address: SocketAddr, status: &GatewayStatus) -> Vec<Vec<String>> {
    let gateway = gateway_cells(address, status);
    let services: Vec<_> = match status.services.is_empty() {
        true => vec![SERVICE_COLUMNS.map(|_| EMPTY.to_string())],
        false => status.services.iter().map(service_cells).collect(),
    };
    services.into_iter().map(|service| gateway.iter().cloned().chain(service).collect()).collect()
}

fn gateway_cells(address: SocketAddr, status: &GatewayStatus) -> [String; GATEWAY_COLUMNS.len()] {
    [
        address.to_string(),
        status.vm.to_string(),
        if status.draining { "draining" } else { "serving" }.to_string(),
        if status.store_reachable { "reachable" } else { "unreachable" }.to_string(),
        or_empty(status.held_bytes, |bytes| bytes.to_string()),
    ]
}

fn service_cells(service: &ServiceStatus) -> [String; SERVICE_COLUMNS.len()] {
    let learned = service.learned.as_ref();
    let by_rank = service.waiting_by_rank.iter();
    let by_rank: Vec<_> = by_rank.map(|(rank, waiting)| format!("{rank}:{waiting}")).collect();
    [
        service.service.to_string(),
        service.slots.to_string(),
        service.in_flight.to_string(),
        or_empty(service.limit_slots, |slots| format!("{slots:.1}")),
        format!("{:.3}", service.share),
        if service.hears_half { "yes" } else { "no" }.to_string(),
        service.waiting.to_string(),
        or_empty((!by_rank.is_empty()).then_some(by_rank), |ranks| ranks.join(",")),
        or_empty(learned, |learned| format!("{:.2}", learned.prefill_ms_per_1000_tokens)),
        or_empty(learned, |learned| format!("{:.2}", learned.event_ms)),
        or_empty(learned, |learned| {
            format!("{:.2}-{:.2}", learned.fastest_pace, learned.slowest_pace)
        }),
    ]
}

fn or_empty<T>(value: Option<T>, text: impl FnOnce(T) -> String) -> String {
    value.map_or_else(|| EMPTY.to_string(), text)
}

/// Pads the cells of each column to the same width.
fn align(rows: &[Vec<String>]) -> Vec<String> {
    let columns = GATEWAY_COLUMNS.len() + SERVICE_COLUMNS.len();
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_string()
    };
    rows.iter().map(line).collect()
}
