use crate::prelude::*;
use crate::programs::{IntentRecord, Message, OutcomeRecord, ProgramSnapshot, TurnResult};

/// A finished turn.
#[wire]
pub struct FinishedTurn {
    /// Digest of the requested work.
    pub digest: Digest,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Messages that the call added to the conversation.
    pub messages: Vec<Message>,
    /// The recorded result, returned again for each repeat of the call.
    pub result: TurnResult,
}

/// The state of one program, as recorded in the log.
#[value]
pub struct ProgramState {
    /// Finished turns, in order; emptied when the program ends.
    pub turns: Vec<FinishedTurn>,
    /// Number of finished turns; kept after the program ends.
    pub turn_count: u32,
    /// Tokens charged to this program.
    pub spent_tokens: u64,
    /// Intent of the attempt in flight.
    pub open_intent: Option<IntentRecord>,
    /// The latest attempt for which an intent was recorded, in flight or not.
    pub last_attempt: Option<AttemptId>,
    /// Time at which the program ended.
    pub ended: Option<UnixMs>,
    /// Whether earlier records of the program are missing from the log.
    pub has_history_gap: bool,
    /// Time of the oldest record needed to rebuild this state.
    pub oldest_record_time: UnixMs,
    /// Time of the latest accepted intent, settlement or outcome, or of the snapshot that this
    /// state was restored from. Idle time is counted from it.
    pub last_activity_time: UnixMs,
}

impl ProgramState {
    /// A program whose first record was appended at `time`.
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
            last_activity_time: time,
        }
    }

    /// The number of the next turn.
    pub fn next_turn(&self) -> TurnNo {
        TurnNo(self.turn_count + 1)
    }

    /// The finished turn with this number. `None` for any turn once the program has ended, because
    /// its history is dropped then.
    pub fn turn(&self, turn: TurnNo) -> Option<&FinishedTurn> {
        self.turns.get((turn.0 as usize).checked_sub(1)?)
    }

    /// The finished turn that was requested with this idempotency key, and its number.
    pub fn turn_by_key(&self, key: &str) -> Option<(TurnNo, &FinishedTurn)> {
        let index = self.turns.iter().position(|t| t.idempotency_key.as_deref() == Some(key))?;
        Some((TurnNo(index as u32 + 1), &self.turns[index]))
    }

    /// The conversation so far: for each turn, the caller's messages and the model's answer.
    pub fn history(&self) -> Vec<Message> {
        self.turns.iter().flat_map(turn_messages).collect()
    }

    /// Tokens reserved by the attempt in flight.
    pub fn reserved_tokens(&self) -> u64 {
        self.open_intent.as_ref().map_or(0, |open| open.reserve_tokens)
    }

    /// Whether this attempt is the one in flight.
    pub fn is_open(&self, attempt: AttemptId) -> bool {
        self.open_intent.as_ref().is_some_and(|open| open.attempt == attempt)
    }

    /// Closes the attempt in flight and charges `charge_tokens` for it.
    pub fn settle(&mut self, charge_tokens: u64) {
        self.spent_tokens += charge_tokens;
        self.open_intent = None;
    }

    /// Closes the attempt in flight and adds its turn to the history.
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

    /// Ends the program: charges the reservation of an attempt in flight and drops the history.
    pub fn end(&mut self, time: UnixMs) {
        let reserved = self.reserved_tokens();
        self.settle(reserved);
        self.turns = Vec::new();
        self.ended = Some(time);
    }

    /// The state as the payload of a snapshot record.
    pub fn snapshot(&self, program: &ProgramId) -> ProgramSnapshot {
        ProgramSnapshot {
            program: program.clone(),
            turns: self.turns.clone(),
            turn_count: self.turn_count,
            spent_tokens: self.spent_tokens,
            open_intent: self.open_intent.clone(),
            last_attempt: self.last_attempt,
            ended: self.ended,
        }
    }

    /// The state held by a snapshot that was appended at `time`.
    pub fn restore(snapshot: &ProgramSnapshot, time: UnixMs) -> ProgramState {
        ProgramState {
            turns: snapshot.turns.clone(),
            turn_count: snapshot.turn_count,
            spent_tokens: snapshot.spent_tokens,
            open_intent: snapshot.open_intent.clone(),
            last_attempt: snapshot.last_attempt,
            ended: snapshot.ended,
            has_history_gap: false,
            oldest_record_time: time,
            last_activity_time: time,
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

/// Token usage of a root program and its sub-agents, which share one budget.
#[value]
#[derive(Copy, Default)]
pub struct Account {
    /// Tokens charged so far.
    pub spent_tokens: u64,
    /// Tokens reserved by attempts in flight.
    pub reserved_tokens: u64,
}

impl Account {
    /// Adds a program's usage.
    pub fn add(&mut self, state: &ProgramState) {
        self.spent_tokens += state.spent_tokens;
        self.reserved_tokens += state.reserved_tokens();
    }

    /// Subtracts a program's usage.
    pub fn subtract(&mut self, state: &ProgramState) {
        self.spent_tokens -= state.spent_tokens;
        self.reserved_tokens -= state.reserved_tokens();
    }

    /// Whether `tokens` more can be reserved within `budget_tokens`.
    pub fn can_reserve(&self, tokens: u64, budget_tokens: u64) -> bool {
        self.spent_tokens + self.reserved_tokens + tokens <= budget_tokens
    }
}
