use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::Notify;

use super::owned_shard::{OwnedShard, Stage};
use crate::prelude::*;

/// The entry that owns a shard, and the epoch under which it does.
#[key]
pub(super) struct Owner {
    pub(super) address: SocketAddr,
    pub(super) epoch: u64,
}

/// The owners of all shards, as far as this entry knows them.
pub(super) struct ShardTable {
    count: u32,
    /// The generation of the latest assignment applied.
    generation: Cell<u64>,
    local: RefCell<HashMap<u32, Rc<OwnedShard>>>,
    remote: RefCell<HashMap<u32, Owner>>,
    /// Notified when this process starts to serve a shard or loses one, and when another entry
    /// claims one.
    pub(super) changed: Notify,
}

impl ShardTable {
    pub(super) fn open(count: u32) -> ShardTable {
        ShardTable {
            count,
            generation: Cell::new(0),
            local: RefCell::default(),
            remote: RefCell::default(),
            changed: Notify::new(),
        }
    }

    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// The generation of the latest assignment that this process has applied.
    pub(super) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Records that the assignment of this generation was applied.
    pub(super) fn set_generation(&self, generation: u64) {
        self.generation.set(generation);
    }

    /// The shard, if this process owns it.
    pub(super) fn owned(&self, shard: u32) -> Option<Rc<OwnedShard>> {
        self.local.borrow().get(&shard).cloned()
    }

    /// All shards that this process owns.
    pub(super) fn all_owned(&self) -> Vec<Rc<OwnedShard>> {
        self.local.borrow().values().cloned().collect()
    }

    /// The number of shards that this process serves.
    pub(super) fn serving_count(&self) -> u32 {
        let local = self.local.borrow();
        local.values().filter(|shard| shard.stage() == Stage::Serving).count() as u32
    }

    /// Adds a shard that this process owns under a new epoch.
    pub(super) fn insert_owned(&self, shard: Rc<OwnedShard>) {
        self.local.borrow_mut().insert(shard.number, shard);
    }

    /// Removes a shard that this process no longer owns.
    pub(super) fn remove_owned(&self, shard: u32) {
        self.local.borrow_mut().remove(&shard);
        self.changed.notify_waiters();
    }

    /// Records that another entry claims a shard, unless a later epoch is known.
    pub(super) fn update_remote_owner(&self, shard: u32, owner: Owner) {
        let mut remote = self.remote.borrow_mut();
        let known = remote.get(&shard).copied();
        if known.is_none_or(|known| known.epoch <= owner.epoch) && known != Some(owner) {
            remote.insert(shard, owner);
            drop(remote);
            self.changed.notify_waiters();
        }
    }

    /// Removes the entry at `address` as the owner of one shard, or of all shards if `None`.
    pub(super) fn forget_owner(&self, address: SocketAddr, shard: Option<u32>) {
        self.remote.borrow_mut().retain(|number, owner| {
            owner.address != address || shard.is_some_and(|shard| shard != *number)
        });
    }

    /// The other entry that owns the shard, if known.
    pub(super) fn remote_owner(&self, shard: u32) -> Option<Owner> {
        self.remote.borrow().get(&shard).copied()
    }

    /// The shards that other entries own: number, epoch and address of the owner.
    pub(super) fn remote_owners_by_shard(&self) -> Vec<(u32, u64, SocketAddr)> {
        let remote = self.remote.borrow();
        remote.iter().map(|(shard, owner)| (*shard, owner.epoch, owner.address)).collect()
    }

    /// The addresses of all other entries that own shards, sorted.
    pub(super) fn remote_owners(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<_> = self.remote.borrow().values().map(|o| o.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}
