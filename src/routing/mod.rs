//! Routing: which endpoint runs an attempt.

mod router;
mod view;

pub use router::{Router, RoutingPolicy};
pub use view::EndpointView;

#[cfg(test)]
mod tests;
