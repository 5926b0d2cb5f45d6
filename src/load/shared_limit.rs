//! A limited amount that workspaces share by dynamic thresholds, as switches share their buffers.

use std::collections::BTreeMap;

use crate::prelude::*;

/// What each workspace uses of a limited amount.
///
/// A workspace may use at most as much as is then left free. One that asks for all it can get has half,
/// the next one half of the rest, and so on: there is always room for one that begins, and no workspace
/// needs a share that is set aside for it.
#[derive(Debug)]
pub(super) struct SharedLimit {
    limit: u64,
    total: u64,
    /// Only workspaces that use something.
    by_workspace: BTreeMap<Arc<str>, u64>,
}

impl SharedLimit {
    pub(super) fn open(limit: u64) -> SharedLimit {
        SharedLimit { limit, total: 0, by_workspace: BTreeMap::new() }
    }

    /// Whether a workspace may use `amount` more.
    pub(super) fn has_room(&self, workspace: &str, amount: u64) -> bool {
        let own = self.used_by(workspace).saturating_add(amount);
        let total = self.total.saturating_add(amount);
        amount == 0 || own <= self.limit.saturating_sub(total)
    }

    /// Counts an amount, also one beyond the limit.
    pub(super) fn add(&mut self, workspace: &Arc<str>, amount: u64) {
        if amount > 0 {
            *self.by_workspace.entry(workspace.clone()).or_default() += amount;
            self.total += amount;
        }
    }

    /// Subtracts an amount that was added for the workspace.
    pub(super) fn subtract(&mut self, workspace: &str, amount: u64) {
        let Some(used) = self.by_workspace.get_mut(workspace) else {
            return;
        };
        let amount = amount.min(*used);
        *used -= amount;
        self.total -= amount;
        if *used == 0 {
            self.by_workspace.remove(workspace);
        }
    }

    pub(super) fn used_by(&self, workspace: &str) -> u64 {
        self.by_workspace.get(workspace).copied().unwrap_or(0)
    }

    pub(super) fn total(&self) -> u64 {
        self.total
    }
}
