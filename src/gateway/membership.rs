//! Membership in the store's group of owners, and taking over and releasing the shards that the
//! group assigns to this process.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Mutex;

use super::call_store::{STORE_CALL_TIMEOUT_MS, call_store};
use super::owned_shard::{OwnedShard, Stage};
use super::read_body::NO_WORKSPACE;
use super::state::Gateway;
use super::writer::{end_ownership, run_writer};
use super::{Append, Assignment, StoreError};
use crate::mechanisms::Mechanism;
use crate::prelude::*;

/// Pause between two calls that renew the membership: a third of the shortest time after which a
/// membership without renewal expires, so that two calls in a row may fail.
const RENEW_MS: u64 = 400;

/// Pause after a call that returned a new assignment. Moving a shard takes several calls: its
/// previous owner confirms that it has released the shard, and only then is it assigned to the next
/// one. At the regular interval, turns would find no owner for most of a second after each change.
const REASSIGNMENT_RENEW_MS: u64 = 50;

/// Pause before a failed call is retried.
const RETRY_MS: u64 = 50;

/// How long turns in flight may delay the release of a shard that was reassigned: ten times the
/// mean duration of a turn.
const MAX_RELEASE_MS: u64 = 1_000;

/// Interval at which expired records are removed from a shard.
const EXPIRY_INTERVAL_MS: u64 = 5_000;

/// The number of epochs reserved for each generation, one for each time that this process takes a
/// shard within it. Epochs of a later generation are thus always greater.
const EPOCHS_PER_GENERATION: u64 = 1 << 16;

/// What an assignment has changed here.
enum AssignmentChange {
    Unchanged,
    Changed,
    /// Shards were released; the store should learn of it at once.
    Released,
}

/// This process's membership in the group of entries that own shards.
pub(super) struct Membership {
    gateway: Rc<Gateway>,
    member: Arc<str>,
    epochs_used: Cell<u64>,
    /// Held while the membership is renewed and while the group is left. A renewal that the store
    /// executed after the process has left would make it a member again, and assign it shards that
    /// nobody serves after its exit.
    renewing: Mutex<()>,
}

impl Membership {
    pub(super) fn open(gateway: Rc<Gateway>) -> Rc<Membership> {
        let member = gateway.settings.name.clone();
        Rc::new(Membership { gateway, member, epochs_used: Cell::new(0), renewing: Mutex::new(()) })
    }

