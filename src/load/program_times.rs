use std::collections::HashMap;

use super::ForgettingMean;
use crate::prelude::*;

/// A program from which nothing came for this long has ended. Pauses and tools between two turns
/// take less.
const ENDED_AFTER_MS: u64 = 1_500;

/// Programs that count most in the mean.
const MEMORY_PROGRAMS: f64 = 50.0;

/// The part of its time that a program is assumed to need before any was seen to end.
const ASSUMED_NEED: f64 = 0.7;

/// Programs that the assumption counts like.
const PRIOR_PROGRAMS: f64 = 5.0;

/// Upper bound of the part that a program is taken to need, so that a program that has just begun
/// counts as one that can finish in time.
const MAX_NEED: f64 = 0.95;

/// A running program.
#[derive(Debug, Clone, Copy)]
struct Running {
    started_at: TimeMs,
    last_turn_at: TimeMs,
    /// The time that it had when it started, if it stated one.
    finish_ms: Option<u64>,
}

impl Running {
    fn has_ended(&self, now: TimeMs) -> bool {
        now.since(self.last_turn_at) > ENDED_AFTER_MS
    }
}

/// How much of the time until they should be finished programs of a service really take, learned
/// from those that have ended.
#[derive(Debug)]
pub struct ProgramTimes {
    running: HashMap<u64, Running>,
    need: ForgettingMean,
}

impl Default for ProgramTimes {
    fn default() -> ProgramTimes {
        ProgramTimes { running: HashMap::new(), need: ForgettingMean::open(MEMORY_PROGRAMS) }
    }
}

impl ProgramTimes {
    /// Records that a program starts, and how long it may take. Without a stated time, nothing is
    /// learned from it.
    pub fn start(&mut self, now: TimeMs, program: u64, finish_ms: Option<u64>) {
        self.expire(now);
        let finish_ms = finish_ms.filter(|finish_ms| *finish_ms > 0);
        self.running.insert(program, Running { started_at: now, last_turn_at: now, finish_ms });
    }

    /// Records that a turn of a program has ended.
    pub fn record_turn(&mut self, now: TimeMs, program: u64) {
        if let Some(running) = self.running.get_mut(&program) {
            running.last_turn_at = now;
        }
    }

    /// Whether a program has started and not ended.
    pub fn is_running(&self, now: TimeMs, program: u64) -> bool {
        self.running.get(&program).is_some_and(|running| !running.has_ended(now))
    }

    /// The part of its time that a program is expected to need.
    pub fn need(&self) -> f64 {
        self.need.with_prior(ASSUMED_NEED, PRIOR_PROGRAMS).min(MAX_NEED)
    }

    fn expire(&mut self, now: TimeMs) {
        let need = &mut self.need;
        self.running.retain(|_, running| {
            let has_ended = running.has_ended(now);
            let took_ms = running.last_turn_at.since(running.started_at);
            if let Some(finish_ms) = running.finish_ms
                && has_ended
                && took_ms > 0
            {
                need.add(took_ms as f64 / finish_ms as f64);
            }
            !has_ended
        });
    }
}
