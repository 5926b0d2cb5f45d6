use std::collections::HashMap;

use crate::prelude::*;

/// How fast what was let in is forgotten: half of it in this time.
const HALF_LIFE_MS: f64 = 10_000.0;
/// Below this a workspace counts as inactive.
const INACTIVE: f64 = 1e-6;

/// How many programs of each workspace were let in lately.
#[derive(Default)]
pub struct ProgramShares {
    /// Programs by workspace, each divided by the workspace's weight.
    recent: HashMap<WorkspaceId, f64>,
    decayed: TimeMs,
}

impl ProgramShares {
    /// Counts a program that was let in.
    pub fn let_in(&mut self, now: TimeMs, workspace: &WorkspaceId, weight: u32) {
        self.decay(now);
        *self.recent.entry(workspace.clone()).or_default() += 1.0 / f64::from(weight.max(1));
    }

    /// Whether a workspace has had more than its part of what was let in lately, by weight.
    pub fn is_above_share(&mut self, now: TimeMs, workspace: &WorkspaceId) -> bool {
        self.decay(now);
        let total: f64 = self.recent.values().sum();
        let own = self.recent.get(workspace).copied().unwrap_or(0.0);
        let active = self.recent.len() + usize::from(!self.recent.contains_key(workspace));
        own > total / active as f64
    }

    fn decay(&mut self, now: TimeMs) {
        const STEP_MS: u64 = 100;
        let passed_ms = now.since(self.decayed);
        if passed_ms < STEP_MS {
            return;
        }
        let kept = 0.5_f64.powf(passed_ms as f64 / HALF_LIFE_MS);
        self.recent.values_mut().for_each(|count| *count *= kept);
        self.recent.retain(|_, count| *count >= INACTIVE);
        self.decayed = now;
    }
}
