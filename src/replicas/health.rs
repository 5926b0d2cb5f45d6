//! Ejects endpoints that fail requests, judged by the answers to the requests themselves.
//!
//! An endpoint can break off some or all of its requests while its health check passes, and each of
//! many entries sees only a few of these requests. Entries therefore exchange their answer counts,
//! and together they eject such an endpoint within a few hundred milliseconds. Afterwards it is on
//! probation: entries return to it at different times, each with one request at a time, and the
//! first failure that any of them sees makes all of them eject it again for longer. A retry thus
//! costs about one request instead of one per entry.

use std::collections::HashMap;

use crate::prelude::*;

/// Time constant of the exponential decay of answer counts. An endpoint of a busy service answers
/// about ten requests per second, and twenty answers suffice to distinguish an endpoint that fails
/// some of its requests from one that has lost a few answers.
const DECAY_MS: f64 = 2_000.0;

/// Minimum number of failures, after decay, for ejection. Any endpoint may lose one or two answers.
const MIN_FAILURES: f64 = 2.5;

/// Minimum ratio of failures to all answers for ejection: twice the ratio of answers that a healthy
/// network loses in its worst seconds.
const MIN_FAILURE_RATIO: f64 = 0.15;

/// Number of consecutive failures that leads to ejection, however far apart they are: a rarely used
/// endpoint that fails every request would otherwise never reach `MIN_FAILURES`. The price is that
/// an endpoint which loses one answer in twenty is ejected needlessly once in four hundred
/// requests.
const CONSECUTIVE_FAILURES: u32 = 2;

/// Minimum duration of an ejection, doubled after each failed probation. Each entry adds a
/// different amount of up to the same duration, so that not all entries return at once.
const MIN_EJECTION_MS: u64 = 500;

/// Maximum duration of an ejection, not counting the extension that differs by entry. A retry costs
/// only one or two requests of all entries together, while a longer ejection delays the use of an
/// endpoint that has recovered.
const MAX_EJECTION_MS: u64 = 2_000;

/// Number of consecutive answers that end the probation.
const PROBATION_ANSWERS: u32 = 3;

/// Time after the end of an ejection from which the next one has the minimum duration again.
const EJECTION_RESET_MS: u64 = 15_000;

/// Failures that become known within this time after an ejection do not extend it: they belong to
/// requests sent before it, most of which end within this time.
const LATE_REPORT_MS: u64 = 250;

/// Time after an endpoint's last failure for which its answer counts are sent to the other entries.
const SHARE_MS: u64 = 4_000;

/// Time without a failure at any entry after which the counts start anew.
const COUNT_RESET_MS: u64 = 6_000;

/// Age from which the counts last received from an entry are taken to belong to an earlier counting
/// period: shorter than the pause in sending between two periods, which is at least
/// `COUNT_RESET_MS - SHARE_MS`, and long enough for many messages.
const STALE_COUNT_MS: u64 = 1_500;

/// Numbers of failed and answered requests of one entry at one endpoint, since the endpoint began
/// to fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Requests broken off or failed, and connections refused.
    pub failures: u32,
    /// Requests answered.
    pub served: u32,
}

/// Answer counts that decay over time.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingCounts {
    failures: f64,
    served: f64,
    updated_at: TimeMs,
}

impl DecayingCounts {
    fn add(&mut self, now: TimeMs, added: AnswerCounts) {
        *self = self.decayed_at(now);
        self.failures += f64::from(added.failures);
        self.served += f64::from(added.served);
    }

    fn decayed_at(&self, now: TimeMs) -> DecayingCounts {
        let factor = (-(now.since(self.updated_at) as f64) / DECAY_MS).exp();
        DecayingCounts {
            failures: self.failures * factor,
            served: self.served * factor,
            updated_at: now,
        }
    }

    fn exceeds_thresholds(&self) -> bool {
        let ratio = self.failures / (self.failures + self.served).max(1.0);
        self.failures >= MIN_FAILURES && ratio >= MIN_FAILURE_RATIO
    }
}

/// The health of an endpoint, derived from its answers.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Makes the ejection times of this entry differ from those of the others.
    seed: u64,
    /// The counts of this entry, which are sent to the others.
    own: AnswerCounts,
    own_recent: DecayingCounts,
    /// The counts last received from each other process instance, and when.
    reported: HashMap<u64, (AnswerCounts, TimeMs)>,
    /// The counts of all entries since the last ejection.
    all_recent: DecayingCounts,
    /// Consecutive failures, as seen by all entries together.
    consecutive_failures: u32,
    failed_at: Option<TimeMs>,
    ejected_at: TimeMs,
    ejected_until: TimeMs,
    ejections: u32,
    /// Number of answers still required to end the probation.
    probation_answers_left: u32,
}

