//! Rate and burst limit of a workspace across all entries, from the usage that the entries report
//! to each other by gossip.

mod bookings;
mod claim;
mod program_stats;
mod programs;
mod shared_window;
mod usage_totals;
mod window_usage;

pub use claim::{Claim, Grant};
pub use program_stats::ProgramStats;
pub use shared_window::{PeerCounts, RateLimit, SharedWindow};
pub use usage_totals::{RefundCount, UsageTotals};
pub use window_usage::WindowUsage;

#[cfg(test)]
mod tests;
