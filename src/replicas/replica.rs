use super::cold_limits::RecentSends;
use super::outdated_run::OutdatedRun;
use super::{Announcement, AnswerCounts, Health};
use crate::load::{EndpointReport, ReportedLoad};
use crate::prelude::*;

/// The gateway's record of one endpoint.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Its identifier, which usually changes with each start.
    pub id: Arc<str>,
    /// Hash of the identifier, which replaces it in messages between entries.
    pub hash: u64,
    /// Its latest announcement.
    pub announcement: Announcement,
    /// Requests in flight from this process.
    pub in_flight: u32,
    /// Requests in flight from the other entries, as last reported by them.
    pub others_in_flight: u32,
    /// Its own reports of its load; none as long as it was not asked for any.
    pub(super) reported: Option<Box<ReportedLoad>>,
    /// If its record has lapsed: the time until which it stays in use.
    pub(super) remove_at: Option<TimeMs>,
    /// Time until which it remains cold by its latest announcement.
    pub(super) announced_cold_until: TimeMs,
    /// Time until which it is assumed to be cold, whatever it announces.
    pub(super) assumed_cold_until: TimeMs,
    pub(super) recent_sends: RecentSends,
    /// Its announcements that are older than the latest one.
    pub(super) outdated: OutdatedRun,
    pub(super) health: Health,
}

impl Replica {
    /// Requests in flight from all entries, corrected by the endpoint's reports if they are fresh.
    pub fn load(&self, now: TimeMs) -> u32 {
        let count = self.counted_load();
        self.reported.as_ref().map_or(count, |reported| {
            reported.corrected(now, count, self.in_flight, self.announcement.slots)
        })
    }

    /// Requests in flight from all entries, as these count them.
    pub(super) fn counted_load(&self) -> u32 {
        self.in_flight.saturating_add(self.others_in_flight)
    }

    /// Its newest report of its load, unless it is too old.
    pub fn fresh_report(&self, now: TimeMs) -> Option<&EndpointReport> {
        self.reported.as_ref()?.fresh(now)
    }

    /// Tokens of its memory that are free, as last reported; `None` without a fresh report.
    pub fn free_tokens(&self, now: TimeMs) -> Option<u64> {
        self.fresh_report(now)?.free_tokens()
    }

    /// Adds the current count to those that reports are compared with.
    pub(super) fn record_count(&mut self, now: TimeMs) {
        let count = self.counted_load();
        if let Some(reported) = &mut self.reported {
            reported.record_count(now, count);
        }
    }

    /// Its answer counts to be sent to the other entries, if any.
    pub fn answers_to_share(&self, now: TimeMs) -> Option<AnswerCounts> {
        self.health.answers_to_share(now)
    }

    /// Whether its health allows a new request.
    pub fn is_usable(&self, now: TimeMs) -> bool {
        let is_busy_on_probation = self.health.is_on_probation() && self.in_flight > 0;
        !self.health.is_ejected(now) && !is_busy_on_probation
    }

    /// Whether it is shutting down, or its record has lapsed and it was not listed again in time.
    pub(super) fn has_left(&self, now: TimeMs) -> bool {
        self.announcement.draining || self.remove_at.is_some_and(|at| now > at)
    }

    /// Whether it has recently started or lost its caches.
    pub fn is_cold(&self, now: TimeMs) -> bool {
        now < self.announced_cold_until.max(self.assumed_cold_until)
    }

    /// Treats it as cold for this long, as it now announces. An earlier announcement no longer counts:
    /// its time may have come from another writer.
    pub(super) fn announce_cold(&mut self, now: TimeMs, cold_ms: u64) {
        self.log_cold(now, cold_ms);
        self.announced_cold_until = now.plus(cold_ms);
    }

    /// Treats it as cold for this long, if it isn't longer already.
    pub(super) fn assume_cold(&mut self, now: TimeMs, cold_ms: u64) {
        self.log_cold(now, cold_ms);
        self.assumed_cold_until = self.assumed_cold_until.max(now.plus(cold_ms));
    }

    fn log_cold(&self, now: TimeMs, cold_ms: u64) {
        if cold_ms > 0 && !self.is_cold(now) {
            log::info!(endpoint:% = self.id, cold_ms; "endpoint treated as cold");
        }
    }
}
