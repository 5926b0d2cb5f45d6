use std::collections::HashMap;

use crate::prelude::*;

/// Half-life of the decaying counts of admitted programs.
const HALF_LIFE_MS: f64 = 10_000.0;
/// A workspace whose count is below this is inactive and is removed.
const MIN_ACTIVE_COUNT: f64 = 1e-6;

/// Decaying counts of the programs admitted recently, by workspace.
#[derive(Default)]
pub struct ProgramShares {
    /// Number of programs divided by the workspace's weight.
    counts: HashMap<WorkspaceId, f64>,
    decayed_at: TimeMs,
}

impl ProgramShares {
    /// Counts an admitted program.
    pub fn record_admitted(&mut self, now: TimeMs, workspace: &WorkspaceId, weight: u32) {
        self.decay(now);
        *self.counts.entry(workspace.clone()).or_default() += 1.0 / f64::from(weight.max(1));
    }

    /// Whether the workspace's weighted count exceeds the mean of the active workspaces.
    pub fn is_above_share(&mut self, now: TimeMs, workspace: &WorkspaceId) -> bool {
        self.decay(now);
        let total: f64 = self.counts.values().sum();
        let own = self.counts.get(workspace).copied().unwrap_or(0.0);
        let active = self.counts.len() + usize::from(!self.counts.contains_key(workspace));
        own > total / active as f64
    }

    fn decay(&mut self, now: TimeMs) {
        const MIN_DECAY_INTERVAL_MS: u64 = 100;
        let elapsed_ms = now.since(self.decayed_at);
        if elapsed_ms < MIN_DECAY_INTERVAL_MS {
            return;
        }
        let factor = 0.5_f64.powf(elapsed_ms as f64 / HALF_LIFE_MS);
        self.counts.values_mut().for_each(|count| *count *= factor);
        self.counts.retain(|_, count| *count >= MIN_ACTIVE_COUNT);
        self.decayed_at = now;
    }
}
