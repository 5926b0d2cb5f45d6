//! Enforces workspaces' rates over all entries. The owner of a workspace's rate shard lends shares
//! of the rate to the entries that admit calls; each entry is a borrower, and a lender for the
//! shards it owns.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::admission::{AdmissionDecision, BorrowRequest, Lender, LendingTimes, Loan};
use crate::contracts::Contract;
use crate::entry::core::Command;
use crate::entry::peers::STATUS_PATH;
use crate::entry::state::{Entry, ShardLocation};
use crate::http::CallError;
use crate::link::{ControlReply, ControlRequest};
use crate::prelude::*;
use crate::programs::Predecessor;

const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a call waits for a lender, unless the settings let it wait up to its deadline. While a
/// new owner takes a shard over, the shard has no lender, and calls of a workspace within its rate
/// should not be refused for that.
const MAX_LENDER_WAIT_MS: u64 = 6_000;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How many times a lender tries to have its ownership confirmed before it declines a request.
const MAX_CONFIRM_ATTEMPTS: usize = 10;

/// Why a call was refused by its workspace's rate limit.
#[value]
#[derive(Copy)]
pub(super) enum RateRefusal {
    /// The rate is used up; the next call can be admitted after this time.
    RateExceeded { wait_ms: u64 },
    /// No lender could be reached in time.
    NoLender,
    /// The log is unavailable, so that no lender can confirm that it still owns its shard.
    LogUnavailable,
}

/// The lenders of this entry's shards.
#[derive(Default)]
pub(super) struct Lenders {
    times: LendingTimes,
    by_shard: HashMap<ShardId, Lender>,
}

impl Lenders {
    /// Starts lending for a shard that this entry has just claimed.
    pub fn add(&mut self, now: TimeMs, shard: ShardId, predecessor: Predecessor) {
        let lender = match predecessor {
            Predecessor::None => Lender::first(self.times, now),
            Predecessor::Released => Lender::after_release(self.times, now),
            Predecessor::Unknown => Lender::new(self.times, now),
        };
        self.by_shard.insert(shard, lender);
    }

    /// Stops lending for a shard.
    pub fn remove(&mut self, shard: ShardId) {
        self.by_shard.remove(&shard);
    }
}

impl Entry {
    /// The shard whose owner lends the workspace's rate.
    fn rate_shard(&self, workspace: &WorkspaceId) -> ShardId {
        let digest = Digest::of(&[b"rate", workspace.as_str().as_bytes()]);
        ShardId((digest.prefix() % u64::from(self.settings.shards)) as u16)
    }

    /// Takes one call from a workspace's rate, waiting for a lender if the local share is used up.
    pub async fn acquire_rate(
        self: &Arc<Entry>,
        workspace: &WorkspaceId,
        deadline: TimeMs,
    ) -> Result<(), RateRefusal> {
        let waits_for_log = self.settings.waits_for_log;
        let give_up_at = match waits_for_log {
            true => deadline,
            false => self.clock.now().plus(MAX_LENDER_WAIT_MS).min(deadline),
        };
        loop {
            let now = self.clock.now();
            let admission = self.borrower().admit(now, workspace);
            match admission {
                AdmissionDecision::Admitted => {
                    self.prefetch_loan(workspace);
                    return Ok(());
                }
                AdmissionDecision::Refused { wait_ms } => {
                    return Err(RateRefusal::RateExceeded { wait_ms });
                }
                // A lender that can't reach the log may have been replaced, and must not lend.
                AdmissionDecision::NeedsLoan if self.is_log_failing() && !waits_for_log => {
                    return Err(RateRefusal::LogUnavailable);
                }
                AdmissionDecision::NeedsLoan => {}
            }
            let borrow_request = self.borrower().next_request(now, workspace, 1);
            match borrow_request {
                Some(borrow_request) => self.borrow(borrow_request).await,
                None => tokio::time::sleep(POLL_INTERVAL).await,
            }
            if self.clock.now() >= give_up_at {
                return Err(RateRefusal::NoLender);
            }
        }
    }

