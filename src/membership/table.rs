use std::collections::HashMap;
use std::net::SocketAddr;

use slotmap::SlotMap;

use crate::membership::{Heartbeat, Liveness, LivenessEvent, PeerState, Role, RoleStatus, VmList};
use crate::prelude::*;

slotmap::new_key_type! {
    /// Identifies a peer in a [`PeerTable`].
    pub struct PeerKey;
}

/// Times without a heartbeat after which a peer is suspected, considered dead and removed.
#[value]
#[derive(Copy)]
pub struct LivenessTimeouts {
    /// Time without a heartbeat after which a peer is suspected and gets no new work.
    pub suspect_ms: u64,
    /// Time without a heartbeat after which a peer is considered dead.
    pub dead_ms: u64,
    /// Time without a heartbeat after which a peer is removed from the table.
    pub remove_ms: u64,
}

impl LivenessTimeouts {
    /// The timeouts for a heartbeat interval: a peer is suspected after three missed heartbeats
    /// (plus half an interval) and dead after eight.
    pub fn for_heartbeat(heartbeat_ms: u64) -> LivenessTimeouts {
        LivenessTimeouts {
            suspect_ms: heartbeat_ms * 3 + heartbeat_ms / 2,
            dead_ms: heartbeat_ms * 8,
            remove_ms: heartbeat_ms * 400,
        }
    }
}

/// Another process of the cluster.
pub struct Peer {
    /// The latest heartbeat received.
    pub heartbeat: Heartbeat,
    /// When that heartbeat arrived.
    pub heard_at: TimeMs,
    /// Hash of the VM's name, for ranking peers.
    pub vm_hash: u64,
    liveness: Liveness,
    listed_leaving: bool,
}

impl Peer {
    /// Whether the peer accepts new work, as far as this process knows.
    pub fn is_live(&self) -> bool {
        self.liveness.is_live() && !self.listed_leaving
    }

    /// Whether the peer is considered dead.
    pub fn is_dead(&self) -> bool {
        self.liveness.is_dead()
    }

    /// The peer's process instance on its VM.
    pub fn endpoint_ref(&self) -> EndpointRef {
        EndpointRef { vm: self.heartbeat.vm.clone(), instance: self.heartbeat.instance }
    }
}

/// The other processes of the cluster, as observed by this one.
pub struct PeerTable {
    timeouts: LivenessTimeouts,
    peers: SlotMap<PeerKey, Peer>,
    by_vm: HashMap<VmName, PeerKey>,
    vm_list: VmList,
}

impl PeerTable {
    /// Creates an empty table.
    pub fn new(timeouts: LivenessTimeouts) -> PeerTable {
        PeerTable {
            timeouts,
            peers: SlotMap::with_key(),
            by_vm: HashMap::new(),
            vm_list: VmList::default(),
        }
    }

    /// Records a heartbeat. Returns whether it is the first one of its process instance.
    pub fn record_heartbeat(&mut self, now: TimeMs, heartbeat: Heartbeat) -> bool {
        let known = self.by_vm.get(&heartbeat.vm).and_then(|key| self.peers.get_mut(*key));
        let event = match heartbeat.state {
            PeerState::Live => LivenessEvent::HeartbeatLive,
            PeerState::Leaving => LivenessEvent::HeartbeatLeaving,
        };
        match known {
            Some(peer) if peer.heartbeat.instance == heartbeat.instance => {
                if peer.heartbeat.sequence < heartbeat.sequence {
                    peer.heartbeat = heartbeat;
                    peer.heard_at = now;
                    peer.liveness.handle(event);
                }
                false
            }
            // A delayed datagram from an earlier instance on the VM.
            Some(peer) if peer.heartbeat.started > heartbeat.started => false,
            _ => {
                self.add(now, heartbeat, event);
                true
            }
        }
    }

    fn add(&mut self, now: TimeMs, heartbeat: Heartbeat, event: LivenessEvent) {
        if let Some(old) = self.by_vm.remove(&heartbeat.vm) {
            self.peers.remove(old);
        }
        let vm = heartbeat.vm.clone();
        let mut liveness = Liveness::new();
        liveness.handle(event);
        let vm_hash = Digest::of(&[vm.as_str().as_bytes()]).prefix();
        let peer = Peer { heartbeat, heard_at: now, vm_hash, liveness, listed_leaving: false };
        let key = self.peers.insert(peer);
        self.by_vm.insert(vm, key);
        self.update_listed_leaving();
    }

    /// Replaces the platform's VM list.
    pub fn set_vm_list(&mut self, list: VmList) {
        self.vm_list = list;
        self.update_listed_leaving();
    }

