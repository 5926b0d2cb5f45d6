//! Programs: their order, history, budgets and irreversible calls, kept through the log.
//!
//! One entry owns a shard at a time. It records each turn in the shard's stream; whoever folds
//! that stream comes to the same state, and a record of an owner that has been replaced is void.

mod active;
mod call;
mod fold;
mod owner;
mod record;
mod state;
mod tenure;

pub use active::{Active, Phase};
pub use call::{
    CallId, Finish, Message, ProgramLimits, Ran, Refusal, RefusalReason, Reply, TurnRequest,
    TurnResult, Usage, Work,
};
pub use fold::{Applied, ShardFold};
pub use owner::{
    Action, AppendError, AppendedAt, Attempt, AttemptFrame, AttemptReport, AttemptWork, Event,
    FailureCause, Limits, PlaceRefusal, PlaceRequest, Predecessor, ReadPage, ShardOwner, Standing,
    Surroundings,
};
pub use record::{IntentRecord, OutcomeRecord, ProgramSnapshot, Record, StoredRecord};
pub use state::{Account, ProgramState, TurnEntry};
pub use tenure::Tenure;

#[cfg(test)]
mod tests;
