use crate::contracts::{Contract, KeyDigest, KeyId};
use crate::prelude::*;

/// The operation that a change performs on a workspace.
#[wire]
pub enum Operation {
    /// Puts a contract into force, replacing the previous one.
    Publish {
        /// The contract.
        contract: Contract,
    },
    /// Withdraws the workspace's contract and removes all its keys.
    Withdraw,
    /// Adds a key to the workspace, or replaces the key with that name.
    Grant {
        /// The key's public name.
        key: KeyId,
        /// The key's digest.
        digest: KeyDigest,
    },
    /// Removes a key from the workspace.
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
        /// Random id of the change. It lets a publisher find out whether an append took effect whose
        /// answer was lost.
        id: u64,
        /// The workspace.
        workspace: WorkspaceId,
        /// The workspace's version that the change is based on. If the version is a different one
        /// when the change is applied, the change is rejected as a conflict.
        base: Offset,
        /// The operation.
        operation: Operation,
    },
    /// A call was running on an engine when the engine crashed.
    Suspect {
        /// The workspace.
        workspace: WorkspaceId,
        /// The call's digest.
        digest: Digest,
        /// The crash.
        crash: Crash,
    },
    /// A suspected call ran alone without a crash.
    Cleared {
        /// The workspace.
        workspace: WorkspaceId,
        /// The call's digest.
        digest: Digest,
    },
    /// The whole configuration up to an offset. It allows older records to expire.
    Snapshot(ConfigSnapshot),
}

/// The whole configuration, computed from the records up to an offset.
#[wire]
pub struct ConfigSnapshot {
    /// The offset of the last record that it covers.
    pub through: Offset,
    /// All workspaces, including those whose contract is withdrawn.
    pub workspaces: Vec<WorkspaceSnapshot>,
    /// The engine crashes during which a call was running, by workspace and digest of the call.
    pub suspects: Vec<(WorkspaceId, Digest, Vec<Crash>)>,
}

/// The state of one workspace in a snapshot.
#[wire]
pub struct WorkspaceSnapshot {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The offset of its last accepted change.
    pub version: Offset,
    /// Its contract; `None` if it is withdrawn or was never published.
    pub contract: Option<Contract>,
    /// Its keys: public names and digests.
    pub keys: Vec<(KeyId, KeyDigest)>,
}
