use std::collections::HashMap;

use crate::contracts::record::WorkspaceSnapshot;
use crate::contracts::{BookSnapshot, ConfigRecord, Contract, KeyDigest, KeyId, Operation};
use crate::prelude::*;
use crate::programs::CrashStatus;

/// A change that lost against another.
#[wire]
pub struct Conflict {
    /// The version in force when it came.
    pub winner: Offset,
    /// The version that its operator had seen.
    pub base: Offset,
}

/// What became of an operator's change.
#[wire]
pub enum Change {
    /// It is in force since this offset.
    Accepted(Offset),
    /// It was refused.
    Conflict(Conflict),
}

/// What became of a record.
#[value]
pub enum Verdict {
    /// An operator's change, and what became of it.
    Change {
        /// The change.
        id: u64,
        /// What became of it.
        change: Change,
    },
    /// It was taken.
    Taken,
    /// It says nothing new.
    Stale,
}

#[value]
#[derive(Default)]
struct Workspace {
    version: Offset,
    contract: Option<Contract>,
    keys: HashMap<KeyId, KeyDigest>,
}

/// The configuration in force: a pure function of its stream up to an offset.
#[value]
#[derive(Default)]
pub struct Book {
    through: Offset,
    workspaces: HashMap<WorkspaceId, Workspace>,
    suspects: HashMap<(WorkspaceId, Digest), Vec<Crash>>,
    /// Which keys were granted with a digest of this slot; some may be revoked since.
    slots: HashMap<u64, Vec<(WorkspaceId, KeyId)>>,
}

impl Book {
    /// The offset of the last record that was applied.
    pub fn through(&self) -> Offset {
        self.through
    }

    /// A workspace's contract, if one is in force.
    pub fn contract(&self, workspace: &WorkspaceId) -> Option<&Contract> {
        self.workspaces.get(workspace)?.contract.as_ref()
    }

    /// The offset of a workspace's last accepted change; zero if there was none.
    pub fn version(&self, workspace: &WorkspaceId) -> Offset {
        self.workspaces.get(workspace).map_or(Offset(0), |found| found.version)
    }

    /// Workspaces with a contract in force.
    pub fn workspaces(&self) -> impl Iterator<Item = (&WorkspaceId, &Contract)> {
        self.workspaces.iter().filter_map(|(id, found)| Some((id, found.contract.as_ref()?)))
    }

    /// The public names of a workspace's keys.
    pub fn keys(&self, workspace: &WorkspaceId) -> Vec<KeyId> {
        let found = self.workspaces.get(workspace);
        let mut keys: Vec<KeyId> =
            found.map_or_else(Vec::new, |found| found.keys.keys().cloned().collect());
        keys.sort();
        keys
    }

    /// The workspace that a key acts for.
    pub fn authenticate(&self, digest: &KeyDigest) -> Option<(WorkspaceId, KeyId)> {
        let candidates = self.slots.get(&digest.slot())?;
        candidates.iter().find(|(id, key)| self.matches(id, key, digest)).cloned()
    }

    fn matches(&self, workspace: &WorkspaceId, key: &KeyId, digest: &KeyDigest) -> bool {
        let found = self.workspaces.get(workspace).filter(|found| found.contract.is_some());
        found.and_then(|found| found.keys.get(key)).is_some_and(|known| known == digest)
    }

    /// Whether a key still acts for a workspace.
    pub fn holds(&self, workspace: &WorkspaceId, key: &KeyId) -> bool {
        let found = self.workspaces.get(workspace);
        found.is_some_and(|found| found.contract.is_some() && found.keys.contains_key(key))
    }

    /// The crashes under which a call ran.
    pub fn crashes(&self, workspace: &WorkspaceId, digest: &Digest) -> &[Crash] {
        let recorded = self.suspects.get(&(workspace.clone(), *digest));
        recorded.map_or(&[], Vec::as_slice)
    }

    /// What is known of a call that may crash engines, together with crashes that the log may
    /// not have yet.
    pub fn crash_status(
        &self,
        workspace: &WorkspaceId,
        digest: &Digest,
        unrecorded: &[Crash],
    ) -> CrashStatus {
        let mut crashes = self.crashes(workspace, digest).iter().chain(unrecorded);
        // Beside others a call is only a suspect: calls that ran on two engines which another
        // call crashed would otherwise be given up on with it.
        if crashes.clone().any(|crash| crash.alone) {
            return CrashStatus::Poison;
        }
        match crashes.next() {
            Some(_) => CrashStatus::Suspect,
            None => CrashStatus::Clear,
        }
    }