    /// Updates which peers are listed as leaving. One that is no longer listed keeps its state: if it
    /// was leaving, the platform has removed its VM or is about to.
    fn update_listed_leaving(&mut self) {
        for peer in self.peers.values_mut() {
            let listed = self.vm_list.vms.iter().find(|vm| vm.vm == peer.heartbeat.vm.as_str());
            peer.listed_leaving = listed.map_or(peer.listed_leaving, |vm| vm.is_leaving());
        }
    }

    /// Marks peers as suspect or dead, or removes them, by the time since their last heartbeat.
    pub fn tick(&mut self, now: TimeMs) {
        for peer in self.peers.values_mut() {
            let silent_ms = now.since(peer.heard_at);
            if silent_ms >= self.timeouts.dead_ms {
                peer.liveness.handle(LivenessEvent::Failed);
            } else if silent_ms >= self.timeouts.suspect_ms {
                peer.liveness.handle(LivenessEvent::SuspectTimeout);
            }
        }
        let remove_ms = self.timeouts.remove_ms;
        self.peers.retain(|_, peer| now.since(peer.heard_at) < remove_ms);
        self.by_vm.retain(|_, key| self.peers.contains_key(*key));
    }

    /// Marks a peer as dead because its address refused a connection: no process listens there any
    /// more.
    pub fn mark_dead(&mut self, vm: &VmName) {
        if let Some(peer) = self.by_vm.get(vm).and_then(|key| self.peers.get_mut(*key)) {
            peer.liveness.handle(LivenessEvent::Failed);
        }
    }

    /// All peers, dead ones included.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// The peer on a VM.
    pub fn peer_on(&self, vm: &VmName) -> Option<&Peer> {
        self.peers.get(*self.by_vm.get(vm)?)
    }

    /// Entries that accept new work.
    pub fn live_entries(&self) -> impl Iterator<Item = &Peer> {
        self.all().filter(|peer| peer.heartbeat.role() == Role::Entry && peer.is_live())
    }

    /// The other entries that are not considered dead, also those that leave.
    pub fn entries_not_dead(&self) -> impl Iterator<Item = &Peer> {
        self.all().filter(|peer| peer.heartbeat.role() == Role::Entry && !peer.is_dead())
    }

    /// Processes beside endpoints of this model or service that accept new work.
    pub fn live_endpoints<'a>(&'a self, target: &'a ModelName) -> impl Iterator<Item = &'a Peer> {
        let serves = move |peer: &&Peer| match &peer.heartbeat.role_status {
            RoleStatus::Endpoint { serves, .. } => serves == target,
            RoleStatus::Entry { .. } => false,
        };
        self.all().filter(|peer| peer.is_live()).filter(serves)
    }

    /// The peer that owns a shard under the highest epoch, among those not considered dead.
    pub fn owner_of(&self, shard: ShardId) -> Option<(&Peer, Epoch)> {
        let epoch_of = |peer: &Peer| match &peer.heartbeat.role_status {
            RoleStatus::Entry { owned, .. } => {
                owned.iter().find(|(id, _)| *id == shard).map(|(_, epoch)| *epoch)
            }
            RoleStatus::Endpoint { .. } => None,
        };
        let owners = self.all().filter(|peer| !peer.is_dead());
        owners.filter_map(|peer| Some((peer, epoch_of(peer)?))).max_by_key(|(_, epoch)| *epoch)
    }

    /// Where to send heartbeats: the listed entries and all entries heard from that are not dead.
    pub fn heartbeat_targets(&self) -> Vec<SocketAddr> {
        let listed = self.vm_list.vms.iter().filter(|vm| vm.is_entry()).map(|vm| vm.address);
        let entries = self.all().filter(|peer| peer.heartbeat.role() == Role::Entry);
        let heard = entries.filter(|peer| !peer.is_dead()).map(|peer| peer.heartbeat.address);
        let mut targets: Vec<SocketAddr> = listed.chain(heard).collect();
        targets.sort();
        targets.dedup();
        targets
    }

    /// Number of entries in the platform's list.
    pub fn listed_entries(&self) -> usize {
        self.vm_list.vms.iter().filter(|vm| vm.is_entry()).count()
    }

    /// Whether a heartbeat has arrived from every listed entry other than `me`.
    pub fn heard_all_listed_entries(&self, me: &VmName) -> bool {
        let others = self.vm_list.vms.iter().filter(|vm| vm.is_entry() && vm.vm != me.as_str());
        others.into_iter().all(|vm| self.by_vm.keys().any(|heard| heard.as_str() == vm.vm))
    }
}
