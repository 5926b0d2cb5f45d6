use std::collections::HashMap;

use crate::contracts::record::WorkspaceSnapshot;
use crate::contracts::{ConfigRecord, ConfigSnapshot, Contract, KeyDigest, KeyId, Operation};
use crate::prelude::*;
use crate::programs::CrashStatus;

/// A change that was rejected because another change came first.
#[wire]
pub struct Conflict {
    /// The workspace's version when the change was applied.
    pub winner: Offset,
    /// The version that the change was based on.
    pub base: Offset,
}

/// The outcome of an operator's change.
#[wire]
pub enum ChangeOutcome {
    /// The change took effect at this offset.
    Accepted(Offset),
    /// The change was rejected.
    Conflict(Conflict),
}

/// The outcome of applying a record.
#[value]
pub enum ApplyOutcome {
    /// The record is an operator's change.
    Change {
        /// The id of the change.
        id: u64,
        /// Whether it took effect.
        change: ChangeOutcome,
    },
    /// The record was applied.
    Applied,
    /// The record was ignored: it adds nothing to the state.
    Ignored,
}

#[value]
#[derive(Default)]
struct Workspace {
    version: Offset,
    contract: Option<Contract>,
    keys: HashMap<KeyId, KeyDigest>,
}

/// The configuration in force: a pure function of its stream up to an offset, so every reader computes
/// the same state.
#[value]
#[derive(Default)]
pub struct ConfigState {
    /// The offset of the last applied record.
    through: Offset,
    workspaces: HashMap<WorkspaceId, Workspace>,
    /// The engine crashes during which a call was running, by the call's digest.
    suspects: HashMap<(WorkspaceId, Digest), Vec<Crash>>,
    /// Granted keys by the slot of their digest. Different digests can share a slot.
    slots: HashMap<u64, Vec<(WorkspaceId, KeyId)>>,
}

impl ConfigState {
    /// The offset of the last applied record.
    pub fn through(&self) -> Offset {
        self.through
    }

    /// The workspace's contract, if one is in force.
    pub fn contract(&self, workspace: &WorkspaceId) -> Option<&Contract> {
        self.workspaces.get(workspace)?.contract.as_ref()
    }

    /// The workspace's version: the offset of its last accepted change, or zero if there was none.
    pub fn version(&self, workspace: &WorkspaceId) -> Offset {
        self.workspaces.get(workspace).map_or(Offset(0), |state| state.version)
    }

    /// All workspaces with a contract in force.
    pub fn workspaces(&self) -> impl Iterator<Item = (&WorkspaceId, &Contract)> {
        self.workspaces.iter().filter_map(|(id, state)| Some((id, state.contract.as_ref()?)))
    }

    /// The public names of the workspace's keys, sorted.
    pub fn keys(&self, workspace: &WorkspaceId) -> Vec<KeyId> {
        let state = self.workspaces.get(workspace);
        let mut keys: Vec<KeyId> =
            state.map_or_else(Vec::new, |state| state.keys.keys().cloned().collect());
        keys.sort();
        keys
    }

    /// The workspace that the key with this digest belongs to, and the key's public name.
    pub fn authenticate(&self, digest: &KeyDigest) -> Option<(WorkspaceId, KeyId)> {
        let candidates = self.slots.get(&digest.slot())?;
        candidates.iter().find(|(id, key)| self.matches(id, key, digest)).cloned()
    }

    fn matches(&self, workspace: &WorkspaceId, key: &KeyId, digest: &KeyDigest) -> bool {
        let state = self.workspaces.get(workspace).filter(|state| state.contract.is_some());
        state.and_then(|state| state.keys.get(key)).is_some_and(|known| known == digest)
    }

    /// Whether the key is granted to the workspace and the workspace has a contract in force.
    pub fn is_key_valid(&self, workspace: &WorkspaceId, key: &KeyId) -> bool {
        let state = self.workspaces.get(workspace);
        state.is_some_and(|state| state.contract.is_some() && state.keys.contains_key(key))
    }

    /// The recorded engine crashes during which the call was running.
    pub fn crashes(&self, workspace: &WorkspaceId, digest: &Digest) -> &[Crash] {
        let recorded = self.suspects.get(&(workspace.clone(), *digest));
        recorded.map_or(&[], Vec::as_slice)
    }

    /// Whether the call is known to crash engines, only suspected of it, or neither, given the recorded
    /// crashes and those in `unrecorded`, which may not be in the log yet.
    pub fn crash_status(
        &self,
        workspace: &WorkspaceId,
        digest: &Digest,
        unrecorded: &[Crash],
    ) -> CrashStatus {
        let mut crashes = self.crashes(workspace, digest).iter().chain(unrecorded);
        // A crash while several calls were running only makes each of them a suspect. Otherwise
        // calls that ran on two engines crashed by another call would be rejected along with it.
        if crashes.clone().any(|crash| crash.alone) {
            return CrashStatus::Poison;
        }
        match crashes.next() {
            Some(_) => CrashStatus::Suspect,
            None => CrashStatus::Clear,
        }
    }

