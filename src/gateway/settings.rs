use std::net::SocketAddr;

use crate::load::CallerLimits;
use crate::mechanisms::Mechanisms;
use crate::prelude::*;
use crate::quota::RateWindow;
use crate::replicas::{EndpointChoice, Topology};

/// Limits that the operator of a deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// A key that was withdrawn longer ago than this must not be served.
    pub revoke_ms: u64,
    /// Grace period from SIGTERM to SIGKILL.
    pub grace_ms: u64,
    /// The window over which the workspaces' rates hold.
    pub rate_window: RateWindow,
    /// A draining endpoint must not get new requests after this time.
    pub drain_ms: u64,
    /// In any second a cold endpoint must get at most this multiple of the service's rate for cold
    /// endpoints, plus `cold_rate_slack`.
    pub cold_rate_factor: f64,
    /// Requests in a second that a cold endpoint may get on top of that multiple.
    pub cold_rate_slack: f64,
}

/// What a gateway needs to start.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub name: Arc<str>,
    /// The failure domain and region of this process, and the regions of all failure domains.
    pub topology: Topology,
    /// Listen address for callers' requests.
    pub callers: SocketAddr,
    /// Listen address of the readiness check.
    pub ready: SocketAddr,
    /// Listen address for the other entries: UDP for messages, TCP for calls.
    pub peers: SocketAddr,
    /// Listen address of the metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// The CPU time that the VM gets, in thousandths of a core.
    pub cpu_millicores: u32,
    /// The most entries that exchange messages each to all and own shards, in all failure domains
    /// together. With fewer entries, all of them do.
    pub max_hubs: usize,
    /// Limits to keep.
    pub bounds: Bounds,
    /// The memory that the process may use, if what it buffers for slow readers is to be limited.
    pub memory_limit_bytes: Option<u64>,
    /// Limits on what is held for callers.
    pub caller_limits: CallerLimits,
    /// The mechanisms that are switched on.
    pub mechanisms: Mechanisms,
    /// Which endpoints of services under load control are compared for a request.
    pub endpoint_choice: EndpointChoice,
    /// Whether endpoints of services under load control are polled for their load. Worth its price
    /// where others than these entries send to them too, which the entries' own counts don't show.
    pub polls_endpoints: bool,
}
