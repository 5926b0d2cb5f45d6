//! The arrival times of the events of one response, for the learned paces of endpoints.

use crate::load::{TurnSample, Work};
use crate::prelude::*;

/// A pause between two reads from which on bytes may have arrived before they were read.
const MIN_HOLD_MS: u64 = 2;

/// Total time for which the stream may be left unread. After more, the endpoint may have had to
/// wait for its reader.
const MAX_TOTAL_HOLD_MS: u64 = 50;

/// When the events of a response arrived from its endpoint.
///
/// While the response waits for its caller or for the store it isn't read, and the arrival times of
/// the next bytes are unknown. They are known again from the first read that has to wait for bytes.
pub(super) struct StreamTimes {
    work: Work,
    sent_at: TimeMs,
    /// Arrival of the first event, and how many events arrived together with it.
    first: Option<(TimeMs, u64)>,
    last_event_at: TimeMs,
    events: u64,
    /// Whether the arrival time of the last event is known.
    is_last_exact: bool,
    read_from: TimeMs,
    /// When the previous read ended; none before the first one.
    read_until: Option<TimeMs>,
    is_behind: bool,
    total_hold_ms: u64,
}

impl StreamTimes {
    /// The times of a response to a request sent at `sent_at`.
    pub(super) fn open(work: Work, sent_at: TimeMs) -> StreamTimes {
        StreamTimes {
            work,
            sent_at,
            first: None,
            last_event_at: sent_at,
            events: 0,
            is_last_exact: true,
            read_from: sent_at,
            read_until: None,
            is_behind: false,
            total_hold_ms: 0,
        }
    }

    /// Records that a read begins.
    pub(super) fn begin_read(&mut self, now: TimeMs) {
        let hold_ms = self.read_until.map_or(0, |until| now.since(until));
        self.total_hold_ms += hold_ms;
        self.is_behind |= hold_ms >= MIN_HOLD_MS;
        self.read_from = now;
    }

    /// Records that a read ended.
    pub(super) fn end_read(&mut self, now: TimeMs) {
        if now > self.read_from {
            self.is_behind = false;
        }
        self.read_until = Some(now);
    }

    /// Records that `events` events are complete after the read that ended last.
    pub(super) fn record_events(&mut self, events: u64) {
        let arrived_at = self.read_until.unwrap_or(self.sent_at);
        if events == self.events {
            return;
        }
        self.first.get_or_insert((arrived_at, events));
        self.last_event_at = arrived_at;
        self.is_last_exact = !self.is_behind;
        self.events = events;
    }

    /// The sample of a complete response; none if the response was held back.
    pub(super) fn sample(&self, service: &Arc<str>) -> Option<TurnSample> {
        let (first_event_at, first_events) = self.first?;
        if !self.is_last_exact || self.total_hold_ms > MAX_TOTAL_HOLD_MS {
            return None;
        }
        Some(TurnSample {
            service: service.clone(),
            work: self.work,
            first_event_ms: first_event_at.since(self.sent_at),
            events: self.events,
            timed_events: self.events - first_events,
            stream_ms: self.last_event_at.since(first_event_at),
        })
    }
}
