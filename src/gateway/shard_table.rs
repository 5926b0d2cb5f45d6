use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::Notify;

use super::owned_shard::OwnedShard;
use crate::prelude::*;

/// Who owns a shard.
#[key]
pub(super) struct Owner {
    pub(super) address: SocketAddr,
    pub(super) epoch: u64,
}

/// Who owns which shard, as far as known.
pub(super) struct ShardTable {
    count: u32,
    /// Of the deal that this process follows.
    generation: Cell<u64>,
    own: RefCell<HashMap<u32, Rc<OwnedShard>>>,
    others: RefCell<HashMap<u32, Owner>>,
    /// Something changed.
    pub(super) changed: Notify,
}

impl ShardTable {
    pub(super) fn open(count: u32) -> ShardTable {
        ShardTable {
            count,
            generation: Cell::new(0),
            own: RefCell::default(),
            others: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// How many shards there are.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// The generation of the deal that this process follows.
    pub(super) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// A new deal is followed.
    pub(super) fn dealt(&self, generation: u64) {
        self.generation.set(generation);
    }

    /// The shard, if this process owns it.
    pub(super) fn owned(&self, shard: u32) -> Option<Rc<OwnedShard>> {
        self.own.borrow().get(&shard).cloned()
    }

    /// All shards that this process owns.
    pub(super) fn all_owned(&self) -> Vec<Rc<OwnedShard>> {
        self.own.borrow().values().cloned().collect()
    }

    /// Takes a shard, under a new epoch.
    pub(super) fn take(&self, shard: Rc<OwnedShard>) {
        self.own.borrow_mut().insert(shard.number, shard);
    }

    /// Gives a shard up.
    pub(super) fn give_up(&self, shard: u32) {
        self.own.borrow_mut().remove(&shard);
        self.changed.notify_waiters();
    }

    /// Another entry says that it owns a shard.
    pub(super) fn told(&self, shard: u32, owner: Owner) {
        let mut others = self.others.borrow_mut();
        let known = others.get(&shard).copied();
        if known.is_none_or(|known| known.epoch <= owner.epoch) && known != Some(owner) {
            others.insert(shard, owner);
            drop(others);
            self.changed.notify_waiters();
        }
    }

    /// The entry at `address` is gone, or says that it owns the shard no longer.
    pub(super) fn forget_owner(&self, address: SocketAddr, shard: Option<u32>) {
        self.others.borrow_mut().retain(|number, owner| {
            owner.address != address || shard.is_some_and(|shard| shard != *number)
        });
    }

    /// Another entry that owns the shard.
    pub(super) fn remote_owner(&self, shard: u32) -> Option<Owner> {
        self.others.borrow().get(&shard).copied()
    }

    /// The addresses of all other owners.
    pub(super) fn remote_owners(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<_> = self.others.borrow().values().map(|o| o.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}
