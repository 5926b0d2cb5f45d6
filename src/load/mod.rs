//! Decisions under load for services whose callers compete for capacity: whether a program may
//! start, in which order refused programs return, and how fast each endpoint is.
//!
//! None of them has a network or a clock of its own. The gateway asks them and acts on the answers;
//! they apply only to routes under load control, see
//! [`crate::catalog::Route::is_load_controlled`].

mod admission;
mod capacity;
mod endpoint_pace;
mod fit;
mod line;
mod pace;
pub(crate) mod prior;
mod rank;
mod service_pace;

pub use admission::{Candidate, Decision, ProgramAdmission};
pub use capacity::ServiceLoad;
pub use fit::{ForgettingMean, LinePrior, LinearFit};
pub use line::{Place, WaitingList};
pub use pace::{CostMs, PaceChange, PaceTable, PaceTotals, ServiceTimes, TurnSample, Work};
pub use rank::Rank;

#[cfg(test)]
pub(crate) mod tests;
