use std::collections::HashMap;

use crate::admission::TokenBucket;
use crate::contracts::Contract;
use crate::prelude::*;

/// Splits each workspace's rate and burst equally between the entries; used as a baseline for
/// comparison.
///
/// It does not exceed the contract, except that each entry admits a burst of at least one call. If
/// a load balancer sends more calls to one entry than to the others, that entry refuses calls that
/// the contract allows.
#[derive(Default)]
pub struct StaticSplit {
    buckets: HashMap<WorkspaceId, TokenBucket>,
}

impl StaticSplit {
    /// Admits a call, or returns the time in milliseconds after which to retry.
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
