//! Membership of the cluster: failure detection by direct heartbeats, combined with the platform's
//! VM list, which lags behind.

mod heartbeat;
mod liveness;
mod table;
mod vm_list;

pub use heartbeat::{Heartbeat, PeerState, Role, RoleStatus};
pub use liveness::{Liveness, LivenessEvent};
pub use table::{LivenessTimeouts, Peer, PeerKey, PeerTable};
pub use vm_list::{ListedVm, VmList};

#[cfg(test)]
mod tests;
