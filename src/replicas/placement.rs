//! Where a request goes: cache affinity against load.
//!
//! Pattern: programs whose turns share a growing prompt, over endpoints whose engines slow down as
//! they fill. An idle endpoint that has to read the prompt again costs its prefill; one that holds
//! it and is full costs a wait of about one running request.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::rendezvous::rendezvous;
use super::{Directory, Replica, ReplicaKey, Topology};
use crate::catalog::Regions;
use crate::mechanisms::{Mechanism, Mechanisms};
use crate::prelude::*;

/// What a request waits for at an endpoint without a free slot, for each request beyond its slots.
const WAIT_EACH_MS: f64 = 10.0;

/// What running neighbours cost a request at most, with all slots taken.
const FULL_BATCH_MS: f64 = 20.0;

/// The way to another failure domain and back.
const OTHER_DOMAIN_MS: f64 = 4.0;

/// What a new connection to an endpoint costs: the way there and back, and the place that it takes among
/// those that the endpoint accepts. Entries that send seldom would else open one for most requests.
const NEW_CONNECTION_MS: f64 = 3.0;

/// What a request costs at another endpoint than that of its object, which has mostly handled it before.
const OBJECT_AWAY_MS: f64 = 40.0;

/// Prompt tokens that an engine reads in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 168.0;

/// From so many endpoints on, at most half of a service's are left out for their failures.
const EJECT_FROM: usize = 2;

/// How long a part of a prompt is taken to stay in an endpoint's cache after its last use.
const CACHED_FOR_MS: u64 = 20_000;

/// The most parts remembered; the oldest half goes when there are more.
const PARTS_MOST: usize = 20_000;

/// What is known of a request that has to be placed.
#[value]
pub struct PlacementRequest {
    /// The service.
    pub service: Arc<str>,
    /// Parts of its prompt in order, as hashes, with their tokens.
    pub parts: Vec<(u64, u64)>,
    /// Stands for its object, if an endpoint that has lately handled that is faster.
    pub object: Option<u64>,
    /// Where it may run.
    pub regions: Regions,
    /// Endpoints that have refused or failed it.
    pub excluded: Vec<ReplicaKey>,
    /// Whether an endpoint that is ejected for its failures is better than none: so it is for what may
    /// run again, and would be refused else.
    pub accepts_ejected: bool,
}

/// A part of a prompt that an endpoint has read.
#[key]
struct Cached {
    at: TimeMs,
    tokens: u64,
}

/// Chooses endpoints, and remembers which have read which parts of prompts.
#[derive(Debug, Default)]
pub struct Placement {
    topology: Topology,
    mechanisms: Mechanisms,
    cached: HashMap<(ReplicaKey, u64), Cached>,
    turn: u64,
}

impl Placement {
    /// Chooses for an entry at a place.
    pub fn open(topology: Topology, mechanisms: Mechanisms) -> Placement {
        Placement { topology, mechanisms, ..Placement::default() }
    }

