//! Routing: which endpoint runs an attempt.

mod retries;
mod router;
mod shares;
mod view;

pub use retries::RetryBudget;
pub use router::{Router, RoutingPolicy, SheddingPolicy};
pub use shares::ProgramShares;
pub use view::EndpointView;

#[cfg(test)]
mod tests;
