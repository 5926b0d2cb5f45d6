use std::cell::Cell;

use super::StoreError;
use crate::prelude::*;

/// Calls to the store must fail for this long before it counts as unreachable and the other entries
/// are told so: a single slow or lost answer is not an outage.
const UNREACHABLE_AFTER_MS: u64 = 300;

/// Calls to the store must succeed for this long before its connection counts as stable: after an
/// outage, entries reach the store again within about half a second of each other, and one that is
/// a little later is not cut off.
const STABLE_AFTER_MS: u64 = 800;

/// Tracks whether this entry can reach the store, from the outcomes of its calls.
#[derive(Debug, Default)]
pub(super) struct StoreReachability {
    failing_since: Cell<Option<TimeMs>>,
    succeeding_since: Cell<Option<TimeMs>>,
    outage_logged: Cell<bool>,
}

impl StoreReachability {
    /// Records that a call was answered.
    pub(super) fn record_success(&self, now: TimeMs) {
        let failing_since = self.failing_since.take();
        if self.outage_logged.take() {
            let away_ms = failing_since.map_or(0, |at| now.since(at));
            log::info!(away_ms; "store reachable again");
        }
        if failing_since.is_some() || self.succeeding_since.get().is_none() {
            self.succeeding_since.set(Some(now));
        }
    }

    /// Records that a call failed: it got no answer or an undecodable one, or was refused.
    pub(super) fn record_failure(&self, now: TimeMs, fault: &StoreError) {
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
            self.succeeding_since.set(None);
        }
        if self.is_unreachable(now) && !self.outage_logged.replace(true) {
            log::warn!(fault:display;
                "store unreachable; pausing membership calls until it answers");
        }
    }

    /// Whether calls have failed for long enough that the store counts as unreachable.
    pub(super) fn is_unreachable(&self, now: TimeMs) -> bool {
        self.failing_since.get().is_some_and(|at| now.since(at) >= UNREACHABLE_AFTER_MS)
    }

    /// Whether this entry has reached the store for a while. Another entry that can't reach it is
    /// then cut off, rather than affected by an outage of the store.
    pub(super) fn is_stable(&self, now: TimeMs) -> bool {
        self.succeeding_since.get().is_some_and(|at| now.since(at) >= STABLE_AFTER_MS)
    }
}
