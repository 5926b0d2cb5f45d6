//! Selects the endpoint for a request by estimated cost, weighing cache affinity against load.
//!
//! The turns of a program share a growing prompt, and engines slow down as they fill. On an idle
//! endpoint without the prompt in its cache, a request costs the prefill of the prompt; on a full
//! endpoint that has it cached, the request waits for about one running request.
//!
//! For services under load control, prefill times and the paces by which costs are weighted are
//! learned from completed turns; for all others, the cost is computed from constants.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use super::endpoint_choice::EndpointSampler;
use super::rendezvous::rendezvous_weight;
use super::{Directory, EndpointChoice, Replica, ReplicaKey, Topology};
use crate::catalog::Regions;
use crate::load::prior::{FULL_BATCH_SLOWDOWN_MS, PREFILL_TOKENS_PER_MS, WAIT_PER_REQUEST_MS};
use crate::load::{PaceTable, Work};
use crate::mechanisms::{Mechanism, Mechanisms};
use crate::prelude::*;

/// Round-trip time to another failure domain.
const CROSS_DOMAIN_RTT_MS: f64 = 4.0;

/// Cost of a new connection to an endpoint: a round trip, and one of the limited number of
/// connections that the endpoint accepts. Without it, entries that rarely send would open a
/// connection for most requests.
const NEW_CONNECTION_MS: f64 = 3.0;

/// Cost of sending a request to an endpoint other than its object's preferred one, which has
/// usually handled the object before.
const OBJECT_MISS_MS: f64 = 40.0;

/// Minimum number of endpoints for the rule that ejected endpoints remain in use if fewer than half
/// of a service's endpoints, rounded down, would be usable otherwise.
const MIN_ENDPOINTS_FOR_EJECTION_LIMIT: usize = 2;

/// Time after its last use for which a prompt part is assumed to stay in an endpoint's cache.
const CACHE_TTL_MS: u64 = 20_000;

/// Maximum number of cached prompt parts remembered. When exceeded, the older half is dropped.
const MAX_CACHED_PARTS: usize = 20_000;

/// The properties of a request that decide which endpoint it is sent to.
#[value]
pub struct PlacementRequest {
    /// The service that must process it.
    pub service: Arc<str>,
    /// The parts of its prompt in order: the hash and number of tokens of each.
    pub parts: Vec<(u64, u64)>,
    /// Hash of the object that it concerns, if endpoints are faster at objects they have recently
    /// handled.
    pub object: Option<u64>,
    /// The regions in which it may run.
    pub regions: Regions,
    /// Endpoints that must not be selected, because they have refused or failed the request.
    pub excluded: Vec<ReplicaKey>,
    /// Whether an ejected endpoint may be selected if there is no other: true for requests that may
    /// run again, which would be refused otherwise.
    pub accepts_ejected: bool,
}

impl PlacementRequest {
    /// Number of tokens of its prompt.
    fn prompt_tokens(&self) -> u64 {
        self.parts.iter().map(|(_, tokens)| *tokens).sum()
    }
}

/// A prompt part that an endpoint has cached.
#[key]
struct CachedPart {
    last_used_at: TimeMs,
    tokens: u64,
}

/// Selects endpoints, and keeps track of which prompt parts each of them has cached.
#[derive(Debug)]
pub struct Placement {
    topology: Topology,
    mechanisms: Mechanisms,
    cached: HashMap<(ReplicaKey, u64), CachedPart>,
    /// Advances with each choice, from another start at each entry.
    rotation: u64,
    /// The services under load control; always empty without the mechanism `LearnedPace`.
    load_controlled: HashSet<Arc<str>>,
    paces: PaceTable,
    endpoint_choice: EndpointChoice,
    sampler: EndpointSampler,
    learned_choices: u64,
    left_out_for_memory: u64,
}

impl Placement {
    /// Selects endpoints for an entry whose location is given by `topology`.
    pub fn open(topology: Topology, mechanisms: Mechanisms) -> Placement {
        Placement {
            topology,
            mechanisms,
            cached: HashMap::new(),
            rotation: 0,
            load_controlled: HashSet::new(),
            paces: PaceTable::default(),
            endpoint_choice: EndpointChoice::default(),
            sampler: EndpointSampler::open(0),
            learned_choices: 0,
            left_out_for_memory: 0,
        }
    }

    /// Sets which endpoints of services under load control are compared. Entries with different
    /// seeds draw different ones.
    pub fn with_endpoint_choice(self, endpoint_choice: EndpointChoice, seed: u64) -> Placement {
        Placement { endpoint_choice, sampler: EndpointSampler::open(seed), rotation: seed, ..self }
    }

    /// Sets the services under load control. What was measured of those that remain is kept. Has no
    /// effect if the mechanism `LearnedPace` is disabled.
    pub fn set_load_controlled(&mut self, services: &HashSet<Arc<str>>) {
        if self.mechanisms.is_enabled(Mechanism::LearnedPace) {
            self.load_controlled = services.clone();
            self.paces.retain(|_| true, |service| services.contains(service));
        }
    }