impl Health {
    /// Entries with different seeds retry an ejected endpoint at different times.
    pub fn open(seed: u64) -> Health {
        Health { seed, ..Health::default() }
    }

    /// Records an answered request.
    pub fn record_success(&mut self, now: TimeMs) {
        let one = AnswerCounts { failures: 0, served: 1 };
        self.own.served += 1;
        self.own_recent.add(now, one);
        self.all_recent.add(now, one);
        self.consecutive_failures = 0;
        self.probation_answers_left = self.probation_answers_left.saturating_sub(1);
    }

    /// Records a request that was broken off or failed, or an unreachable endpoint.
    pub fn record_failure(&mut self, now: TimeMs) {
        self.count_failures(now, AnswerCounts { failures: 1, served: 0 });
        self.own.failures += 1;
    }

    /// Merges the counts reported by the entry with process instance `instance`.
    pub fn merge_answers(&mut self, now: TimeMs, instance: u64, answers: AnswerCounts) {
        let previous = match self.reported.insert(instance, (answers, now)) {
            Some((previous, at)) if now.since(at) < STALE_COUNT_MS => previous,
            _ => AnswerCounts::default(),
        };
        let added = AnswerCounts {
            failures: answers.failures.saturating_sub(previous.failures),
            served: answers.served.saturating_sub(previous.served),
        };
        if added.served > 0 {
            self.consecutive_failures = 0;
        }
        match added.failures {
            0 => self.all_recent.add(now, added),
            _ => self.count_failures(now, added),
        }
    }

    /// Stores the counts of an entry's first message as the baseline for later ones, without
    /// judging by them: it is not known when these requests were answered.
    pub fn record_baseline(&mut self, now: TimeMs, instance: u64, answers: AnswerCounts) {
        self.reported.insert(instance, (answers, now));
    }

    /// The counts to send to the other entries: this entry's own, if any entry has recently seen a
    /// failure.
    pub fn answers_to_share(&self, now: TimeMs) -> Option<AnswerCounts> {
        let is_recent = self.failed_at.is_some_and(|at| now.since(at) < SHARE_MS);
        (is_recent && self.own != AnswerCounts::default()).then_some(self.own)
    }

    /// Whether the endpoint is ejected.
    pub fn is_ejected(&self, now: TimeMs) -> bool {
        now < self.ejected_until
    }

    /// Whether the endpoint is on probation, during which it receives one request at a time.
    pub fn is_on_probation(&self) -> bool {
        self.probation_answers_left > 0
    }

    fn count_failures(&mut self, now: TimeMs, added: AnswerCounts) {
        if self.failed_at.is_none_or(|at| now.since(at) >= COUNT_RESET_MS) {
            let served = self.own_recent.decayed_at(now).served.round() as u32;
            self.own = AnswerCounts { failures: 0, served };
        }
        self.failed_at = Some(now);
        self.all_recent.add(now, added);
        self.consecutive_failures = self.consecutive_failures.saturating_add(added.failures);
        let is_late_report = now.since(self.ejected_at) < LATE_REPORT_MS;
        let must_eject = match self.is_on_probation() {
            true => !is_late_report,
            false => {
                self.consecutive_failures >= CONSECUTIVE_FAILURES
                    || self.all_recent.exceeds_thresholds()
            }
        };
        if must_eject {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: TimeMs) {
        if now.since(self.ejected_until) > EJECTION_RESET_MS {
            self.ejections = 0;
        }
        let ejection_ms =
            MIN_EJECTION_MS.saturating_mul(1 << self.ejections.min(8)).min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.ejected_at = now;
        self.ejected_until = now.plus(ejection_ms + self.jitter_ms(ejection_ms));
        self.probation_answers_left = PROBATION_ANSWERS;
        self.consecutive_failures = 0;
        self.all_recent = DecayingCounts { updated_at: now, ..DecayingCounts::default() };
    }

    /// A duration below `max_ms` that differs by entry and by ejection.
    fn jitter_ms(&self, max_ms: u64) -> u64 {
        let hash = (self.seed ^ u64::from(self.ejections)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        ((hash >> 32) * max_ms) >> 32
    }
}
