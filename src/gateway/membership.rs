//! Shards dealt to this process by the store's group, taken and given up.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use super::call_store::{STORE_CALL_TIMEOUT_MS, call_store};
use super::owned_shard::{OwnedShard, Stage};
use super::state::Gateway;
use super::writer::{lose, write_records};
use super::{Append, Assignment, StoreError};
use crate::mechanisms::Mechanism;
use crate::prelude::*;

/// Pause between two calls that keep the membership: a third of the shortest life of a
/// member that has fallen silent, so that two calls may fail.
const RENEW_MS: u64 = 400;

/// Pause after a call that brought a new deal. A shard that changes hands takes several calls: its last
/// owner shows that it has let go, and only then does the next one hear that it is its own. At the usual
/// pace turns find no owner for most of a second after each change.
const SETTLE_MS: u64 = 50;

/// Pause before a failed call is made again.
const RETRY_MS: u64 = 50;

/// How long turns under way may hold a shard that was dealt to another: ten mean turns.
const HANDOVER_MOST_MS: u64 = 1_000;

/// Pause between two looks at what is forgotten.
const EXPIRE_EVERY_MS: u64 = 5_000;

/// Room for the shards that one process takes within one generation, in the number of an epoch.
const TAKES_PER_GENERATION: u64 = 1 << 16;

/// What a deal has changed here.
enum Followed {
    Unchanged,
    Changed,
    /// Shards were handed over; the store should hear of it at once.
    HandedOver,
}

/// This process's membership in the group of owners.
pub(super) struct Membership {
    gateway: Rc<Gateway>,
    member: Arc<str>,
    takes: Cell<u64>,
}

impl Membership {
    pub(super) fn open(gateway: Rc<Gateway>) -> Rc<Membership> {
        let member = gateway.settings.name.clone();
        Rc::new(Membership { gateway, member, takes: Cell::new(0) })
    }

    /// Keeps the membership for as long as the process lives.
    ///
    /// While the store is away, no call to join is made: answers may be lost on the way back only, and
    /// a member that keeps joining without hearing of it would hold shards that nobody serves. The
    /// feeds tell when the store is back.
    ///
    /// The member's name is that of the VM: what an earlier life of this process still holds in the
    /// group is freed at once by its leaving, instead of staying unserved until it lapses.
    pub(super) async fn maintain(self: Rc<Self>) {
        if let Err(fault) =
            call_store(STORE_CALL_TIMEOUT_MS, self.gateway.store.leave(&self.member)).await
        {
            log::warn!(fault:display; "an earlier life could not be signed off");
        }
        // Turns of a shard come here from all entries. Owned before the endpoints are known, each would be
        // refused for want of an endpoint, though all of them are there.
        self.gateway.endpoint_list.wait_until_read().await;
        while !self.gateway.draining.get() {
            if self.gateway.reachability.is_away(self.gateway.now()) {
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                continue;
            }
            let pause_ms = match self.join().await {
                Ok(deal) => {
                    self.gateway.reachability.record_success(self.gateway.now());
                    match self.follow(deal).await {
                        Followed::HandedOver => continue,
                        Followed::Changed
                            if self.gateway.is_enabled(Mechanism::FastReassignment) =>
                        {
                            SETTLE_MS
                        }
                        Followed::Changed | Followed::Unchanged => RENEW_MS,
                    }
                }
                Err(fault) => {
                    self.gateway.reachability.record_failure(self.gateway.now(), &fault);
                    RETRY_MS
                }
            };
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(pause_ms)) => {}
                () = self.gateway.renew.notified() => {}
            }
        }
    }

    async fn join(&self) -> Result<Assignment, StoreError> {
        call_store(
            STORE_CALL_TIMEOUT_MS,
            self.gateway.store.join(&self.member, self.gateway.shards.generation()),
        )
        .await
    }

    /// Follows a deal.
    ///
    /// A shard that was dealt to another is that other's only once this member has shown the new
    /// generation, so that turns under way may end first.
    async fn follow(&self, deal: Assignment) -> Followed {
        if deal.generation == self.gateway.shards.generation() {
            self.take_new(&deal);
            return Followed::Unchanged;
        }
        let kept: HashSet<u32> = deal.shards.iter().copied().collect();
        let leaving: Vec<_> = self.gateway.shards.all_owned();
        let leaving: Vec<_> = leaving.into_iter().filter(|s| !kept.contains(&s.number)).collect();
        log::info!(generation = deal.generation, shards:? = deal.shards; "shards were dealt");
        hand_over(&self.gateway, &leaving).await;
        self.gateway.shards.dealt(deal.generation);
        self.gateway.gossip_due.notify_one();
        self.take_new(&deal);
        match leaving.is_empty() {
            true => Followed::Changed,
            false => Followed::HandedOver,
        }
    }

    /// Takes what was dealt and is not held. Each take has an epoch of its own, also when a shard
    /// that was lost is taken again within one generation.
    fn take_new(&self, deal: &Assignment) {
        for number in &deal.shards {
            if self.gateway.shards.owned(*number).is_none() {
                self.takes.set((self.takes.get() + 1) % TAKES_PER_GENERATION);
                let epoch = deal.generation * TAKES_PER_GENERATION + self.takes.get();
                let shard = OwnedShard::open(*number, epoch);
                self.gateway.shards.take(shard.clone());
                tokio::task::spawn_local(serve_shard(self.gateway.clone(), shard));
            }
        }
    }

    /// Gives all shards to the other members.
    pub(super) async fn leave(&self) {
        hand_over(&self.gateway, &self.gateway.shards.all_owned()).await;
        if let Err(fault) =
            call_store(STORE_CALL_TIMEOUT_MS, self.gateway.store.leave(&self.member)).await
        {
            log::warn!(fault:display; "the shards could not be signed off; they lapse");
        }
        self.gateway.gossip_due.notify_one();
    }
}

