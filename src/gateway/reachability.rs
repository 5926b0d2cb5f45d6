use std::cell::Cell;

use super::StoreError;
use crate::prelude::*;

/// Calls to the store fail for this long before the other entries are told: one slow or lost
/// answer is no outage.
const AWAY_AFTER_MS: u64 = 300;

/// The store is taken for sound once calls have succeeded for this long: after an outage,
/// entries find the store again within about half a second of each other.
const SOUND_AFTER_MS: u64 = 800;

/// Whether this entry reaches the store, by the outcomes of its calls.
#[derive(Debug, Default)]
pub(super) struct StoreReachability {
    lost_at: Cell<Option<TimeMs>>,
    found_at: Cell<Option<TimeMs>>,
    told: Cell<bool>,
}

impl StoreReachability {
    /// A call was answered.
    pub(super) fn record_success(&self, now: TimeMs) {
        let lost_at = self.lost_at.take();
        if self.told.take() {
            let away_ms = lost_at.map_or(0, |at| now.since(at));
            log::info!(away_ms; "the store is reached again");
        }
        if lost_at.is_some() || self.found_at.get().is_none() {
            self.found_at.set(Some(now));
        }
    }

    /// A call was not answered, or refused.
    pub(super) fn record_failure(&self, now: TimeMs, fault: &StoreError) {
        if self.lost_at.get().is_none() {
            self.lost_at.set(Some(now));
            self.found_at.set(None);
        }
        if self.is_away(now) && !self.told.replace(true) {
            log::warn!(fault:display; "the store is not reached");
        }
    }

    /// Whether the store is away for this entry.
    pub(super) fn is_away(&self, now: TimeMs) -> bool {
        self.lost_at.get().is_some_and(|at| now.since(at) >= AWAY_AFTER_MS)
    }

    /// Whether the store has been sound for a while: who does not reach it then is cut off from it.
    pub(super) fn is_sound(&self, now: TimeMs) -> bool {
        self.found_at.get().is_some_and(|at| now.since(at) >= SOUND_AFTER_MS)
    }
}
