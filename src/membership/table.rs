use std::collections::HashMap;
use std::net::SocketAddr;

use slotmap::SlotMap;

use crate::membership::{Heartbeat, Life, LifeEvent, PeerState, Role, RoleStatus, VmList};
use crate::prelude::*;

slotmap::new_key_type! {
    /// A peer in a [`PeerTable`].
    pub struct PeerKey;
}

/// When silence becomes suspicion, death and oblivion.
#[value]
#[derive(Copy)]
pub struct LivenessTimeouts {
    /// Silence that makes a peer suspect.
    pub suspect_ms: u64,
    /// Silence that makes it dead.
    pub dead_ms: u64,
    /// Silence after which it is forgotten.
    pub forget_ms: u64,
}

impl LivenessTimeouts {
    /// Three missed heartbeats raise suspicion, eight mean death.
    pub fn for_heartbeat(heartbeat_ms: u64) -> LivenessTimeouts {
        LivenessTimeouts {
            suspect_ms: heartbeat_ms * 3 + heartbeat_ms / 2,
            dead_ms: heartbeat_ms * 8,
            forget_ms: heartbeat_ms * 400,
        }
    }
}

/// Another process of the system.
pub struct Peer {
    /// The newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When it came.
    pub heard_at: TimeMs,
    /// Stands for the VM where peers are ranked.
    pub vm_hash: u64,
    life: Life,
    listed_leaving: bool,
}

impl Peer {
    /// Whether it takes new work, as far as is known.
    pub fn is_live(&self) -> bool {
        self.life.is_live() && !self.listed_leaving
    }

    /// Whether it counts as gone.
    pub fn is_dead(&self) -> bool {
        self.life.is_dead()
    }

    /// Its run.
    pub fn endpoint_ref(&self) -> EndpointRef {
        EndpointRef { vm: self.heartbeat.vm.clone(), instance: self.heartbeat.instance }
    }
}

/// The other processes, as this one sees them.
pub struct PeerTable {
    timings: LivenessTimeouts,
    peers: SlotMap<PeerKey, Peer>,
    by_vm: HashMap<VmName, PeerKey>,
    listed: VmList,
}

impl PeerTable {
    /// An empty table.
    pub fn new(timings: LivenessTimeouts) -> PeerTable {
        PeerTable {
            timings,
            peers: SlotMap::with_key(),
            by_vm: HashMap::new(),
            listed: VmList::default(),
        }
    }

    /// Takes a heartbeat. Returns whether it came from a run that was not known.
    pub fn record_heartbeat(&mut self, now: TimeMs, heartbeat: Heartbeat) -> bool {
        let known = self.by_vm.get(&heartbeat.vm).and_then(|key| self.peers.get_mut(*key));
        let event = match heartbeat.state {
            PeerState::Live => LifeEvent::HeardLive,
            PeerState::Leaving => LifeEvent::HeardLeaving,
        };
        match known {
            Some(peer) if peer.heartbeat.instance == heartbeat.instance => {
                if peer.heartbeat.sequence < heartbeat.sequence {
                    peer.heartbeat = heartbeat;
                    peer.heard_at = now;
                    peer.life.handle(event);
                }
                false
            }
            // A late datagram of the run before.
            Some(peer) if peer.heartbeat.started > heartbeat.started => false,
            _ => {
                self.add(now, heartbeat, event);
                true
            }
        }
    }

    fn add(&mut self, now: TimeMs, heartbeat: Heartbeat, event: LifeEvent) {
        if let Some(old) = self.by_vm.remove(&heartbeat.vm) {
            self.peers.remove(old);
        }
        let vm = heartbeat.vm.clone();
        let mut life = Life::new();
        life.handle(event);
        let vm_hash = Digest::of(&[vm.as_str().as_bytes()]).prefix();
        let peer = Peer { heartbeat, heard_at: now, vm_hash, life, listed_leaving: false };
        let key = self.peers.insert(peer);
        self.by_vm.insert(vm, key);
        self.mark_listed();
    }

    /// Takes the platform's list.
    pub fn set_vm_list(&mut self, list: VmList) {
        self.listed = list;
        self.mark_listed();
    }

    fn mark_listed(&mut self) {
        for peer in self.peers.values_mut() {
            let listed = self.listed.vms.iter().find(|vm| vm.vm == peer.heartbeat.vm.as_str());
            peer.listed_leaving = listed.is_some_and(|vm| vm.is_leaving());
        }
    }

    /// Lets time pass: silence turns into suspicion, death and oblivion.
    pub fn tick(&mut self, now: TimeMs) {
        for peer in self.peers.values_mut() {
            let silent_ms = now.since(peer.heard_at);
            if silent_ms >= self.timings.dead_ms {
                peer.life.handle(LifeEvent::SilentLong);
            } else if silent_ms >= self.timings.suspect_ms {
                peer.life.handle(LifeEvent::Silent);
            }
        }
        let forget_ms = self.timings.forget_ms;
        self.peers.retain(|_, peer| now.since(peer.heard_at) < forget_ms);
        self.by_vm.retain(|_, key| self.peers.contains_key(*key));
    }

    /// Takes note that nothing listens any more where a peer did: its run is gone.
    pub fn mark_dead(&mut self, vm: &VmName) {
        if let Some(peer) = self.by_vm.get(vm).and_then(|key| self.peers.get_mut(*key)) {
            peer.life.handle(LifeEvent::SilentLong);
        }
    }

    /// Every peer.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// The peer on a VM.
    pub fn peer_on(&self, vm: &VmName) -> Option<&Peer> {
        self.peers.get(*self.by_vm.get(vm)?)
    }

    /// Entries that take new work.
    pub fn live_entries(&self) -> impl Iterator<Item = &Peer> {
        self.all().filter(|peer| peer.heartbeat.role() == Role::Entry && peer.is_live())
    }

    /// Processes beside endpoints that take new work for a model or service.
    pub fn live_endpoints<'a>(&'a self, target: &'a ModelName) -> impl Iterator<Item = &'a Peer> {
        let serves = move |peer: &&Peer| match &peer.heartbeat.role_status {
            RoleStatus::Endpoint { serves, .. } => serves == target,
            RoleStatus::Entry { .. } => false,
        };
        self.all().filter(|peer| peer.is_live()).filter(serves)
    }

    /// The peer that owns a shard under the newest epoch, unless it counts as gone.
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

    /// Where heartbeats go: the listed entries, and every entry that was heard.
    pub fn heartbeat_targets(&self) -> Vec<SocketAddr> {
        let listed = self.listed.vms.iter().filter(|vm| vm.is_entry()).map(|vm| vm.address);
        let entries = self.all().filter(|peer| peer.heartbeat.role() == Role::Entry);
        let heard = entries.filter(|peer| !peer.is_dead()).map(|peer| peer.heartbeat.address);
        let mut targets: Vec<SocketAddr> = listed.chain(heard).collect();
        targets.sort();
        targets.dedup();
        targets
    }

    /// Entries that the platform lists.
    pub fn listed_entries(&self) -> usize {
        self.listed.vms.iter().filter(|vm| vm.is_entry()).count()
    }

    /// Whether every listed entry but `me` has been heard.
    pub fn heard_all_listed_entries(&self, me: &VmName) -> bool {
        let others = self.listed.vms.iter().filter(|vm| vm.is_entry() && vm.vm != me.as_str());
        others.into_iter().all(|vm| self.by_vm.keys().any(|heard| heard.as_str() == vm.vm))
    }
}
