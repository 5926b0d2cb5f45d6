use super::Regions;
use crate::prelude::*;

/// A workspace and its limits.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: Arc<str>,
    /// Priority of its requests, which overrides the route's; `None` keeps the route's.
    pub priority: Option<u8>,
    /// Request rate over all VMs together, per second; zero for no limit.
    pub rate_per_s: f64,
    /// Number of requests by which it may briefly exceed the rate.
    pub burst: f64,
    /// The regions in which its requests may run.
    pub regions: Regions,
}

/// Limits on the size of a caller's request and on the time that it may take.
#[wire]
#[derive(Copy)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for a request's head to arrive.
    pub header_timeout_ms: u64,
    /// Maximum time that a connection may stay open without a request.
    pub idle_timeout_ms: u64,
}
