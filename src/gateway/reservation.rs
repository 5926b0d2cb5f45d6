use std::rc::Rc;

use super::Refusal;
use super::find_turn::Chain;
use super::owned_shard::OwnedShard;
use super::writer::AppendAck;
use crate::prelude::*;
use crate::turns::{AccountVersion, BudgetExhausted, ProgramKey, Turn, TurnKey};

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

/// A turn's tokens, reserved from its program's budget.
pub(super) struct Charge {
    pub(super) reservation: Reservation,
    /// Completes when the reservation and the turns copied from other shards are durable; none if
    /// an earlier record already covers the reservation and no turns were copied.
    recorded: Option<AppendAck>,
    /// The version of the program's account that the reservation's record makes durable.
    version: Option<AccountVersion>,
    /// Until when the turn is kept, if it is, and the program's account.
    pub(super) kept_until: UnixMs,
}

impl Charge {
    /// Whether something has to be recorded before the turn's first token.
    pub(super) fn is_recorded_first(&self) -> bool {
        self.recorded.is_some()
    }

    /// Waits for the reservation's record. Returns whether it is durable; if not, it can no longer
    /// become durable under this epoch.
    pub(super) async fn wait_until_durable(&mut self) -> bool {
        let durable = match self.recorded.take() {
            Some(recorded) => recorded.await.is_ok(),
            None => true,
        };
        if let (true, Some(version)) = (durable, self.version) {
            self.reservation.mark_durable(version);
        }
        durable
    }
}

impl Reservation {
    /// Reserves the maximum that a turn may generate from its program's budget, and copies the
    /// turns that it continues into the shard if that does not hold them.
    pub(super) fn open(
        shard: &Rc<OwnedShard>,
        program: ProgramKey,
        (budget, max_tokens): (u64, u64),
        kept_until: UnixMs,
        chain: Chain,
    ) -> Result<Charge, Refusal> {
        let (reserved, recorded) = shard.change(|ledger, records| {
            let reserved = ledger.reserve(program, budget, max_tokens, kept_until)?;
            let previous = chain.last().map(|(key, _)| *key);
            records.extend(ledger.import_turns(chain));
            ledger.keep_chain(previous, kept_until);
            Ok(reserved.map(|(record, version)| {
                records.push(record);
                version
            }))
        });
        let version = reserved.map_err(|spent: BudgetExhausted| {
            log::info!(used = spent.used, budget;
                "token budget of the program is used up; request refused");
            Refusal::BudgetExhausted
        })?;
        let shard = shard.clone();
        let reservation = Reservation { shard, program, max_tokens, settled: false, used: 0 };
        Ok(Charge { reservation, recorded, version, kept_until })
    }

    /// Notes that a record of the program's account is durable.
    pub(super) fn mark_durable(&self, version: AccountVersion) {
        self.shard.mark_durable(self.program, version);
    }

    /// Ends the reservation: charges the tokens used and releases the rest, and stores the turn if
    /// it is to be kept.
    pub(super) fn settle(
        &mut self,
        completed: Option<(TurnKey, Turn)>,
    ) -> (AccountVersion, Option<AppendAck>) {
        self.settled = true;
        self.shard.change(|ledger, records| {
            records.extend(completed.map(|(key, turn)| ledger.complete(key, turn)));
            let (settled, version) = ledger.settle(self.program, self.max_tokens, self.used);
            records.push(settled);
            version
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let (version, Some(recorded)) = self.settle(None) else {
            return;
        };
        let (shard, program) = (self.shard.clone(), self.program);
        // Until this record is known to be durable, later turns need records of their own.
        tokio::task::spawn_local(async move {
            if recorded.await.is_ok() {
                shard.mark_durable(program, version);
            }
        });
    }
}
