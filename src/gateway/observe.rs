//! Log lines and metrics of a gateway, by workspace and class of request.

use metrics::{counter, gauge, histogram};

use super::state::Gateway;
use super::{Refusal, RequestHead};
use crate::catalog::{RepeatPolicy, Route};
use crate::load::{Correction, PaceChange, PollOutcome};
use crate::prelude::*;
use crate::replicas::Replica;
use crate::telemetry::set_caller_metrics;

/// Metrics label of requests without a workspace: those refused before their key was known, and
/// those that need no key.
const NO_WORKSPACE: &str = "-";

/// The class of a route's requests, as it appears in logs and metrics.
pub(super) fn class(route: &Route) -> &'static str {
    match route.repeat {
        RepeatPolicy::Idempotent => "idempotent",
        RepeatPolicy::AtMostOnce => "at_most_once",
        RepeatPolicy::Stream | RepeatPolicy::ResumableStream if route.keeps_history => "turn",
        RepeatPolicy::Stream | RepeatPolicy::ResumableStream => "stream",
    }
}

/// What logs and metrics say of a request, filled in while it is served.
#[derive(Debug, Default)]
pub(super) struct RequestSummary {
    /// Its workspace, once its key is known.
    pub(super) workspace: Option<Arc<str>>,
    /// Its class, once its route is known.
    pub(super) class: Option<&'static str>,
    /// The route's target for the time to the first byte.
    pub(super) target_ms: u64,
}

/// Logs and counts an answered request; `took_ms` is the time from its arrival to the head of its
/// response.
pub(super) fn record_answered(
    head: &RequestHead,
    summary: &RequestSummary,
    status: u16,
    took_ms: u64,
) {
    let (program, workspace) = (or_empty(&head.program), or_empty(&summary.workspace));
    let (class, target_ms) = (summary.class.unwrap_or_default(), summary.target_ms);
    log::info!(request:% = head.request, status, took_ms, target_ms, class, program, workspace;
        "answered");
    count_request(summary, format!("{status}"));
    let workspace = summary.workspace.as_deref().unwrap_or(NO_WORKSPACE).to_string();
    let class = summary.class.unwrap_or("unknown");
    histogram!("trefoil_answer_ms", "workspace" => workspace, "class" => class)
        .record(took_ms as f64);
}

/// Records that a request which did not run gives its share of the rate back, `age_ms` after it was
/// admitted.
pub(super) fn record_rate_refund(age_ms: u64) {
    histogram!("trefoil_rate_refund_age_ms").record(age_ms as f64);
}

/// Logs and counts a refused request.
pub(super) fn record_refused(
    gateway: &Gateway,
    head: &RequestHead,
    summary: &RequestSummary,
    refusal: Refusal,
    took_ms: u64,
) {
    let config_age_ms = gateway.active_config.age_ms().unwrap_or(u64::MAX);
    let (program, previous) = (or_empty(&head.program), or_empty(&head.previous));
    let (workspace, class) = (or_empty(&summary.workspace), summary.class.unwrap_or_default());
    let (name, wait_ms) = (refusal.name(), head.wait_ms.unwrap_or(u64::MAX));
    let domain = &gateway.settings.topology.domain;
    log::info!(request:% = head.request, refusal = name, took_ms, wait_ms, config_age_ms, class,
        program, previous, workspace, domain:%; "refused");
    count_request(summary, name.to_string());
}

fn or_empty(id: &Option<Arc<str>>) -> &str {
    id.as_deref().unwrap_or_default()
}

fn count_request(summary: &RequestSummary, outcome: String) {
    let workspace = summary.workspace.as_deref().unwrap_or(NO_WORKSPACE).to_string();
    let class = summary.class.unwrap_or("unknown");
    counter!("trefoil_requests_total", "workspace" => workspace, "class" => class,
        "outcome" => outcome)
    .increment(1);
}

/// Registers the counters of polls and corrections, so that they are shown with the value zero while
/// no service is under load control.
pub(super) fn register_load_reports() {
    for outcome in PollOutcome::ALL {
        counter!("trefoil_endpoint_polls_total", "outcome" => outcome.name()).increment(0);
    }
    for correction in [Correction::None, Correction::Raised(0), Correction::Lowered(0)] {
        counter!("trefoil_load_corrections_total", "direction" => correction.name()).increment(0);
    }
}

/// Counts a poll of an endpoint's load.
pub(super) fn count_poll(outcome: PollOutcome) {
    counter!("trefoil_endpoint_polls_total", "outcome" => outcome.name()).increment(1);
}

