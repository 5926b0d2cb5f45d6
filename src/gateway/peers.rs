use std::collections::HashMap;
use std::net::SocketAddr;

use super::PeerRecord;
use super::message::GossipMessage;
use crate::prelude::*;
use crate::quota::PeerCounts;

/// An entry that was not heard from for this long has nothing running and owns nothing: six
/// messages lost in a row.
const SILENT_AFTER_MS: u64 = 1_500;

/// An entry that was not heard from for this long no longer takes part in the workspaces' rates:
/// one that is cut off for longer has no fresh configuration and admits nothing.
const FORGOTTEN_AFTER_MS: u64 = 20_000;

/// An entry is relieved of its shards at most once in this time: longer than new owners take
/// to read them.
const RELIEF_PAUSE_MS: u64 = 3_000;

/// So many entries relieve one that is cut off from the store: one may be cut off as well.
const RELIEVERS: usize = 2;

/// An entry that was heard within this time is in touch: three messages lost in a row.
const IN_TOUCH_MS: u64 = 500;

#[derive(Debug)]
struct Peer {
    name: Arc<str>,
    /// Stands for the name.
    hash: u64,
    /// None as long as it is known from its messages only.
    region: Option<Arc<str>>,
    instance: u64,
    heard_at: Option<TimeMs>,
    /// When it was first heard in this life.
    met_at: TimeMs,
    known_at: TimeMs,
    leaving: bool,
    store_unreachable: bool,
    recently_started: bool,
    running: HashMap<u64, u32>,
    signed_off: Option<u64>,
    relieved_at: Option<TimeMs>,
}

/// What a message has changed.
#[derive(Debug, Default)]
pub(super) struct Heard {
    /// The sender was not known, or is in a new life.
    pub(super) first: bool,
    /// When the sender was first heard in this life.
    pub(super) since: TimeMs,
    /// Endpoints at which it runs more or fewer requests than before.
    pub(super) changed: Vec<u64>,
}

/// The other entries.
#[derive(Debug, Default)]
pub(super) struct Peers {
    peers: HashMap<SocketAddr, Peer>,
    /// Requests that all of them have running, by endpoint.
    running: HashMap<u64, u32>,
}

impl Peers {
    /// An entry is known to exist, alive or not.
    pub(super) fn upsert(&mut self, now: TimeMs, record: PeerRecord) {
        let PeerRecord { name, address, region } = record;
        let peer = self.peers.entry(address).or_insert_with(|| Peer {
            hash: Digest::of(&[name.as_bytes()]).prefix(),
            name,
            region: None,
            instance: 0,
            heard_at: None,
            met_at: now,
            known_at: now,
            leaving: false,
            store_unreachable: false,
            recently_started: false,
            running: HashMap::new(),
            signed_off: None,
            relieved_at: None,
        });
        peer.region = region.or(peer.region.take());
    }

    /// An entry was heard.
    pub(super) fn record_message(
        &mut self,
        now: TimeMs,
        address: SocketAddr,
        gossip: &GossipMessage,
    ) -> Heard {
        self.upsert(now, PeerRecord { name: gossip.name.clone(), address, region: None });
        let Some(peer) = self.peers.get_mut(&address) else {
            return Heard::default();
        };
        let first = peer.instance != gossip.instance;
        if first {
            peer.met_at = now;
        }
        peer.instance = gossip.instance;
        peer.heard_at = Some(now);
        peer.leaving = gossip.leaving;
        peer.store_unreachable = gossip.store_unreachable;
        peer.recently_started = gossip.recently_started;
        let since = peer.met_at;
        let now_running = gossip.running.iter().copied().collect();
        let before = std::mem::replace(&mut peer.running, now_running);
        let changed = count_running(&mut self.running, &before, &peer.running);
        Heard { first, since, changed }
    }

    /// Stand for the entries that have been heard, also those silent by now.
    pub(super) fn senders(&self) -> Vec<u64> {
        let heard = self.peers.values().filter(|peer| peer.instance != 0);
        heard.map(|peer| peer.hash).collect()
    }

    /// Where to send messages.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Entries that have fallen silent since they were heard last; each is told of once.
    pub(super) fn fallen_silent(&mut self, now: TimeMs) -> Vec<SocketAddr> {
        let silent = |peer: &Peer| peer.heard_at.is_some_and(|at| now.since(at) > SILENT_AFTER_MS);
        let silent: Vec<_> =
            self.peers.iter().filter(|(_, p)| silent(p)).map(|(address, _)| *address).collect();
        for address in &silent {
            if let Some(peer) = self.peers.get_mut(address) {
                let before = std::mem::take(&mut peer.running);
                count_running(&mut self.running, &before, &peer.running);
                peer.known_at = peer.heard_at.take().unwrap_or(now);
            }
        }
        self.peers
            .retain(|_, p| p.heard_at.is_some() || now.since(p.known_at) < FORGOTTEN_AFTER_MS);
        silent
    }

    /// Whether the entry was heard of late.
    pub(super) fn heard_recently(&self, now: TimeMs, address: SocketAddr) -> bool {
        let heard_at = self.peers.get(&address).and_then(|peer| peer.heard_at);
        heard_at.is_some_and(|at| now.since(at) < IN_TOUCH_MS)
    }

