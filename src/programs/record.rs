use crate::prelude::*;
use crate::programs::{FinishedTurn, Message, TurnResult};

/// A record as stored in the log.
#[wire]
pub struct StoredRecord<T> {
    /// The record's position in its stream.
    pub offset: Offset,
    /// Time at which the log appended it.
    pub time_ms: UnixMs,
    /// The record.
    pub data: T,
}

/// One record of a shard's stream.
#[wire]
pub enum Record {
    /// An entry claims the shard; the record's offset becomes the owner's epoch.
    Claim {
        /// The VM of the entry.
        entry: VmName,
        /// The process instance of the entry.
        instance: Instance,
        /// Distinguishes this claim from others by the same process instance.
        nonce: u64,
    },
    /// The owner releases the shard.
    Release {
        /// The owner's epoch.
        epoch: Epoch,
    },
    /// An attempt at a turn is about to be dispatched.
    Intent(IntentRecord),
    /// An attempt ended without a result; its reservation is replaced by a charge.
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
    /// A turn is finished.
    Outcome(OutcomeRecord),
    /// The program has ended; if it is a root, so have its sub-agents.
    Ended {
        /// The program.
        program: ProgramId,
        /// The owner's epoch.
        epoch: Epoch,
    },
    /// The complete state of an idle program, so that its older records may expire.
    Snapshot {
        /// The owner's epoch.
        epoch: Epoch,
        /// The program's state.
        snapshot: ProgramSnapshot,
    },
}

/// Written before an attempt is dispatched: its target and its token reservation.
#[wire]
pub struct IntentRecord {
    /// The program.
    pub program: ProgramId,
    /// The turn.
    pub turn: TurnNo,
    /// Digest of the requested work.
    pub digest: Digest,
    /// The attempt; its epoch is that of the owner that writes the record.
    pub attempt: AttemptId,
    /// The instance of the endpoint process that the attempt is for; no other may start it.
    pub endpoint: EndpointRef,
    /// Tokens reserved from the program's budget.
    pub reserve_tokens: u64,
    /// Whether the call may be run again if its outcome is unknown.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
}

/// Written when a turn is finished, before the caller gets the result.
#[wire]
pub struct OutcomeRecord {
    /// The program.
    pub program: ProgramId,
    /// The epoch of the owner that writes the record. The attempt may be of an earlier epoch.
    pub epoch: Epoch,
    /// The turn.
    pub turn: TurnNo,
    /// The attempt that produced the result.
    pub attempt: AttemptId,
    /// Digest of the requested work.
    pub digest: Digest,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Messages that the call added to the conversation.
    pub messages: Vec<Message>,
    /// The result of the turn.
    pub result: TurnResult,
    /// Tokens to charge.
    pub charge_tokens: u64,
}

/// The state of a program that the owner has no turn in flight for.
#[wire]
pub struct ProgramSnapshot {
    /// The program.
    pub program: ProgramId,
    /// Finished turns, in order; empty once the program has ended.
    pub turns: Vec<FinishedTurn>,
    /// Number of finished turns; kept after the program ends.
    pub turn_count: u32,
    /// Tokens charged so far.
    pub spent_tokens: u64,
    /// An intent that was never settled or finished.
    #[serde(rename = "open")]
    pub open_intent: Option<IntentRecord>,
    /// The latest attempt for which an intent was recorded, in flight or not.
    pub last_attempt: Option<AttemptId>,
    /// Time at which the program ended.
    pub ended: Option<UnixMs>,
}

impl Record {
    /// The epoch of the owner that wrote the record; `None` for a claim, whose offset starts a new
    /// epoch.
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