    /// Renews the membership while this entry is a hub, until the process drains.
    ///
    /// While the store is unreachable, no renewals are sent: if only the answers are lost, a member
    /// that keeps renewing would be assigned shards that it doesn't know of and nobody serves. The
    /// calls that read the operator's instructions and the list of endpoints detect when the store
    /// is reachable again.
    ///
    /// The member is named after the VM. An earlier process instance may still be a member under
    /// the same name; leaving first frees its shards at once, which otherwise stay unserved until
    /// that membership expires.
    pub(super) async fn maintain(self: Rc<Self>) {
        if let Err(fault) =
            call_store(STORE_CALL_TIMEOUT_MS, self.gateway.store.leave(&self.member)).await
        {
            log::warn!(fault:display;
                "deregistering the earlier process instance failed; its membership will expire");
        }
        // The owner of a shard gets its turns from all entries. If it did not know the endpoints
        // yet, it would refuse them all for lack of an endpoint, although the endpoints are
        // running.
        self.gateway.endpoint_list.wait_until_read().await;
        while !self.gateway.draining.get() {
            if !self.gateway.is_hub() {
                tokio::select! {
                    () = self.gateway.hub_begun.notified() => {}
                    () = tokio::time::sleep(Duration::from_millis(RENEW_MS)) => {}
                }
                continue;
            }
            if self.gateway.reachability.is_unreachable(self.gateway.now()) {
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                continue;
            }
            let pause_ms = match self.renew().await {
                Some(AssignmentChange::Released) => continue,
                Some(AssignmentChange::Changed)
                    if self.gateway.is_enabled(Mechanism::FastReassignment) =>
                {
                    REASSIGNMENT_RENEW_MS
                }
                Some(AssignmentChange::Changed | AssignmentChange::Unchanged) => RENEW_MS,
                None => RETRY_MS,
            };
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(pause_ms)) => {}
                () = self.gateway.renewal_due.notified() => {}
            }
        }
    }

    /// Renews the membership and applies the assignment, unless the process drains. Returns what has
    /// changed, or none if the store has not answered.
    async fn renew(&self) -> Option<AssignmentChange> {
        let _renewing = self.renewing.lock().await;
        if self.gateway.draining.get() {
            return None;
        }
        match self.join().await {
            Ok(assignment) => {
                self.gateway.reachability.record_success(self.gateway.now());
                Some(self.apply_assignment(assignment).await)
            }
            Err(fault) => {
                self.gateway.reachability.record_failure(self.gateway.now(), &fault);
                None
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

    /// Applies an assignment.
    ///
    /// A shard that moves to another member is assigned to it only once this member has confirmed
    /// the new generation with its next renewal, so that turns in flight can finish first.
    async fn apply_assignment(&self, assignment: Assignment) -> AssignmentChange {
        if assignment.generation == self.gateway.shards.generation() {
            self.take_assigned(&assignment);
            return AssignmentChange::Unchanged;
        }
        let kept: HashSet<u32> = assignment.shards.iter().copied().collect();
        let to_release: Vec<_> = self.gateway.shards.all_owned();
        let to_release: Vec<_> =
            to_release.into_iter().filter(|s| !kept.contains(&s.number)).collect();
        log::info!(generation = assignment.generation, shards:? = assignment.shards;
            "new assignment of shards");
        release_shards(&self.gateway, &to_release).await;
        self.gateway.shards.set_generation(assignment.generation);
        self.gateway.gossip_due.notify_one();
        self.take_assigned(&assignment);
        match to_release.is_empty() {
            true => AssignmentChange::Changed,
            false => AssignmentChange::Released,
        }
    }

    /// Takes over the assigned shards that are not owned yet, unless the process drains. Each takeover
    /// gets a new epoch, also if a shard is lost and taken again within one generation.
    fn take_assigned(&self, assignment: &Assignment) {
        if self.gateway.draining.get() {
            return;
        }
        for number in &assignment.shards {
            if self.gateway.shards.owned(*number).is_none() {
                self.epochs_used.set((self.epochs_used.get() + 1) % EPOCHS_PER_GENERATION);
                let epoch = assignment.generation * EPOCHS_PER_GENERATION + self.epochs_used.get();
                let shard = OwnedShard::open(*number, epoch);
                self.gateway.shards.insert_owned(shard.clone());
                tokio::task::spawn_local(serve_shard(self.gateway.clone(), shard));
            }
        }
    }

    /// Tells the other entries that this one is shutting down, and leaves the group once the turns in
    /// flight have finished, so that the other members get its shards.
    ///
    /// Turns that take longer go on here. They are recorded until the next owner of their shard fences
    /// this one, and are handed off to it from then on. If all entries shut down there is none, and a
    /// turn that could not be recorded would never end at its caller.
    pub(super) async fn leave(&self) {
        self.gateway.peers.borrow_mut().set_leaving();
        self.gateway.gossip_due.notify_one();
        let owned = self.gateway.shards.all_owned();
        let finished = finish_turns(&self.gateway, &owned);
        let (_renewing, ()) = tokio::join!(self.renewing.lock(), finished);
        if !self.gateway.is_hub() {
            return;
        }
        if let Err(fault) =
            call_store(STORE_CALL_TIMEOUT_MS, self.gateway.store.leave(&self.member)).await
        {
            log::warn!(fault:display;
                "leaving the group of owners failed; the membership will expire");
        }
        self.gateway.gossip_due.notify_one();
    }
}

/// Releases shards once their turns in flight have finished, or after [`MAX_RELEASE_MS`].
async fn release_shards(gateway: &Gateway, to_release: &[Rc<OwnedShard>]) {
    finish_turns(gateway, to_release).await;
    to_release.iter().for_each(|shard| end_ownership(gateway, shard));
}

/// Lets shards take no new turns, and waits until those in flight have finished, for at most
/// [`MAX_RELEASE_MS`].
async fn finish_turns(gateway: &Gateway, shards: &[Rc<OwnedShard>]) {
    shards.iter().for_each(|shard| shard.set_stage(Stage::Draining));
    let started = gateway.now();
    while shards.iter().any(|shard| shard.turns_in_flight() > 0)
        && gateway.now().since(started) < MAX_RELEASE_MS
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Takes over a shard, then serves it until it is lost.
async fn serve_shard(gateway: Rc<Gateway>, shard: Rc<OwnedShard>) {
    if let Err(fault) = fence_and_load(&gateway, &shard).await {
        log::warn!(shard = shard.number, epoch = shard.epoch, fault:display;
            "taking over a shard failed; giving it up");
        return end_ownership(&gateway, &shard);
    }
    if shard.stage() == Stage::Draining {
        // The process is shutting down: another entry is to serve the shard.
        return end_ownership(&gateway, &shard);
    }
    shard.set_stage(Stage::Serving);
    log::info!(shard = shard.number, epoch = shard.epoch; "serving a shard");
    gateway.shards.changed.notify_waiters();
    gateway.gossip_due.notify_one();
    tokio::select! {
        () = run_writer(gateway.clone(), shard.clone()) => {}
        () = remove_expired_records(&gateway, &shard) => {}
    }
}

/// Fences the previous owner by appending under the new epoch, then reads the shard's records.
/// Since nobody else can write in the meantime, the pages are consistent with each other.
async fn fence_and_load(gateway: &Gateway, shard: &OwnedShard) -> Result<(), StoreError> {
    let claim =
        Append { shard: shard.number, epoch: shard.epoch, sequence: 0, records: Vec::new() };
    retry(shard, || gateway.store.append(&claim)).await?;
    let mut after = None;
    loop {
        let page =
            retry(shard, || gateway.store.newest_records(shard.number, after.clone())).await?;
        for (key, value) in &page.items {
            match shard.load(key, value) {
                Ok(None) => {}
                Ok(Some(turn)) => {
                    // A record does not tell the workspace of its turn.
                    let workspace = NO_WORKSPACE.into();
                    shard.count_history(&gateway.caller_memory, &workspace, turn, value.len());
                }
                Err(fault) => log::error!(shard = shard.number, fault:display;
                    "skipping a record that can't be loaded"),
            }
        }
        match page.next {
            Some(next) => after = Some(next),
            None => return Ok(()),
        }
    }
}

/// Retries a call until it succeeds, the shard is lost, or the error is final.
async fn retry<T, F: Future<Output = Result<T, StoreError>>>(
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

/// Removes expired records from the ledger and the store.
async fn remove_expired_records(gateway: &Gateway, shard: &OwnedShard) {
    loop {
        tokio::time::sleep(Duration::from_millis(EXPIRY_INTERVAL_MS)).await;
        shard.remove_expired(gateway.unix());
    }
}
