use crate::prelude::*;
use crate::programs::{FinishedTurn, Message, TurnResult};

/// A record as the log holds it.
#[wire]
pub struct StoredRecord<T> {
    /// Where it stands.
    pub offset: Offset,
    /// When the log took it.
    pub time_ms: UnixMs,
    /// The record.
    pub data: T,
}

/// One record of a shard's stream.
#[wire]
pub enum Record {
    /// An entry takes the shard; the record's offset is its epoch.
    Claim {
        /// The entry.
        entry: VmName,
        /// Its run.
        instance: Instance,
        /// Tells this claim from another of the same run.
        nonce: u64,
    },
    /// The owner gives the shard up.
    Release {
        /// The owner's epoch.
        epoch: Epoch,
    },
    /// A turn is about to be dispatched.
    Intent(IntentRecord),
    /// An attempt is over without a result; its reservation becomes a charge.
    Settled {
        /// The program.
        program: ProgramId,
        /// The owner's epoch.
        epoch: Epoch,
        /// The attempt.
        attempt: AttemptId,
        /// Tokens to charge.
        charge_tokens: u64,
    },
    /// A turn is done.
    Outcome(OutcomeRecord),
    /// The program is over, and its sub-agents with it.
    Ended {
        /// The program.
        program: ProgramId,
        /// The owner's epoch.
        epoch: Epoch,
    },
    /// The whole state of an idle program, so that its older records may expire.
    Snapshot {
        /// The owner's epoch.
        epoch: Epoch,
        /// The state.
        snapshot: ProgramSnapshot,
    },
}

/// Written before an attempt is dispatched: names where it goes and what it may cost.
#[wire]
pub struct IntentRecord {
    /// The program.
    pub program: ProgramId,
    /// The turn.
    pub turn: TurnNo,
    /// Digest of the call.
    pub digest: Digest,
    /// The attempt; its epoch is the owner's.
    pub attempt: AttemptId,
    /// The run of the process beside the endpoint that alone may start it.
    pub endpoint: EndpointRef,
    /// Tokens reserved of the program's budget.
    pub reserve_tokens: u64,
    /// Whether the call may be run again after an unknown outcome.
    pub idempotent: bool,
    /// The caller's key, if it gave one.
    pub idempotency_key: Option<Arc<str>>,
}

/// Written when a turn is done, before the caller is told.
#[wire]
pub struct OutcomeRecord {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch; the attempt's may be an earlier one.
    pub epoch: Epoch,
    /// The turn.
    pub turn: TurnNo,
    /// The attempt that gave the result.
    pub attempt: AttemptId,
    /// Digest of the call.
    pub digest: Digest,
    /// The caller's key, if it gave one.
    pub idempotency_key: Option<Arc<str>>,
    /// The messages that the call added.
    pub messages: Vec<Message>,
    /// The result.
    pub result: TurnResult,
    /// Tokens to charge.
    pub charge_tokens: u64,
}

/// The state of a program without an attempt under way.
#[wire]
pub struct ProgramSnapshot {
    /// The program.
    pub program: ProgramId,
    /// Its finished turns.
    pub turns: Vec<FinishedTurn>,
    /// Number of finished turns, which outlives the turns of an ended program.
    pub turn_count: u32,
    /// Tokens charged so far.
    pub spent_tokens: u64,
    /// An intent that an earlier owner left open.
    pub open: Option<IntentRecord>,
    /// The newest attempt that was ever opened.
    pub last_attempt: Option<AttemptId>,
    /// When it ended.
    pub ended: Option<UnixMs>,
}

impl Record {
    /// The epoch under which it was written; `None` for a claim, which makes one.
    pub fn epoch(&self) -> Option<Epoch> {
        match self {
            Record::Claim { .. } => None,
            Record::Intent(intent) => Some(intent.attempt.epoch),
            Record::Outcome(outcome) => Some(outcome.epoch),
            Record::Release { epoch }
            | Record::Settled { epoch, .. }
            | Record::Ended { epoch, .. }
            | Record::Snapshot { epoch, .. } => Some(*epoch),
        }
    }
}
