use std::collections::HashMap;

use super::usage_totals::{RefundCount, UsageDelta, UsageTotals};
use crate::prelude::*;

/// Time constant of the moving average of the other entries' rate: five messages.
const AVERAGING_MS: f64 = 500.0;

/// Shortest time between two reports of an entry. The others are assumed to have continued at their
/// average rate since their last report.
const MIN_REPORT_INTERVAL_MS: f64 = 100.0;

/// A longer pause is no interval: an entry that admits nothing repeats its count rarely.
const MAX_REPORT_INTERVAL_MS: u64 = 800;

/// Reports that count most in the mean interval.
const MEMORY_REPORTS: f64 = 20.0;

/// Requests that were refunded, by when they were admitted.
pub(super) type RefundsByTime = Vec<(TimeMs, f64)>;

/// The newest report of one process instance of an entry.
#[derive(Debug, Clone, Default)]
struct PeerReport {
    totals: UsageTotals,
    reported_at: TimeMs,
    /// Requests admitted before this time are not counted.
    counted_from: TimeMs,
    refunds: RefundsByTime,
}

/// What the other entries have reported of a workspace.
#[derive(Debug, Clone)]
pub(super) struct PeerReports {
    by_instance: HashMap<u64, PeerReport>,
    /// Mean time between two reports of an entry. With many workspaces a count is not in every
    /// message.
    interval_ms: f64,
    /// Requests admitted by other entries, decayed exponentially.
    recent_requests: f64,
    last_update_at: TimeMs,
}

impl PeerReports {
    /// No reports yet.
    pub(super) fn open(now: TimeMs) -> PeerReports {
        PeerReports {
            by_instance: HashMap::new(),
            interval_ms: MIN_REPORT_INTERVAL_MS,
            recent_requests: 0.0,
            last_update_at: now,
        }
    }

    /// Whether a process instance has reported before.
    pub(super) fn contains(&self, instance: u64) -> bool {
        self.by_instance.contains_key(&instance)
    }

    /// Records the first totals of a process instance, if what it has admitted before is not to be
    /// counted.
    pub(super) fn record_baseline(&mut self, now: TimeMs, instance: u64, totals: UsageTotals) {
        let report =
            PeerReport { totals, reported_at: now, counted_from: now, ..PeerReport::default() };
        self.by_instance.insert(instance, report);
    }

    /// Records the totals of a process instance, and returns what is new in them.
    pub(super) fn record(&mut self, now: TimeMs, instance: u64, totals: UsageTotals) -> UsageDelta {
        let report = self.by_instance.entry(instance).or_default();
        let interval_ms = now.since(report.reported_at);
        let delta = totals.delta_since(&report.totals);
        (report.totals, report.reported_at) = (totals, now);
        self.record_interval(interval_ms);
        let recent = decayed(self.recent_requests, now.since(self.last_update_at));
        self.recent_requests = (recent + delta.requests).max(0.0);
        self.last_update_at = now;
        delta
    }

    /// Records the refunds of a process instance. Returns those that it reported before and those
    /// that replace them.
    pub(super) fn record_refunds(
        &mut self,
        instance: u64,
        refunds: &[RefundCount],
        admitted_at: impl Fn(&RefundCount) -> TimeMs,
    ) -> (RefundsByTime, RefundsByTime) {
        let Some(report) = self.by_instance.get_mut(&instance) else {
            return Default::default();
        };
        let by_time =
            refunds.iter().map(|refund| (admitted_at(refund), f64::from(refund.requests)));
        let current: RefundsByTime = by_time.filter(|(at, _)| *at >= report.counted_from).collect();
        let earlier = std::mem::replace(&mut report.refunds, current.clone());
        let total = |refunds: &RefundsByTime| refunds.iter().map(|(_, count)| count).sum::<f64>();
        let added = (total(&current) - total(&earlier)).max(0.0);
        self.recent_requests = (self.recent_requests - added).max(0.0);
        (earlier, current)
    }

    /// Estimate of what the other entries have admitted since their last reports. It fades once they
    /// are silent for longer than usual: then they admit nothing, or this entry counts in their place.
    pub(super) fn estimated_unreported(&self, now: TimeMs) -> f64 {
        let silent_ms = now.since(self.last_update_at).saturating_sub(self.interval_ms as u64);
        decayed(self.recent_requests, silent_ms) / AVERAGING_MS * self.interval_ms
    }

    /// Adds the time between two reports of an entry to the mean.
    fn record_interval(&mut self, interval_ms: u64) {
        if interval_ms <= MAX_REPORT_INTERVAL_MS {
            let change = interval_ms as f64 - self.interval_ms;
            self.interval_ms =
                (self.interval_ms + change / MEMORY_REPORTS).max(MIN_REPORT_INTERVAL_MS);
        }
    }
}

fn decayed(average: f64, elapsed_ms: u64) -> f64 {
    average * (-(elapsed_ms as f64) / AVERAGING_MS).exp()
}
