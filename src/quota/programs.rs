//! Admission of programs. A workspace's rate is used by programs that run for seconds, several at a
//! time, and make many requests each. If requests were admitted one by one, more programs would
//! start than the rate can carry; all of them would be refused now and then, and few would finish.
//! A program therefore books its time when it starts, and another one starts only when the window
//! is forecast to have room for both.

use super::bookings::Bookings;
use super::program_stats::ProgramStats;
use super::usage_totals::UsageDelta;
use crate::prelude::*;

/// Time step of the window forecast.
const FORECAST_STEP_MS: u64 = 500;

/// Fraction of the limit at which the forecast need of one program is capped. A program that needs
/// more would otherwise never start.
const MAX_NEED_FRACTION: f64 = 0.5;

/// Safety factor on the expected requests of a program: some make more, or make them later.
const NEED_MARGIN: f64 = 1.25;

/// Number of programs that a window must be able to carry for the forecast to be used. The needs of
/// single programs differ many times over, so a small window that keeps room for a mean program
/// would stay empty.
const MIN_PROGRAMS_FOR_FORECAST: f64 = 3.0;

/// Minimum booking for a program, as a fraction of the mean duration. A program that was refused
/// comes back with less time left to its deadline, but needs as many requests as before.
const MIN_DURATION_FRACTION: f64 = 0.5;

/// The window into which a program has to fit.
#[derive(Debug, Clone, Copy)]
pub(super) struct WindowLimit {
    /// Maximum number of requests in the window.
    pub(super) limit: f64,
    /// Length of the window.
    pub(super) window_ms: u64,
}

/// The programs of one workspace in flight, and statistics of what its programs need.
#[derive(Debug, Clone)]
pub(super) struct RunningPrograms {
    bookings: Bookings,
    program_stats: ProgramStats,
    /// Observations since they were last passed on.
    new_stats: ProgramStats,
    recorded_until: TimeMs,
}

impl RunningPrograms {
    /// No programs in flight.
    pub(super) fn new(now: TimeMs) -> RunningPrograms {
        let (program_stats, new_stats) = (ProgramStats::default(), ProgramStats::default());
        RunningPrograms {
            bookings: Bookings::default(),
            program_stats,
            new_stats,
            recorded_until: now,
        }
    }

    /// The time to book for a program that has `duration_ms` left.
    pub(super) fn required_ms(&self, duration_ms: u64) -> u64 {
        duration_ms.max(self.min_duration_ms())
    }

    fn min_duration_ms(&self) -> u64 {
        (self.program_stats.mean_duration_ms() * MIN_DURATION_FRACTION) as u64
    }

    /// Books a program that starts at this entry.
    pub(super) fn start(&mut self, now: TimeMs, booked_ms: u64) {
        self.bookings.add(now, booked_ms, 1.0);
        self.record_duration(1.0, booked_ms);
    }

    /// Cancels a program that was booked at this entry and did not run.
    pub(super) fn cancel(&mut self, booked_ms: u64) {
        self.bookings.cancel(booked_ms as f64);
        self.record_duration(-1.0, booked_ms);
    }

    /// Applies a change reported by another entry: programs that were started, or cancelled.
    pub(super) fn apply_remote(&mut self, now: TimeMs, delta: &UsageDelta) {
        match delta.programs > 0.0 && delta.booked_ms > 0.0 {
            true => {
                let program_duration_ms = (delta.booked_ms / delta.programs) as u64;
                self.bookings.add(now, program_duration_ms, delta.programs);
                self.record_duration(delta.programs, program_duration_ms);
            }
            false => self.bookings.cancel(-delta.booked_ms),
        }
    }

    /// Records requests made while the programs in flight were running. A crowded window, in which
    /// requests are refused, says nothing about what programs need. Statistics of programs that
    /// were aborted would lead to bookings that are too small, and these to more aborted programs.
    pub(super) fn record_requests(&mut self, now: TimeMs, requests: f64, crowded: bool) {
        let run_ms = self.bookings.booked_between(self.recorded_until, now);
        self.recorded_until = now;
        if !crowded {
            self.record(ProgramStats::from_requests(requests, run_ms));
        }
    }

    /// Records the duration of programs. A booking at the minimum, made for a program that came
    /// back after a refusal, is itself derived from the mean; it is left out, or the mean would
    /// shrink with each of them.
    fn record_duration(&mut self, programs: f64, program_duration_ms: u64) {
        if program_duration_ms > self.min_duration_ms() {
            self.record(ProgramStats::from_starts(programs, programs * program_duration_ms as f64));
        }
    }

    fn record(&mut self, new: ProgramStats) {
        self.program_stats.merge(&new);
        self.new_stats.merge(&new);
    }

    /// Returns the observations since the last call.
    pub(super) fn take_new_stats(&mut self) -> ProgramStats {
        std::mem::take(&mut self.new_stats)
    }

    /// Whether a window with this limit is large enough to carry several programs, so that their needs
    /// can be forecast.
    pub(super) fn is_forecast_used(&self, limit: f64, all_stats: &ProgramStats) -> bool {
        let requests_per_ms = self.program_stats.requests_per_ms(all_stats);
        let per_program = requests_per_ms * self.program_stats.mean_duration_ms();
        limit / per_program.max(1.0) >= MIN_PROGRAMS_FOR_FORECAST
    }

    /// Delay in milliseconds until a program may start so that it fits into the window beside the
    /// programs in flight; zero if it may start now. `remaining` returns how many of the requests
    /// now in the window are still in it after the given time, and `all_stats` holds the statistics
    /// of the programs of all workspaces.
    pub(super) fn start_delay_ms(
        &self,
        now: TimeMs,
        required_ms: u64,
        window_limit: WindowLimit,
        all_stats: &ProgramStats,
        remaining: impl Fn(u64) -> f64,
    ) -> u64 {
        let requests_per_ms = self.program_stats.requests_per_ms(all_stats);
        if self.bookings.programs(now) == 0.0
            || !self.is_forecast_used(window_limit.limit, all_stats)
        {
            return 0;
        }
        let need_per_ms = requests_per_ms * NEED_MARGIN;
        let steps = (window_limit.window_ms / FORECAST_STEP_MS) as usize;
        let at_ms = |step: usize| step as u64 * FORECAST_STEP_MS;
        let forecast = |step: usize| {
            let at = now.plus(at_ms(step));
            let from = TimeMs(at.0.saturating_sub(window_limit.window_ms)).max(now);
            remaining(at_ms(step)) + need_per_ms * self.bookings.booked_between(from, at)
        };
        let forecast: Vec<f64> = (0..=2 * steps).map(forecast).collect();
        let own_need = |step: usize| {
            (need_per_ms * at_ms(step) as f64).min(window_limit.limit * MAX_NEED_FRACTION)
        };
        let own_steps = (required_ms.min(window_limit.window_ms) / FORECAST_STEP_MS) as usize;
        let fits_from = |start: &usize| {
            (0..=own_steps)
                .all(|step| forecast[start + step] + own_need(step) + 1.0 <= window_limit.limit)
        };
        (0..=steps).find(fits_from).map_or(window_limit.window_ms, at_ms)
    }
}
