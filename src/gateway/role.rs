//! The part that this entry plays among the entries: hub or leaf.

use super::PeerRecord;
use super::hubs::{HubLimit, Role};
use super::state::Gateway;
use crate::prelude::*;

impl Gateway {
    /// The hash of this entry's name.
    pub(super) fn name_hash(&self) -> u64 {
        Digest::of(&[self.settings.name.as_bytes()]).prefix()
    }

    /// How the other entries reach this one. The epoch is set when it is announced.
    pub(super) fn own_record(&self, is_hub: bool) -> PeerRecord {
        PeerRecord {
            name: self.settings.name.clone(),
            address: self.settings.peers,
            region: Some(self.settings.topology.region.clone()),
            domain: Some(self.settings.topology.domain.clone()),
            cpu_millicores: self.settings.cpu_millicores,
            is_hub,
            surges: self.surges_to_record(),
            epoch: 0,
        }
    }

    /// The surges to record in the store. As long as this entry does not know the windows, those that
    /// its earlier process instance recorded stay.
    pub(super) fn surges_to_record(&self) -> Vec<u64> {
        let mut surges = self.rates.borrow().surges_to_record(self.now());
        if self.role.get() == Role::Undecided || self.is_recent_hub() {
            surges.extend(self.roster.borrow().surges_of(&self.settings.name));
            surges.sort_unstable();
            surges.dedup();
        }
        surges
    }

    /// How many entries are hubs.
    pub(super) fn hub_limit(&self) -> HubLimit {
        HubLimit::new(self.settings.max_hubs, self.settings.topology.regions.len())
    }

    /// The part that this entry plays among the entries.
    pub(super) fn role(&self) -> Role {
        self.role.get()
    }

    pub(super) fn is_hub(&self) -> bool {
        matches!(self.role.get(), Role::Hub { .. })
    }

    pub(super) fn is_leaf(&self) -> bool {
        self.role.get() == Role::Leaf
    }

    /// Makes this entry a leaf, at its start.
    pub(super) fn become_leaf(&self) {
        self.role.set(Role::Leaf);
    }

    /// Makes this entry a hub. It counts the workspaces' rates anew and knows none of the others
    /// but those that were announced.
    pub(super) fn become_hub(&self) {
        let now = self.now();
        let instance = instance_id(&self.settings.name, self.unix());
        if self.is_leaf() {
            self.peers.borrow_mut().clear();
            if let Some(catalog) = self.active_config.catalog() {
                self.rates.borrow_mut().reset(now, catalog.workspaces());
            }
        }
        let surges = self.roster.borrow().all_surges();
        self.rates.borrow_mut().set_surges_before_start(surges);
        self.role.set(Role::Hub { instance, since: now });
        self.hub_begun.notify_waiters();
        self.gossip_due.notify_one();
    }

    /// Whether this entry has been a hub for less than a rate window, so that all that it has
    /// admitted as one lies within the window.
    pub(super) fn is_recent_hub(&self) -> bool {
        match self.role.get() {
            Role::Hub { since, .. } => {
                self.now().since(since) < self.settings.bounds.rate_window.length_ms
            }
            Role::Undecided | Role::Leaf => false,
        }
    }
}

/// The id of a process instance as a hub. It differs from those of earlier instances on the same
/// VM, and of other VMs, some of which start within the same millisecond: the counts of entries
/// that shared an id would be mixed up, and rates exceeded. Ids have no order.
pub(super) fn instance_id(vm: &str, started: UnixMs) -> u64 {
    Digest::of(&[vm.as_bytes(), &started.0.to_be_bytes()]).prefix()
}