    /// Whether the store is away for most entries, as far as this one hears them. It is not if this one
    /// hears few of the others: then it is itself that is cut off.
    pub(super) fn store_unreachable_for_most(&self, now: TimeMs) -> bool {
        let alive = self.peers.values().filter(|peer| peer.heard_at.is_some() && !peer.leaving);
        let (mut known, mut heard, mut away) = (0, 0, 0);
        for peer in alive {
            let recent = peer.heard_at.is_some_and(|at| now.since(at) < IN_TOUCH_MS);
            known += 1;
            heard += usize::from(recent);
            away += usize::from(recent && peer.store_unreachable);
        }
        heard * 2 >= known && away * 2 >= heard
    }

    /// The region that an entry is in, if it is known.
    pub(super) fn region(&self, address: SocketAddr) -> Option<&str> {
        self.peers.get(&address)?.region.as_deref()
    }

    /// Entries in touch that reach the store and take requests, in regions that `is_near` allows; in the same
    /// order each time.
    pub(super) fn entries_reaching_store(
        &self,
        now: TimeMs,
        is_local_region: impl Fn(Option<&str>) -> bool,
    ) -> Vec<SocketAddr> {
        let sound = |peer: &Peer| {
            let recent = peer.heard_at.is_some_and(|at| now.since(at) < IN_TOUCH_MS);
            recent
                && !peer.store_unreachable
                && !peer.leaving
                && is_local_region(peer.region.as_deref())
        };
        let sound = self.peers.iter().filter(|(_, peer)| sound(peer));
        let mut addresses: Vec<_> = sound.map(|(address, _)| *address).collect();
        addresses.sort_unstable();
        addresses
    }

    /// Whether an entry has started of late and needs to hear what the others know.
    pub(super) fn has_newcomer(&self, now: TimeMs) -> bool {
        let heard = |peer: &Peer| peer.heard_at.is_some_and(|at| now.since(at) < IN_TOUCH_MS);
        self.peers.values().any(|peer| peer.recently_started && heard(peer))
    }

    /// Requests that the others have running at an endpoint.
    pub(super) fn running(&self, endpoint: u64) -> u32 {
        self.running.get(&endpoint).copied().unwrap_or(0)
    }

    /// The entry's name, if it is not signed off yet in its present life.
    pub(super) fn deregister(&mut self, address: SocketAddr) -> Option<Arc<str>> {
        let peer = self.peers.get_mut(&address)?;
        let first = peer.signed_off.replace(peer.instance) != Some(peer.instance);
        first.then(|| peer.name.clone())
    }

    /// The entry's name.
    pub(super) fn name(&self, address: SocketAddr) -> Option<Arc<str>> {
        self.peers.get(&address).map(|peer| peer.name.clone())
    }

    /// Whether the entry at `own` is to relieve the one at `address` of its shards now. Only a few do,
    /// others for each: all at once would be a burst of calls for nothing.
    pub(super) fn takes_relief(
        &mut self,
        now: TimeMs,
        address: SocketAddr,
        own: SocketAddr,
    ) -> bool {
        let rank = |reliever: &SocketAddr| {
            Digest::of(&[reliever.to_string().as_bytes(), address.to_string().as_bytes()]).prefix()
        };
        let heard = |peer: &Peer| peer.heard_at.is_some_and(|at| now.since(at) < IN_TOUCH_MS);
        let others = self.peers.iter().filter(|(at, peer)| **at != address && heard(peer));
        let before = others.filter(|(at, _)| rank(at) < rank(&own)).count();
        let Some(peer) = self.peers.get_mut(&address).filter(|_| before < RELIEVERS) else {
            return false;
        };
        let due = peer.relieved_at.is_none_or(|at| now.since(at) >= RELIEF_PAUSE_MS);
        if due {
            peer.relieved_at = Some(now);
        }
        due
    }

    /// How the workspaces' rates are shared now. An entry that was signed off takes no part.
    pub(super) fn peer_counts(&self, now: TimeMs) -> PeerCounts {
        let shares = |peer: &&Peer| {
            peer.instance != 0 && !peer.leaving && peer.signed_off != Some(peer.instance)
        };
        let (mut others, mut heard) = (0, 0);
        for peer in self.peers.values().filter(shares) {
            others += 1;
            let recent = peer.heard_at.is_some_and(|at| now.since(at) < IN_TOUCH_MS);
            heard += u32::from(recent);
        }
        PeerCounts { entries: others + 1, heard: heard + 1 }
    }
}

/// Takes what one entry has running into the sum of all; yields the endpoints where that changed.
fn count_running(
    all: &mut HashMap<u64, u32>,
    before: &HashMap<u64, u32>,
    after: &HashMap<u64, u32>,
) -> Vec<u64> {
    let endpoints = before.keys().chain(after.keys().filter(|key| !before.contains_key(*key)));
    let mut changed = Vec::new();
    for endpoint in endpoints {
        let was = before.get(endpoint).copied().unwrap_or(0);
        let is = after.get(endpoint).copied().unwrap_or(0);
        if was == is {
            continue;
        }
        changed.push(*endpoint);
        let sum = all.entry(*endpoint).or_default();
        *sum = (*sum + is).saturating_sub(was);
        if *sum == 0 {
            all.remove(endpoint);
        }
    }
    changed
}
