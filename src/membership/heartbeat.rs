use std::net::SocketAddr;

use crate::prelude::*;

/// The role of a process.
#[wire]
#[derive(Copy)]
pub enum Role {
    /// A proxy node.
    Entry,
    /// The process that runs beside an endpoint and dispatches calls to it.
    Endpoint,
}

/// Whether a process takes new work.
#[wire]
#[derive(Copy)]
pub enum PeerState {
    /// Accepts new work.
    Live,
    /// Draining: finishes its current work and accepts no more.
    Leaving,
}

/// The part of a heartbeat that depends on the sender's role.
#[wire]
pub enum RoleStatus {
    /// Sent by an entry.
    Entry {
        /// Offset of the last configuration record that it has applied.
        config: Offset,
        /// Milliseconds since it last read up to the end of the log; `None` before the first time.
        log_age_ms: Option<u64>,
        /// The shards that it owns, with the epoch of each ownership.
        owned: Vec<(ShardId, Epoch)>,
    },
    /// Sent by the process beside an endpoint.
    Endpoint {
        /// The model or service that the endpoint serves.
        serves: ModelName,
        /// Calls in flight at the endpoint.
        running: u32,
        /// Calls queued in the process.
        queued: u32,
        /// Maximum number of calls that run at once.
        concurrency: u32,
    },
}

/// A datagram that announces a process and reports its status.
#[wire]
pub struct Heartbeat {
    /// The sender's VM.
    pub vm: VmName,
    /// The sender's process instance.
    pub instance: Instance,
    /// When that instance started; a later instance replaces an earlier one on the same VM.
    pub started: UnixMs,
    /// Number of this heartbeat within the instance; receivers discard datagrams that arrive out
    /// of order.
    pub sequence: u64,
    /// The sender's failure domain.
    pub failure_domain: Arc<str>,
    /// Where the sender accepts calls from other processes.
    pub address: SocketAddr,
    /// Where the sender accepts control messages.
    pub control: SocketAddr,
    /// Whether the sender accepts new work.
    pub state: PeerState,
    /// Status fields that depend on the sender's role.
    pub role_status: RoleStatus,
}

impl Heartbeat {
    /// Encodes the heartbeat as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a datagram; `None` if it is not a heartbeat.
    pub fn decode(bytes: &[u8]) -> Option<Heartbeat> {
        postcard::from_bytes(bytes).ok()
    }

    /// The sender's role.
    pub fn role(&self) -> Role {
        match self.role_status {
            RoleStatus::Entry { .. } => Role::Entry,
            RoleStatus::Endpoint { .. } => Role::Endpoint,
        }
    }
}
