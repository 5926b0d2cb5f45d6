//! Programs: their order, history, budgets and irreversible calls, kept through the log.
//!
//! One entry owns a shard at a time. It records each turn in the shard's stream; whoever folds
//! that stream comes to the same state, and a record of an owner that has been replaced is void.

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
