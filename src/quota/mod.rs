//! Rate and burst limit of a workspace across all entries: what one hub counts, and what the hubs report
//! to each other by gossip.

mod bookings;
mod claim;
mod peer_counts;
mod peer_reports;
mod program_stats;
mod programs;
mod rate_limit;
mod shared_window;
mod slots;
mod surge_meter;
mod usage_totals;
mod window_usage;

pub use claim::{Claim, Grant};
pub use peer_counts::PeerCounts;
pub use program_stats::ProgramStats;
pub use rate_limit::{RateLimit, RateWindow};
pub use shared_window::SharedWindow;
pub use usage_totals::{RefundCount, UsageTotals};
pub use window_usage::WindowUsage;

#[cfg(test)]
mod tests;