/// Counts a changed correction of the number of requests in flight at an endpoint.
pub(super) fn record_correction(replica: &Replica, correction: Correction) {
    counter!("trefoil_load_corrections_total", "direction" => correction.name()).increment(1);
    let by = match correction {
        Correction::None => 0,
        Correction::Raised(by) | Correction::Lowered(by) => by,
    };
    log::debug!(endpoint:% = replica.id, correction = correction.name(), by;
        "number of requests in flight corrected by the endpoint's report");
}

/// Sets the gauges of the process's state.
pub(super) fn update_gauges(gateway: &Gateway) {
    gauge!("trefoil_requests_running").set(gateway.requests.count() as f64);
    gauge!("trefoil_shards_owned").set(gateway.shards.all_owned().len() as f64);
    gauge!("trefoil_hub").set(f64::from(u8::from(gateway.is_hub())));
    gauge!("trefoil_leaves_attached").set(gateway.leaves.count() as f64);
    gauge!("trefoil_ready").set(f64::from(u8::from(gateway.is_ready())));
    let evacuated = gateway.directory.borrow().evacuations().domains().len();
    let cold = gateway.directory.borrow().all().filter(|(_, r)| r.is_cold(gateway.now())).count();
    gauge!("trefoil_endpoints_cold").set(cold as f64);
    let now = gateway.now();
    let directory = gateway.directory.borrow();
    let reporting = directory.all().filter(|(_, r)| r.fresh_report(now).is_some()).count();
    gauge!("trefoil_endpoint_reports_fresh").set(reporting as f64);
    let left_out = gateway.placement.borrow().left_out_for_memory();
    counter!("trefoil_endpoints_left_out_for_memory_total").absolute(left_out);
    gauge!("trefoil_domains_evacuated").set(evacuated as f64);
    set_reader_metrics(gateway);
    gauge!("trefoil_connections_opened").set(gateway.connections.opened() as f64);
    update_pace_metrics(gateway);
    update_load_metrics(gateway);
    if let Some(version) = gateway.endpoint_list.version() {
        let age_ms = gateway.now().since(version.read_at);
        gauge!("trefoil_endpoint_list_age_ms").set(age_ms as f64);
    }
    if let Some(age_ms) = gateway.active_config.age_ms() {
        gauge!("trefoil_config_age_ms").set(age_ms as f64);
    }
    if let Some(catalog) = gateway.active_config.catalog() {
        gauge!("trefoil_config_version").set(catalog.version() as f64);
    }
}

/// Sets the metrics of the load of each service under load control, as this entry knows it.
pub(super) fn update_load_metrics(gateway: &Gateway) {
    for state in gateway.service_states() {
        let (load, service) = (state.load, state.service.to_string());
        gauge!("trefoil_service_slots", "service" => service.clone()).set(f64::from(load.slots));
        gauge!("trefoil_service_in_flight", "service" => service.clone())
            .set(f64::from(load.in_flight));
        gauge!("trefoil_programs_waiting", "service" => service).set(state.total_waiting() as f64);
    }
}

/// Sets the metrics of what was measured of services under load control.
fn update_pace_metrics(gateway: &Gateway) {
    let placement = gateway.placement.borrow();
    counter!("trefoil_learned_choices_total").absolute(placement.learned_choices());
    for times in placement.paces().service_times() {
        let service = times.service.to_string();
        gauge!("trefoil_prefill_ms_per_1000_tokens", "service" => service.clone())
            .set(times.prefill_ms_per_token * 1_000.0);
        gauge!("trefoil_event_ms", "service" => service).set(times.event_ms);
    }
}

/// Counts a completed turn whose times were measured.
pub(super) fn count_pace_sample(service: &str) {
    counter!("trefoil_pace_samples_total", "service" => service.to_string()).increment(1);
}

/// Logs that the pace of an endpoint has changed considerably.
pub(super) fn record_pace_change(endpoint: &str, service: &str, change: PaceChange) {
    let (from, to) = (change.from, change.to);
    log::debug!(endpoint, service, from, to; "pace of an endpoint changed");
}

/// Sets the metrics of what is held for callers, and of the limits on slow readers; all are zero while these are switched off.
fn set_reader_metrics(gateway: &Gateway) {
    set_caller_metrics(&gateway.caller_memory.usage());
    let (held_bytes, disconnected, refused) = gateway
        .reader_limits
        .as_ref()
        .map_or((0, 0, 0), |limits| (limits.held_bytes(), limits.disconnected(), limits.refused()));
    gauge!("trefoil_held_bytes").set(held_bytes as f64);
    counter!("trefoil_slow_readers_disconnected_total").absolute(disconnected);
    counter!("trefoil_held_bytes_refusals_total").absolute(refused);
}
