use crate::prelude::*;
use crate::programs::{IntentRecord, Message, OutcomeRecord, ProgramSnapshot, TurnResult};

/// A finished turn.
#[wire]
pub struct FinishedTurn {
    /// Digest of the call.
    pub digest: Digest,
    /// The caller's key, if it gave one.
    pub idempotency_key: Option<Arc<str>>,
    /// The messages that the call added.
    pub messages: Vec<Message>,
    /// The result.
    pub result: TurnResult,
}

/// What the log says of one program.
#[value]
pub struct ProgramState {
    /// Finished turns, in order; emptied when the program ends.
    pub turns: Vec<FinishedTurn>,
    /// Number of finished turns.
    pub turn_count: u32,
    /// Tokens charged to this program.
    pub spent_tokens: u64,
    /// The attempt under way.
    pub open_intent: Option<IntentRecord>,
    /// The newest attempt that was ever opened.
    pub last_attempt: Option<AttemptId>,
    /// When it ended.
    pub ended: Option<UnixMs>,
    /// Whether records before the ones that were read are missing.
    pub has_history_gap: bool,
    /// Time of the oldest record that is still needed.
    pub oldest_record_time: UnixMs,
    /// Time of the newest record.
    pub newest_record_time: UnixMs,
}

impl ProgramState {
    /// A program whose first record was taken at `time`.
    pub fn new(time: UnixMs) -> ProgramState {
        ProgramState {
            turns: Vec::new(),
            turn_count: 0,
            spent_tokens: 0,
            open_intent: None,
            last_attempt: None,
            ended: None,
            has_history_gap: false,
            oldest_record_time: time,
            newest_record_time: time,
        }
    }

    /// The number that the next turn must have.
    pub fn next_turn(&self) -> TurnNo {
        TurnNo(self.turn_count + 1)
    }

    /// The finished turn with this number.
    pub fn turn(&self, turn: TurnNo) -> Option<&FinishedTurn> {
        self.turns.get((turn.0 as usize).checked_sub(1)?)
    }

    /// The finished turn that was called with this idempotency key, and its number.
    pub fn turn_by_key(&self, key: &str) -> Option<(TurnNo, &FinishedTurn)> {
        let index = self.turns.iter().position(|t| t.idempotency_key.as_deref() == Some(key))?;
        Some((TurnNo(index as u32 + 1), &self.turns[index]))
    }

    /// The conversation so far, as the model sees it.
    pub fn history(&self) -> Vec<Message> {
        self.turns.iter().flat_map(turn_messages).collect()
    }

    /// Tokens reserved by the attempt under way.
    pub fn reserved_tokens(&self) -> u64 {
        self.open_intent.as_ref().map_or(0, |open| open.reserve_tokens)
    }

    /// Whether this attempt is the one under way.
    pub fn is_open(&self, attempt: AttemptId) -> bool {
        self.open_intent.as_ref().is_some_and(|open| open.attempt == attempt)
    }

    /// Charges the attempt under way and closes it.
    pub fn settle(&mut self, charge_tokens: u64) {
        self.spent_tokens += charge_tokens;
        self.open_intent = None;
    }

    /// Adds a finished turn.
    pub fn finish_turn(&mut self, outcome: &OutcomeRecord) {
        self.settle(outcome.charge_tokens);
        self.turn_count += 1;
        self.turns.push(FinishedTurn {
            digest: outcome.digest,
            idempotency_key: outcome.idempotency_key.clone(),
            messages: outcome.messages.clone(),
            result: outcome.result.clone(),
        });
    }

    /// Ends the program and lets go of its history.
    pub fn end(&mut self, time: UnixMs) {
        let reserved = self.reserved_tokens();
        self.settle(reserved);
        self.turns = Vec::new();
        self.ended = Some(time);
    }

    /// The state as a record.
    pub fn snapshot(&self, program: &ProgramId) -> ProgramSnapshot {
        ProgramSnapshot {
            program: program.clone(),
            turns: self.turns.clone(),
            turn_count: self.turn_count,
            spent_tokens: self.spent_tokens,
            open: self.open_intent.clone(),
            last_attempt: self.last_attempt,
            ended: self.ended,
        }
    }

    /// The state that a snapshot taken at `time` stands for.
    pub fn restore(snapshot: &ProgramSnapshot, time: UnixMs) -> ProgramState {
        ProgramState {
            turns: snapshot.turns.clone(),
            turn_count: snapshot.turn_count,
            spent_tokens: snapshot.spent_tokens,
            open_intent: snapshot.open.clone(),
            last_attempt: snapshot.last_attempt,
            ended: snapshot.ended,
            has_history_gap: false,
            oldest_record_time: time,
            newest_record_time: time,
        }
    }
}

fn turn_messages(turn: &FinishedTurn) -> Vec<Message> {
    let mut messages = turn.messages.clone();
    if let TurnResult::Answered { text, .. } = &turn.result {
        messages.push(Message::text("assistant", text));
    }
    messages
}

/// What a program and its sub-agents have used of their common budget.
#[value]
#[derive(Copy, Default)]
pub struct Account {
    /// Tokens charged.
    pub spent_tokens: u64,
    /// Tokens reserved by attempts under way.
    pub reserved_tokens: u64,
}

impl Account {
    /// Counts a program in.
    pub fn add(&mut self, state: &ProgramState) {
        self.spent_tokens += state.spent_tokens;
        self.reserved_tokens += state.reserved_tokens();
    }

    /// Counts a program out.
    pub fn remove(&mut self, state: &ProgramState) {
        self.spent_tokens -= state.spent_tokens;
        self.reserved_tokens -= state.reserved_tokens();
    }

    /// Whether `tokens` more fit under `budget_tokens`.
    pub fn can_reserve(&self, tokens: u64, budget_tokens: u64) -> bool {
        self.spent_tokens + self.reserved_tokens + tokens <= budget_tokens
    }
}
