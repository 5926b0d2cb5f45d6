use std::net::SocketAddr;

use crate::prelude::*;

/// What a process is.
#[wire]
#[derive(Copy)]
pub enum Role {
    /// An entry.
    Entry,
    /// The process beside an endpoint.
    Endpoint,
}

/// Whether a process takes new work.
#[wire]
#[derive(Copy)]
pub enum PeerState {
    /// It does.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// What a process tells of its duty.
#[wire]
pub enum RoleStatus {
    /// An entry's.
    Entry {
        /// The last configuration record that it has applied.
        config: Offset,
        /// How long ago it read the log's end, if ever.
        log_age_ms: Option<u64>,
        /// The shards that it owns, with their epochs.
        owned: Vec<(ShardId, Epoch)>,
    },
    /// That of a process beside an endpoint.
    Endpoint {
        /// What the endpoint serves.
        serves: ModelName,
        /// Calls that run.
        running: u32,
        /// Calls that wait.
        queued: u32,
        /// Calls that can run at once.
        concurrency: u32,
    },
}

/// A datagram that says: I am here, and this is how I do.
#[wire]
pub struct Heartbeat {
    /// The sender's VM.
    pub vm: VmName,
    /// The sender's run.
    pub instance: Instance,
    /// When that run started; a later run replaces an earlier one under the same name.
    pub started: UnixMs,
    /// Counts the heartbeats of the run, so that a late datagram takes nothing back.
    pub sequence: u64,
    /// The sender's failure domain.
    pub failure_domain: Arc<str>,
    /// Where it takes calls of other processes.
    pub address: SocketAddr,
    /// Where it takes control messages.
    pub control: SocketAddr,
    /// Whether it takes new work.
    pub state: PeerState,
    /// What it does.
    pub role_status: RoleStatus,
}

impl Heartbeat {
    /// The datagram.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads a datagram; anything else than a heartbeat gives nothing.
    pub fn decode(bytes: &[u8]) -> Option<Heartbeat> {
        postcard::from_bytes(bytes).ok()
    }

    /// What the sender is.
    pub fn role(&self) -> Role {
        match self.role_status {
            RoleStatus::Entry { .. } => Role::Entry,
            RoleStatus::Endpoint { .. } => Role::Endpoint,
        }
    }
}
