use std::collections::BTreeSet;

use crate::prelude::*;
use crate::quota::UsageTotals;
use crate::turns::{Turn, TurnKey};

/// What an entry tells the others, in one datagram. All of it is absolute, so that a lost one is
/// made good by the next.
#[wire]
pub(super) struct GossipMessage {
    /// Distinguishes the lives of one VM's process.
    pub(super) instance: u64,
    /// The name of the VM.
    pub(super) name: Arc<str>,
    /// Whether it is shutting down.
    pub(super) leaving: bool,
    /// Whether it does not reach the store.
    pub(super) store_unreachable: bool,
    /// Whether it has lived for less than a window of the rates: all that it took is in the window.
    pub(super) recently_started: bool,
    /// The generation of the deal that it follows.
    pub(super) generation: u64,
    /// The shards that it owns, with their epochs.
    pub(super) shards: Vec<(u32, u64)>,
    /// Requests that it has running, by endpoint.
    pub(super) running: Vec<(u64, u32)>,
    /// Requests admitted, by workspace.
    pub(super) taken: Vec<WorkspaceUsage>,
    /// Answers of the endpoints that have failed of late: endpoint, failures, answers.
    pub(super) answers: Vec<(u64, u32, u32)>,
    /// What is evacuated, as far as it knows.
    pub(super) evacuated: EvacuationState,
    /// Requests that crash endpoints, with their crashes.
    pub(super) suspects: Vec<(u64, u32)>,
}

/// At most so many rows, others in each round.
pub(super) fn rotating_slice<T>(mut rows: Vec<T>, round: usize, most: usize) -> Vec<T> {
    if rows.len() > most {
        let start = (round * most) % rows.len();
        rows.rotate_left(start);
        rows.truncate(most);
    }
    rows
}

/// What an entry knows of evacuations.
#[wire]
#[derive(Default)]
pub(super) struct EvacuationState {
    /// Up to where it has read the operator's record.
    pub(super) as_of: u64,
    /// The failure domains that are evacuated as of then.
    pub(super) domains: BTreeSet<Arc<str>>,
}

/// What an entry has admitted for a workspace.
#[wire]
pub(super) struct WorkspaceUsage {
    /// Stands for the workspace.
    pub(super) workspace: u64,
    /// What the entry has admitted in its life.
    pub(super) taken: UsageTotals,
    /// Requests that all entries have admitted in the window, if the entry knows.
    pub(super) in_window: Option<u64>,
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
