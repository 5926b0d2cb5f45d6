//! Pattern: a workspace's rate is used by programs that go on for seconds and make many requests, several
//! at once. Admitted one request at a time, more of them begin than the rate can carry; all of them are
//! refused now and then, and few end. So a program books its time as it begins, and another one
//! begins only when the window will have room for both.

use super::bookings::Bookings;
use super::program_stats::ProgramStats;
use super::tally::News;
use crate::prelude::*;

/// Pause between two moments at which the window is foreseen.
const FORESEEN_EVERY_MS: u64 = 500;

/// A program that needs more than this part of the limit by itself begins as if it needed no more: it
/// would never begin else.
const NEED_MOST: f64 = 0.5;

/// Booked for each request that a program is expected to make: some make more, or come late.
const SPARE: f64 = 1.25;

/// A window that carries fewer programs than this foresees nothing: one program takes many times what
/// another does, and a window kept free for a mean one stays empty.
const FORESEEABLE_FROM: f64 = 3.0;

/// Part of the mean time of programs that a program takes at least: one that was refused comes back
/// with less time to its end, and needs as much as before.
const LENGTH_LEAST: f64 = 0.5;

/// The window that a program has to fit into.
#[derive(Debug, Clone, Copy)]
pub(super) struct Room {
    /// Requests that it may hold.
    pub(super) limit: f64,
    /// Its length.
    pub(super) window_ms: u64,
}

/// One workspace's programs under way, and what such programs need.
#[derive(Debug, Clone)]
pub(super) struct Programs {
    bookings: Bookings,
    program_stats: ProgramStats,
    /// What was learnt of the pace since it was passed on.
    new_stats: ProgramStats,
    ran_until: TimeMs,
}

impl Programs {
    /// No program is under way.
    pub(super) fn open(now: TimeMs) -> Programs {
        let (program_stats, new_stats) = (ProgramStats::default(), ProgramStats::default());
        Programs { bookings: Bookings::default(), program_stats, new_stats, ran_until: now }
    }

    /// The time that a program needs of which `length_ms` are left.
    pub(super) fn needed_ms(&self, duration_ms: u64) -> u64 {
        duration_ms.max(self.least_ms())
    }

    fn least_ms(&self) -> u64 {
        (self.program_stats.mean_length_ms() * LENGTH_LEAST) as u64
    }

    /// A program begins here.
    pub(super) fn begin(&mut self, now: TimeMs, booked_ms: u64) {
        self.bookings.begin(now, booked_ms, 1.0);
        self.learn_length(1.0, booked_ms);
    }

    /// A program that began here has not run.
    pub(super) fn take_back(&mut self, booked_ms: u64) {
        self.bookings.cancel(booked_ms as f64);
        self.learn_length(-1.0, booked_ms);
    }

    /// Programs began, or did not run, at another entry.
    pub(super) fn heard(&mut self, now: TimeMs, news: &News) {
        match news.programs > 0.0 && news.booked_ms > 0.0 {
            true => {
                let each_ms = (news.booked_ms / news.programs) as u64;
                self.bookings.begin(now, each_ms, news.programs);
                self.learn_length(news.programs, each_ms);
            }
            false => self.bookings.cancel(-news.booked_ms),
        }
    }

    /// Requests were made while the programs under way ran on. Where requests are refused, they show nothing
    /// of what programs need: learnt from programs that are broken off, too little would be booked,
    /// and more would be broken off.
    pub(super) fn ran(&mut self, now: TimeMs, requests: f64, crowded: bool) {
        let ran_ms = self.bookings.between(self.ran_until, now);
        self.ran_until = now;
        if !crowded {
            self.merge(ProgramStats::ran(requests, ran_ms));
        }
    }

    /// What was booked for a program that came back is a part of the mean: learnt from, the mean would
    /// shrink with each of them.
    fn learn_length(&mut self, programs: f64, each_ms: u64) {
        if each_ms > self.least_ms() {
            self.merge(ProgramStats::begun(programs, programs * each_ms as f64));
        }
    }

    fn merge(&mut self, more: ProgramStats) {
        self.program_stats.merge(&more);
        self.new_stats.merge(&more);
    }

    /// What was learnt of the pace since this was last asked.
    pub(super) fn take_new_stats(&mut self) -> ProgramStats {
        std::mem::take(&mut self.new_stats)
    }

    /// In how many milliseconds a program may begin, so that it fits into the window beside those under
    /// way; zero: now. `kept` tells how much of what is in the window now stays after some time, and
    /// `usual` is the pace of all workspaces' programs.
    pub(super) fn begins_in_ms(
        &self,
        now: TimeMs,
        needed_ms: u64,
        room: Room,
        usual: &ProgramStats,
        kept: impl Fn(u64) -> f64,
    ) -> u64 {
        let requests_per_ms = self.program_stats.requests_per_ms(usual);
        let carried = room.limit / (requests_per_ms * self.program_stats.mean_length_ms()).max(1.0);
        if self.bookings.programs(now) == 0.0 || carried < FORESEEABLE_FROM {
            return 0;
        }
        let need_per_ms = requests_per_ms * SPARE;
        let steps = (room.window_ms / FORESEEN_EVERY_MS) as usize;
        let at_ms = |step: usize| step as u64 * FORESEEN_EVERY_MS;
        let others = |step: usize| {
            let at = now.plus(at_ms(step));
            let from = TimeMs(at.0.saturating_sub(room.window_ms)).max(now);
            kept(at_ms(step)) + need_per_ms * self.bookings.between(from, at)
        };
        let others: Vec<f64> = (0..=2 * steps).map(others).collect();
        let own = |step: usize| (need_per_ms * at_ms(step) as f64).min(room.limit * NEED_MOST);
        let runs = (needed_ms.min(room.window_ms) / FORESEEN_EVERY_MS) as usize;
        let fits_from = |begin: &usize| {
            (0..=runs).all(|ran| others[begin + ran] + own(ran) + 1.0 <= room.limit)
        };
        (0..=steps).find(fits_from).map_or(room.window_ms, at_ms)
    }
}
