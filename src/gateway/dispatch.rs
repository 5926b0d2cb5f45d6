use std::rc::Rc;
use std::time::Duration;

use super::Refusal;
use super::attempt::{AttemptOutcome, EndpointRequest, EndpointResponse, attempt};
use super::state::Gateway;
use crate::mechanisms::Mechanism;
use crate::replicas::{PlacementRequest, ReplicaKey};

/// Maximum number of attempts that did not run, because they did not reach the endpoint or it
/// refused them. They do not count towards the route's attempts, as they cost the endpoints
/// nothing, but a request must not try all endpoints one after the other.
const MAX_UNRUN_ATTEMPTS: u32 = 3;

/// Pause before endpoints that have all refused a turn are tried again: several turns end at a full
/// endpoint within it.
const BUSY_PAUSE_MS: u64 = 50;

/// How often endpoints that have all refused a turn are tried again.
const MAX_BUSY_PAUSES: u32 = 4;

/// Retry delay if no endpoint accepts the request now: several running requests end within it.
const NO_ENDPOINT_RETRY_MS: u64 = 150;

/// Retry delay if all endpoints are in evacuated failure domains. An operator needs at least
/// seconds to end an evacuation.
const EVACUATED_RETRY_MS: u64 = 1_000;

/// The attempts of one request, made one after the other.
pub(super) struct Dispatch {
    gateway: Rc<Gateway>,
    endpoint_request: Rc<EndpointRequest>,
    /// Endpoints that are not tried (again).
    excluded: Vec<ReplicaKey>,
    /// Number of attempts that may have run.
    may_have_run: u32,
    /// Number of attempts that have certainly not run.
    not_run: u32,
    /// How often all endpoints tried have refused the request, and were tried again after a pause.
    busy_pauses: u32,
    /// ID of the last event that the caller has; the next endpoint resumes after it.
    last_event: Option<String>,
}

impl Dispatch {
    pub(super) fn open(gateway: &Rc<Gateway>, endpoint_request: &Rc<EndpointRequest>) -> Dispatch {
        let (gateway, endpoint_request) = (gateway.clone(), endpoint_request.clone());
        Dispatch {
            gateway,
            endpoint_request,
            excluded: vec![],
            may_have_run: 0,
            not_run: 0,
            busy_pauses: 0,
            last_event: None,
        }
    }

    /// Makes the next endpoint resume after the event with the ID `last_event`.
    pub(super) fn resume_after(&mut self, last_event: Option<String>) {
        self.last_event = last_event;
    }

    /// Tries endpoints until one responds. A request that must not run twice is tried again only
    /// while it has certainly not run.
    ///
    /// On a route under load control, a request that no endpoint accepts waits a short time for one
    /// that does: it belongs to a program that was admitted and would lose all of its work.
    pub(super) async fn next_response(&mut self) -> Result<EndpointResponse, Refusal> {
        loop {
            match self.try_endpoints().await {
                Err(Refusal::Unavailable { .. }) if self.may_wait_for_endpoint() => {
                    self.busy_pauses += 1;
                    tokio::time::sleep(Duration::from_millis(BUSY_PAUSE_MS)).await;
                    self.not_run = 0;
                    self.excluded.clear();
                }
                outcome => return outcome,
            }
        }
    }

    fn may_wait_for_endpoint(&self) -> bool {
        let left_ms = self.endpoint_request.deadline.since(self.gateway.now());
        self.endpoint_request.routing.is_load_controlled()
            && self.gateway.is_enabled(Mechanism::LoadAdmission)
            && self.may_have_run == 0
            && self.busy_pauses < MAX_BUSY_PAUSES
            && left_ms > 2 * BUSY_PAUSE_MS
            && !self.gateway.is_poison_request(self.endpoint_request.crash_key)
    }

