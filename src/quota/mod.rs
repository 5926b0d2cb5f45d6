//! Rate and burst of a workspace over all entries together, from what the entries tell each other.

mod shared_window;

pub use shared_window::{Allowance, Claim, Peering, SharedWindow};

#[cfg(test)]
mod tests;
