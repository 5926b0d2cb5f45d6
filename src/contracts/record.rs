use crate::contracts::{Contract, KeyDigest, KeyId};
use crate::prelude::*;

/// What one change does.
#[wire]
pub enum Operation {
    /// Puts a contract in force, in place of the one before.
    Publish {
        /// The contract.
        contract: Contract,
    },
    /// Takes the workspace's contract out of force; its keys stop working.
    Withdraw,
    /// Lets a key act for the workspace.
    Grant {
        /// The key's public name.
        key: KeyId,
        /// Its digest.
        digest: KeyDigest,
    },
    /// Stops a key.
    Revoke {
        /// The key's public name.
        key: KeyId,
    },
}

/// One record of the configuration stream.
#[wire]
pub enum ConfigRecord {
    /// An operator's change.
    Change {
        /// Tells this change from any other: a publish whose answer was lost is found by it.
        id: u64,
        /// The workspace.
        workspace: WorkspaceId,
        /// The workspace's version that the operator saw. Another one makes it a conflict.
        base: Offset,
        /// What it does.
        operation: Operation,
    },
    /// A call was running on an engine when it crashed.
    Suspect {
        /// The workspace.
        workspace: WorkspaceId,
        /// Digest of the call.
        digest: Digest,
        /// The crash.
        crash: Crash,
    },
    /// A suspected call ran alone and ended well.
    Cleared {
        /// The workspace.
        workspace: WorkspaceId,
        /// Digest of the call.
        digest: Digest,
    },
    /// The whole configuration up to an offset, so that older records may expire.
    Snapshot(BookSnapshot),
}

/// The whole configuration, as folded up to an offset.
#[wire]
pub struct BookSnapshot {
    /// The last record that it stands for.
    pub through: Offset,
    /// Every workspace: its version, its contract and its keys.
    pub workspaces: Vec<WorkspaceSnapshot>,
    /// Calls that ran on engines when they crashed, with those crashes.
    pub suspects: Vec<(WorkspaceId, Digest, Vec<Crash>)>,
}

/// One workspace in a snapshot.
#[wire]
pub struct WorkspaceSnapshot {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The offset of its last accepted change.
    pub version: Offset,
    /// Its contract; `None` once withdrawn.
    pub contract: Option<Contract>,
    /// Its keys.
    pub keys: Vec<(KeyId, KeyDigest)>,
}
