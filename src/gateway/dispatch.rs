use std::rc::Rc;

use super::Refusal;
use super::attempt::{Answer, Attempted, EndpointRequest, attempt};
use super::state::Gateway;
use crate::replicas::{PlacementRequest, ReplicaKey};

/// Attempts that never reached an endpoint, or were refused by it, beyond those a route allows to
/// run. They cost the endpoints nothing, but a request must not wander over all of them.
const UNRUN_ATTEMPTS_MOST: u32 = 3;

/// When to return if no endpoint takes the request now: about two mean running times.
const NO_ENDPOINT_RETRY_MS: u64 = 150;

/// When to return if every endpoint is in an evacuated failure domain: an operator takes that back after
/// seconds at best.
const EVACUATED_RETRY_MS: u64 = 1_000;

/// Attempts of one request, one after the other.
pub(super) struct Dispatch {
    gateway: Rc<Gateway>,
    job: Rc<EndpointRequest>,
    excluded: Vec<ReplicaKey>,
    may_have_run: u32,
    not_run: u32,
    /// The last event that the caller has; the next endpoint goes on behind it.
    last_event: Option<String>,
}

impl Dispatch {
    pub(super) fn open(gateway: &Rc<Gateway>, job: &Rc<EndpointRequest>) -> Dispatch {
        let (gateway, job) = (gateway.clone(), job.clone());
        Dispatch { gateway, job, excluded: vec![], may_have_run: 0, not_run: 0, last_event: None }
    }

    /// The next endpoint goes on behind the event named `last_event`.
    pub(super) fn go_on_behind(&mut self, last_event: Option<String>) {
        self.last_event = last_event;
    }

    /// The next endpoint's answer. What may run once only is tried again only while it is certain
    /// that it has not run.
    pub(super) async fn answer(&mut self) -> Result<Answer, Refusal> {
        while let Some(endpoint) = self.next() {
            match attempt(&self.gateway, &self.job, endpoint, self.last_event.as_deref()).await {
                Attempted::Answered(answer) => {
                    self.may_have_run += 1;
                    self.excluded.push(endpoint);
                    return Ok(*answer);
                }
                Attempted::NotRun => {
                    self.not_run += 1;
                    self.excluded.push(endpoint);
                }
                Attempted::Withheld => self.excluded.push(endpoint),
                Attempted::NeverSent { stale_connection: true } => self.not_run += 1,
                Attempted::NeverSent { stale_connection: false } => {
                    self.not_run += 1;
                    self.excluded.push(endpoint);
                    self.gateway.record_endpoint_failure(endpoint);
                    self.gateway.assume_cold(endpoint);
                }
                Attempted::Silent => {
                    self.may_have_run += 1;
                    self.excluded.push(endpoint);
                }
                Attempted::Unknown => {
                    self.may_have_run += 1;
                    self.excluded.push(endpoint);
                    self.broke_off(endpoint).await;
                    if !self.job.order.repeat.may_run_again() {
                        return Err(Refusal::OutcomeUnknown);
                    }
                }
            }
        }
        Err(self.refusal())
    }

    /// Why no endpoint has served it.
    fn refusal(&self) -> Refusal {
        let directory = self.gateway.directory.borrow();
        let known = directory.of_service(&self.job.order.service);
        let (evacuated, open): (Vec<_>, Vec<_>) =
            known.partition(|(_, replica)| directory.is_evacuated(replica));
        log::info!(request:% = self.job.request, service:% = self.job.order.service,
            endpoints = open.len(), evacuated = evacuated.len(), not_run = self.not_run,
            may_have_run = self.may_have_run; "no endpoint served it");
        match self.may_have_run {
            0 if open.is_empty() && !evacuated.is_empty() => {
                Refusal::Unavailable { retry_after_ms: EVACUATED_RETRY_MS }
            }
            0 => Refusal::Unavailable { retry_after_ms: NO_ENDPOINT_RETRY_MS },
            _ => Refusal::OutcomeUnknown,
        }
    }

    /// Whether another endpoint may be tried after one that has run the request.
    pub(super) fn may_go_on(&self) -> bool {
        !self.is_spent() && self.job.order.repeat.may_run_again()
    }

    /// An endpoint broke the request off after it was sent.
    pub(super) async fn broke_off(&self, endpoint: ReplicaKey) {
        self.gateway.record_endpoint_failure(endpoint);
        self.gateway.check_for_crash(&self.job, endpoint).await;
    }

    fn is_spent(&self) -> bool {
        self.may_have_run >= self.job.order.attempts.max(1)
            || self.not_run >= UNRUN_ATTEMPTS_MOST
            || (self.may_have_run > 0 && !self.job.order.repeat.may_run_again())
            || self.gateway.is_poison_request(self.job.crash_key)
    }

    fn next(&self) -> Option<ReplicaKey> {
        if self.is_spent() {
            return None;
        }
        let want = PlacementRequest {
            service: self.job.order.service.clone(),
            parts: self.job.parts.clone(),
            object: self.job.order.object,
            regions: self.job.order.regions.clone(),
            excluded: self.excluded.clone(),
            accepts_ejected: self.job.order.repeat.may_run_again(),
        };
        self.gateway.choose(&want)
    }
}
