//! Polls the endpoints of services under load control for reports of their load.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::timeout;

use super::attempt::keep_alive_ms;
use super::observe;
use super::state::Gateway;
use crate::http::RequestBody;
use crate::load::{
    EndpointReport, MAX_REPORT_AGE_MS, PausedServices, PollOutcome, ReportOutcome, is_due,
    is_poller,
};
use crate::prelude::*;
use crate::replicas::ReplicaKey;

/// Pause between two checks for polls that are due.
const CHECK_INTERVAL_MS: u64 = 25;

/// Pause between two checks while no service is under load control.
const IDLE_CHECK_INTERVAL_MS: u64 = 500;

/// Polls that became due earlier are left out, so that a process that was paused does not poll all
/// endpoints at once.
const MAX_LATE_MS: u64 = 250;

/// Time limit of a poll, less than half of the interval between two.
const POLL_TIMEOUT_MS: u64 = 200;

/// The largest report that is read.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// A report that this entry has received from an endpoint itself.
#[value]
#[derive(Copy)]
pub(super) struct OwnReport {
    pub(super) report: EndpointReport,
    /// When the endpoint was asked for it.
    pub(super) taken_at: TimeMs,
}

/// What this entry remembers of its polls.
#[derive(Debug, Default)]
pub(super) struct EndpointPolls {
    paused: PausedServices,
    /// The newest reports, by the hash of the endpoint.
    reports: BTreeMap<u64, OwnReport>,
    /// How the last poll ended, by the hash of the endpoint.
    outcomes: HashMap<u64, PollOutcome>,
}

impl EndpointPolls {
    /// The fresh reports, by the hash of the endpoint.
    pub(super) fn fresh_reports(&self, now: TimeMs) -> impl Iterator<Item = (u64, &OwnReport)> {
        let is_fresh = move |own: &OwnReport| now.since(own.taken_at) <= MAX_REPORT_AGE_MS;
        let fresh = self.reports.iter().filter(move |(_, own)| is_fresh(own));
        fresh.map(|(endpoint, own)| (*endpoint, own))
    }

    fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.reports.retain(|endpoint, _| is_known(*endpoint));
        self.outcomes.retain(|endpoint, _| is_known(*endpoint));
    }
}

/// An endpoint to be polled.
#[value]
pub(super) struct PollTarget {
    key: ReplicaKey,
    pub(super) id: Arc<str>,
    hash: u64,
    service: Arc<str>,
    address: SocketAddr,
}

