//! Borrows shares of workspaces' rates, and lends those that fall to this entry's shards.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::admission::{AdmissionDecision, BorrowRequest, Lender, LendingTimes, Loan};
use crate::contracts::Contract;
use crate::entry::core::Command;
use crate::entry::peers::STATUS;
use crate::entry::state::{Entry, Place};
use crate::http::CallError;
use crate::link::{ControlReply, ControlRequest};
use crate::prelude::*;
use crate::programs::Predecessor;

const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a call waits for a lender that is just taking over, rather than be turned away
/// although its workspace is within its rate.
const MAX_WAIT_MS: u64 = 6_000;
const POLL: Duration = Duration::from_millis(10);
/// Tries of a lender to have its ownership confirmed before it answers.
const CONFIRM_TRIES: usize = 10;

/// Why a call was not let in by its workspace's rate.
#[value]
#[derive(Copy)]
pub(super) enum RateRefusal {
    /// The rate is used up until after this time.
    UsedUp { wait_ms: u64 },
    /// No lender could be reached in time.
    NoLender,
    /// The log is out, and with it every lender.
    LogUnavailable,
}

/// The lenders of this entry's shards.
#[derive(Default)]
pub(super) struct Lenders {
    times: LendingTimes,
    by_shard: HashMap<ShardId, Lender>,
}

impl Lenders {
    /// Starts to lend for a shard that was taken over just now.
    pub fn open(&mut self, now: TimeMs, shard: ShardId, predecessor: Predecessor) {
        let lender = match predecessor {
            Predecessor::None => Lender::first(self.times, now),
            Predecessor::Released => Lender::after_release(self.times, now),
            Predecessor::Unknown => Lender::new(self.times, now),
        };
        self.by_shard.insert(shard, lender);
    }

    /// Stops to lend for a shard.
    pub fn close(&mut self, shard: ShardId) {
        self.by_shard.remove(&shard);
    }
}

impl Entry {
    fn rate_shard(&self, workspace: &WorkspaceId) -> ShardId {
        let digest = Digest::of(&[b"rate", workspace.as_str().as_bytes()]);
        ShardId((digest.prefix() % u64::from(self.settings.shards)) as u16)
    }

    /// Takes one call of a workspace's rate, or says when to come back.
    pub async fn take_rate(
        self: &Arc<Entry>,
        workspace: &WorkspaceId,
        deadline: TimeMs,
    ) -> Result<(), RateRefusal> {
        let waits_for_log = self.settings.waits_for_log;
        let give_up = match waits_for_log {
            true => deadline,
            false => self.clock.now().plus(MAX_WAIT_MS).min(deadline),
        };
        loop {
            let now = self.clock.now();
            let admission = self.borrower().admit(now, workspace);
            match admission {
                AdmissionDecision::Admitted => {
                    self.borrow_early(workspace);
                    return Ok(());
                }
                AdmissionDecision::Refused { wait_ms } => {
                    return Err(RateRefusal::UsedUp { wait_ms });
                }
                // A lender that can't ask the log may have been replaced, and must not lend.
                AdmissionDecision::NeedsLoan if self.is_log_failing() && !waits_for_log => {
                    return Err(RateRefusal::LogUnavailable);
                }
                AdmissionDecision::NeedsLoan => {}
            }
            let question = self.borrower().next_request(now, workspace, 1);
            match question {
                Some(question) => self.borrow(question).await,
                None => tokio::time::sleep(POLL).await,
            }
            if self.clock.now() >= give_up {
                return Err(RateRefusal::NoLender);
            }
        }
    }

    /// Asks for more before the share is used up, so that no call has to wait for it.
    fn borrow_early(self: &Arc<Entry>, workspace: &WorkspaceId) {
        let mut borrower = self.borrower();
        if !borrower.should_prefetch(workspace) {
            return;
        }
        if let Some(question) = borrower.next_request(self.clock.now(), workspace, 0) {
            let entry = self.clone();
            tokio::spawn(async move { entry.borrow(question).await });
        }
    }

    async fn borrow(self: &Arc<Entry>, question: BorrowRequest) {
        let shard = self.rate_shard(&question.workspace);
        let reply = match self.locate(shard) {
            Place::Here => self.lend(question.clone()).await,
            Place::There(vm, _) => {
                self.borrow_there(&vm, ControlRequest::Borrow(question.clone())).await
            }
        };
        match reply {
            ControlReply::Lent(loan) if loan.for_ms > 0 => {
                self.borrower().record_loan(self.clock.now(), &question, loan);
            }
            // No lender yet: the calls that wait ask again.
            _ => {
                tokio::time::sleep(POLL).await;
                self.borrower().record_failed_request(&question);
            }
        }
    }

    async fn borrow_there(&self, vm: &VmName, request: ControlRequest) -> ControlReply {
        let peer = self.peers().peer_on(vm).map(|p| (p.heartbeat.control, p.heartbeat.address));
        let Some((control, address)) = peer else {
            return ControlReply::NotMine;
        };
        match self.links.ask(control, request, ASK_TIMEOUT).await {
            Ok(reply) => reply,
            Err(_) => {
                self.probe(vm, address).await;
                ControlReply::NotMine
            }
        }
    }

    /// Finds out whether anything still listens where a silent peer did. If not, its run is gone,
    /// and its shards need not wait until its heartbeats are missed.
    async fn probe(&self, vm: &VmName, address: SocketAddr) {
        let answer = self.http.get::<serde_json::Value>(address, STATUS, ASK_TIMEOUT).await;
        if answer == Err(CallError::NotSent) {
            self.peers().mark_dead(vm);
        }
    }

    /// Answers a borrower, itself included.
    pub async fn lend(self: &Arc<Entry>, question: BorrowRequest) -> ControlReply {
        let shard = self.rate_shard(&question.workspace);
        let Some(contract) = self.current_book().contract(&question.workspace).cloned() else {
            return ControlReply::NotMine;
        };
        for _ in 0..CONFIRM_TRIES {
            if let Some(loan) = self.try_lend(shard, &contract, &question) {
                return ControlReply::Lent(loan);
            }
            if self.locate(shard) != Place::Here {
                return ControlReply::NotMine;
            }
            let _ = self.commands.send(Command::Confirm { shard });
            tokio::time::sleep(POLL).await;
        }
        ControlReply::NotMine
    }

    /// Lends, if this entry is known to own the shard; asks for a fresh confirmation in time.
    fn try_lend(
        &self,
        shard: ShardId,
        contract: &Contract,
        question: &BorrowRequest,
    ) -> Option<Loan> {
        let now = self.clock.now();
        let confirmed = self.owned().get(&shard)?.confirmed;
        let mut lenders = self.lenders();
        let confirmation_valid_ms = lenders.times.confirmation_valid_ms;
        if now.since(confirmed) >= confirmation_valid_ms / 2 {
            let _ = self.commands.send(Command::Confirm { shard });
        }
        if now.since(confirmed) >= confirmation_valid_ms {
            return None;
        }
        let limits = (u64::from(contract.rate_per_s), u64::from(contract.burst));
        Some(lenders.by_shard.get_mut(&shard)?.lend(now, confirmed, limits, question))
    }
}
