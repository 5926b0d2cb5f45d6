use crate::membership::{Peer, RoleStatus};
use crate::prelude::*;

/// The state of an endpoint as reported in its last heartbeat; it lags by up to one heartbeat
/// interval.
#[value]
pub struct EndpointView {
    /// The process beside the endpoint.
    pub endpoint: EndpointRef,
    /// Calls running and queued, as reported.
    pub reported_load: u32,
    /// Number of calls that the endpoint can run at the same time.
    pub concurrency: u32,
    /// Time at which the report was received.
    pub reported_at: TimeMs,
    /// Whether the endpoint is in the router's failure domain.
    pub in_same_domain: bool,
    /// Hash of the VM's name, used to rank endpoints.
    pub vm_hash: u64,
}

impl EndpointView {
    /// Hashes the name of a VM. Every entry computes the same value.
    pub fn vm_hash(vm: &VmName) -> u64 {
        Digest::of(&[vm.as_str().as_bytes()]).prefix()
    }

    /// Returns the view of a peer, or `None` if the peer is an entry.
    pub fn from_peer(peer: &Peer, failure_domain: &str) -> Option<EndpointView> {
        let RoleStatus::Endpoint { running, queued, concurrency, .. } = &peer.heartbeat.role_status
        else {
            return None;
        };
        Some(EndpointView {
            endpoint: peer.endpoint_ref(),
            reported_load: running + queued,
            concurrency: *concurrency,
            reported_at: peer.heard_at,
            vm_hash: peer.vm_hash,
            in_same_domain: &*peer.heartbeat.failure_domain == failure_domain,
        })
    }
}
