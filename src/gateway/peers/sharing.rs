//! Which entries share the workspaces' rates with this one, and which of them may count.

use std::net::SocketAddr;

use super::{HEARD_RECENTLY_MS, Peer, Peers};
use crate::gateway::hubs::CountingCandidate;
use crate::prelude::*;
use crate::quota::PeerCounts;

/// A hub counts for workspaces only while half of the others were heard for no longer than this: one
/// that is cut off goes on to admit its own callers' requests until it notices.
const HEARD_NOW_MS: u64 = 250;

/// Pause before a silent entry is connected to again.
const PROBE_INTERVAL_MS: u64 = 2_000;

impl Peers {
    /// Whether this entry and all others that may run are shutting down.
    ///
    /// Entries that stay share the rates among themselves, own the shards, and serve until after those
    /// that leave have exited. If none stays, those that leave share the rates as long as they run.
    pub(in crate::gateway) fn all_leave(&self) -> bool {
        self.is_leaving && self.peers.values().all(|peer| peer.leaving || !peer.may_run())
    }

    /// Whether this entry may count the requests of workspaces: it stays, or no other one does.
    pub(in crate::gateway) fn may_count_here(&self) -> bool {
        !self.is_leaving || self.all_leave()
    }

    /// The hubs heard recently that may count the requests of workspaces.
    pub(in crate::gateway) fn counting_candidates(&self, now: TimeMs) -> Vec<CountingCandidate> {
        let all_leave = self.all_leave();
        let may_count = |peer: &Peer| peer.is_heard_recently(now) && (all_leave || !peer.leaving);
        let hubs = self.peers.iter().filter(|(_, peer)| may_count(peer));
        let candidates = hubs.map(|(address, peer)| CountingCandidate {
            address: *address,
            cpu_millicores: peer.cpu_millicores,
            knows_windows: peer.knows_windows,
        });
        candidates.collect()
    }

    /// Whether at least half of the entries that share the rates were heard just now.
    pub(in crate::gateway) fn hears_half_now(&self, now: TimeMs) -> bool {
        let is_heard = |peer: &Peer| peer.heard_at.is_some_and(|at| now.since(at) < HEARD_NOW_MS);
        self.count_sharing(is_heard).hears_half()
    }

    /// Records whether an entry has observed whole windows.
    pub(in crate::gateway) fn record_knowledge(
        &mut self,
        address: SocketAddr,
        knows_windows: bool,
    ) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.knows_windows = knows_windows;
        }
    }

    /// Whether a hub is heard that may count and knows the windows.
    pub(in crate::gateway) fn hears_knowing(&self, now: TimeMs) -> bool {
        self.counting_candidates(now).iter().any(|hub| hub.knows_windows)
    }

    /// The entries that are silent and have not been connected to for a while, to learn whether they
    /// have ended.
    pub(in crate::gateway) fn take_unprobed(&mut self, now: TimeMs) -> Vec<SocketAddr> {
        let is_due = |peer: &Peer| {
            let is_silent = now.since(peer.heard_at.unwrap_or(peer.last_known_at));
            let is_silent = is_silent >= HEARD_RECENTLY_MS && !peer.is_dead();
            is_silent && peer.probed_at.is_none_or(|at| now.since(at) >= PROBE_INTERVAL_MS)
        };
        let due = self.peers.iter_mut().filter(|(_, peer)| is_due(peer));
        let due = due.map(|(address, peer)| {
            peer.probed_at = Some(now);
            *address
        });
        due.collect()
    }

    /// Records that the entry's current process instance has ended. A message from it shows that it
    /// has not.
    pub(in crate::gateway) fn mark_dead(&mut self, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.dead_instance = Some(peer.instance);
        }
    }

    /// How many entries share the workspaces' rates now, and how many of them were heard recently.
    pub(in crate::gateway) fn peer_counts(&self, now: TimeMs) -> PeerCounts {
        self.count_sharing(|peer| peer.is_heard_recently(now))
    }

    /// How many entries share the workspaces' rates, and how many of them are heard.
    fn count_sharing(&self, is_heard: impl Fn(&Peer) -> bool) -> PeerCounts {
        let all_leave = self.all_leave();
        let may_admit = |peer: &&Peer| peer.may_run() && (all_leave || !peer.leaving);
        let (mut others, mut heard) = (0, 0);
        for peer in self.peers.values().filter(may_admit) {
            others += 1;
            heard += u32::from(is_heard(peer));
        }
        PeerCounts { entries: others + 1, heard: heard + 1 }
    }
}
