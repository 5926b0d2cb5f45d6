//! The endpoints of each service, as listed by the platform, and the selection of one for each
//! request of the gateway. The entries of [`crate::entry`] use [`crate::routing`] instead.

mod announcement;
mod change_log;
mod cold_limits;
mod directory;
mod endpoint_choice;
mod evacuations;
mod health;
mod list_outage;
mod outdated_run;
mod placement;
mod rendezvous;
mod replica;
mod topology;

pub use announcement::{Announcement, ChangeOutcome, EndpointChange};
pub use change_log::ChangeLog;
pub use cold_limits::{ColdLimits, SenderQuota};
pub use directory::{Directory, ReplicaKey};
pub use endpoint_choice::{EndpointChoice, SAMPLED_ENDPOINTS};
pub use evacuations::Evacuations;
pub use health::{AnswerCounts, Health};
pub use list_outage::ListOutage;
pub use placement::{Placement, PlacementRequest};
pub(crate) use rendezvous::rendezvous_weight;
pub use replica::Replica;
pub use topology::Topology;

#[cfg(test)]
pub(crate) mod tests;
