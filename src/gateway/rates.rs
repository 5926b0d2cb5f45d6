use std::collections::HashMap;

use crate::catalog::Workspace;
use crate::prelude::*;
use crate::quota::{Claim, Peering, SharedBucket};

/// This entry's copies of all workspaces' buckets.
#[derive(Debug, Default)]
pub(super) struct Rates {
    buckets: HashMap<u64, (SharedBucket, f64, f64)>,
}

impl Rates {
    /// Takes one request out of the workspace's rate, or says when there may be room.
    pub(super) fn take(
        &mut self,
        now: TimeMs,
        workspace: &Workspace,
        peering: Peering,
        claim: Claim,
    ) -> Result<(), u64> {
        let limits = (workspace.rate_per_s, workspace.burst);
        let (bucket, rate, burst) = self
            .buckets
            .entry(workspace_hash(&workspace.name))
            .or_insert_with(|| (SharedBucket::open(now, limits.0, limits.1), limits.0, limits.1));
        if (*rate, *burst) != limits {
            (*rate, *burst) = limits;
            bucket.change(now, limits.0, limits.1);
        }
        bucket.take(now, peering, claim)
    }

    /// Makes sure that a workspace's bucket fills from the moment it is known.
    pub(super) fn know(&mut self, now: TimeMs, workspace: &Workspace) {
        let (rate, burst) = (workspace.rate_per_s, workspace.burst);
        self.buckets
            .entry(workspace_hash(&workspace.name))
            .or_insert_with(|| (SharedBucket::open(now, rate, burst), rate, burst));
    }

    /// A request that was taken out of the workspace's rate has not run.
    pub(super) fn give_back(&mut self, workspace: &str) {
        if let Some((bucket, _, _)) = self.buckets.get_mut(&workspace_hash(workspace)) {
            bucket.give_back();
        }
    }

    /// What this entry has taken, by workspace.
    pub(super) fn taken(&self) -> Vec<(u64, u64)> {
        let used = self.buckets.iter().filter(|(_, (bucket, _, _))| bucket.taken() > 0);
        used.map(|(workspace, (bucket, _, _))| (*workspace, bucket.taken())).collect()
    }

    /// Another entry has taken so many.
    pub(super) fn tell(&mut self, now: TimeMs, life: u64, taken: &[(u64, u64)]) {
        for (workspace, taken) in taken {
            if let Some((bucket, _, _)) = self.buckets.get_mut(workspace) {
                bucket.tell(now, life, *taken);
            }
        }
    }
}

fn workspace_hash(name: &str) -> u64 {
    Digest::of(&[name.as_bytes()]).prefix()
}
