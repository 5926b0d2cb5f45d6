use crate::prelude::*;

/// A process that has missed so many beats of its own stood still.
const MISSED_BEATS: u64 = 3;

/// Tells by a process's own beats what it may have heard late.
///
/// A process that is frozen wakes to datagrams that were sent before or during its standstill, and takes
/// them for new: what they say of the moment is over. An entry that went by them let a key in that had
/// been withdrawn meanwhile. What is heard during a standstill or just after it therefore counts for
/// nothing, and anything else may have waited for as long as goes unnoticed.
#[derive(Debug)]
pub(super) struct Standstill {
    unnoticed_ms: u64,
    beaten_at: TimeMs,
    trusted_from: TimeMs,
}

impl Standstill {
    /// Of a process that beats every `beat_ms`.
    pub(super) fn open(beat_ms: u64) -> Standstill {
        Standstill {
            unnoticed_ms: MISSED_BEATS * beat_ms,
            beaten_at: TimeMs::default(),
            trusted_from: TimeMs::default(),
        }
    }

    /// The process beats.
    pub(super) fn beat(&mut self, now: TimeMs) {
        if self.stands_still(now) {
            self.trusted_from = now.plus(self.unnoticed_ms);
        }
        self.beaten_at = now;
    }

    /// The most that has passed since what was heard at `heard` was said; nothing if that can't be told.
    pub(super) fn age_ms(&self, now: TimeMs, heard: TimeMs) -> Option<u64> {
        let trusted = !self.stands_still(now) && heard >= self.trusted_from;
        trusted.then(|| now.since(heard) + self.unnoticed_ms)
    }

    fn stands_still(&self, now: TimeMs) -> bool {
        now.since(self.beaten_at) > self.unnoticed_ms
    }
}
