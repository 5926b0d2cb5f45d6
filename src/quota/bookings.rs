use crate::prelude::*;

/// Maximum number of bookings; beyond it the oldest one is discarded.
const MAX_BOOKINGS: usize = 1_000;

/// Programs that started together, and how long each is expected to run.
#[derive(Debug, Clone, Copy)]
struct Booking {
    started_at: TimeMs,
    duration_ms: u64,
    programs: f64,
}

impl Booking {
    fn ends_at(&self) -> TimeMs {
        self.started_at.plus(self.duration_ms)
    }
}

/// The time booked for programs in flight.
#[derive(Debug, Clone, Default)]
pub(super) struct Bookings {
    bookings: Vec<Booking>,
}

impl Bookings {
    /// Books `duration_ms` for each of `programs` programs that start now.
    pub(super) fn add(&mut self, now: TimeMs, duration_ms: u64, programs: f64) {
        self.expire(now);
        if self.bookings.len() == MAX_BOOKINGS {
            self.bookings.remove(0);
        }
        self.bookings.push(Booking { started_at: now, duration_ms, programs });
    }

    /// Cancels `programs_ms` of booked time, newest bookings first, for programs that did not run.
    ///
    /// A remainder below one millisecond stays booked: the rounding remainder of a division can be
    /// too small to reduce a booking at all, and the loop would not end.
    pub(super) fn cancel(&mut self, mut programs_ms: f64) {
        while programs_ms >= 1.0
            && let Some(last) = self.bookings.last_mut()
        {
            let duration_ms = last.duration_ms.max(1) as f64;
            let cancelled = (programs_ms / duration_ms).min(last.programs);
            last.programs -= cancelled;
            programs_ms -= cancelled * duration_ms;
            if last.programs <= f64::EPSILON {
                self.bookings.pop();
            }
        }
    }

    /// Removes bookings that have ended.
    pub(super) fn expire(&mut self, now: TimeMs) {
        self.bookings.retain(|booking| booking.ends_at() > now);
    }

    /// Number of programs in flight.
    pub(super) fn programs(&self, now: TimeMs) -> f64 {
        let running = self.bookings.iter().filter(|booking| booking.ends_at() > now);
        running.map(|booking| booking.programs).sum()
    }

    /// Time booked between two points in time, summed over all programs.
    pub(super) fn booked_between(&self, from: TimeMs, to: TimeMs) -> f64 {
        let overlap = |b: &Booking| {
            let until = to.min(b.ends_at());
            until.since(from.max(b.started_at)) as f64 * b.programs
        };
        self.bookings.iter().map(overlap).sum()
    }
}