    /// Borrows more in the background when the local share runs low, so that no call has to wait.
    fn prefetch_loan(self: &Arc<Entry>, workspace: &WorkspaceId) {
        let mut borrower = self.borrower();
        if !borrower.should_prefetch(workspace) {
            return;
        }
        if let Some(borrow_request) = borrower.next_request(self.clock.now(), workspace, 0) {
            let entry = self.clone();
            tokio::spawn(async move { entry.borrow(borrow_request).await });
        }
    }

    async fn borrow(self: &Arc<Entry>, borrow_request: BorrowRequest) {
        let shard = self.rate_shard(&borrow_request.workspace);
        let reply = match self.locate(shard) {
            ShardLocation::Local => self.lend(borrow_request.clone()).await,
            ShardLocation::Remote(vm, _) => {
                self.borrow_remote(&vm, ControlRequest::Borrow(borrow_request.clone())).await
            }
        };
        match reply {
            ControlReply::Lent(loan) if loan.for_ms > 0 => {
                self.borrower().record_loan(self.clock.now(), &borrow_request, loan);
            }
            // There is no lender yet. Waiting calls ask again after a short pause.
            _ => {
                tokio::time::sleep(POLL_INTERVAL).await;
                self.borrower().record_failed_request(&borrow_request);
            }
        }
    }

    async fn borrow_remote(&self, vm: &VmName, request: ControlRequest) -> ControlReply {
        let peer = self.peers().peer_on(vm).map(|p| (p.heartbeat.control, p.heartbeat.address));
        let Some((control, address)) = peer else {
            return ControlReply::Declined;
        };
        match self.links.ask(control, request, PEER_TIMEOUT).await {
            Ok(reply) => reply,
            Err(_) => {
                self.probe_peer(vm, address).await;
                ControlReply::Declined
            }
        }
    }

    /// Checks whether anything still listens on the address of a peer that did not answer. If not,
    /// its process instance has ended, and its shards can be claimed before its heartbeats time
    /// out.
    async fn probe_peer(&self, vm: &VmName, address: SocketAddr) {
        let answer = self.http.get::<serde_json::Value>(address, STATUS_PATH, PEER_TIMEOUT).await;
        if answer == Err(CallError::NotSent) {
            self.peers().mark_dead(vm);
        }
    }

    /// Answers a borrower, which may be this entry itself.
    pub async fn lend(self: &Arc<Entry>, borrow_request: BorrowRequest) -> ControlReply {
        let shard = self.rate_shard(&borrow_request.workspace);
        let Some(contract) =
            self.current_config_state().contract(&borrow_request.workspace).cloned()
        else {
            return ControlReply::Declined;
        };
        for _ in 0..MAX_CONFIRM_ATTEMPTS {
            if let Some(loan) = self.try_lend(shard, &contract, &borrow_request) {
                return ControlReply::Lent(loan);
            }
            if self.locate(shard) != ShardLocation::Local {
                return ControlReply::Declined;
            }
            let _ = self.commands.send(Command::ConfirmOwnership { shard });
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        ControlReply::Declined
    }

    /// Lends if this entry's ownership of the shard was confirmed recently enough. Requests a new
    /// confirmation once half of that time has passed, so that lending is not interrupted.
    fn try_lend(
        &self,
        shard: ShardId,
        contract: &Contract,
        borrow_request: &BorrowRequest,
    ) -> Option<Loan> {
        let now = self.clock.now();
        let confirmed_at = self.owned_shards().get(&shard)?.confirmed_at;
        let mut lenders = self.lenders();
        let confirmation_valid_ms = lenders.times.confirmation_valid_ms;
        if now.since(confirmed_at) >= confirmation_valid_ms / 2 {
            let _ = self.commands.send(Command::ConfirmOwnership { shard });
        }
        if now.since(confirmed_at) >= confirmation_valid_ms {
            return None;
        }
        let limits = (u64::from(contract.rate_per_s), u64::from(contract.burst));
        Some(lenders.by_shard.get_mut(&shard)?.lend(now, confirmed_at, limits, borrow_request))
    }
}
