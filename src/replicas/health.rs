//! Pattern: an endpoint breaks part of its requests off while its health check is good, and each of
//! many entries sees only a few of its requests. Judged by the answers of all entries together, it
//! is left out within a second, and let back on trial.

use std::collections::HashMap;

use crate::prelude::*;

/// Answers are forgotten over about this time.
const FORGOTTEN_OVER_MS: f64 = 4_000.0;

/// An endpoint is left out from so many failures on. Source: one or two lost answers happen to any.
const EJECT_FAILURES: f64 = 2.5;

/// And only if they are at least this part of its answers. Source: twice the part that a sound
/// network loses in its worst seconds.
const EJECT_PART: f64 = 0.12;

/// How long an endpoint is left out; doubled each time that its trial fails.
const EJECT_MS: u64 = 500;

/// The longest that an endpoint is left out.
const EJECT_MOST_MS: u64 = 8_000;

/// An endpoint that was sound for this long starts afresh.
const SOUND_AFTER_MS: u64 = 15_000;

/// Answers of one endpoint to one entry, fading.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Answers {
    /// Requests broken off, and connections refused.
    pub failures: f64,
    /// Requests answered.
    pub served: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Fading {
    answers: Answers,
    at: TimeMs,
}

impl Fading {
    fn at(self, now: TimeMs) -> Answers {
        let left = (-(now.since(self.at) as f64) / FORGOTTEN_OVER_MS).exp();
        let Answers { failures, served } = self.answers;
        Answers { failures: failures * left, served: served * left }
    }
}

/// What is known of an endpoint from its answers.
#[derive(Debug, Clone, Default)]
pub struct Health {
    own: Fading,
    others: HashMap<u64, Fading>,
    ejected_until: TimeMs,
    ejections: u32,
}

impl Health {
    /// A request was answered.
    pub fn served(&mut self, now: TimeMs) {
        self.count(now, Answers { failures: 0.0, served: 1.0 });
    }

    /// A request was broken off, or the endpoint could not be reached.
    pub fn failed(&mut self, now: TimeMs) {
        self.count(now, Answers { failures: 1.0, served: 0.0 });
        self.judge(now);
    }

    /// Another entry, in the life `life`, had these answers.
    pub fn told(&mut self, now: TimeMs, life: u64, answers: Answers) {
        self.others.insert(life, Fading { answers, at: now });
        self.judge(now);
    }

    /// The answers that this entry had.
    pub fn own(&self, now: TimeMs) -> Answers {
        self.own.at(now)
    }

    /// Whether it is left out.
    pub fn is_ejected(&self, now: TimeMs) -> bool {
        now < self.ejected_until
    }

    fn count(&mut self, now: TimeMs, more: Answers) {
        let Answers { failures, served } = self.own.at(now);
        let answers = Answers { failures: failures + more.failures, served: served + more.served };
        self.own = Fading { answers, at: now };
    }

    fn judge(&mut self, now: TimeMs) {
        if self.is_ejected(now) {
            return;
        }
        let others = self.others.values().map(|fading| fading.at(now));
        let all = others.fold(self.own.at(now), |sum, answers| Answers {
            failures: sum.failures + answers.failures,
            served: sum.served + answers.served,
        });
        let part = all.failures / (all.failures + all.served).max(1.0);
        if all.failures < EJECT_FAILURES || part < EJECT_PART {
            return;
        }
        if now.since(self.ejected_until) > SOUND_AFTER_MS {
            self.ejections = 0;
        }
        let out_ms = EJECT_MS.saturating_mul(1 << self.ejections.min(8)).min(EJECT_MOST_MS);
        self.ejections += 1;
        self.ejected_until = now.plus(out_ms);
        // The trial that follows is judged by its own answers.
        self.own = Fading::default();
        self.others.clear();
    }
}
