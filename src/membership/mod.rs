//! Who is there: direct heartbeats, suspicion before death, and the platform's lagging list.

mod heartbeat;
mod life;
mod table;
mod vm_list;

pub use heartbeat::{Duty, Heartbeat, PeerState, Role};
pub use life::{Life, LifeEvent};
pub use table::{Peer, PeerKey, PeerTable, Timings};
pub use vm_list::{ListedVm, VmList};

#[cfg(test)]
mod tests;
