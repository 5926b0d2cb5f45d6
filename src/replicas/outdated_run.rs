//! Recognizes an endpoint that is running although its announcements are older than the known one.
//!
//! The store may execute a write seconds late, so an announcement that is older than the known one says
//! nothing. But the known one may come from another writer, or from an earlier process instance if the
//! endpoint publishes no start time or its clock was set back. The endpoint would then be ignored for as
//! long as it runs. It is recognized by its heartbeat: each announcement is later than the one before,
//! while the known one is not renewed.

use crate::prelude::*;

/// Announcements in a row that show a heartbeat. Fewer may all be late writes.
const MIN_ANNOUNCEMENTS: u32 = 5;

/// The shortest time over which they are spread: longer than the store delays a write.
const MIN_SPAN_MS: u64 = 10_000;

/// The longest pause between two of them: several times that between two heartbeats.
const MAX_PAUSE_MS: u64 = 10_000;

/// When an endpoint's process started and the number of its announcement, by which announcements are
/// ordered.
pub(super) type Version = (u64, u64);

/// The announcements of one endpoint that are older than the known one, since this was last renewed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OutdatedRun {
    began_at: TimeMs,
    newest_at: TimeMs,
    newest: Version,
    announcements: u32,
}

impl OutdatedRun {
    /// Records an announcement that is older than the known one. Returns whether it shows that the
    /// endpoint runs, and the known one is not its own.
    pub(super) fn record(&mut self, now: TimeMs, version: Version) -> bool {
        if self.announcements == 0 || now.since(self.newest_at) > MAX_PAUSE_MS {
            *self =
                OutdatedRun { began_at: now, newest_at: now, newest: version, announcements: 1 };
        } else if version > self.newest {
            (self.newest_at, self.newest) = (now, version);
            self.announcements += 1;
        }
        self.announcements >= MIN_ANNOUNCEMENTS && now.since(self.began_at) >= MIN_SPAN_MS
    }
}
