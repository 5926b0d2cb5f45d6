use crate::prelude::*;

/// A process that has not ticked for longer than this many tick intervals counts as paused.
const MAX_MISSED_TICKS: u64 = 3;

/// Detects pauses of this process by its own periodic ticks, to bound the age of received messages.
///
/// A process that was paused receives, when it resumes, datagrams that were sent before or during
/// the pause, and without this check takes them for current. Because of such stale heartbeats an
/// entry once admitted a key that had been revoked during the pause. Messages received during a
/// pause or shortly after it are therefore not trusted. Any other message may have been waiting for
/// as long as a pause can last undetected, which is added to its age.
#[derive(Debug)]
pub(super) struct PauseDetector {
    max_undetected_ms: u64,
    last_tick: TimeMs,
    trusted_from: TimeMs,
}

impl PauseDetector {
    /// A detector for a process that ticks every `tick_ms`.
    pub(super) fn new(tick_ms: u64) -> PauseDetector {
        PauseDetector {
            max_undetected_ms: MAX_MISSED_TICKS * tick_ms,
            last_tick: TimeMs::default(),
            trusted_from: TimeMs::default(),
        }
    }

    /// Records a tick.
    pub(super) fn tick(&mut self, now: TimeMs) {
        if self.is_paused(now) {
            self.trusted_from = now.plus(self.max_undetected_ms);
        }
        self.last_tick = now;
    }

    /// The maximum age of a message that was received at `received_at`; `None` if a pause makes it
    /// unknown.
    pub(super) fn max_age_ms(&self, now: TimeMs, received_at: TimeMs) -> Option<u64> {
        let trusted = !self.is_paused(now) && received_at >= self.trusted_from;
        trusted.then(|| now.since(received_at) + self.max_undetected_ms)
    }

    fn is_paused(&self, now: TimeMs) -> bool {
        now.since(self.last_tick) > self.max_undetected_ms
    }
}
