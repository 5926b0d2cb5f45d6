mod sharing;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use super::PeerRecord;
use super::attach_message::HubRow;
use super::message::GossipMessage;
use crate::prelude::*;

/// An entry from which no message came for this long counts as running nothing and owning nothing.
/// It takes about six lost messages in a row.
const SILENT_AFTER_MS: u64 = 1_500;

/// An entry from which no message came for this long no longer gets a share of the workspaces' rates,
/// unless this entry hears too few of the others to tell who is cut off.
const REMOVE_AFTER_MS: u64 = 20_000;

/// Shortest time between two deregistrations of the same entry by this one: longer than the new
/// owners take to read the shards.
const MIN_DEREGISTRATION_INTERVAL_MS: u64 = 3_000;

/// How many entries deregister one that is cut off from the store: more than one, since a single
/// one may be cut off as well.
const DEREGISTERING_ENTRIES: usize = 2;

/// An entry whose last message is older than this counts as out of touch. It takes about three lost
/// messages in a row.
const HEARD_RECENTLY_MS: u64 = 500;

#[derive(Debug)]
struct Peer {
    name: Arc<str>,
    /// The hash of the name.
    hash: u64,
    /// The CPU of its VM; none as long as the entry is known only from its messages.
    cpu_millicores: Option<u32>,
    /// None as long as the entry is known only from its messages.
    region: Option<Arc<str>>,
    /// The id of its process instance; zero before the first message.
    instance: u64,
    /// When the last message came; none before the first one, and once the entry is silent.
    heard_at: Option<TimeMs>,
    /// When the first message of its current process instance came.
    first_heard_at: TimeMs,
    /// When the entry was added or, once it is silent, when its last message came.
    last_known_at: TimeMs,
    leaving: bool,
    store_unreachable: bool,
    recently_started: bool,
    /// Whether it has observed whole windows of the workspaces' rates.
    knows_windows: bool,
    /// The number of requests that it has running, by endpoint.
    running: HashMap<u64, u32>,
    /// The process instance that was deregistered because it seemed dead: it refused connections,
    /// or neither accepted a turn nor sent messages.
    deregistered_instance: Option<u64>,
    /// The process instance that has ended: its VM refused connections.
    dead_instance: Option<u64>,
    /// When this entry last connected to it to learn whether it has ended.
    probed_at: Option<TimeMs>,
    /// Whether it was removed before, and has not been heard since.
    was_removed: bool,
    /// When this entry last deregistered it because it was cut off from the store.
    deregistered_at: Option<TimeMs>,
}

impl Peer {
    /// Whether a message came from the entry recently.
    fn is_heard_recently(&self, now: TimeMs) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < HEARD_RECENTLY_MS)
    }

    /// Whether its newest known process instance has ended.
    fn is_dead(&self) -> bool {
        self.dead_instance == Some(self.instance)
    }

    /// Whether it may run: one that is silent may be cut off, unless its process has ended. One that
    /// was announced and never heard may run too, until it has been silent for long.
    fn may_run(&self) -> bool {
        let is_gone = self.instance == 0 && self.was_removed;
        !self.is_dead() && !is_gone
    }
}

/// What a message from an entry has changed.
#[derive(Debug, Default)]
pub(super) struct MessageOutcome {
    /// Whether it is the first message from this process instance.
    pub(super) first_message: bool,
    /// When the first message from this process instance came.
    pub(super) first_heard_at: TimeMs,
    /// The endpoints at which the sender runs more or fewer requests than before.
    pub(super) changed_endpoints: Vec<u64>,
}

/// The entries that have fallen silent, and what that changes.
#[derive(Debug, Default)]
pub(super) struct SilentEntries {
    pub(super) addresses: Vec<SocketAddr>,
    /// The endpoints at which they ran requests, which no longer count.
    pub(super) changed_endpoints: Vec<u64>,
}

/// What is known of the other entries.
#[derive(Debug, Default)]
pub(super) struct Peers {
    peers: HashMap<SocketAddr, Peer>,
    /// The number of requests that all of them together have running, by endpoint.
    running: HashMap<u64, u32>,
    /// The entries that were removed, and have not been heard since.
    removed: HashSet<SocketAddr>,
    /// Whether this entry is shutting down.
    is_leaving: bool,
}

impl Peers {
    /// Adds an entry, running or not, or updates its region.
    pub(super) fn upsert(&mut self, now: TimeMs, record: PeerRecord) {
        let PeerRecord { name, address, region, cpu_millicores, .. } = record;
        let cpu_millicores = Some(cpu_millicores).filter(|cpu_millicores| *cpu_millicores > 0);
        let peer = self.peers.entry(address).or_insert_with(|| Peer {
            hash: Digest::of(&[name.as_bytes()]).prefix(),
            name,
            cpu_millicores: None,
            region: None,
            instance: 0,
            heard_at: None,
            first_heard_at: now,
            last_known_at: now,
            leaving: false,
            store_unreachable: false,
            recently_started: false,
            knows_windows: false,
            running: HashMap::new(),
            deregistered_instance: None,
            dead_instance: None,
            probed_at: None,
            was_removed: self.removed.contains(&address),
            deregistered_at: None,
        });
        peer.region = region.or(peer.region.take());
        peer.cpu_millicores = cpu_millicores.or(peer.cpu_millicores);
    }

