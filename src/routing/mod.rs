//! Routing: chooses the endpoint that runs an attempt, for the entries of [`crate::entry`]. The
//! gateway uses [`crate::replicas`] instead.

mod endpoint_view;
mod program_shares;
mod retry_budget;
mod router;

pub use endpoint_view::EndpointView;
pub use program_shares::ProgramShares;
pub use retry_budget::RetryBudget;
pub use router::{Router, RoutingPolicy, SheddingPolicy};

#[cfg(test)]
mod tests;
