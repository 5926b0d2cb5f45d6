//! Rate and burst of a workspace over all entries together, from what the entries tell each other.

mod shared_bucket;

pub use shared_bucket::{Claim, Peering, SharedBucket};

#[cfg(test)]
mod tests;