    /// Records a message from the entry at `address`.
    pub(super) fn record_message(
        &mut self,
        now: TimeMs,
        address: SocketAddr,
        gossip: &GossipMessage,
    ) -> MessageOutcome {
        self.upsert(now, unlisted(gossip.name.clone(), address));
        let Some(peer) = self.peers.get_mut(&address) else {
            return MessageOutcome::default();
        };
        let first_message = peer.instance != gossip.instance;
        if first_message {
            peer.first_heard_at = now;
        }
        self.removed.remove(&address);
        peer.was_removed = false;
        peer.dead_instance = None;
        peer.probed_at = None;
        peer.instance = gossip.instance;
        peer.heard_at = Some(now);
        peer.leaving = gossip.leaving;
        peer.store_unreachable = gossip.store_unreachable;
        peer.recently_started = gossip.recently_started;
        if first_message {
            peer.knows_windows = !gossip.recently_started;
        }
        let first_heard_at = peer.first_heard_at;
        let now_running = gossip.running.iter().copied().collect();
        let before = std::mem::replace(&mut peer.running, now_running);
        let changed_endpoints = update_running_sum(&mut self.running, &before, &peer.running);
        MessageOutcome { first_message, first_heard_at, changed_endpoints }
    }

    /// Records the hubs that the hub of this leaf hears.
    pub(super) fn record_hubs(&mut self, now: TimeMs, hubs: &[HubRow]) {
        for hub in hubs {
            if !self.peers.contains_key(&hub.address) {
                self.upsert(now, unlisted("".into(), hub.address));
            }
            if let Some(peer) = self.peers.get_mut(&hub.address) {
                peer.instance = peer.instance.max(1);
                peer.heard_at = Some(now);
                peer.leaving = hub.leaving;
                peer.store_unreachable = hub.store_unreachable;
            }
        }
    }

    /// The entries that are not silent, as hubs report them to their leaves.
    pub(super) fn heard_hubs(&self) -> Vec<HubRow> {
        let heard = self.peers.iter().filter(|(_, peer)| peer.heard_at.is_some());
        let rows = heard.map(|(address, peer)| HubRow {
            address: *address,
            leaving: peer.leaving,
            store_unreachable: peer.store_unreachable,
        });
        rows.collect()
    }

    /// Forgets all entries: what a leaf knew of the hubs is not what a hub needs.
    pub(super) fn clear(&mut self) {
        *self = Peers { is_leaving: self.is_leaving, ..Peers::default() };
    }

    /// Records that this entry is shutting down.
    pub(super) fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// The hashes of the entries from which a message ever came, also of those out of touch by now.
    pub(super) fn heard_entry_hashes(&self) -> Vec<u64> {
        let heard = self.peers.values().filter(|peer| peer.instance != 0);
        heard.map(|peer| peer.hash).collect()
    }

    /// The hashes of the entries that were heard recently and are not shutting down.
    pub(super) fn recent_entry_hashes(&self, now: TimeMs) -> Vec<u64> {
        let recent = self.peers.values().filter(|p| p.is_heard_recently(now) && !p.leaving);
        recent.map(|peer| peer.hash).collect()
    }

    /// The addresses to which messages are sent.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Clears the state of the entries from which no message came for too long, and returns each of
    /// them once. Removes entries that have been silent for much longer.
    pub(super) fn take_silent(&mut self, now: TimeMs) -> SilentEntries {
        let is_silent =
            |peer: &Peer| peer.heard_at.is_some_and(|at| now.since(at) > SILENT_AFTER_MS);
        let mut silent = SilentEntries::default();
        for (address, peer) in self.peers.iter_mut().filter(|(_, peer)| is_silent(peer)) {
            let before = std::mem::take(&mut peer.running);
            let changed = update_running_sum(&mut self.running, &before, &peer.running);
            peer.last_known_at = peer.heard_at.take().unwrap_or(now);
            silent.addresses.push(*address);
            silent.changed_endpoints.extend(changed);
        }
        // An entry that is cut off would otherwise take itself for the only one.
        let is_alone = !self.peer_counts(now).hears_half();
        let is_gone = |p: &Peer| {
            let is_kept = is_alone && p.instance != 0 && !p.leaving;
            p.heard_at.is_none() && now.since(p.last_known_at) >= REMOVE_AFTER_MS && !is_kept
        };
        self.removed.extend(self.peers.extract_if(|_, peer| is_gone(peer)).map(|(at, _)| at));
        silent
    }

    /// Whether a message came from the entry recently.
    pub(super) fn heard_recently(&self, now: TimeMs, address: SocketAddr) -> bool {
        self.peers.get(&address).is_some_and(|peer| peer.is_heard_recently(now))
    }

