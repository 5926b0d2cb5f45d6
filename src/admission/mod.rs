//! Admission control: enforces the rate and burst of each workspace across all entries of
//! [`crate::entry`]. The gateway's counterpart is [`crate::quota`].
//!
//! Each workspace is hashed to a shard. The entry that owns the shard holds the workspace's token
//! bucket and lends calls from it. Every entry, the lender included, admits only calls that it has
//! borrowed. A share, the calls that an entry holds for a workspace, expires after a short time.

mod borrower;
mod lender;
mod static_split;
mod token_bucket;

pub use borrower::{AdmissionDecision, Borrower, MIN_CALLS_TO_PREFETCH};
pub use lender::{BorrowRequest, Lender, LendingTimes, Loan};
pub use static_split::StaticSplit;
pub use token_bucket::TokenBucket;

#[cfg(test)]
mod tests;
