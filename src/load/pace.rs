//! The pace of each endpoint, learned from completed turns.

use std::collections::{BTreeMap, HashMap};

use super::endpoint_pace::EndpointPace;
use super::service_pace::ServicePace;
use crate::prelude::*;
use crate::replicas::ReplicaKey;

/// A cost in milliseconds, for the comparison of endpoints.
pub type CostMs = f64;

/// What decides how long an endpoint takes for a turn, known when it is sent.
#[value]
#[derive(Copy)]
pub struct Work {
    /// Prompt tokens that the endpoint has to prefill.
    pub uncached_tokens: u64,
    /// The requests at the endpoint, without this one.
    pub load: u32,
    /// The requests that it processes concurrently.
    pub slots: u32,
}

impl Work {
    /// Whether the endpoint can begin with the turn at once.
    pub fn has_free_slot(&self) -> bool {
        self.load < self.slots
    }

    /// The fraction of slots taken by other requests.
    pub fn load_fraction(&self) -> f64 {
        (f64::from(self.load) / f64::from(self.slots.max(1))).min(1.0)
    }
}

/// The measured times of a completed turn, taken when bytes arrive from the endpoint.
#[value]
pub struct TurnSample {
    /// The service that processed it.
    pub service: Arc<str>,
    /// What was known of it when it was sent.
    pub work: Work,
    /// Time from sending to the first event.
    pub first_event_ms: u64,
    /// All its events.
    pub events: u64,
    /// The events that arrived after the first ones, over `stream_ms`.
    pub timed_events: u64,
    /// Time from the first to the last event.
    pub stream_ms: u64,
}

/// What one process has measured of one endpoint since its start.
#[value]
#[derive(Copy, Default)]
pub struct PaceTotals {
    /// Events whose time was measured.
    pub events: u64,
    /// The time that they took together.
    pub events_ms: u64,
}

/// A change of an endpoint's pace that is worth a log line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceChange {
    /// The pace reported last.
    pub from: f64,
    /// The pace now.
    pub to: f64,
}

/// The times that are common to the endpoints of a service, for metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceTimes {
    /// The service.
    pub service: Arc<str>,
    /// Prefill time per prompt token.
    pub prefill_ms_per_token: f64,
    /// Time per event at the mean load.
    pub event_ms: f64,
}

/// The measured times of services and the paces of their endpoints.
///
/// The pace of an endpoint is its time per event, relative to the mean of its service's endpoints.
/// Before any sample all endpoints have pace 1.
#[derive(Debug, Default)]
pub struct PaceTable {
    services: HashMap<Arc<str>, ServicePace>,
    endpoints: BTreeMap<ReplicaKey, EndpointPace>,
}

impl PaceTable {
    /// Adds a turn that an endpoint has completed.
    pub fn record(
        &mut self,
        now: TimeMs,
        key: ReplicaKey,
        sample: &TurnSample,
    ) -> Option<PaceChange> {
        let mean_pace = self.mean_pace(now, &sample.service);
        let (service, endpoint) = self.entry(now, key, &sample.service);
        // Without the division by the mean, the paces and the service's times could drift apart:
        // only their product is measured.
        let pace = endpoint.pace(now, service) / mean_pace;
        service.record(sample, pace);
        endpoint.own.events += sample.timed_events;
        endpoint.own.events_ms += sample.stream_ms;
        let (events, events_ms) = (sample.timed_events as f64, sample.stream_ms as f64);
        endpoint.add(now, events, events_ms, sample.work.load_fraction(), service);
        to_change(endpoint.take_change(now, service))
    }

    /// Adds what the process instance `instance` of another entry has measured of an endpoint of
    /// `service`.
    pub fn merge(
        &mut self,
        now: TimeMs,
        key: ReplicaKey,
        service: &Arc<str>,
        instance: u64,
        totals: PaceTotals,
    ) -> Option<PaceChange> {
        let (service, endpoint) = self.entry(now, key, service);
        endpoint.merge(now, instance, totals, service);
        to_change(endpoint.take_change(now, service))
    }

