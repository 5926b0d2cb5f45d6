//! Decisions under load for services whose callers compete for capacity: whether a program may
//! start, in which order refused programs return, how fast each endpoint is, and how many requests
//! it has. Also the limits on what is buffered for slow readers.
//!
//! None of them has a network or a clock of its own. The gateway asks them and acts on the answers;
//! but for the limits on slow readers, they apply only to routes under load control, see
//! [`crate::catalog::Route::is_load_controlled`].

mod admission;
mod caller_memory;
mod capacity;
mod count_history;
mod endpoint_pace;
mod fit;
mod held_bytes;
mod pace;
mod poll;
pub(crate) mod prior;
mod program_times;
mod rank;
mod report;
mod service_pace;
mod shared_limit;
mod slot_limit;
mod use_level;
mod waiting_list;

pub use admission::{Candidate, Decision, ProgramAdmission};
pub use caller_memory::{
    CallerConnection, CallerLimits, CallerMemory, CallerRequest, CallerUsage, Evict, HeldHistory,
    HeldRequestBytes, NoRoom,
};
pub use capacity::ServiceLoad;
pub use fit::{ForgettingMean, LinePrior, LinearFit};
pub use held_bytes::{Disconnect, HeldBytes, HeldResponse, Hold, HoldError};
pub use pace::{CostMs, PaceChange, PaceTable, PaceTotals, ServiceTimes, TurnSample, Work};
pub use poll::{PausedServices, PollOutcome, is_due, is_poller};
pub use program_times::ProgramTimes;
pub use rank::Rank;
pub use report::{Correction, EndpointReport, MAX_REPORT_AGE_MS, ReportOutcome, ReportedLoad};
pub use slot_limit::SlotLimit;
pub use use_level::UseLevel;
pub use waiting_list::{Place, WaitingList};

#[cfg(test)]
pub(crate) mod tests;
