use std::rc::Rc;

use super::Refusal;
use super::owned_shard::OwnedShard;
use crate::prelude::*;
use crate::turns::{AccountVersion, ProgramKey, Record};

/// Tokens reserved for a turn under way. Dropped without [`Reservation::settle`], it settles what
/// was handed out so far, so that a turn that breaks off holds no budget.
pub(super) struct Reservation {
    shard: Rc<OwnedShard>,
    program: ProgramKey,
    most: u64,
    settled: bool,
    /// Tokens handed out.
    pub(super) used: u64,
}

impl Reservation {
    /// Reserves the most that a turn may generate out of its program's budget; yields the record
    /// that makes it durable, if one is needed.
    pub(super) fn open(
        shard: &Rc<OwnedShard>,
        program: ProgramKey,
        (budget, most): (u64, u64),
        kept_until: UnixMs,
    ) -> Result<(Reservation, Option<(Record, AccountVersion)>), Refusal> {
        let reserved = shard.ledger.borrow_mut().reserve(program, budget, most, kept_until);
        let record = reserved.map_err(|spent| {
            log::info!(used = spent.used, budget; "a program's budget is spent");
            Refusal::BudgetExhausted
        })?;
        let shard = shard.clone();
        Ok((Reservation { shard, program, most, settled: false, used: 0 }, record))
    }

    /// A record of the program's account is durable.
    pub(super) fn recorded(&self, version: AccountVersion) {
        self.shard.ledger.borrow_mut().mark_durable(self.program, version);
    }

    /// The turn is over; yields the record that says so.
    pub(super) fn settle(&mut self) -> (Record, AccountVersion) {
        self.settled = true;
        self.shard.ledger.borrow_mut().settle(self.program, self.most, self.used)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let (record, version) = self.settle();
        let recorded = self.shard.writer.append(vec![record]);
        let (shard, program) = (self.shard.clone(), self.program);
        // Until it is known to be durable, the next turns need records of their own.
        tokio::task::spawn_local(async move {
            if recorded.await.is_ok() {
                shard.ledger.borrow_mut().mark_durable(program, version);
            }
        });
    }
}
