use std::collections::HashMap;

use crate::catalog::Workspace;
use crate::prelude::*;
use crate::quota::{Allowance, Claim, Peering, SharedWindow};

/// This entry's counts of what all workspaces take.
#[derive(Debug)]
pub(super) struct Rates {
    window_ms: u64,
    windows: HashMap<u64, SharedWindow>,
}

impl Rates {
    /// Counts in windows of `window_ms`.
    pub(super) fn open(window_ms: u64) -> Rates {
        Rates { window_ms, windows: HashMap::new() }
    }

    /// Takes one request out of the workspace's rate, or says when there may be room.
    pub(super) fn take(
        &mut self,
        now: TimeMs,
        workspace: &Workspace,
        peering: Peering,
        claim: Claim,
    ) -> Result<(), u64> {
        self.know(now, workspace).take(now, peering, claim)
    }

    /// The workspace's window, which fills from the moment it is first known.
    pub(super) fn know(&mut self, now: TimeMs, workspace: &Workspace) -> &mut SharedWindow {
        let allowance = Allowance {
            rate_per_s: workspace.rate_per_s,
            burst: workspace.burst,
            window_ms: self.window_ms,
        };
        let window = self
            .windows
            .entry(workspace_hash(&workspace.name))
            .or_insert_with(|| SharedWindow::open(now, allowance));
        if window.allowance() != allowance {
            window.change(allowance);
        }
        window
    }

    /// A request that was taken out of the workspace's rate has not run.
    pub(super) fn give_back(&mut self, workspace: &str) {
        if let Some(window) = self.windows.get_mut(&workspace_hash(workspace)) {
            window.give_back();
        }
    }

    /// What this entry has taken, by workspace.
    pub(super) fn taken(&self) -> Vec<(u64, u64)> {
        let used = self.windows.iter().filter(|(_, window)| window.taken() > 0);
        used.map(|(workspace, window)| (*workspace, window.taken())).collect()
    }

    /// Another entry has taken so many in its life; `first` if it is heard for the first time.
    pub(super) fn tell(&mut self, now: TimeMs, life: u64, taken: &[(u64, u64)], first: bool) {
        for (workspace, taken) in taken {
            match self.windows.get_mut(workspace) {
                Some(window) if first => window.meet(life, *taken),
                Some(window) => window.tell(now, life, *taken),
                None => {}
            }
        }
    }
}

fn workspace_hash(name: &str) -> u64 {
    Digest::of(&[name.as_bytes()]).prefix()
}