    /// Whether endpoints of the service are chosen by measured performance.
    pub fn learns_paces(&self, service: &str) -> bool {
        self.load_controlled.contains(service)
    }

    /// What was measured of services under load control.
    pub fn paces(&self) -> &PaceTable {
        &self.paces
    }

    /// What was measured of services under load control, to add measurements.
    pub fn paces_mut(&mut self) -> &mut PaceTable {
        &mut self.paces
    }

    /// Drops what was measured of endpoints that are no longer known.
    pub fn forget_removed(&mut self, directory: &Directory) {
        self.paces.retain(|key| directory.get(key).is_some(), |_| true);
    }

    /// The number of endpoints chosen by measured performance so far.
    pub fn learned_choices(&self) -> u64 {
        self.learned_choices
    }

    /// Returns the usable endpoint with the lowest estimated cost, if there is one. `connected`
    /// tells whether an open connection to an address is available.
    pub fn choose(
        &mut self,
        now: TimeMs,
        directory: &Directory,
        request: &PlacementRequest,
        connected: impl Fn(SocketAddr) -> bool,
    ) -> Option<ReplicaKey> {
        self.rotation = self.rotation.wrapping_add(1);
        let mut usable = self.usable_endpoints(now, directory, request);
        self.leave_out_short_of_memory(now, request, &mut usable);
        let preferred = request.object.and_then(|object| preferred_endpoint(object, &usable));
        if self.learns_paces(&request.service) {
            self.learned_choices += u64::from(!usable.is_empty());
            if self.endpoint_choice == EndpointChoice::Sampled {
                usable = self.draw_endpoints(now, &usable, request);
            }
        }
        let count = usable.len().max(1) as u64;
        let costs = usable.into_iter().enumerate().map(|(index, (key, replica))| {
            let network_ms = if self.is_near(replica) { 0.0 } else { CROSS_DOMAIN_RTT_MS };
            let has_connection = connected(replica.announcement.address)
                || !self.mechanisms.is_enabled(Mechanism::KeptConnections);
            let connect_ms = if has_connection { 0.0 } else { NEW_CONNECTION_MS };
            let object_ms = if preferred.is_none_or(|preferred| preferred == key) {
                0.0
            } else {
                OBJECT_MISS_MS
            };
            let processing_ms = self.processing_ms(now, key, replica, request);
            let cost_ms = processing_ms + network_ms + connect_ms + object_ms;
            // Endpoints of equal cost take turns, so that idle endpoints share the requests.
            let turn = (index as u64).wrapping_add(self.rotation) % count;
            (key, cost_ms, turn)
        });
        let best = costs.min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2)));
        best.map(|(key, _, _)| key)
    }

    /// The endpoints that the request may be sent to.
    fn usable_endpoints<'a>(
        &self,
        now: TimeMs,
        directory: &'a Directory,
        request: &PlacementRequest,
    ) -> Vec<(ReplicaKey, &'a Replica)> {
        let is_eligible = |key: &ReplicaKey| !request.excluded.contains(key);
        let (mut active, mut usable) = (0, Vec::new());
        // Includes endpoints on probation that already have their one request in flight.
        let mut ejected = Vec::new();
        for (key, replica) in directory.of_service(&request.service) {
            if !directory.may_send(now, key) || !self.is_allowed(request, replica) {
                continue;
            }
            active += 1;
            match replica.is_usable(now) {
                true => usable.push((key, replica)),
                false => ejected.push((key, replica)),
            }
        }
        // If most endpoints seem to fail, the fault probably lies elsewhere: use them all.
        if active >= MIN_ENDPOINTS_FOR_EJECTION_LIMIT && usable.len() < active / 2 {
            usable.append(&mut ejected);
        }
        usable.retain(|(key, _)| is_eligible(key));
        if usable.is_empty() && request.accepts_ejected {
            usable.extend(ejected.into_iter().filter(|(key, _)| is_eligible(key)));
        }
        usable
    }

    fn draw_endpoints<'a>(
        &mut self,
        now: TimeMs,
        usable: &[(ReplicaKey, &'a Replica)],
        request: &PlacementRequest,
    ) -> Vec<(ReplicaKey, &'a Replica)> {
        let prompt_tokens = prompt_tokens(&request.parts);
        let cached_tokens: HashMap<_, _> = usable
            .iter()
            .map(|(key, _)| (*key, prompt_tokens - self.uncached_tokens(now, *key, &request.parts)))
            .collect();
        let near: HashSet<_> = usable
            .iter()
            .filter(|(_, replica)| self.is_near(replica))
            .map(|(key, _)| *key)
            .collect();
        self.sampler.draw(usable, |(key, _)| near.contains(key), |(key, _)| cached_tokens[key])
    }

    /// Whether an endpoint is in the failure domain of this entry. All are near without the
    /// mechanism `Locality`.
    fn is_near(&self, replica: &Replica) -> bool {
        replica.announcement.failure_domain == self.topology.domain
            || !self.mechanisms.is_enabled(Mechanism::Locality)
    }

    /// The estimated time that an endpoint takes for the request, without the network.
    fn processing_ms(
        &self,
        now: TimeMs,
        key: ReplicaKey,
        replica: &Replica,
        request: &PlacementRequest,
    ) -> f64 {
        let work = self.work_at(now, key, replica, &request.parts);
        if self.learns_paces(&request.service) {
            return self.paces.estimate(now, key, &request.service, &work);
        }
        let slots = f64::from(work.slots);
        let load = f64::from(work.load);
        let wait_ms = (load + 1.0 - slots).max(0.0) * WAIT_PER_REQUEST_MS;
        let batch_ms = (load / slots).min(1.0) * FULL_BATCH_SLOWDOWN_MS;
        let prefill_ms = work.uncached_tokens as f64 / PREFILL_TOKENS_PER_MS;
        wait_ms + batch_ms + prefill_ms
    }

    /// What decides how long an endpoint takes for a request with these prompt parts.
    pub fn work_at(
        &self,
        now: TimeMs,
        key: ReplicaKey,
        replica: &Replica,
        parts: &[(u64, u64)],
    ) -> Work {
        Work {
            uncached_tokens: self.uncached_tokens(now, key, parts),
            load: replica.load(now),
            slots: replica.announcement.slots.max(1),
        }
    }

    /// Leaves out the endpoints that report less free memory than the prompt needs, and would
    /// preempt the request, unless all do. Only endpoints of services under load control report
    /// their memory.
    fn leave_out_short_of_memory(
        &mut self,
        now: TimeMs,
        request: &PlacementRequest,
        usable: &mut Vec<(ReplicaKey, &Replica)>,
    ) {
        let prompt_tokens = request.prompt_tokens();
        let fits = |replica: &Replica| {
            replica.free_tokens(now).is_none_or(|free_tokens| free_tokens >= prompt_tokens)
        };
        let fitting = usable.iter().filter(|(_, replica)| fits(replica)).count();
        if fitting > 0 && fitting < usable.len() {
            self.left_out_for_memory += (usable.len() - fitting) as u64;
            usable.retain(|(_, replica)| fits(replica));
        }
    }

    /// How many times an endpoint was left out for lack of memory since the process started.
    pub fn left_out_for_memory(&self) -> u64 {
        self.left_out_for_memory
    }

    /// Whether an endpoint is in a region in which the request may run.
    fn is_allowed(&self, request: &PlacementRequest, replica: &Replica) -> bool {
        let region = || self.topology.region_of(&replica.announcement.failure_domain);
        request.regions.allow_all() || request.regions.allow(region())
    }

    /// Prompt tokens that the endpoint would have to prefill. The last part of a program's prompt
    /// grows from turn to turn, and what was cached of it earlier is still valid.
    fn uncached_tokens(&self, now: TimeMs, key: ReplicaKey, parts: &[(u64, u64)]) -> u64 {
        let mut cached_total = 0;
        for (part, tokens) in parts {
            let cached = self.cached.get(&(key, *part));
            let cached = cached.filter(|cached| now.since(cached.last_used_at) < CACHE_TTL_MS);
            let cached_tokens = cached.map_or(0, |cached| cached.tokens.min(*tokens));
            cached_total += cached_tokens;
            if cached_tokens < *tokens {
                break;
            }
        }
        prompt_tokens(parts) - cached_total
    }

    /// Records that an endpoint has prefilled these prompt parts and holds them in its cache. Has
    /// no effect if the mechanism `Affinity` is disabled.
    pub fn record_prefill(&mut self, now: TimeMs, key: ReplicaKey, parts: &[(u64, u64)]) {
        if !self.mechanisms.is_enabled(Mechanism::Affinity) {
            return;
        }
        for (part, tokens) in parts {
            self.cached.insert((key, *part), CachedPart { last_used_at: now, tokens: *tokens });
        }
        if self.cached.len() > MAX_CACHED_PARTS {
            let mut times: Vec<TimeMs> =
                self.cached.values().map(|cached| cached.last_used_at).collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.cached.retain(|_, cached| cached.last_used_at > median);
        }
    }
}

fn prompt_tokens(parts: &[(u64, u64)]) -> u64 {
    parts.iter().map(|(_, tokens)| *tokens).sum()
}

/// Among the usable endpoints, the preferred one for requests about an object. All entries
/// determine the same one without communicating, and it changes only if that endpoint becomes
/// unusable or one that ranks higher becomes usable.
fn preferred_endpoint(object: u64, usable: &[(ReplicaKey, &Replica)]) -> Option<ReplicaKey> {
    let preferred =
        usable.iter().max_by_key(|(_, replica)| rendezvous_weight(object, replica.hash));
    preferred.map(|(key, _)| *key)
}