    /// The `rows` endpoints whose turn it is in this round, with what this process has measured of
    /// them.
    pub fn totals_to_share(&self, round: usize, rows: usize) -> Vec<(ReplicaKey, PaceTotals)> {
        let measured = self.endpoints.iter().filter(|(_, endpoint)| endpoint.own.events > 0);
        let measured: Vec<_> = measured.map(|(key, endpoint)| (*key, endpoint.own)).collect();
        let start = (round * rows).checked_rem(measured.len()).unwrap_or(0);
        measured.iter().cycle().skip(start).take(rows.min(measured.len())).copied().collect()
    }

    /// The cost of a turn at an endpoint of `service`, weighted by its pace.
    pub fn estimate(
        &self,
        now: TimeMs,
        key: ReplicaKey,
        service: &Arc<str>,
        work: &Work,
    ) -> CostMs {
        match self.services.get(service) {
            Some(times) => self.pace(now, key) * times.turn_cost_ms(work),
            None => ServicePace::default().turn_cost_ms(work),
        }
    }

    /// The pace of an endpoint; 1 if nothing is known of it.
    pub fn pace(&self, now: TimeMs, key: ReplicaKey) -> f64 {
        let endpoint = self.endpoints.get(&key);
        let pace = endpoint
            .and_then(|endpoint| Some(endpoint.pace(now, self.services.get(&endpoint.service)?)));
        pace.unwrap_or(1.0)
    }

    /// The lowest and the highest pace of the service's endpoints of which something is known; `None`
    /// if there are none.
    pub fn pace_range(&self, now: TimeMs, service: &Arc<str>) -> Option<(f64, f64)> {
        let times = self.services.get(service)?;
        let endpoints = self.endpoints.values().filter(|endpoint| endpoint.service == *service);
        let paces = endpoints.map(|endpoint| endpoint.pace(now, times));
        paces.fold(None, |range, pace| {
            let (lowest, highest) = range.unwrap_or((pace, pace));
            Some((pace.min(lowest), pace.max(highest)))
        })
    }

    /// Drops the endpoints for which `is_known` is false, and the services for which
    /// `is_load_controlled` is false together with their endpoints.
    pub fn retain(
        &mut self,
        is_known: impl Fn(ReplicaKey) -> bool,
        is_load_controlled: impl Fn(&Arc<str>) -> bool,
    ) {
        self.services.retain(|service, _| is_load_controlled(service));
        self.endpoints
            .retain(|key, endpoint| is_known(*key) && is_load_controlled(&endpoint.service));
    }

    /// The times of all services with samples.
    pub fn service_times(&self) -> impl Iterator<Item = ServiceTimes> {
        self.services.iter().map(|(service, times)| ServiceTimes {
            service: service.clone(),
            prefill_ms_per_token: times.prefill_ms_per_token(),
            event_ms: times.mean_event_ms(),
        })
    }

    fn entry(
        &mut self,
        now: TimeMs,
        key: ReplicaKey,
        service: &Arc<str>,
    ) -> (&mut ServicePace, &mut EndpointPace) {
        let endpoint = self.endpoints.entry(key);
        let endpoint = endpoint.or_insert_with(|| EndpointPace::open(now, service.clone()));
        (self.services.entry(service.clone()).or_default(), endpoint)
    }

    /// The mean pace of the service's endpoints of which something is known.
    fn mean_pace(&self, now: TimeMs, service: &Arc<str>) -> f64 {
        let Some(times) = self.services.get(service) else {
            return 1.0;
        };
        let endpoints = self.endpoints.values().filter(|endpoint| endpoint.service == *service);
        let paces: Vec<_> = endpoints.map(|endpoint| endpoint.pace(now, times)).collect();
        match paces.is_empty() {
            true => 1.0,
            false => paces.iter().sum::<f64>() / paces.len() as f64,
        }
    }
}

fn to_change(change: Option<(f64, f64)>) -> Option<PaceChange> {
    change.map(|(from, to)| PaceChange { from, to })
}
