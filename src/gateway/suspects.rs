//! Poison requests, which crash the endpoints that run them. They are identified by a hash of what
//! the endpoints run, since each retry by the caller has a new id.
//!
//! Entries send each other a count for some seconds after it has grown. A message renews a count only
//! if it is higher than the known one, so a count expires at each entry [`CRASH_RETENTION_MS`] after it
//! last grew there. A request that is answered has not caused the crashes known then: the entry that
//! answered it tells the others how many these are, and all count only those beyond.

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

/// Identifies what an endpoint runs: a hash of workspace, path and body, with the history that is
/// sent before a turn's input. Turns of several programs with the same input are different, and the
/// retries of one request are the same.
#[wire_key]
pub(super) struct CrashKey(pub(super) u64);

impl CrashKey {
    pub(super) fn of(workspace: &str, path: &str, body: &[u8]) -> CrashKey {
        CrashKey(Digest::of(&[workspace.as_bytes(), path.as_bytes(), body]).prefix())
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Suspect {
    /// All crashes, as sent to the other entries.
    crashes: u32,
    /// Those of them that the request did not cause, as it was answered afterwards.
    cleared: u32,
    /// When the number of crashes last grew.
    grown_at: TimeMs,
    /// When the number of cleared ones last grew.
    cleared_at: TimeMs,
}

impl Suspect {
    fn is_within(&self, now: TimeMs, within_ms: u64) -> bool {
        now.since(self.grown_at) < within_ms
    }
}

/// Counts, per request, the endpoint crashes that happened while it was running, as seen by all
/// entries.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    by_request: HashMap<CrashKey, Suspect>,
}

impl Suspects {
    /// Records that an endpoint crashed while running the request. Returns the number of crashes so
    /// far.
    pub(super) fn record_crash(&mut self, now: TimeMs, request: CrashKey) -> u32 {
        if self.by_request.len() >= MAX_SUSPECTS {
            self.by_request.retain(|_, suspect| suspect.is_within(now, CRASH_RETENTION_MS / 4));
        }
        let known = self.current(now, request);
        let crashes = known.crashes.saturating_add(1);
        self.by_request.insert(request, Suspect { crashes, grown_at: now, ..known });
        crashes - known.cleared
    }

    /// Merges the number of crashes that another entry has counted.
    pub(super) fn merge(&mut self, now: TimeMs, request: CrashKey, crashes: u32) {
        let known = self.current(now, request);
        if crashes > known.crashes {
            self.by_request.insert(request, Suspect { crashes, grown_at: now, ..known });
        }
    }

    /// Clears the crashes of a request that was answered: it did not cause them. Returns whether there
    /// were any.
    pub(super) fn clear_suspect(&mut self, now: TimeMs, request: CrashKey) -> bool {
        let crashes = self.current(now, request).crashes;
        self.merge_cleared(now, request, crashes)
    }

    /// Merges the number of crashes that another entry has cleared. Returns whether it is higher than
    /// the known one.
    pub(super) fn merge_cleared(&mut self, now: TimeMs, request: CrashKey, cleared: u32) -> bool {
        let known = self.current(now, request);
        let is_news = cleared > known.cleared;
        if is_news {
            let crashes = known.crashes.max(cleared);
            let grown_at = if crashes > known.crashes { now } else { known.grown_at };
            let suspect = Suspect { crashes, cleared, grown_at, cleared_at: now };
            self.by_request.insert(request, suspect);
        }
        is_news
    }

    /// Whether the request has crashed too many endpoints to be sent again.
    pub(super) fn is_poison(&self, now: TimeMs, request: CrashKey) -> bool {
        let known = self.current(now, request);
        known.crashes - known.cleared >= MAX_CRASHES
    }

    /// What is known of the request; nothing if its crashes have expired.
    fn current(&self, now: TimeMs, request: CrashKey) -> Suspect {
        let known = self.by_request.get(&request).copied();
        known.filter(|known| known.is_within(now, CRASH_RETENTION_MS)).unwrap_or_default()
    }

    /// The counts that have grown within the last `within_ms`, for the other entries.
    pub(super) fn recent(&self, now: TimeMs, within_ms: u64) -> Vec<(CrashKey, u32)> {
        let recent =
            self.by_request.iter().filter(|(_, suspect)| suspect.is_within(now, within_ms));
        recent.map(|(request, suspect)| (*request, suspect.crashes)).collect()
    }

    /// The numbers of cleared crashes that have grown within the last `within_ms`, for the other
    /// entries.
    pub(super) fn recently_cleared(&self, now: TimeMs, within_ms: u64) -> Vec<(CrashKey, u32)> {
        let is_recent =
            |suspect: &Suspect| suspect.cleared > 0 && now.since(suspect.cleared_at) < within_ms;
        let recent = self.by_request.iter().filter(|(_, suspect)| is_recent(suspect));
        let mut recent: Vec<_> = recent.map(|(request, s)| (*request, s.cleared)).collect();
        recent.sort_unstable();
        recent
    }
}
