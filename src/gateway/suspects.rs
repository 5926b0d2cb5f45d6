//! Poison requests, which crash the endpoints that run them. They are identified by a hash of their
//! content, since each retry by the caller has a new id.

use std::collections::HashMap;

use crate::prelude::*;

/// A request that has crashed this many endpoints is not sent to another one.
const MAX_CRASHES: u32 = 3;

/// How long crashes are remembered after the last update of their count: callers retry such
/// requests for about a minute.
const CRASH_RETENTION_MS: u64 = 90_000;

/// If a crash is recorded at this many requests or more, those that were not updated within a
/// quarter of `CRASH_RETENTION_MS` are evicted.
const MAX_SUSPECTS: usize = 10_000;

#[derive(Debug, Clone, Copy)]
struct Suspect {
    crashes: u32,
    updated_at: TimeMs,
}

/// Counts, per request, the endpoint crashes that happened while it was running, as seen by all
/// entries.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    by_request: HashMap<u64, Suspect>,
}

impl Suspects {
    /// Records that an endpoint crashed while running the request. Returns the number of crashes so
    /// far.
    pub(super) fn record_crash(&mut self, now: TimeMs, request: u64) -> u32 {
        if self.by_request.len() >= MAX_SUSPECTS {
            self.by_request
                .retain(|_, suspect| now.since(suspect.updated_at) < CRASH_RETENTION_MS / 4);
        }
        let suspect =
            self.by_request.entry(request).or_insert(Suspect { crashes: 0, updated_at: now });
        suspect.crashes += 1;
        suspect.updated_at = now;
        suspect.crashes
    }

    /// Merges the number of crashes that another entry has counted.
    pub(super) fn merge(&mut self, now: TimeMs, request: u64, crashes: u32) {
        let suspect =
            self.by_request.entry(request).or_insert(Suspect { crashes: 0, updated_at: now });
        suspect.crashes = suspect.crashes.max(crashes);
        suspect.updated_at = now;
    }

    /// Forgets the crashes of a request that was answered: it did not cause them.
    pub(super) fn clear_suspect(&mut self, request: u64) {
        self.by_request.remove(&request);
    }

    /// Whether the request has crashed too many endpoints to be sent again.
    pub(super) fn is_poison(&self, now: TimeMs, request: u64) -> bool {
        self.by_request.get(&request).is_some_and(|s| {
            s.crashes >= MAX_CRASHES && now.since(s.updated_at) < CRASH_RETENTION_MS
        })
    }

    /// The counts updated within the last `within_ms`, for the other entries.
    pub(super) fn recent(&self, now: TimeMs, within_ms: u64) -> Vec<(u64, u32)> {
        let recent = self.by_request.iter().filter(|(_, s)| now.since(s.updated_at) < within_ms);
        recent.map(|(request, suspect)| (*request, suspect.crashes)).collect()
    }
}
