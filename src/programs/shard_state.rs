use std::collections::HashMap;

use crate::prelude::*;
use crate::programs::{
    Account, IntentRecord, OutcomeRecord, ProgramSnapshot, ProgramState, Record, StoredRecord,
};

/// Whether a record counts.
#[value]
#[derive(Copy)]
pub enum ApplyOutcome {
    /// It does.
    Accepted,
    /// It was written under an epoch that is over, or repeats one that counted before.
    Ignored,
}

/// The state of a shard: a pure function of its stream, the same for every reader.
///
/// A record counts only under the newest claim before it. So what a paused owner appends after
/// its successor's claim is void for every reader, whatever any clock says.
#[value]
pub struct ShardState {
    next: Offset,
    epoch: Epoch,
    holder: Option<(VmName, Instance)>,
    programs: HashMap<ProgramId, ProgramState>,
    accounts: HashMap<ProgramId, Account>,
}

impl ShardState {
    /// An empty fold that starts at the first record.
    pub fn new() -> ShardState {
        ShardState::starting_at(Offset(1), Epoch(0))
    }

    /// An empty fold that starts at `next`, where `epoch` is the newest claim before it.
    pub fn starting_at(next: Offset, epoch: Epoch) -> ShardState {
        ShardState { next, epoch, holder: None, programs: HashMap::new(), accounts: HashMap::new() }
    }

    /// Folds a stream whose first retained record is `records[0]`.
    ///
    /// The claim in force there may itself have expired. An epoch is its claim's offset, so the
    /// newest epoch below the first offset that any record names is that claim.
    pub fn from_records(earliest: Offset, records: &[StoredRecord<Record>]) -> ShardState {
        let epochs = records.iter().filter_map(|stored| stored.data.epoch());
        let standing = epochs.filter(|epoch| epoch.0 < earliest.0).max();
        let mut shard_state = ShardState::starting_at(earliest, standing.unwrap_or_default());
        for stored in records {
            shard_state.apply(stored.offset, stored.time_ms, &stored.data);
        }
        shard_state
    }

    /// The offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// The epoch in force.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Who holds the shard, if its claim has been read and not been released.
    pub fn holder(&self) -> Option<&(VmName, Instance)> {
        self.holder.as_ref()
    }

    /// A program's state.
    pub fn program(&self, program: &ProgramId) -> Option<&ProgramState> {
        self.programs.get(program)
    }

    /// All programs.
    pub fn programs(&self) -> impl Iterator<Item = (&ProgramId, &ProgramState)> {
        self.programs.iter()
    }

    /// What a program's account has used.
    pub fn account(&self, program: &ProgramId) -> Account {
        self.accounts.get(&program.account()).copied().unwrap_or_default()
    }

    /// Drops what is left of programs that ended before `before`.
    pub fn remove_ended(&mut self, before: UnixMs) {
        let over = |state: &ProgramState| state.ended.is_some_and(|ended| ended < before);
        self.programs.retain(|_, state| !over(state));
        self.rebuild_accounts();
    }

    /// Applies the record at `offset`. Offsets below [`ShardFold::next`] were applied already.
    pub fn apply(&mut self, offset: Offset, time: UnixMs, record: &Record) -> ApplyOutcome {
        if offset < self.next {
            return ApplyOutcome::Ignored;
        }
        self.next = offset.plus(1);
        if let Record::Claim { entry, instance, .. } = record {
            self.epoch = Epoch(offset.0);
            self.holder = Some((entry.clone(), *instance));
            return ApplyOutcome::Accepted;
        }
        if record.epoch() != Some(self.epoch) {
            return ApplyOutcome::Ignored;
        }
        self.apply_of_holder(time, record)
    }

    fn apply_of_holder(&mut self, time: UnixMs, record: &Record) -> ApplyOutcome {
        match record {
            Record::Claim { .. } => ApplyOutcome::Ignored,
            Record::Release { .. } => self.release(),
            Record::Intent(intent) => self.open(time, intent),
            Record::Settled { program, attempt, charge_tokens, .. } => {
                self.settle(time, program, *attempt, *charge_tokens)
            }
            Record::Outcome(outcome) => self.finish(time, outcome),
            Record::Ended { program, .. } => self.end(time, program),
            Record::Snapshot { snapshot, .. } => self.restore(time, snapshot),
        }
    }

    fn release(&mut self) -> ApplyOutcome {
        self.holder = None;
        // An epoch that no claim can have: nothing counts until the next claim.
        self.epoch = Epoch(0);
        ApplyOutcome::Accepted
    }