/// Polls the endpoints that this entry is responsible for, until the process ends.
pub(super) async fn poll_endpoints(gateway: Rc<Gateway>) {
    observe::register_load_reports();
    if !gateway.settings.polls_endpoints {
        return;
    }
    let mut last = gateway.now();
    loop {
        let pause_ms = match has_polled_service(&gateway) {
            true => CHECK_INTERVAL_MS,
            false => IDLE_CHECK_INTERVAL_MS,
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let now = gateway.now();
        let earliest = TimeMs(now.0.saturating_sub(MAX_LATE_MS));
        for target in due_polls(&gateway, last.max(earliest), now) {
            tokio::task::spawn_local(poll(gateway.clone(), target));
        }
        last = now;
        settle_reports(&gateway, now);
        forget_unknown(&gateway);
    }
}

/// Whether the endpoints of any service are polled.
fn has_polled_service(gateway: &Gateway) -> bool {
    let catalog = gateway.active_config.catalog();
    catalog.is_some_and(|catalog| !catalog.load_controlled().is_empty())
}

/// Whether the endpoints of a service are polled: if it is under load control.
pub(super) fn is_polled(gateway: &Gateway, service: &str) -> bool {
    let catalog = gateway.active_config.catalog();
    gateway.settings.polls_endpoints
        && catalog.is_some_and(|catalog| catalog.load_controlled().contains(service))
}

/// The endpoints whose poll by this entry is due after `last` and not later than `now`.
pub(super) fn due_polls(gateway: &Gateway, last: TimeMs, now: TimeMs) -> Vec<PollTarget> {
    let Some(catalog) = gateway.active_config.catalog().filter(|_| !gateway.draining.get()) else {
        return Vec::new();
    };
    let own = Digest::of(&[gateway.settings.name.as_bytes()]).prefix();
    let others = gateway.peers.borrow().recent_entry_hashes(now);
    let directory = gateway.directory.borrow();
    let polls = gateway.endpoint_polls.borrow();
    let is_paused = |service: &str| {
        polls.paused.is_paused(now, service, directory.has_fresh_report(now, service))
    };
    let services = catalog.load_controlled().iter().filter(|service| !is_paused(service));
    let endpoints = services.flat_map(|service| directory.of_service(service));
    let due = endpoints.filter(|(key, replica)| {
        is_due(last, now, replica.hash)
            && is_poller(own, &others, replica.hash)
            && directory.may_poll(now, *key)
    });
    let targets = due.map(|(key, replica)| PollTarget {
        key,
        id: replica.id.clone(),
        hash: replica.hash,
        service: replica.announcement.service.clone(),
        address: replica.announcement.address,
    });
    targets.collect()
}

async fn poll(gateway: Rc<Gateway>, target: PollTarget) {
    let taken_at = gateway.now();
    let limit = Duration::from_millis(POLL_TIMEOUT_MS);
    let polled = timeout(limit, request_report(&gateway, &target)).await;
    let polled = polled.unwrap_or(Err(PollOutcome::TimedOut));
    let outcome = polled.err().unwrap_or(PollOutcome::Reported);
    record_outcome(&gateway, &target, outcome);
    match polled {
        Ok(report) => record_report(&gateway, &target, OwnReport { report, taken_at }),
        Err(PollOutcome::NoReport) => pause_service(&gateway, &target),
        Err(_) => {}
    }
}

/// Asks an endpoint for a report.
async fn request_report(
    gateway: &Gateway,
    target: &PollTarget,
) -> Result<EndpointReport, PollOutcome> {
    let request = gateway.protocol.report_request(&target.id, target.address);
    let request = request.map(|()| RequestBody::default());
    let connection = gateway.connections.take(gateway.now(), target.address).await;
    let mut connection = connection.map_err(|_| PollOutcome::Unreachable)?;
    let response = connection.sender.send_request(request).await;
    let (head, body) = response.map_err(|_| PollOutcome::Unreachable)?.into_parts();
    let body = Limited::new(body, MAX_REPORT_BYTES).collect().await;
    let body = body.map_err(|fault| match fault.is::<LengthLimitError>() {
        true => PollOutcome::NoReport,
        false => PollOutcome::Unreachable,
    });
    let body = body?.to_bytes();
    if let Some(idle_ms) = keep_alive_ms(&head.headers) {
        connection.max_idle_ms = idle_ms;
    }
    gateway.connections.put_back(gateway.now(), connection);
    let report = gateway.protocol.parse_report(&body).filter(|_| head.status == StatusCode::OK);
    report.ok_or(PollOutcome::NoReport)
}

/// Counts a poll, and logs its outcome if it differs from that of the previous one. A failed poll
/// is no failure of the endpoint.
fn record_outcome(gateway: &Gateway, target: &PollTarget, outcome: PollOutcome) {
    observe::count_poll(outcome);
    let previous = gateway.endpoint_polls.borrow_mut().outcomes.insert(target.hash, outcome);
    let changed = previous.unwrap_or(PollOutcome::Reported) != outcome;
    if changed {
        log::debug!(endpoint:% = target.id, outcome = outcome.name();
            "poll of an endpoint's load ended differently from the previous one");
    }
}

fn record_report(gateway: &Gateway, target: &PollTarget, own: OwnReport) {
    let now = gateway.now();
    apply_report(gateway, now, target.key, own.taken_at, own.report);
    gateway.endpoint_polls.borrow_mut().reports.insert(target.hash, own);
}

/// Records a report, received from the endpoint or from another entry.
pub(super) fn apply_report(
    gateway: &Gateway,
    now: TimeMs,
    key: ReplicaKey,
    taken_at: TimeMs,
    report: EndpointReport,
) {
    let mut directory = gateway.directory.borrow_mut();
    let outcome = directory.record_report(now, key, taken_at, report);
    if outcome == ReportOutcome::Restarted
        && let Some(replica) = directory.get(key)
    {
        log::info!(endpoint:% = replica.id;
            "report of another process instance of an endpoint; earlier reports discarded");
    }
}

/// Stops polling a service that gives no reports, unless another of its endpoints does.
fn pause_service(gateway: &Gateway, target: &PollTarget) {
    let now = gateway.now();
    if !gateway.directory.borrow().has_fresh_report(now, &target.service) {
        log::info!(service:% = target.service, endpoint:% = target.id;
            "service without reports of its load; polls paused");
        gateway.endpoint_polls.borrow_mut().paused.pause(now, target.service.clone());
    }
}

/// Updates the corrections of the numbers of requests in flight.
fn settle_reports(gateway: &Gateway, now: TimeMs) {
    let mut directory = gateway.directory.borrow_mut();
    for (key, correction) in directory.settle_reports(now) {
        if let Some(replica) = directory.get(key) {
            observe::record_correction(replica, correction);
        }
    }
}

fn forget_unknown(gateway: &Gateway) {
    let directory = gateway.directory.borrow();
    let mut polls = gateway.endpoint_polls.borrow_mut();
    polls.retain(|endpoint| directory.find_by_hash(endpoint).is_some());
    polls.paused.retain(|service| is_polled(gateway, service));
}
