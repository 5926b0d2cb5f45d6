//! What a gateway counts, for each workspace and class of requests.

use metrics::{counter, gauge, histogram};

use super::Refusal;
use super::state::Gateway;
use crate::catalog::{Repeat, Route};

/// The workspace of requests that were refused before their key was known.
const NO_WORKSPACE: &str = "-";

/// The class of a route's requests.
pub(super) fn class(route: &Route) -> &'static str {
    match route.repeat {
        Repeat::Idempotent => "idempotent",
        Repeat::AtMostOnce => "at_most_once",
        Repeat::Stream | Repeat::ResumableStream if route.keeps_history => "turn",
        Repeat::Stream | Repeat::ResumableStream => "stream",
    }
}

/// What is known of a request when it is answered.
#[derive(Debug, Default)]
pub(super) struct Seen {
    /// Its workspace.
    pub(super) workspace: Option<std::sync::Arc<str>>,
    /// Its class.
    pub(super) class: Option<&'static str>,
    /// The time to its first byte that its operator aims at.
    pub(super) target_ms: u64,
}

/// Counts an answered request, with the time to the head of its answer.
pub(super) fn answered(seen: &Seen, status: u16, took_ms: u64) {
    count(seen, format!("{status}"));
    let workspace = seen.workspace.as_deref().unwrap_or(NO_WORKSPACE).to_string();
    let class = seen.class.unwrap_or("unknown");
    histogram!("trefoil_answer_ms", "workspace" => workspace, "class" => class)
        .record(took_ms as f64);
}

/// Counts a refused request.
pub(super) fn refused(seen: &Seen, refusal: Refusal) {
    count(seen, refusal.name().to_string());
}

fn count(seen: &Seen, outcome: String) {
    let workspace = seen.workspace.as_deref().unwrap_or(NO_WORKSPACE).to_string();
    let class = seen.class.unwrap_or("unknown");
    counter!("trefoil_requests_total", "workspace" => workspace, "class" => class,
        "outcome" => outcome)
    .increment(1);
}

/// Sets the gauges that tell the state of the process.
pub(super) fn state(gateway: &Gateway) {
    gauge!("trefoil_requests_running").set(f64::from(gateway.running.get()));
    gauge!("trefoil_shards_owned").set(gateway.shards.all_own().len() as f64);
    gauge!("trefoil_ready").set(f64::from(u8::from(gateway.is_ready())));
    gauge!("trefoil_connections_opened").set(gateway.connections.opened() as f64);
    if let Some(age_ms) = gateway.in_force.age_ms() {
        gauge!("trefoil_config_age_ms").set(age_ms as f64);
    }
    if let Some(catalog) = gateway.in_force.catalog() {
        gauge!("trefoil_config_version").set(catalog.version() as f64);
    }
}
