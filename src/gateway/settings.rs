use std::net::SocketAddr;

use crate::mechanisms::Mechanisms;
use crate::prelude::*;
use crate::replicas::Topology;

/// Bounds that a deployment's operator sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// A key withdrawn longer ago than this must not be served.
    pub revoke_ms: u64,
    /// From SIGTERM to SIGKILL.
    pub grace_ms: u64,
    /// Workspaces' rates hold over any window of this length.
    pub rate_window_ms: u64,
    /// An endpoint that leaves must get nothing new after this.
    pub drain_ms: u64,
    /// A cold endpoint must not get more in a second than this many times what its service bears,
    pub cold_rate_factor: f64,
    /// and this many requests more.
    pub cold_rate_slack: f64,
}

/// What a gateway has to know to start.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The name of its VM.
    pub name: Arc<str>,
    /// Where it is.
    pub topology: Topology,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    /// Where it takes the other entries' messages and calls.
    pub peers: SocketAddr,
    /// Where it serves its metrics.
    pub metrics: Option<SocketAddr>,
    /// Bounds to keep.
    pub bounds: Bounds,
    /// The mechanisms that are on.
    pub mechanisms: Mechanisms,
}
