//! Distinguishes endpoints that have left from those whose record has lapsed in an outage.
//!
//! Endpoints renew their records in the store, and a record that is not renewed lapses. In an
//! outage of the store none can be renewed, so the records of running endpoints lapse as well, and
//! removing all of them would leave no endpoint at all. They are listed again soon after the
//! outage, and stay in use until then.
//!
//! At any other time a removal means that the endpoint has left, also if this entry failed to read
//! the list before: the answer may have been lost, or this entry alone was cut off from the store.

use crate::prelude::*;

/// Shortest outage in which records can lapse: they outlive several missed renewals, which endpoints
/// send about once a second.
const MIN_LAPSE_OUTAGE_MS: u64 = 1_500;

/// How long after an outage endpoints whose records have lapsed stay in use. Running endpoints are
/// listed again within about two seconds. Counted from the end of the outage, not from the removal:
/// an endpoint that leaves soon after the outage must not stay in use for longer than another.
const LAPSE_GRACE_MS: u64 = 2_000;

/// Follows the reads of the endpoint list, and tells whether a removal may be a lapse.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListOutage {
    /// When the last successful read began.
    read_at: Option<TimeMs>,
    /// Whether the store was unreachable for most entries at a failed read since then.
    is_general: bool,
    /// Until when endpoints whose record is gone stay in use.
    grace_until: Option<TimeMs>,
}

impl ListOutage {
    /// Records a failed read. `is_general` tells whether the store is unreachable for most entries
    /// rather than for this one only.
    pub fn record_failure(&mut self, is_general: bool) {
        self.is_general |= is_general;
    }

    /// Records a successful read that began at `read_at`.
    pub fn record_read(&mut self, now: TimeMs, read_at: TimeMs) {
        let previous = self.read_at.replace(read_at);
        let unread_ms = previous.map_or(0, |previous| read_at.since(previous));
        if std::mem::take(&mut self.is_general) && unread_ms >= MIN_LAPSE_OUTAGE_MS {
            self.grace_until = Some(now.plus(LAPSE_GRACE_MS));
        }
    }

    /// If a removal read now may be a lapse: until when the endpoint stays in use.
    pub fn lapse_grace(&self, now: TimeMs) -> Option<TimeMs> {
        self.grace_until.filter(|until| now < *until)
    }
}