    /// The best usable endpoint, if there is one. `connected` tells whether a connection is kept to an
    /// address.
    pub fn choose(
        &mut self,
        now: TimeMs,
        directory: &Directory,
        want: &PlacementRequest,
        connected: impl Fn(SocketAddr) -> bool,
    ) -> Option<ReplicaKey> {
        self.turn = self.turn.wrapping_add(1);
        let untried = |key: &ReplicaKey| !want.excluded.contains(key);
        let (mut all, mut usable) = (0, Vec::new());
        let mut ejected = Vec::new();
        for (key, replica) in directory.of_service(&want.service) {
            if !directory.may_send(now, key) || !self.is_allowed(want, replica) {
                continue;
            }
            all += usize::from(!replica.announcement.draining);
            match replica.usable(now) {
                true => usable.push((key, replica)),
                false if !replica.announcement.draining => ejected.push((key, replica)),
                false => {}
            }
        }
        // Where most seem to fail, it is not the endpoints that do.
        if all >= EJECT_FROM && usable.len() < all / 2 {
            usable.append(&mut ejected);
        }
        usable.retain(|(key, _)| untried(key));
        if usable.is_empty() && want.accepts_ejected {
            usable.extend(ejected.into_iter().filter(|(key, _)| untried(key)));
        }
        let home = want.object.and_then(|object| home_of(object, &usable));
        let costs = usable.into_iter().enumerate().map(|(at, (key, replica))| {
            let slots = f64::from(replica.announcement.slots.max(1));
            let load = f64::from(replica.load());
            let wait_ms = (load + 1.0 - slots).max(0.0) * WAIT_EACH_MS;
            let batch_ms = (load / slots).min(1.0) * FULL_BATCH_MS;
            let near = replica.announcement.failure_domain == self.topology.domain
                || !self.mechanisms.is_enabled(Mechanism::Locality);
            let way_ms = if near { 0.0 } else { OTHER_DOMAIN_MS };
            let read_ms = self.unread_tokens(now, key, &want.parts) as f64 / PREFILL_TOKENS_PER_MS;
            let is_open = connected(replica.announcement.address)
                || !self.mechanisms.is_enabled(Mechanism::KeptConnections);
            let open_ms = if is_open { 0.0 } else { NEW_CONNECTION_MS };
            let away_ms = if home.is_none_or(|home| home == key) { 0.0 } else { OBJECT_AWAY_MS };
            let cost_ms = wait_ms + batch_ms + way_ms + read_ms + open_ms + away_ms;
            // Equal costs are taken in turn, so that idle endpoints share the requests.
            let tie = (at as u64).wrapping_add(self.turn) % 64;
            (key, cost_ms, tie)
        });
        let best = costs.min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2)));
        best.map(|(key, _, _)| key)
    }

    /// Whether an endpoint is in a region in which the request may run.
    fn is_allowed(&self, want: &PlacementRequest, replica: &Replica) -> bool {
        let region = || self.topology.region_of(&replica.announcement.failure_domain);
        want.regions.are_all() || want.regions.allow(region())
    }

    /// Tokens that the endpoint would have to read. The last part of a session grows from turn to turn:
    /// what was read of it before is held.
    fn unread_tokens(&self, now: TimeMs, key: ReplicaKey, parts: &[(u64, u64)]) -> u64 {
        let all: u64 = parts.iter().map(|(_, tokens)| *tokens).sum();
        let mut held = 0;
        for (part, tokens) in parts {
            let cached = self.cached.get(&(key, *part));
            let cached = cached.filter(|cached| now.since(cached.at) < CACHED_FOR_MS);
            let cached_tokens = cached.map_or(0, |cached| cached.tokens.min(*tokens));
            held += cached_tokens;
            if cached_tokens < *tokens {
                break;
            }
        }
        all - held
    }

    /// An endpoint has read these parts.
    pub fn read(&mut self, now: TimeMs, key: ReplicaKey, parts: &[(u64, u64)]) {
        if !self.mechanisms.is_enabled(Mechanism::Affinity) {
            return;
        }
        for (part, tokens) in parts {
            self.cached.insert((key, *part), Cached { at: now, tokens: *tokens });
        }
        if self.cached.len() > PARTS_MOST {
            let mut ages: Vec<TimeMs> = self.cached.values().map(|cached| cached.at).collect();
            ages.sort_unstable();
            let middle = ages[ages.len() / 2];
            self.cached.retain(|_, cached| cached.at > middle);
        }
    }
}

/// The endpoint that requests about an object go to while it is usable. All entries come to the same one
/// without a word between them, and each object moves only when its own endpoint comes or goes.
fn home_of(object: u64, usable: &[(ReplicaKey, &Replica)]) -> Option<ReplicaKey> {
    let home = usable.iter().max_by_key(|(_, replica)| rendezvous(object, replica.hash));
    home.map(|(key, _)| *key)
}
