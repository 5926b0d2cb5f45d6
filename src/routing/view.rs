use crate::membership::{Peer, RoleStatus};
use crate::prelude::*;

/// An endpoint as routing sees it: late by a heartbeat.
#[value]
pub struct EndpointView {
    /// The process beside it.
    pub endpoint: EndpointRef,
    /// Calls that it reported, running and waiting.
    pub reported_load: u32,
    /// Calls that it can run at once.
    pub concurrency: u32,
    /// When the report came.
    pub reported_at: TimeMs,
    /// Whether it lies in the failure domain of the one who routes.
    pub in_same_domain: bool,
    /// Stands for the VM where endpoints are ranked.
    pub vm_hash: u64,
}

impl EndpointView {
    /// The number that stands for a VM, the same on every entry.
    pub fn vm_hash(vm: &VmName) -> u64 {
        Digest::of(&[vm.as_str().as_bytes()]).prefix()
    }

    /// The view of a peer, if it stands beside an endpoint.
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
