use super::Regions;
use crate::prelude::*;

/// What one workspace is allowed.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: Arc<str>,
    /// Rank of its requests, before the route's; none leaves the route's.
    pub priority: Option<u8>,
    /// Requests a second over all VMs together; zero: no limit.
    pub rate_per_s: f64,
    /// Requests that may come at once beyond the rate.
    pub burst: f64,
    /// Where its requests may run.
    pub regions: Regions,
}

/// What a caller may send, and how long it may take.
#[value]
#[derive(Copy)]
pub struct Limits {
    /// The most bytes of a request's head.
    pub max_header_bytes: usize,
    /// The most bytes of a request's body.
    pub max_body_bytes: usize,
    /// The longest that a head may take to arrive.
    pub header_timeout_ms: u64,
    /// The longest that a connection may stay without a request.
    pub idle_timeout_ms: u64,
}
