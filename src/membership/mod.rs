//! Who is there: direct heartbeats, suspicion before death, and the platform's lagging list.

mod heartbeat;
mod life;
mod table;
mod vm_list;

pub use heartbeat::{Heartbeat, PeerState, Role, RoleStatus};
pub use life::{Life, LifeEvent};
pub use table::{LivenessTimeouts, Peer, PeerKey, PeerTable};
pub use vm_list::{ListedVm, VmList};

#[cfg(test)]
mod tests;
