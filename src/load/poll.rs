//! Which entry polls which endpoint for its load, and when.

use std::collections::HashMap;

use crate::prelude::*;
use crate::replicas::rendezvous_weight;

/// Interval between two polls of an endpoint: reports stay fresh if two polls in a row fail.
const POLL_INTERVAL_MS: u64 = 500;

/// How long a service without reports is not polled again.
const PAUSE_MS: u64 = 30_000;

/// Whether this entry polls an endpoint: all entries that hear each other find the same one of them
/// to have the highest weight. All arguments are hashes; `others` are the other entries heard.
pub fn is_poller(own: u64, others: &[u64], endpoint: u64) -> bool {
    let weight = |entry: u64| (rendezvous_weight(entry, endpoint), entry);
    others.iter().all(|other| weight(*other) <= weight(own))
}

/// Whether a poll of an endpoint is due after `last` and not later than `now`. The hash of the
/// endpoint spreads the polls of different endpoints over the interval.
pub fn is_due(last: TimeMs, now: TimeMs, endpoint: u64) -> bool {
    let offset_ms = POLL_INTERVAL_MS - endpoint % POLL_INTERVAL_MS;
    let interval = |at: TimeMs| at.plus(offset_ms).0 / POLL_INTERVAL_MS;
    interval(now) > interval(last)
}

/// How a poll ended.
#[value]
#[derive(Copy)]
pub enum PollOutcome {
    /// The endpoint has reported its load.
    Reported,
    /// The endpoint answered with something else, like an endpoint without an engine.
    NoReport,
    /// The connection could not be opened, or ended early.
    Unreachable,
    /// No answer within the time limit.
    TimedOut,
}

impl PollOutcome {
    /// All outcomes.
    pub const ALL: [PollOutcome; 4] = [
        PollOutcome::Reported,
        PollOutcome::NoReport,
        PollOutcome::Unreachable,
        PollOutcome::TimedOut,
    ];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            PollOutcome::Reported => "reported",
            PollOutcome::NoReport => "no_report",
            PollOutcome::Unreachable => "unreachable",
            PollOutcome::TimedOut => "timed_out",
        }
    }
}

/// The services that are not polled for a while, because an endpoint gave no report and none of the
/// others has a fresh one. In a service with reports, one faulty endpoint does not stop the polls.
#[derive(Debug, Default)]
pub struct PausedServices {
    until: HashMap<Arc<str>, TimeMs>,
}

impl PausedServices {
    /// Stops polling a service for a while.
    pub fn pause(&mut self, now: TimeMs, service: Arc<str>) {
        self.until.insert(service, now.plus(PAUSE_MS));
    }

    /// Whether a service is not to be polled. A fresh report of one of its endpoints, received by
    /// any entry, ends the pause.
    pub fn is_paused(&self, now: TimeMs, service: &str, has_fresh_report: bool) -> bool {
        !has_fresh_report && self.until.get(service).is_some_and(|until| now < *until)
    }

    /// Forgets services that are no longer in use.
    pub fn retain(&mut self, is_used: impl Fn(&str) -> bool) {
        self.until.retain(|service, _| is_used(service));
    }
}
