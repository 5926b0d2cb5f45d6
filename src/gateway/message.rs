use crate::prelude::*;
use crate::turns::{Turn, TurnKey};

/// What an entry tells the others, in one datagram. All of it is absolute, so that a lost one is
/// made good by the next.
#[wire]
pub(super) struct Gossip {
    /// Distinguishes the lives of one VM's process.
    pub(super) life: u64,
    /// The name of the VM.
    pub(super) name: Arc<str>,
    /// Whether it is shutting down.
    pub(super) leaving: bool,
    /// The shards that it owns, with their epochs.
    pub(super) shards: Vec<(u32, u64)>,
    /// Requests that it has running, by endpoint.
    pub(super) running: Vec<(u64, u32)>,
    /// Requests admitted in its life, by workspace.
    pub(super) taken: Vec<(u64, u64)>,
    /// Answers of the endpoints that have failed of late: endpoint, failures, answers, in hundredths.
    pub(super) answers: Vec<(u64, u32, u32)>,
    /// Requests that crash endpoints, with their crashes.
    pub(super) suspects: Vec<(u64, u32)>,
}

/// Asks for a turn that the asker's own shards do not hold.
#[wire]
pub(super) struct FindTurn {
    /// The turn.
    pub(super) turn: TurnKey,
}

/// What an entry holds of it.
#[wire]
pub(super) struct FoundTurn {
    /// The turn and all before it, oldest first.
    pub(super) chain: Option<Vec<(TurnKey, Turn)>>,
    /// Shards that were searched whole, by an owner that the store has just confirmed.
    pub(super) searched: Vec<u32>,
}
