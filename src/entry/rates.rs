//! Borrows shares of workspaces' rates, and lends those that fall to this entry's shards.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::{Admission, BorrowRequest, Lender, LendingTimes, Loan};
use crate::contracts::Contract;
use crate::entry::core::Command;
use crate::entry::state::{Entry, Place};
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
/// When to come back if no lender could be reached.
const NO_LENDER_RETRY_MS: u64 = 500;

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
    pub async fn take_rate(self: &Arc<Entry>, workspace: &WorkspaceId) -> Result<(), u64> {
        let give_up = self.clock.now().plus(MAX_WAIT_MS);
        loop {
            let now = self.clock.now();
            let admission = self.borrower().admit(now, workspace);
            match admission {
                Admission::Admitted => {
                    self.borrow_early(workspace);
                    return Ok(());
                }
                Admission::Refused { wait_ms } => return Err(wait_ms),
                Admission::Ask => {}
            }
            let question = self.borrower().ask(now, workspace, 1);
            match question {
                Some(question) => self.borrow(question).await,
                None => tokio::time::sleep(POLL).await,
            }
            if self.clock.now() >= give_up {
                return Err(NO_LENDER_RETRY_MS);
            }
        }
    }

    /// Asks for more before the share is used up, so that no call has to wait for it.
    fn borrow_early(self: &Arc<Entry>, workspace: &WorkspaceId) {
        let mut borrower = self.borrower();
        if !borrower.is_low(workspace) {
            return;
        }
        if let Some(question) = borrower.ask(self.clock.now(), workspace, 0) {
            let entry = self.clone();
            tokio::spawn(async move { entry.borrow(question).await });
        }
    }

    async fn borrow(self: &Arc<Entry>, question: BorrowRequest) {
        let shard = self.rate_shard(&question.workspace);
        let reply = match self.locate(shard) {
            Place::Here => self.lend(question.clone()).await,
            Place::There(vm, _) => {
                let control = self.peers().on(&vm).map(|peer| peer.heartbeat.control);
                let request = ControlRequest::Borrow(question.clone());
                match control {
                    Some(at) => self.links.ask(at, request, ASK_TIMEOUT).await.ok(),
                    None => None,
                }
                .unwrap_or(ControlReply::NotMine)
            }
        };
        match reply {
            ControlReply::Lent(loan) if loan.for_ms > 0 => {
                self.borrower().lent(self.clock.now(), &question, loan);
            }
            // No lender yet: the calls that wait ask again.
            _ => {
                tokio::time::sleep(POLL).await;
                self.borrower().unanswered(&question);
            }
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
        let authority_ms = lenders.times.authority_ms;
        if now.since(confirmed) >= authority_ms / 2 {
            let _ = self.commands.send(Command::Confirm { shard });
        }
        if now.since(confirmed) >= authority_ms {
            return None;
        }
        let limits = (u64::from(contract.rate_per_s), u64::from(contract.burst));
        Some(lenders.by_shard.get_mut(&shard)?.lend(now, confirmed, limits, question))
    }
}
