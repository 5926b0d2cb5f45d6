//! Runs the turns of programs: in order, on the recorded history, within the token budget, and
//! non-idempotent calls at most once.
//!
//! A program is an agent's sequence of turns, and each turn is one model or service call. Running a
//! turn can take several attempts, each at one endpoint. A shard is a subset of the programs, and
//! an entry is a proxy node that serves callers.
//!
//! One entry owns a shard at a time and records each turn in the shard's stream of the log.
//! Replaying the stream gives every reader the same state, and records written by an owner that
//! has been replaced are ignored.

mod active;
mod call;
mod owner;
mod ownership;
mod record;
mod shard_state;
mod state;

pub use active::{ActiveTurn, Phase};
pub use call::{
    CallId, ExecutionStatus, FinishReason, Message, ProgramLimits, Refusal, RefusalReason, Reply,
    TurnRequest, TurnResult, Usage, Work,
};
pub use owner::{
    Action, AppendedAt, Attempt, AttemptFrame, AttemptReport, AttemptWork, CrashStatus, Event,
    FailureCause, LogCallError, OwnerEnvironment, OwnerLimits, PlaceRefusal, PlaceRequest,
    Predecessor, ReadPage, ShardOwner,
};
pub use ownership::ShardOwnership;
pub use record::{IntentRecord, OutcomeRecord, ProgramSnapshot, Record, StoredRecord};
pub use shard_state::{ApplyOutcome, ShardState};
pub use state::{Account, FinishedTurn, ProgramState};

#[cfg(test)]
mod tests;
