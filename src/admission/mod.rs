//! Admission: no workspace exceeds its rate and burst over all entries together.
//!
//! One entry lends out each workspace's rate: the one that owns the shard that the workspace falls
//! to. The others borrow shares that last for a short time.

mod borrower;
mod bucket;
mod lender;
mod split;

pub use borrower::{AdmissionDecision, Borrower, MIN_CALLS_TO_PREFETCH};
pub use bucket::TokenBucket;
pub use lender::{BorrowRequest, Lender, LendingTimes, Loan};
pub use split::StaticSplit;

#[cfg(test)]
mod tests;
