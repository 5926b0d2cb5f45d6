use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use super::held_for_callers::History;
use super::writer::{AppendAck, Writer};
use crate::http::ServerMemory;
use crate::prelude::*;
use crate::turns::{AccountVersion, Ledger, ProgramKey, Record, RecordFault, TurnKey};

/// What a turn takes besides its bytes.
pub(super) const TURN_OVERHEAD_BYTES: usize = 400;

/// What a program's account takes.
pub(super) const ACCOUNT_BYTES: usize = 400;

/// The stages of owning a shard, from taking it over to losing it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its records are being read from the store.
    Loading,
    /// Its turns are served here.
    Serving,
    /// Turns in flight finish here; new ones go to the next owner.
    Draining,
    /// This process no longer owns it and can record nothing more. Final.
    Lost,
}

/// A shard that this process owns, or has owned, under one epoch.
pub(super) struct OwnedShard {
    pub(super) number: u32,
    /// Fencing number of the appends: the store rejects them once it has seen a later epoch.
    pub(super) epoch: u64,
    ledger: RefCell<Ledger>,
    /// The counts of the turns in the ledger.
    histories: RefCell<HashMap<TurnKey, History>>,
    /// The counts of the accounts in the ledger that were opened here.
    accounts: RefCell<HashMap<ProgramKey, History>>,
    pub(super) writer: Writer,
    stage: Cell<Stage>,
    turns_in_flight: Cell<u32>,
}

impl OwnedShard {
    pub(super) fn open(number: u32, epoch: u64) -> Rc<OwnedShard> {
        Rc::new(OwnedShard {
            number,
            epoch,
            ledger: RefCell::default(),
            histories: RefCell::default(),
            accounts: RefCell::default(),
            writer: Writer::default(),
            stage: Cell::new(Stage::Loading),
            turns_in_flight: Cell::new(0),
        })
    }

    pub(super) fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Moves to another stage, unless the shard is lost already.
    pub(super) fn set_stage(&self, stage: Stage) {
        if self.stage.get() != Stage::Lost {
            self.stage.set(stage);
        }
    }

    /// The shard's turns and accounts.
    pub(super) fn ledger(&self) -> Ref<'_, Ledger> {
        self.ledger.borrow()
    }

    /// Loads a record that the store holds, and returns the turn if it is one.
    pub(super) fn load(&self, key: &str, value: &[u8]) -> Result<Option<TurnKey>, RecordFault> {
        self.ledger.borrow_mut().load(key, value)
    }

    /// Counts a turn of `bytes` bytes that is in the ledger, until it is removed. It is kept in any case.
    pub(super) fn count_history(
        &self,
        memory: &ServerMemory,
        workspace: &Arc<str>,
        turn: TurnKey,
        bytes: usize,
    ) {
        let count = || memory.hold_kept_history(workspace, bytes + TURN_OVERHEAD_BYTES);
        self.histories.borrow_mut().entry(turn).or_insert_with(count);
    }

    /// Counts the account of a program, until it is removed.
    pub(super) fn count_account(
        &self,
        memory: &ServerMemory,
        workspace: &Arc<str>,
        program: ProgramKey,
    ) {
        let count = || memory.hold_kept_history(workspace, ACCOUNT_BYTES);
        self.accounts.borrow_mut().entry(program).or_insert_with(count);
    }

    /// Removes expired turns and accounts from the ledger, and queues the records that delete them.
    pub(super) fn remove_expired(&self, now: UnixMs) {
        drop(self.change(|ledger, records| records.extend(ledger.expire(now))));
        let ledger = self.ledger.borrow();
        self.histories.borrow_mut().retain(|turn, _| ledger.turn(*turn).is_some());
        self.accounts.borrow_mut().retain(|program, _| ledger.has_account(*program));
    }

    /// Notes that a record of a program's account is durable.
    pub(super) fn mark_durable(&self, program: ProgramKey, version: AccountVersion) {
        self.ledger.borrow_mut().mark_durable(program, version);
    }

    /// Changes the ledger and queues the records that `change` adds, also if it fails. Everything in
    /// the ledger is therefore durable or queued for the store, ahead of all that is based on it.
    ///
    /// Returns the result and, if there are records, what completes once they are durable.
    pub(super) fn change<T>(
        &self,
        change: impl FnOnce(&mut Ledger, &mut Vec<Record>) -> T,
    ) -> (T, Option<AppendAck>) {
        let mut records = Vec::new();
        let result = change(&mut self.ledger.borrow_mut(), &mut records);
        let recorded = (!records.is_empty()).then(|| self.writer.append(records));
        (result, recorded)
    }

    pub(super) fn turns_in_flight(&self) -> u32 {
        self.turns_in_flight.get()
    }

    /// Counts a turn as in flight until the returned guard is dropped.
    pub(super) fn begin_turn(self: &Rc<Self>) -> TurnGuard {
        self.turns_in_flight.set(self.turns_in_flight.get() + 1);
        TurnGuard(self.clone())
    }
}

/// Guard that counts a turn as in flight.
pub(super) struct TurnGuard(Rc<OwnedShard>);

impl Drop for TurnGuard {
    fn drop(&mut self) {
        self.0.turns_in_flight.set(self.0.turns_in_flight.get() - 1);
    }
}
