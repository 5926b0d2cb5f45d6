use std::collections::HashMap;

use crate::prelude::*;
use crate::programs::{
    Account, IntentRecord, OutcomeRecord, ProgramSnapshot, ProgramState, Record, StoredRecord,
};

/// Whether a record was accepted.
#[value]
#[derive(Copy)]
pub enum ApplyOutcome {
    /// The record was applied.
    Accepted,
    /// The record was ignored: its epoch has been superseded, it repeats a record that was
    /// accepted before, or it does not match the program's current state.
    Ignored,
}

/// The state of a shard: a pure function of its stream, so every reader computes the same state.
///
/// A record is accepted only if its epoch is that of the latest claim before it. Records that a
/// paused owner appends after its successor's claim are therefore ignored by every reader,
/// independent of any clock.
#[value]
pub struct ShardState {
    next_offset: Offset,
    epoch: Epoch,
    owner: Option<(VmName, Instance)>,
    programs: HashMap<ProgramId, ProgramState>,
    accounts: HashMap<ProgramId, Account>,
}

impl ShardState {
    /// Empty state that expects the first record of the stream.
    pub fn new() -> ShardState {
        ShardState::starting_at(Offset(1), Epoch(0))
    }

    /// Empty state that expects the record at `next_offset`. `epoch` is that of the latest claim
    /// before it.
    pub fn starting_at(next_offset: Offset, epoch: Epoch) -> ShardState {
        ShardState {
            next_offset,
            epoch,
            owner: None,
            programs: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Replays a stream whose first retained record is `records[0]`, at offset `earliest`.
    ///
    /// The claim that applies at that offset may have been removed by the log's retention. Since
    /// an epoch is the offset of its claim, the epoch of that claim is the largest one below
    /// `earliest` that any record names.
    pub fn from_records(earliest: Offset, records: &[StoredRecord<Record>]) -> ShardState {
        let epochs = records.iter().filter_map(|stored| stored.data.epoch());
        let epoch = epochs.filter(|epoch| epoch.0 < earliest.0).max();
        let mut shard_state = ShardState::starting_at(earliest, epoch.unwrap_or_default());
        for stored in records {
            shard_state.apply(stored.offset, stored.time_ms, &stored.data);
        }
        shard_state
    }

    /// The offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// The epoch of the current owner; 0 if there is none.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The current owner, if a claim has been read and the shard was not released since.
    pub fn owner(&self) -> Option<&(VmName, Instance)> {
        self.owner.as_ref()
    }

    /// The state of a program, if one is known.
    pub fn program(&self, program: &ProgramId) -> Option<&ProgramState> {
        self.programs.get(program)
    }

    /// All known programs, including ended ones until they are removed.
    pub fn programs(&self) -> impl Iterator<Item = (&ProgramId, &ProgramState)> {
        self.programs.iter()
    }

    /// Tokens used and reserved by a program's account, which a root program shares with all its
    /// sub-agents.
    pub fn account(&self, program: &ProgramId) -> Account {
        self.accounts.get(&program.account()).copied().unwrap_or_default()
    }

    /// Removes programs that ended before `before`.
    pub fn remove_ended(&mut self, before: UnixMs) {
        let is_over = |state: &ProgramState| state.ended.is_some_and(|ended| ended < before);
        self.programs.retain(|_, state| !is_over(state));
        self.rebuild_accounts();
    }

    /// Applies the record at `offset`. Records below [`ShardState::next_offset`] have been applied
    /// already and are ignored.
    pub fn apply(&mut self, offset: Offset, time: UnixMs, record: &Record) -> ApplyOutcome {
        if offset < self.next_offset {
            return ApplyOutcome::Ignored;
        }
        self.next_offset = offset.plus(1);
        if let Record::Claim { entry, instance, .. } = record {
            self.epoch = Epoch(offset.0);
            self.owner = Some((entry.clone(), *instance));
            return ApplyOutcome::Accepted;
        }
        if record.epoch() != Some(self.epoch) {
            return ApplyOutcome::Ignored;
        }
        self.apply_from_owner(time, record)
    }

    fn apply_from_owner(&mut self, time: UnixMs, record: &Record) -> ApplyOutcome {
        match record {
            Record::Claim { .. } => ApplyOutcome::Ignored,
            Record::Release { .. } => self.apply_release(),
            Record::Intent(intent) => self.apply_intent(time, intent),
            Record::Settled { program, attempt, charge_tokens, .. } => {
                self.apply_settled(time, program, *attempt, *charge_tokens)
            }
            Record::Outcome(outcome) => self.apply_outcome(time, outcome),
            Record::Ended { program, .. } => self.apply_ended(time, program),
            Record::Snapshot { snapshot, .. } => self.apply_snapshot(time, snapshot),
        }
    }

    fn apply_release(&mut self) -> ApplyOutcome {
        self.owner = None;
        // Offsets start at 1, so no claim has epoch 0: nothing is accepted until the next claim.
        self.epoch = Epoch(0);
        ApplyOutcome::Accepted
    }

    fn apply_intent(&mut self, time: UnixMs, intent: &IntentRecord) -> ApplyOutcome {
        self.create_if_missing(&intent.program, time, intent.turn);
        self.update_program(&intent.program, |state| {
            // An append that was retried can take effect twice. The second copy must not reopen
            // an attempt that was settled in between: nobody would ever close it.
            let is_new = state.last_attempt.is_none_or(|last| last < intent.attempt);
            let is_next_turn = intent.turn == state.next_turn();
            if state.ended.is_some() || state.has_history_gap || !is_new || !is_next_turn {
                return ApplyOutcome::Ignored;
            }
            // If the previous attempt was never settled, its usage is unknown: charge all of its
            // reservation.
            let reservation = state.reserved_tokens();
            state.settle(reservation);
            state.open_intent = Some(intent.clone());
            state.last_attempt = Some(intent.attempt);
            state.last_activity_time = time;
            ApplyOutcome::Accepted
        })
    }

    fn apply_settled(
        &mut self,
        time: UnixMs,
        program: &ProgramId,
        attempt: AttemptId,
        charge_tokens: u64,
    ) -> ApplyOutcome {
        self.update_program(program, |state| {
            if !state.is_open(attempt) {
                return ApplyOutcome::Ignored;
            }
            state.settle(charge_tokens);
            state.last_activity_time = time;
            ApplyOutcome::Accepted
        })
    }

    fn apply_outcome(&mut self, time: UnixMs, outcome: &OutcomeRecord) -> ApplyOutcome {
        self.create_if_missing(&outcome.program, time, outcome.turn);
        self.update_program(&outcome.program, |state| {
            if state.has_history_gap {
                // A snapshot fills the gap only if it covers at least this many turns.
                state.turn_count = state.turn_count.max(outcome.turn.0);
                return ApplyOutcome::Ignored;
            }
            if !state.is_open(outcome.attempt) {
                return ApplyOutcome::Ignored;
            }
            state.finish_turn(outcome);
            state.last_activity_time = time;
            ApplyOutcome::Accepted
        })
    }

    /// Ends a program. One that is not known yet is added, so that its id stays reserved.
    fn apply_ended(&mut self, time: UnixMs, program: &ProgramId) -> ApplyOutcome {
        self.create_if_missing(program, time, TurnNo(1));
        for id in self.programs_ended_with(program) {
            self.update_program(&id, |state| {
                state.end(time);
                ApplyOutcome::Accepted
            });
        }
        ApplyOutcome::Accepted
    }

    /// Restores a program from a snapshot if records before it are missing. A complete state is
    /// never replaced: a snapshot whose append was retried and took effect late would otherwise
    /// revert the history. If the snapshot equals the state, no earlier record is needed to rebuild
    /// it any more.
    fn apply_snapshot(&mut self, time: UnixMs, snapshot: &ProgramSnapshot) -> ApplyOutcome {
        self.programs
            .entry(snapshot.program.clone())
            .or_insert_with(|| ProgramState { has_history_gap: true, ..ProgramState::new(time) });
        self.update_program(&snapshot.program, |state| {
            let is_unchanged = state.turn_count == snapshot.turn_count
                && state.open_intent == snapshot.open_intent;
            let fills_gap = state.has_history_gap && state.turn_count <= snapshot.turn_count;
            if fills_gap {
                *state = ProgramState::restore(snapshot, time);
            } else if is_unchanged {
                state.oldest_record_time = time;
            }
            if is_unchanged || fills_gap { ApplyOutcome::Accepted } else { ApplyOutcome::Ignored }
        })
    }

    /// The programs that end together with `program`: itself and, for a root, all its sub-agents.
    fn programs_ended_with(&self, program: &ProgramId) -> Vec<ProgramId> {
        let account = program.account();
        let is_root = *program == account;
        let ends = |id: &ProgramId| id == program || (is_root && id.account() == account);
        let live = self.programs.iter().filter(|(_, state)| state.ended.is_none());
        live.map(|(id, _)| id).filter(|id| ends(id)).cloned().collect()
    }

    /// Adds a program on its first retained record. If that is not a record of turn 1, the earlier
    /// records have expired and the history has a gap.
    fn create_if_missing(&mut self, program: &ProgramId, time: UnixMs, turn: TurnNo) {
        self.programs.entry(program.clone()).or_insert_with(|| ProgramState {
            has_history_gap: turn != TurnNo(1),
            turn_count: turn.0 - 1,
            ..ProgramState::new(time)
        });
    }

    /// Changes a program's state and updates the totals of its account.
    fn update_program(
        &mut self,
        program: &ProgramId,
        update: impl FnOnce(&mut ProgramState) -> ApplyOutcome,
    ) -> ApplyOutcome {
        let Some(state) = self.programs.get_mut(program) else {
            return ApplyOutcome::Ignored;
        };
        let account = self.accounts.entry(program.account()).or_default();
        account.subtract(state);
        let applied = update(state);
        account.add(state);
        applied
    }

    fn rebuild_accounts(&mut self) {
        self.accounts.clear();
        for (id, state) in &self.programs {
            self.accounts.entry(id.account()).or_default().add(state);
        }
    }
}

impl Default for ShardState {
    fn default() -> ShardState {
        ShardState::new()
    }
}