    fn open(&mut self, time: UnixMs, intent: &IntentRecord) -> ApplyOutcome {
        self.create_if_missing(&intent.program, time, intent.turn);
        self.change(&intent.program, |state| {
            // An append that was sent again can take effect twice; the second copy must not open
            // an attempt that was settled between the two, which nobody would ever close.
            let newer = state.last_attempt.is_none_or(|last| last < intent.attempt);
            let next = intent.turn == state.next_turn();
            if state.ended.is_some() || state.has_history_gap || !newer || !next {
                return ApplyOutcome::Ignored;
            }
            // The attempt before this one was never settled: nobody knows what it used.
            let superseded = state.reserved_tokens();
            state.settle(superseded);
            state.open_intent = Some(intent.clone());
            state.last_attempt = Some(intent.attempt);
            state.newest_record_time = time;
            ApplyOutcome::Accepted
        })
    }

    fn settle(
        &mut self,
        time: UnixMs,
        program: &ProgramId,
        attempt: AttemptId,
        charge_tokens: u64,
    ) -> ApplyOutcome {
        self.change(program, |state| {
            if !state.is_open(attempt) {
                return ApplyOutcome::Ignored;
            }
            state.settle(charge_tokens);
            state.newest_record_time = time;
            ApplyOutcome::Accepted
        })
    }

    fn finish(&mut self, time: UnixMs, outcome: &OutcomeRecord) -> ApplyOutcome {
        self.create_if_missing(&outcome.program, time, outcome.turn);
        self.change(&outcome.program, |state| {
            if state.has_history_gap {
                state.turn_count = state.turn_count.max(outcome.turn.0);
                return ApplyOutcome::Ignored;
            }
            if !state.is_open(outcome.attempt) {
                return ApplyOutcome::Ignored;
            }
            state.finish_turn(outcome);
            state.newest_record_time = time;
            ApplyOutcome::Accepted
        })
    }

    fn end(&mut self, time: UnixMs, program: &ProgramId) -> ApplyOutcome {
        self.create_if_missing(program, time, TurnNo(1));
        for id in self.ended_with(program) {
            self.change(&id, |state| {
                state.end(time);
                ApplyOutcome::Accepted
            });
        }
        ApplyOutcome::Accepted
    }

    /// A snapshot only fills a gap. Where the state is known it must not be replaced: a snapshot
    /// whose append took effect late, after it had been sent again, would revert the history.
    fn restore(&mut self, time: UnixMs, snapshot: &ProgramSnapshot) -> ApplyOutcome {
        self.programs
            .entry(snapshot.program.clone())
            .or_insert_with(|| ProgramState { has_history_gap: true, ..ProgramState::new(time) });
        self.change(&snapshot.program, |state| {
            let same =
                state.turn_count == snapshot.turn_count && state.open_intent == snapshot.open;
            let fills_gap = state.has_history_gap && state.turn_count <= snapshot.turn_count;
            if fills_gap {
                *state = ProgramState::restore(snapshot, time);
            } else if same {
                state.oldest_record_time = time;
            }
            if same || fills_gap { ApplyOutcome::Accepted } else { ApplyOutcome::Ignored }
        })
    }

    /// The programs that end with `program`: itself, and under a root all its sub-agents.
    fn ended_with(&self, program: &ProgramId) -> Vec<ProgramId> {
        let account = program.account();
        let is_root = *program == account;
        let ends = |id: &ProgramId| id == program || (is_root && id.account() == account);
        let live = self.programs.iter().filter(|(_, state)| state.ended.is_none());
        live.map(|(id, _)| id).filter(|id| ends(id)).cloned().collect()
    }

    /// A program whose first known record is not of its first turn lacks the ones before it.
    fn create_if_missing(&mut self, program: &ProgramId, time: UnixMs, turn: TurnNo) {
        self.programs.entry(program.clone()).or_insert_with(|| ProgramState {
            has_history_gap: turn != TurnNo(1),
            turn_count: turn.0 - 1,
            ..ProgramState::new(time)
        });
    }

    /// Changes a program's state and its account with it.
    fn change(
        &mut self,
        program: &ProgramId,
        change: impl FnOnce(&mut ProgramState) -> ApplyOutcome,
    ) -> ApplyOutcome {
        let Some(state) = self.programs.get_mut(program) else {
            return ApplyOutcome::Ignored;
        };
        let account = self.accounts.entry(program.account()).or_default();
        account.remove(state);
        let applied = change(state);
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
