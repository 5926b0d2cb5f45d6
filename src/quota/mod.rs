//! Rate and burst of a workspace over all entries together, from what the entries tell each other.

mod bookings;
mod claim;
mod program_stats;
mod programs;
mod shared_window;
mod tally;

pub use claim::{Claim, Grant};
pub use program_stats::ProgramStats;
pub use shared_window::{PeerCounts, RateLimit, SharedWindow};
pub use tally::UsageTotals;

#[cfg(test)]
mod tests;