    /// Applies the record at `offset`. What was applied before is never applied again, and a
    /// snapshot never takes the book back.
    pub fn apply(&mut self, offset: Offset, record: &ConfigRecord) -> Verdict {
        if offset <= self.through {
            return Verdict::Stale;
        }
        let verdict = match record {
            ConfigRecord::Change { id, workspace, base, operation } => {
                let change = self.change(offset, workspace, *base, operation);
                Verdict::Change { id: *id, change }
            }
            ConfigRecord::Suspect { workspace, digest, crash } => {
                let crashes = self.suspects.entry((workspace.clone(), *digest)).or_default();
                if !crashes.contains(crash) {
                    crashes.push(crash.clone());
                }
                Verdict::Taken
            }
            ConfigRecord::Cleared { workspace, digest } => {
                let key = (workspace.clone(), *digest);
                let guilty = |crashes: &Vec<Crash>| crashes.iter().any(|crash| crash.alone);
                if !self.suspects.get(&key).is_some_and(guilty) {
                    self.suspects.remove(&key);
                }
                Verdict::Taken
            }
            // A reader that is level with the log has all that a snapshot can say, and more if
            // a change came between the snapshot's making and its append.
            ConfigRecord::Snapshot(_) => Verdict::Stale,
        };
        self.through = offset;
        verdict
    }

    /// The book that a stream's retained records give. A reader that is behind starts from the
    /// newest snapshot whose successors are all retained.
    pub fn of_stream<'a>(
        earliest: Offset,
        records: impl Iterator<Item = (Offset, &'a ConfigRecord)> + Clone,
    ) -> Option<Book> {
        let mut book = Book::default();
        if earliest > Offset(1) {
            let snapshots = records.clone().filter_map(|(_, record)| match record {
                ConfigRecord::Snapshot(snapshot) => Some(snapshot),
                _ => None,
            });
            let usable = snapshots.filter(|snapshot| snapshot.through.plus(1) >= earliest);
            book = Book::from(usable.max_by_key(|snapshot| snapshot.through)?);
        }
        records.for_each(|(offset, record)| {
            book.apply(offset, record);
        });
        Some(book)
    }

    /// The whole book as a record.
    pub fn snapshot(&self) -> BookSnapshot {
        let workspaces = self.workspaces.iter().map(|(id, found)| WorkspaceSnapshot {
            workspace: id.clone(),
            version: found.version,
            contract: found.contract.clone(),
            keys: found.keys.iter().map(|(key, digest)| (key.clone(), *digest)).collect(),
        });
        let suspects = self.suspects.iter();
        let suspects = suspects.map(|((id, digest), at)| (id.clone(), *digest, at.clone()));
        BookSnapshot {
            through: self.through,
            workspaces: workspaces.collect(),
            suspects: suspects.collect(),
        }
    }

    fn change(
        &mut self,
        offset: Offset,
        workspace: &WorkspaceId,
        base: Offset,
        operation: &Operation,
    ) -> Change {
        let found = self.workspaces.entry(workspace.clone()).or_default();
        if found.version != base {
            return Change::Conflict(Conflict { winner: found.version, base });
        }
        found.version = offset;
        match operation {
            Operation::Publish { contract } => found.contract = Some(contract.clone()),
            Operation::Withdraw => {
                found.contract = None;
                let keys = std::mem::take(&mut found.keys);
                keys.iter().for_each(|(key, digest)| self.clear_slot(workspace, key, digest));
            }
            Operation::Grant { key, digest } => {
                if let Some(old) = found.keys.insert(key.clone(), *digest) {
                    self.clear_slot(workspace, key, &old);
                }
                let slot = self.slots.entry(digest.slot()).or_default();
                slot.push((workspace.clone(), key.clone()));
            }
            Operation::Revoke { key } => {
                if let Some(digest) = found.keys.remove(key) {
                    self.clear_slot(workspace, key, &digest);
                }
            }
        }
        Change::Accepted(offset)
    }

    fn clear_slot(&mut self, workspace: &WorkspaceId, key: &KeyId, digest: &KeyDigest) {
        if let Some(slot) = self.slots.get_mut(&digest.slot()) {
            slot.retain(|(id, known)| (id, known) != (workspace, key));
            if slot.is_empty() {
                self.slots.remove(&digest.slot());
            }
        }
    }
}

impl From<&BookSnapshot> for Book {
    fn from(snapshot: &BookSnapshot) -> Book {
        let workspaces = snapshot.workspaces.iter().map(|found| {
            let workspace = Workspace {
                version: found.version,
                contract: found.contract.clone(),
                keys: found.keys.iter().cloned().collect(),
            };
            (found.workspace.clone(), workspace)
        });
        let suspects = snapshot.suspects.iter();
        let suspects = suspects.map(|(id, digest, at)| ((id.clone(), *digest), at.clone()));
        let mut slots: HashMap<u64, Vec<(WorkspaceId, KeyId)>> = HashMap::new();
        for found in &snapshot.workspaces {
            for (key, digest) in &found.keys {
                let slot = slots.entry(digest.slot()).or_default();
                slot.push((found.workspace.clone(), key.clone()));
            }
        }
        Book {
            through: snapshot.through,
            workspaces: workspaces.collect(),
            suspects: suspects.collect(),
            slots,
        }
    }
}
