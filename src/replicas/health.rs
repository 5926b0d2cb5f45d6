//! Pattern: an endpoint breaks part or all of its requests off while its health check is good, and
//! each of many entries sees only a few of its requests. Judged by the answers of all entries
//! together, it is left out within some hundred milliseconds. When it is tried again, one request
//! is at stake and not one of every entry: entries return at different moments, with one request at
//! a time, and the first failure that any of them sees sends all of them away for longer.

use std::collections::HashMap;

use crate::prelude::*;

/// Answers are forgotten over about this time: an endpoint of a busy service answers some
/// ten requests a second; twenty answers tell one that fails in part from one that lost a few.
const FORGOTTEN_OVER_MS: f64 = 2_000.0;

/// An endpoint is left out from so many failures on: one or two lost answers happen to any.
const EJECT_FAILURES: f64 = 2.5;

/// And only if they are at least this part of its answers: twice the part that a sound
/// network loses in its worst seconds.
const EJECT_PART: f64 = 0.15;

/// So many failures in a row are enough, however long they take: a seldom used endpoint that serves
/// nobody would never fail often enough: one that loses one answer in twenty is left out for
/// nothing once in four hundred requests.
const EJECT_IN_A_ROW: u32 = 2;

/// How long an endpoint is left out at least, and at most twice that: entries differ, so that they do
/// not all return to it at once. Doubled each time that its trial fails.
const EJECT_MS: u64 = 500;

/// The longest that an endpoint is left out, before the spread: a trial costs one or two
/// requests of all entries together, and an endpoint that is sound again is missed until then.
const EJECT_MOST_MS: u64 = 2_000;

/// A trial is passed after so many answers in a row.
const TRIAL_ANSWERS: u32 = 3;

/// An endpoint that was sound for this long starts afresh.
const SOUND_AFTER_MS: u64 = 15_000;

/// Failures that are told this long after an endpoint was left out belong to requests that were sent
/// before: a running request ends within that, mostly.
const LATE_NEWS_MS: u64 = 250;

/// The answers of an endpoint are told to the others for this long after its last failure.
const TOLD_FOR_MS: u64 = 4_000;

/// After this long without a failure anywhere, they are counted anew.
const COUNTED_ANEW_MS: u64 = 6_000;

/// What an entry told longer ago than this belongs to an earlier count: less than the time
/// for which nothing is told between two counts, and many messages.
const EARLIER_COUNT_MS: u64 = 1_500;

/// Answers of one endpoint to one entry, since it began to fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Requests broken off or failed, and connections refused.
    pub failures: u32,
    /// Requests answered.
    pub served: u32,
}

/// Answers to all entries, fading.
#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    failures: f64,
    served: f64,
    at: TimeMs,
}

impl Recent {
    fn add(&mut self, now: TimeMs, more: AnswerCounts) {
        *self = self.faded(now);
        self.failures += f64::from(more.failures);
        self.served += f64::from(more.served);
    }

    fn faded(&self, now: TimeMs) -> Recent {
        let left = (-(now.since(self.at) as f64) / FORGOTTEN_OVER_MS).exp();
        Recent { failures: self.failures * left, served: self.served * left, at: now }
    }

    fn condemns(&self) -> bool {
        let part = self.failures / (self.failures + self.served).max(1.0);
        self.failures >= EJECT_FAILURES && part >= EJECT_PART
    }
}

/// What is known of an endpoint from its answers.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Tells this entry's pauses apart from those of the others.
    seed: u64,
    own: AnswerCounts,
    own_recent: Recent,
    told: HashMap<u64, (AnswerCounts, TimeMs)>,
    recent: Recent,
    /// Failures since the last answer, of all entries.
    in_a_row: u32,
    failed_at: Option<TimeMs>,
    ejected_at: TimeMs,
    ejected_until: TimeMs,
    ejections: u32,
    /// Answers still missing until it counts as sound again.
    trial_left: u32,
}

impl Health {
    /// Entries with different seeds return to an endpoint at different moments.
    pub fn open(seed: u64) -> Health {
        Health { seed, ..Health::default() }
    }

    /// A request was answered.
    pub fn record_success(&mut self, now: TimeMs) {
        let one = AnswerCounts { failures: 0, served: 1 };
        self.own.served += 1;
        self.own_recent.add(now, one);
        self.recent.add(now, one);
        self.in_a_row = 0;
        self.trial_left = self.trial_left.saturating_sub(1);
    }

    /// A request was broken off or failed, or the endpoint could not be reached.
    pub fn record_failure(&mut self, now: TimeMs) {
        self.count_failures(now, AnswerCounts { failures: 1, served: 0 });
        self.own.failures += 1;
    }

    /// Another entry, in the life `life`, had these answers from it.
    pub fn told(&mut self, now: TimeMs, life: u64, answers: AnswerCounts) {
        let before = match self.told.insert(life, (answers, now)) {
            Some((before, at)) if now.since(at) < EARLIER_COUNT_MS => before,
            _ => AnswerCounts::default(),
        };
        let more = AnswerCounts {
            failures: answers.failures.saturating_sub(before.failures),
            served: answers.served.saturating_sub(before.served),
        };
        if more.served > 0 {
            self.in_a_row = 0;
        }
        match more.failures {
            0 => self.recent.add(now, more),
            _ => self.count_failures(now, more),
        }
    }

    /// Another entry is heard for the first time: when it had its answers is not known.
    pub fn meet(&mut self, now: TimeMs, life: u64, answers: AnswerCounts) {
        self.told.insert(life, (answers, now));
    }

    /// What the other entries should hear: this entry's answers, while anybody's have failed of late.
    pub fn to_tell(&self, now: TimeMs) -> Option<AnswerCounts> {
        let recent = self.failed_at.is_some_and(|at| now.since(at) < TOLD_FOR_MS);
        (recent && self.own != AnswerCounts::default()).then_some(self.own)
    }

    /// Whether it is left out.
    pub fn is_ejected(&self, now: TimeMs) -> bool {
        now < self.ejected_until
    }

    /// Whether it is back on trial: one request at a time.
    pub fn is_on_trial(&self) -> bool {
        self.trial_left > 0
    }

    fn count_failures(&mut self, now: TimeMs, more: AnswerCounts) {
        if self.failed_at.is_none_or(|at| now.since(at) >= COUNTED_ANEW_MS) {
            let served = self.own_recent.faded(now).served.round() as u32;
            self.own = AnswerCounts { failures: 0, served };
        }
        self.failed_at = Some(now);
        self.recent.add(now, more);
        self.in_a_row += more.failures;
        let late_news = now.since(self.ejected_at) < LATE_NEWS_MS;
        let condemned = match self.is_on_trial() {
            true => !late_news,
            false => self.in_a_row >= EJECT_IN_A_ROW || self.recent.condemns(),
        };
        if condemned {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: TimeMs) {
        if now.since(self.ejected_until) > SOUND_AFTER_MS {
            self.ejections = 0;
        }
        let out_ms = EJECT_MS.saturating_mul(1 << self.ejections.min(8)).min(EJECT_MOST_MS);
        self.ejections += 1;
        self.ejected_at = now;
        self.ejected_until = now.plus(out_ms + self.spread(out_ms));
        self.trial_left = TRIAL_ANSWERS;
        self.in_a_row = 0;
        self.recent = Recent { at: now, ..Recent::default() };
    }

    /// Between zero and `most_ms`, different for each entry and each time.
    fn spread(&self, most_ms: u64) -> u64 {
        let mixed = (self.seed ^ u64::from(self.ejections)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        ((mixed >> 32) * most_ms) >> 32
    }
}
