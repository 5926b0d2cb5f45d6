//! Pattern: a failure domain's endpoints come back together, cold, into a crowd. They are the emptiest
//! of all, every entry sees that at the same moment, and together the entries send each of them more in
//! a second than it bears: it crashes. So for each cold endpoint a few entries are chosen, all of which
//! come to the same choice by themselves, and each of these keeps to a fixed share.

use std::collections::VecDeque;

use super::rendezvous::rendezvous;
use crate::prelude::*;

/// The most entries that send to one cold endpoint. Few, so that each has a share of several requests,
/// and enough that the loss of one matters little.
const SENDERS_MOST: u32 = 5;

/// Views of the list of entries that may be in use at the same time, as when the entries are cut into two
/// halves: each of them chooses senders of its own, and their sum must keep to the bound.
const VIEWS: f64 = 2.0;

/// The span in which a share is counted: the second of the bound, and the time that a request may take
/// from its choice to its endpoint.
const WINDOW_MS: u64 = 1_150;

/// An entry sends nothing to cold endpoints for so long after its start: it does not know yet who else
/// sends, nor what an earlier life of its own has sent.
const SETTLING_MS: u64 = 1_500;

/// What the endpoints of a service bear while they are cold.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdLimits {
    /// How long an endpoint is cold after it has started.
    pub duration_ms: u64,
    /// Requests a second that it bears.
    pub requests_per_s: f64,
    /// Requests that it must not get in any second, of all entries together.
    pub max_requests_per_s: f64,
}

impl ColdLimits {
    /// Requests a second for all senders of one view together.
    fn for_one_view(&self) -> u32 {
        self.requests_per_s.min(self.max_requests_per_s / VIEWS).max(1.0) as u32
    }

    /// How many entries send to one endpoint.
    fn senders(&self) -> u32 {
        self.for_one_view().min(SENDERS_MOST)
    }

    /// Requests that one sender may send in a window.
    fn each(&self) -> u32 {
        self.for_one_view() / self.senders()
    }
}

/// Which of the entries this one is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ColdShare {
    own: u64,
    /// The other entries; none while they are not known.
    others: Option<Vec<u64>>,
}

impl ColdShare {
    /// The entry `own` has started and does not know the others yet.
    pub fn open(own: u64) -> ColdShare {
        ColdShare { own, others: None }
    }

    /// The entries that may send, as known `uptime_ms` after the start.
    pub fn know(&mut self, uptime_ms: u64, others: Vec<u64>) {
        if uptime_ms >= SETTLING_MS {
            self.others = Some(others);
        }
    }

    /// Requests that this entry may send to a cold endpoint in a window.
    pub fn of(&self, endpoint: u64, rule: &ColdLimits) -> u32 {
        let Some(others) = &self.others else {
            return 0;
        };
        let own = rendezvous(self.own, endpoint);
        let before = others.iter().filter(|other| rendezvous(**other, endpoint) > own).count();
        if before < rule.senders() as usize { rule.each() } else { 0 }
    }
}

/// What an entry has sent to an endpoint of late.
#[derive(Debug, Clone, Default)]
pub(super) struct Sends(VecDeque<TimeMs>);

impl Sends {
    /// A request was sent.
    pub(super) fn add(&mut self, now: TimeMs) {
        self.0.retain(|at| now.since(*at) < WINDOW_MS);
        self.0.push_back(now);
    }

    /// Requests sent within the window.
    pub(super) fn within_window(&self, now: TimeMs) -> u32 {
        self.0.iter().filter(|at| now.since(**at) < WINDOW_MS).count() as u32
    }
}
