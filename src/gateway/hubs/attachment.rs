use std::collections::HashMap;
use std::net::SocketAddr;

use crate::gateway::PeerRecord;
use crate::prelude::*;
use crate::replicas::rendezvous_weight;

/// A hub from which no answer came for this long counts as silent: three messages in a row.
const SILENT_AFTER_MS: u64 = 700;

/// A silent hub is not tried again for this long, as long as there is another one.
const AVOID_SILENT_MS: u64 = 5_000;

/// A leaf stays with a hub that answers for at least this long.
const MIN_ATTACHED_MS: u64 = 5_000;

/// The hub that a leaf is attached to. Each leaf prefers the hubs in another order, so that they
/// have about the same number of leaves, also after one of them is gone.
#[derive(Debug, Default)]
pub struct Attachment {
    hub: Option<SocketAddr>,
    /// When the hub was chosen.
    chosen_at: TimeMs,
    /// When the hub was chosen or last answered.
    heard_at: TimeMs,
    /// When the last answer of any hub came.
    last_answer_at: Option<TimeMs>,
    /// When a hub was first looked for.
    begun_at: Option<TimeMs>,
    /// The hubs that were given up because they were silent, and when.
    silent: HashMap<SocketAddr, TimeMs>,
}

impl Attachment {
    /// Records an answer from `hub`. Returns whether the leaf is attached to it.
    pub fn record_answer(&mut self, now: TimeMs, hub: SocketAddr) -> bool {
        self.silent.remove(&hub);
        let is_attached = self.hub == Some(hub);
        if is_attached {
            self.heard_at = now;
            self.last_answer_at = Some(now);
        }
        is_attached
    }

    /// Gives up a hub that said that it is none, or is leaving.
    pub fn give_up(&mut self, now: TimeMs, hub: SocketAddr) {
        self.silent.insert(hub, now);
        self.hub = self.hub.filter(|current| *current != hub);
    }

    /// Whether a hub has answered recently.
    pub fn is_established(&self, now: TimeMs) -> bool {
        self.hub.is_some() && self.last_answer_at.is_some_and(|at| now.since(at) < SILENT_AFTER_MS)
    }

    /// For how long no hub has answered, since the first was looked for.
    pub fn unanswered_ms(&self, now: TimeMs) -> u64 {
        self.last_answer_at.or(self.begun_at).map_or(0, |at| now.since(at))
    }

    /// Moves to the preferred one of the `live` hubs if that is another one: hubs that started late,
    /// or were gone for a while, would otherwise have few leaves.
    pub fn rebalance<'a>(
        &mut self,
        now: TimeMs,
        own_hash: u64,
        domain: &str,
        live: impl Iterator<Item = &'a PeerRecord>,
    ) {
        if self.hub.is_none() || now.since(self.chosen_at) < MIN_ATTACHED_MS {
            return;
        }
        let preferred = self.preferred(now, own_hash, domain, live);
        if preferred.is_some() && preferred != self.hub {
            self.hub = preferred;
            self.chosen_at = now;
            self.heard_at = now;
        }
    }

    /// The hub to send the next message to, out of `hubs`. Changes if the last one is silent.
    pub fn choose<'a>(
        &mut self,
        now: TimeMs,
        own_hash: u64,
        domain: &str,
        hubs: impl Iterator<Item = &'a PeerRecord>,
    ) -> Option<SocketAddr> {
        if let Some(hub) = self.hub
            && now.since(self.heard_at) >= SILENT_AFTER_MS
        {
            self.give_up(now, hub);
        }
        self.begun_at.get_or_insert(now);
        if self.hub.is_none() {
            self.hub = self.preferred(now, own_hash, domain, hubs);
            self.chosen_at = now;
            self.heard_at = now;
        }
        self.hub
    }

    /// Prefers hubs that were not silent recently, then those in the leaf's own failure domain.
    fn preferred<'a>(
        &self,
        now: TimeMs,
        own_hash: u64,
        domain: &str,
        hubs: impl Iterator<Item = &'a PeerRecord>,
    ) -> Option<SocketAddr> {
        let best = hubs.min_by_key(|record| {
            let silent_at = self.silent.get(&record.address);
            let is_silent = silent_at.is_some_and(|at| now.since(*at) < AVOID_SILENT_MS);
            let is_far = record.domain.as_deref() != Some(domain);
            let hash = Digest::of(&[record.name.as_bytes()]).prefix();
            let weight = rendezvous_weight(own_hash, hash);
            (is_silent, is_far, std::cmp::Reverse(weight))
        });
        best.map(|record| record.address)
    }
}
