use std::rc::Rc;

use super::Refusal;
use super::owned_shard::OwnedShard;
use crate::prelude::*;
use crate::turns::{AccountVersion, ProgramKey, Record};

/// Tokens reserved for a turn in progress. If it is dropped without [`Reservation::settle`], it
/// charges the tokens generated so far and releases the rest, so that a turn that breaks off does
/// not keep budget reserved.
pub(super) struct Reservation {
    shard: Rc<OwnedShard>,
    program: ProgramKey,
    max_tokens: u64,
    settled: bool,
    /// Tokens generated so far.
    pub(super) used: u64,
}

impl Reservation {
    /// Reserves the maximum that a turn may generate from its program's budget. Also returns the
    /// record that makes the reservation durable, if one is needed.
    pub(super) fn open(
        shard: &Rc<OwnedShard>,
        program: ProgramKey,
        (budget, max_tokens): (u64, u64),
        kept_until: UnixMs,
    ) -> Result<(Reservation, Option<(Record, AccountVersion)>), Refusal> {
        let reserved = shard.ledger.borrow_mut().reserve(program, budget, max_tokens, kept_until);
        let record = reserved.map_err(|spent| {
            log::info!(used = spent.used, budget;
                "token budget of the program is used up; request refused");
            Refusal::BudgetExhausted
        })?;
        let shard = shard.clone();
        Ok((Reservation { shard, program, max_tokens, settled: false, used: 0 }, record))
    }

    /// Notes that a record of the program's account is durable.
    pub(super) fn mark_durable(&self, version: AccountVersion) {
        self.shard.ledger.borrow_mut().mark_durable(self.program, version);
    }

    /// Ends the reservation: charges the tokens used and releases the rest. Returns the record of
    /// it.
    pub(super) fn settle(&mut self) -> (Record, AccountVersion) {
        self.settled = true;
        self.shard.ledger.borrow_mut().settle(self.program, self.max_tokens, self.used)
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
        // Until this record is known to be durable, later turns need records of their own.
        tokio::task::spawn_local(async move {
            if recorded.await.is_ok() {
                shard.ledger.borrow_mut().mark_durable(program, version);
            }
        });
    }
}
