use crate::prelude::*;

/// Programs under way whose time is booked; beyond, the oldest are forgotten.
const BOOKED_MOST: usize = 1_000;

/// Programs that began together, and how long each should take.
#[derive(Debug, Clone, Copy)]
struct Booking {
    begun_at: TimeMs,
    duration_ms: u64,
    programs: f64,
}

impl Booking {
    fn ends_at(&self) -> TimeMs {
        self.begun_at.plus(self.duration_ms)
    }
}

/// The time of programs under way.
#[derive(Debug, Clone, Default)]
pub(super) struct Bookings {
    running: Vec<Booking>,
}

impl Bookings {
    /// Programs begin that should take `length_ms` each.
    pub(super) fn begin(&mut self, now: TimeMs, duration_ms: u64, programs: f64) {
        self.expire(now);
        if self.running.len() == BOOKED_MOST {
            self.running.remove(0);
        }
        self.running.push(Booking { begun_at: now, duration_ms, programs });
    }

    /// Programs that began last of all have not run: `programs_ms` in all.
    ///
    /// Less than a millisecond is left: the rest of a division may be too small ever to be taken off.
    pub(super) fn cancel(&mut self, mut programs_ms: f64) {
        while programs_ms >= 1.0
            && let Some(last) = self.running.last_mut()
        {
            let duration_ms = last.duration_ms.max(1) as f64;
            let cancelled = (programs_ms / duration_ms).min(last.programs);
            last.programs -= cancelled;
            programs_ms -= cancelled * duration_ms;
            if last.programs <= f64::EPSILON {
                self.running.pop();
            }
        }
    }

    /// Forgets programs whose time is over.
    pub(super) fn expire(&mut self, now: TimeMs) {
        self.running.retain(|booking| booking.ends_at() > now);
    }

    /// Programs under way.
    pub(super) fn programs(&self, now: TimeMs) -> f64 {
        let running = self.running.iter().filter(|booking| booking.ends_at() > now);
        running.map(|booking| booking.programs).sum()
    }

    /// Time that all programs together still have between two moments.
    pub(super) fn between(&self, from: TimeMs, to: TimeMs) -> f64 {
        let overlap = |b: &Booking| {
            let until = to.min(b.ends_at());
            until.since(from.max(b.begun_at)) as f64 * b.programs
        };
        self.running.iter().map(overlap).sum()
    }
}
