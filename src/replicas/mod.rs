//! The endpoints of each service as the platform lists them, and the choice among them.

mod announcement;
mod cold;
mod directory;
mod evacuations;
mod health;
mod placement;
mod rendezvous;
mod topology;

pub use announcement::{Announcement, EndpointChange};
pub use cold::{ColdLimits, ColdShare};
pub use directory::{Directory, Replica, ReplicaKey};
pub use evacuations::Evacuations;
pub use health::{AnswerCounts, Health};
pub use placement::{Placement, PlacementRequest};
pub use topology::Topology;

#[cfg(test)]
mod tests;
