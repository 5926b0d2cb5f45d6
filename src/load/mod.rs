//! Decisions under load for services whose callers compete for capacity: whether a program may
//! start, in which order refused programs return, how fast each endpoint is, and how many requests
//! it has.
//!
//! None of them has a network or a clock of its own. The gateway asks them and acts on the answers;
//! they apply only to routes under load control, see
//! [`crate::catalog::Route::is_load_controlled`].

mod capacity;
mod count_history;
mod poll;
mod rank;
mod report;

pub use capacity::ServiceLoad;
pub use poll::{PausedServices, PollOutcome, is_due, is_poller};
pub use rank::Rank;
pub use report::{Correction, EndpointReport, MAX_REPORT_AGE_MS, ReportOutcome, ReportedLoad};

#[cfg(test)]
mod tests;