    /// Whether the store is unreachable for at least half of the entries heard recently. If these
    /// are fewer than half of those heard in the last seconds, the answer is `false`: then this
    /// entry itself is cut off. If no other entry was ever heard, it is `true`: there is no other
    /// evidence, and none could serve the callers instead.
    pub(super) fn store_unreachable_for_most(&self, now: TimeMs) -> bool {
        if self.peers.values().all(|peer| peer.instance == 0) {
            return true;
        }
        let alive: Vec<_> = self.peers.values().filter(|peer| peer.heard_at.is_some()).collect();
        let heard: Vec<_> = alive.iter().filter(|peer| peer.is_heard_recently(now)).collect();
        let unreachable = heard.iter().filter(|peer| peer.store_unreachable).count();
        !heard.is_empty() && heard.len() * 2 >= alive.len() && unreachable * 2 >= heard.len()
    }

    /// The region of an entry, if known.
    pub(super) fn region(&self, address: SocketAddr) -> Option<&str> {
        self.peers.get(&address)?.region.as_deref()
    }

    /// The entries heard recently that can reach the store, take requests, and are in a region that
    /// `is_local_region` accepts; sorted by address.
    pub(super) fn entries_reaching_store(
        &self,
        now: TimeMs,
        is_local_region: impl Fn(Option<&str>) -> bool,
    ) -> Vec<SocketAddr> {
        let eligible = |peer: &Peer| {
            let recent = peer.is_heard_recently(now);
            recent
                && !peer.store_unreachable
                && !peer.leaving
                && is_local_region(peer.region.as_deref())
        };
        let eligible = self.peers.iter().filter(|(_, peer)| eligible(peer));
        let mut addresses: Vec<_> = eligible.map(|(address, _)| *address).collect();
        addresses.sort_unstable();
        addresses
    }

    /// Whether an entry has started recently and still needs the full state of the others.
    pub(super) fn has_newcomer(&self, now: TimeMs) -> bool {
        let heard = |peer: &Peer| peer.is_heard_recently(now);
        self.peers.values().any(|peer| peer.recently_started && heard(peer))
    }

    /// The number of requests that the other entries have running at an endpoint.
    pub(super) fn running(&self, endpoint: u64) -> u32 {
        self.running.get(&endpoint).copied().unwrap_or(0)
    }

    /// Marks the entry's current process instance as deregistered. Returns its name, or `None` if
    /// it was so marked before.
    pub(super) fn mark_deregistered(&mut self, address: SocketAddr) -> Option<Arc<str>> {
        let peer = self.peers.get_mut(&address)?;
        let first = peer.deregistered_instance.replace(peer.instance) != Some(peer.instance);
        first.then(|| peer.name.clone())
    }

    pub(super) fn name(&self, address: SocketAddr) -> Option<Arc<str>> {
        self.peers.get(&address).map(|peer| peer.name.clone())
    }

    /// Whether the entry at `own_address` should deregister the one at `address` now, which is cut
    /// off from the store. If so, records the time, and returns `false` for the next
    /// [`MIN_DEREGISTRATION_INTERVAL_MS`]. Only a few entries do so, different ones for each
    /// address: calls from all of them would be a useless burst.
    pub(super) fn should_deregister(
        &mut self,
        now: TimeMs,
        address: SocketAddr,
        own_address: SocketAddr,
    ) -> bool {
        let rank = |candidate: &SocketAddr| {
            Digest::of(&[candidate.to_string().as_bytes(), address.to_string().as_bytes()]).prefix()
        };
        let heard = |peer: &Peer| peer.is_heard_recently(now);
        let others = self.peers.iter().filter(|(at, peer)| **at != address && heard(peer));
        let before = others.filter(|(at, _)| rank(at) < rank(&own_address)).count();
        let Some(peer) = self.peers.get_mut(&address).filter(|_| before < DEREGISTERING_ENTRIES)
        else {
            return false;
        };
        let due =
            peer.deregistered_at.is_none_or(|at| now.since(at) >= MIN_DEREGISTRATION_INTERVAL_MS);
        if due {
            peer.deregistered_at = Some(now);
        }
        due
    }
}

/// What is known of an entry that was heard of before its announcement was read.
fn unlisted(name: Arc<str>, address: SocketAddr) -> PeerRecord {
    let (region, domain) = (None, None);
    let surges = vec![];
    PeerRecord { name, address, region, domain, cpu_millicores: 0, is_hub: true, surges, epoch: 0 }
}

/// Updates the sum over all entries from the requests that one entry runs. Returns the endpoints
/// whose count changed.
fn update_running_sum(
    totals: &mut HashMap<u64, u32>,
    before: &HashMap<u64, u32>,
    after: &HashMap<u64, u32>,
) -> Vec<u64> {
    let endpoints = before.keys().chain(after.keys().filter(|key| !before.contains_key(*key)));
    let mut changed = Vec::new();
    for endpoint in endpoints {
        let previous = before.get(endpoint).copied().unwrap_or(0);
        let current = after.get(endpoint).copied().unwrap_or(0);
        if previous == current {
            continue;
        }
        changed.push(*endpoint);
        let sum = totals.entry(*endpoint).or_default();
        *sum = (*sum + current).saturating_sub(previous);
        if *sum == 0 {
            totals.remove(endpoint);
        }
    }
    changed
}
