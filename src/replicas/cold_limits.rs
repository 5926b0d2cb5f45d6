//! Limits the rate of requests to cold endpoints.
//!
//! When the endpoints of a failure domain restart together, their caches are cold and they carry no
//! load, so every entry prefers them at the same moment. Together the entries would exceed the
//! request rate that a cold endpoint can serve, and it would crash. Each cold endpoint therefore
//! receives requests from a few entries only, which all entries determine by the same hash without
//! communicating, and each of these has a fixed quota.

use std::collections::VecDeque;

use super::rendezvous::rendezvous_weight;
use crate::prelude::*;

/// Maximum number of entries that send to one cold endpoint: small enough that each has a quota of
/// several requests, large enough that the loss of one entry has little effect.
const MAX_SENDERS: u32 = 5;

/// Number of different views of the list of entries that may be in use at the same time, for
/// example on the two sides of a network partition. Each view selects its own senders, and their
/// total rate must stay within the limit.
const CONCURRENT_VIEWS: f64 = 2.0;

/// Window in which requests are counted against the quota: the one second that the limit refers to,
/// plus the time that a request may take from the selection of its endpoint until it arrives there.
const WINDOW_MS: u64 = 1_150;

/// Time after its start for which an entry sends nothing to cold endpoints: it does not know yet
/// which other entries send, nor what its previous process instance has sent.
const MIN_UPTIME_MS: u64 = 1_500;

/// Request limits for the cold endpoints of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdLimits {
    /// Time for which an endpoint is cold after its start.
    pub duration_ms: u64,
    /// Rate that a cold endpoint can serve, in requests per second.
    pub requests_per_s: f64,
    /// Maximum number of requests that all entries together may send to it within any second.
    pub max_requests_per_s: f64,
}

impl ColdLimits {
    /// Requests per window that the senders selected by one view may send together.
    fn quota_per_view(&self) -> u32 {
        self.requests_per_s.min(self.max_requests_per_s / CONCURRENT_VIEWS).max(1.0) as u32
    }

    /// Number of entries that send to one endpoint.
    fn senders(&self) -> u32 {
        self.quota_per_view().min(MAX_SENDERS)
    }

    /// Requests per window that one sender may send.
    fn quota_per_sender(&self) -> u32 {
        self.quota_per_view() / self.senders()
    }
}

/// Determines for which cold endpoints this entry is a sender. Entries are identified by hashes of
/// their names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SenderQuota {
    own: u64,
    /// The other entries; `None` until they are known.
    others: Option<Vec<u64>>,
}

impl SenderQuota {
    /// The state of the entry `own` at its start, when it does not know the other entries.
    pub fn open(own: u64) -> SenderQuota {
        SenderQuota { own, others: None }
    }

    /// Updates the other entries that may send, as known `uptime_ms` after process start. Ignored
    /// while the uptime is below `MIN_UPTIME_MS`.
    pub fn update_others(&mut self, uptime_ms: u64, others: Vec<u64>) {
        if uptime_ms >= MIN_UPTIME_MS {
            self.others = Some(others);
        }
    }

    /// Requests per window that this entry may send to a cold endpoint: zero unless it is one of
    /// the endpoint's senders.
    pub fn quota_for(&self, endpoint: u64, limits: &ColdLimits) -> u32 {
        let Some(others) = &self.others else {
            return 0;
        };
        let own = rendezvous_weight(self.own, endpoint);
        let ranked_higher =
            others.iter().filter(|other| rendezvous_weight(**other, endpoint) > own).count();
        if ranked_higher < limits.senders() as usize { limits.quota_per_sender() } else { 0 }
    }
}

/// Times of the requests that this entry has recently sent to an endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentSends(VecDeque<TimeMs>);

impl RecentSends {
    /// Records a sent request and drops those that have left the window.
    pub(super) fn record(&mut self, now: TimeMs) {
        self.0.retain(|at| now.since(*at) < WINDOW_MS);
        self.0.push_back(now);
    }

    /// Number of requests sent within the window.
    pub(super) fn count_in_window(&self, now: TimeMs) -> u32 {
        self.0.iter().filter(|at| now.since(**at) < WINDOW_MS).count() as u32
    }
}
