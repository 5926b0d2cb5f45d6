//! Requests that crash the endpoints that run them, known by what they ask, not by their ids.

use std::collections::HashMap;

use crate::prelude::*;

/// After so many crashes a request is not sent again.
const GUILTY_AFTER: u32 = 3;

/// How long a crash is remembered: such requests return for about a minute.
const REMEMBERED_MS: u64 = 90_000;

/// The most requests remembered.
const SUSPECTS_MOST: usize = 10_000;

#[derive(Debug, Clone, Copy)]
struct Suspect {
    crashes: u32,
    at: TimeMs,
}

/// Counts the crashes that requests were running in, in all entries.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    seen: HashMap<u64, Suspect>,
}

impl Suspects {
    /// The request was running at an endpoint when that crashed. Yields the crashes so far.
    pub(super) fn record_crash(&mut self, now: TimeMs, request: u64) -> u32 {
        if self.seen.len() >= SUSPECTS_MOST {
            self.seen.retain(|_, suspect| now.since(suspect.at) < REMEMBERED_MS / 4);
        }
        let suspect = self.seen.entry(request).or_insert(Suspect { crashes: 0, at: now });
        suspect.crashes += 1;
        suspect.at = now;
        suspect.crashes
    }

    /// Another entry has counted `crashes`.
    pub(super) fn merge(&mut self, now: TimeMs, request: u64, crashes: u32) {
        let suspect = self.seen.entry(request).or_insert(Suspect { crashes: 0, at: now });
        suspect.crashes = suspect.crashes.max(crashes);
        suspect.at = now;
    }

    /// The request was answered: its crashes were not its own doing.
    pub(super) fn clear_suspect(&mut self, request: u64) {
        self.seen.remove(&request);
    }

    /// Whether the request is not to be sent again.
    pub(super) fn is_poison(&self, now: TimeMs, request: u64) -> bool {
        self.seen
            .get(&request)
            .is_some_and(|s| s.crashes >= GUILTY_AFTER && now.since(s.at) < REMEMBERED_MS)
    }

    /// The newest counts, to tell the other entries.
    pub(super) fn recent(&self, now: TimeMs, within_ms: u64) -> Vec<(u64, u32)> {
        let recent = self.seen.iter().filter(|(_, s)| now.since(s.at) < within_ms);
        recent.map(|(request, suspect)| (*request, suspect.crashes)).collect()
    }
}