async fn hand_over(gateway: &Gateway, leaving: &[Rc<OwnedShard>]) {
    leaving.iter().for_each(|shard| shard.enter(Stage::Leaving));
    let started = gateway.now();
    while leaving.iter().any(|shard| shard.turns() > 0)
        && gateway.now().since(started) < HANDOVER_MOST_MS
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    leaving.iter().for_each(|shard| lose(gateway, shard));
}

/// Takes a shard over, then serves it until it is lost.
async fn serve_shard(gateway: Rc<Gateway>, shard: Rc<OwnedShard>) {
    if let Err(fault) = load(&gateway, &shard).await {
        log::warn!(shard = shard.number, epoch = shard.epoch, fault:display;
            "a shard could not be taken over");
        return lose(&gateway, &shard);
    }
    shard.enter(Stage::Serving);
    log::info!(shard = shard.number, epoch = shard.epoch; "a shard is served");
    gateway.shards.changed.notify_waiters();
    gateway.gossip_due.notify_one();
    tokio::select! {
        () = write_records(gateway.clone(), shard.clone()) => {}
        () = forget_old(&gateway, &shard) => {}
    }
}

/// Fences the earlier owner off, then reads what it has left. Nobody else writes meanwhile, so that
/// the pages fit together.
async fn load(gateway: &Gateway, shard: &OwnedShard) -> Result<(), StoreError> {
    let claim =
        Append { shard: shard.number, epoch: shard.epoch, sequence: 0, records: Vec::new() };
    persist(shard, || gateway.store.append(&claim)).await?;
    let mut after = None;
    loop {
        let page =
            persist(shard, || gateway.store.newest_records(shard.number, after.clone())).await?;
        let mut ledger = shard.ledger.borrow_mut();
        for (key, value) in &page.items {
            if let Err(fault) = ledger.load(key, value) {
                log::error!(shard = shard.number, fault:display; "a record was passed over");
            }
        }
        match page.next {
            Some(next) => after = Some(next),
            None => return Ok(()),
        }
    }
}

/// Makes a call until it is answered, or the shard is another's.
async fn persist<T, F: Future<Output = Result<T, StoreError>>>(
    shard: &OwnedShard,
    call: impl Fn() -> F,
) -> Result<T, StoreError> {
    loop {
        match call_store(STORE_CALL_TIMEOUT_MS, call()).await {
            Err(StoreError::NoAnswer(_) | StoreError::Refused(_) | StoreError::Unreadable(_))
                if shard.stage() != Stage::Lost =>
            {
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
            answer => return answer,
        }
    }
}

async fn forget_old(gateway: &Gateway, shard: &OwnedShard) {
    loop {
        tokio::time::sleep(Duration::from_millis(EXPIRE_EVERY_MS)).await;
        let dropped = shard.ledger.borrow_mut().expire(gateway.unix());
        if !dropped.is_empty() {
            drop(shard.writer.append(dropped));
        }
    }
}
