use std::collections::HashMap;

use super::message::Taken;
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

    /// What is in the workspace's window, and its limit.
    pub(super) fn used(&self, workspace: &str) -> (f64, f64) {
        self.windows.get(&workspace_hash(workspace)).map_or((0.0, 0.0), SharedWindow::used)
    }

    /// What this entry has taken and what it knows of the windows, to tell the others.
    pub(super) fn tell_others(&mut self, now: TimeMs) -> Vec<Taken> {
        let told = self.windows.iter_mut().map(|(workspace, window)| Taken {
            workspace: *workspace,
            taken: window.taken(),
            in_window: window.in_window(now).map(|used| used.ceil() as u64),
        });
        told.filter(|row| row.taken > 0 || row.in_window.is_none_or(|used| used > 0)).collect()
    }

    /// Another entry has taken so many in its life. `all_seen` if this entry would have heard of any
    /// that it took before: those that are told of now are new.
    pub(super) fn tell(&mut self, now: TimeMs, life: u64, taken: &[Taken], all_seen: bool) {
        for row in taken {
            let Some(window) = self.windows.get_mut(&row.workspace) else {
                continue;
            };
            match all_seen {
                true => window.tell(now, life, row.taken),
                false => window.meet(now, life, row.taken),
            }
            if let Some(in_window) = row.in_window {
                window.learn(now, in_window as f64);
            }
        }
    }
}

fn workspace_hash(name: &str) -> u64 {
    Digest::of(&[name.as_bytes()]).prefix()
}
