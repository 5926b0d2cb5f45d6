//! The endpoints of each service as the platform lists them, and the choice among them.

mod announced;
mod cold;
mod directory;
mod evacuations;
mod health;
mod placement;
mod places;
mod rendezvous;

pub use announced::{Announced, Change};
pub use cold::{ColdRule, ColdShare};
pub use directory::{Directory, Replica, ReplicaKey};
pub use evacuations::Evacuations;
pub use health::{Answers, Health};
pub use placement::{Placement, Want};
pub use places::Places;

#[cfg(test)]
mod tests;