    /// Applies the record at `offset`. Records up to the last applied offset are ignored, and a
    /// snapshot never replaces newer state.
    pub fn apply(&mut self, offset: Offset, record: &ConfigRecord) -> ApplyOutcome {
        if offset <= self.through {
            return ApplyOutcome::Ignored;
        }
        let outcome = match record {
            ConfigRecord::Change { id, workspace, base, operation } => {
                let change = self.apply_change(offset, workspace, *base, operation);
                ApplyOutcome::Change { id: *id, change }
            }
            ConfigRecord::Suspect { workspace, digest, crash } => {
                let crashes = self.suspects.entry((workspace.clone(), *digest)).or_default();
                if !crashes.contains(crash) {
                    crashes.push(crash.clone());
                }
                ApplyOutcome::Applied
            }
            ConfigRecord::Cleared { workspace, digest } => {
                let key = (workspace.clone(), *digest);
                // A call that crashed an engine while running alone remains poison.
                let is_poison = |crashes: &Vec<Crash>| crashes.iter().any(|crash| crash.alone);
                if !self.suspects.get(&key).is_some_and(is_poison) {
                    self.suspects.remove(&key);
                }
                ApplyOutcome::Applied
            }
            // A reader that has applied all earlier records already has the state in the snapshot.
            // It has newer state if a change was appended after the snapshot was taken and before
            // the snapshot was appended.
            ConfigRecord::Snapshot(_) => ApplyOutcome::Ignored,
        };
        self.through = offset;
        outcome
    }

    /// Computes the state from the retained records of the stream, the first of which has the offset
    /// `earliest`. If earlier records have expired, starts from the newest snapshot after which all
    /// records are retained. Returns `None` if there is no such snapshot.
    pub fn from_records<'a>(
        earliest: Offset,
        records: impl Iterator<Item = (Offset, &'a ConfigRecord)> + Clone,
    ) -> Option<ConfigState> {
        let mut config_state = ConfigState::default();
        if earliest > Offset(1) {
            let snapshots = records.clone().filter_map(|(_, record)| match record {
                ConfigRecord::Snapshot(snapshot) => Some(snapshot),
                _ => None,
            });
            let usable = snapshots.filter(|snapshot| snapshot.through.plus(1) >= earliest);
            config_state = ConfigState::from(usable.max_by_key(|snapshot| snapshot.through)?);
        }
        records.for_each(|(offset, record)| {
            config_state.apply(offset, record);
        });
        Some(config_state)
    }

    /// The whole state as a snapshot for the stream.
    pub fn snapshot(&self) -> ConfigSnapshot {
        let workspaces = self.workspaces.iter().map(|(id, state)| WorkspaceSnapshot {
            workspace: id.clone(),
            version: state.version,
            contract: state.contract.clone(),
            keys: state.keys.iter().map(|(key, digest)| (key.clone(), *digest)).collect(),
        });
        let suspects = self.suspects.iter();
        let suspects =
            suspects.map(|((id, digest), crashes)| (id.clone(), *digest, crashes.clone()));
        ConfigSnapshot {
            through: self.through,
            workspaces: workspaces.collect(),
            suspects: suspects.collect(),
        }
    }

    fn apply_change(
        &mut self,
        offset: Offset,
        workspace: &WorkspaceId,
        base: Offset,
        operation: &Operation,
    ) -> ChangeOutcome {
        let state = self.workspaces.entry(workspace.clone()).or_default();
        if state.version != base {
            return ChangeOutcome::Conflict(Conflict { winner: state.version, base });
        }
        state.version = offset;
        match operation {
            Operation::Publish { contract } => state.contract = Some(contract.clone()),
            Operation::Withdraw => {
                state.contract = None;
                let keys = std::mem::take(&mut state.keys);
                keys.iter().for_each(|(key, digest)| self.remove_from_slot(workspace, key, digest));
            }
            Operation::Grant { key, digest } => {
                if let Some(old) = state.keys.insert(key.clone(), *digest) {
                    self.remove_from_slot(workspace, key, &old);
                }
                let slot = self.slots.entry(digest.slot()).or_default();
                slot.push((workspace.clone(), key.clone()));
            }
            Operation::Revoke { key } => {
                if let Some(digest) = state.keys.remove(key) {
                    self.remove_from_slot(workspace, key, &digest);
                }
            }
        }
        ChangeOutcome::Accepted(offset)
    }

    fn remove_from_slot(&mut self, workspace: &WorkspaceId, key: &KeyId, digest: &KeyDigest) {
        if let Some(slot) = self.slots.get_mut(&digest.slot()) {
            slot.retain(|(id, known)| (id, known) != (workspace, key));
            if slot.is_empty() {
                self.slots.remove(&digest.slot());
            }
        }
    }
}

impl From<&ConfigSnapshot> for ConfigState {
    fn from(snapshot: &ConfigSnapshot) -> ConfigState {
        let workspaces = snapshot.workspaces.iter().map(|state| {
            let workspace = Workspace {
                version: state.version,
                contract: state.contract.clone(),
                keys: state.keys.iter().cloned().collect(),
            };
            (state.workspace.clone(), workspace)
        });
        let suspects = snapshot.suspects.iter();
        let suspects =
            suspects.map(|(id, digest, crashes)| ((id.clone(), *digest), crashes.clone()));
        let mut slots: HashMap<u64, Vec<(WorkspaceId, KeyId)>> = HashMap::new();
        for state in &snapshot.workspaces {
            for (key, digest) in &state.keys {
                let slot = slots.entry(digest.slot()).or_default();
                slot.push((state.workspace.clone(), key.clone()));
            }
        }
        ConfigState {
            through: snapshot.through,
            workspaces: workspaces.collect(),
            suspects: suspects.collect(),
            slots,
        }
    }
}
