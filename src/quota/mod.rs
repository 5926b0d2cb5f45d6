//! Rate and burst of a workspace over all entries together, from what the entries tell each other.

mod bookings;
mod claim;
mod pace;
mod programs;
mod shared_window;
mod tally;

pub use claim::{Claim, Grant};
pub use pace::Pace;
pub use shared_window::{Allowance, Peering, SharedWindow};
pub use tally::Tally;

#[cfg(test)]
mod tests;
