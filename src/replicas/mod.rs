//! The endpoints of each service as the platform lists them, and the choice among them.

mod announced;
mod directory;
mod evacuations;
mod health;
mod placement;

pub use announced::{Announced, Change};
pub use directory::{Directory, Replica, ReplicaKey};
pub use evacuations::Evacuations;
pub use health::{Answers, Health};
pub use placement::{Placement, Want};

#[cfg(test)]
mod tests;
