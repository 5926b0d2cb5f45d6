use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::prelude::*;
use crate::replicas::rendezvous_weight;

/// A hub that may count the requests of workspaces, as far as an entry knows it.
#[value]
#[derive(Copy)]
pub struct CountingCandidate {
    /// Its address for messages.
    pub address: SocketAddr,
    /// The CPU of its VM, if known.
    pub cpu_millicores: Option<u32>,
    /// Whether it knows what the windows hold.
    pub knows_windows: bool,
}

impl CountingCandidate {
    fn has_half_of(&self, most_cpu_millicores: u32) -> bool {
        self.cpu_millicores
            .is_none_or(|cpu_millicores| cpu_millicores >= most_cpu_millicores.div_ceil(2))
    }
}

/// The hubs in the order in which they are to count a workspace's requests (rendezvous hashing): the
/// first one does, and the next takes over when it is gone. All entries that know the same hubs have
/// the same order, so that one hub knows of all requests.
///
/// Hubs that know the windows come before those that have just started, and VMs with little CPU are
/// left out: a surge of one workspace is answered by a single hub.
pub fn counting_order(workspace: u64, candidates: Vec<CountingCandidate>) -> Vec<SocketAddr> {
    let candidates = keep_if_any(candidates, |hub| hub.knows_windows);
    let most_cpu = candidates.iter().filter_map(|hub| hub.cpu_millicores).max().unwrap_or(0);
    let candidates = keep_if_any(candidates, |hub| hub.has_half_of(most_cpu));
    let weight = |hub: SocketAddr| {
        let hash = Digest::of(&[hub.to_string().as_bytes()]).prefix();
        rendezvous_weight(workspace, hash)
    };
    let mut by_weight: Vec<_> =
        candidates.iter().map(|hub| (Reverse(weight(hub.address)), hub.address)).collect();
    by_weight.sort_unstable();
    by_weight.into_iter().map(|(_, address)| address).collect()
}

/// The candidates that have a property, or all if none has.
fn keep_if_any(
    mut candidates: Vec<CountingCandidate>,
    has_property: impl Fn(&CountingCandidate) -> bool,
) -> Vec<CountingCandidate> {
    if candidates.iter().any(&has_property) {
        candidates.retain(has_property);
    }
    candidates
}
