use std::collections::HashMap;

use crate::admission::TokenBucket;
use crate::contracts::Contract;
use crate::prelude::*;

/// Each entry admits an equal, fixed part of each workspace's rate and burst. The baseline: never
/// too much, but a balancer that favours one entry makes it refuse what the contract allows.
#[derive(Default)]
pub struct StaticSplit {
    buckets: HashMap<WorkspaceId, TokenBucket>,
}

impl StaticSplit {
    /// Admits a call, or says when to come back.
    pub fn admit(
        &mut self,
        workspace: &WorkspaceId,
        contract: &Contract,
        entries: usize,
        now: TimeMs,
    ) -> Result<(), u64> {
        let entries = entries.max(1) as u64;
        let rate = u64::from(contract.rate_per_s) / entries;
        let burst = (u64::from(contract.burst) / entries).max(1);
        let bucket = self
            .buckets
            .entry(workspace.clone())
            .or_insert_with(|| TokenBucket::full(rate, burst, now));
        bucket.set_limits(rate, burst, now);
        bucket.try_take(now)
    }
}