    /// Tries endpoints until one responds, no more may be tried, or the deadline has passed.
    async fn try_endpoints(&mut self) -> Result<EndpointResponse, Refusal> {
        while let Some(endpoint) = self.next_endpoint() {
            match attempt(
                &self.gateway,
                &self.endpoint_request,
                endpoint,
                self.last_event.as_deref(),
            )
            .await
            {
                AttemptOutcome::Responded(response) => {
                    self.may_have_run += 1;
                    self.excluded.push(endpoint);
                    return Ok(*response);
                }
                AttemptOutcome::NotRun => {
                    self.not_run += 1;
                    self.excluded.push(endpoint);
                }
                AttemptOutcome::Withheld => self.excluded.push(endpoint),
                AttemptOutcome::Expired => break,
                AttemptOutcome::NeverSent { stale_connection: true } => self.not_run += 1,
                AttemptOutcome::NeverSent { stale_connection: false } => {
                    self.not_run += 1;
                    self.excluded.push(endpoint);
                    self.gateway.record_endpoint_failure(endpoint);
                    self.gateway.assume_cold(endpoint);
                }
                AttemptOutcome::Silent => {
                    self.may_have_run += 1;
                    self.excluded.push(endpoint);
                }
                AttemptOutcome::Unknown => {
                    self.may_have_run += 1;
                    self.excluded.push(endpoint);
                    self.record_broken_attempt(endpoint).await;
                    if !self.endpoint_request.routing.repeat.may_run_again() {
                        return Err(Refusal::OutcomeUnknown);
                    }
                }
            }
        }
        Err(self.refusal())
    }

    /// The refusal to return when no endpoint has served the request.
    fn refusal(&self) -> Refusal {
        let directory = self.gateway.directory.borrow();
        let known_endpoints = directory.of_service(&self.endpoint_request.routing.service);
        let (evacuated, available): (Vec<_>, Vec<_>) =
            known_endpoints.partition(|(_, replica)| directory.is_evacuated(replica));
        log::info!(request:% = self.endpoint_request.request,
            service:% = self.endpoint_request.routing.service, endpoints = available.len(),
            evacuated = evacuated.len(), not_run = self.not_run, may_have_run = self.may_have_run;
            "no endpoint served the request; request refused");
        match self.may_have_run {
            0 if available.is_empty() && !evacuated.is_empty() => {
                Refusal::Unavailable { retry_after_ms: EVACUATED_RETRY_MS }
            }
            0 => Refusal::Unavailable { retry_after_ms: NO_ENDPOINT_RETRY_MS },
            _ => Refusal::OutcomeUnknown,
        }
    }

    /// Whether another endpoint may be tried although the request may have run.
    pub(super) fn may_try_another(&self) -> bool {
        !self.is_exhausted() && self.endpoint_request.routing.repeat.may_run_again()
    }

    /// Counts an endpoint's failure after the request was sent, and checks whether the request has
    /// crashed the endpoint.
    pub(super) async fn record_broken_attempt(&self, endpoint: ReplicaKey) {
        self.gateway.record_endpoint_failure(endpoint);
        self.gateway.check_for_crash(&self.endpoint_request, endpoint).await;
    }

    fn is_exhausted(&self) -> bool {
        self.may_have_run >= self.endpoint_request.routing.attempts.max(1)
            || self.not_run >= MAX_UNRUN_ATTEMPTS
            || (self.may_have_run > 0 && !self.endpoint_request.routing.repeat.may_run_again())
            || self.gateway.is_poison_request(self.endpoint_request.crash_key)
    }

    fn next_endpoint(&self) -> Option<ReplicaKey> {
        if self.is_exhausted() {
            return None;
        }
        let placement_request = PlacementRequest {
            service: self.endpoint_request.routing.service.clone(),
            parts: self.endpoint_request.parts.clone(),
            object: self.endpoint_request.routing.object,
            regions: self.endpoint_request.routing.regions.clone(),
            excluded: self.excluded.clone(),
            accepts_ejected: self.endpoint_request.routing.repeat.may_run_again(),
        };
        self.gateway.choose(&placement_request)
    }
}
