//! One hub's count of a workspace's requests in the sliding window. Most workspaces stay well below their
//! rate, while one at a time sends many times its own. Requests arrive in bursts, and at few entries.
//!
//! One hub decides for all entries, and tells the other hubs by gossip what it has admitted. Several decide
//! for a short time only, while another takes over; each then counts what the others have reported, and
//! assumes that they go on at the rate they had. A hub that is cut off keeps to a part of the tolerance.
//!
//! A hub that has just started does not know what was admitted before. It assumes a full window that
//! empties evenly, or, if there may have been a surge just before, not before all of it has left.

use super::peer_reports::PeerReports;
use super::program_stats::ProgramStats;
use super::programs::{RunningPrograms, WindowLimit};
use super::slots::{SLOT_MS, Slot, Slots};
use super::surge_meter::SurgeMeter;
use super::usage_totals::UsageTotals;
use super::{Claim, Grant, PeerCounts, RateLimit, RefundCount, WindowUsage};
use crate::prelude::*;

/// How long an entry that does not know the window collects the reports of other entries before it
/// adopts the largest. This covers two messages of each; the largest counts because an entry that
/// is out of touch with some of the others reports too little.
const REPORT_COLLECTION_MS: u64 = 400;

/// Fraction of the limit above which a window is crowded: requests are refused, or soon will be.
const CROWDED_FRACTION: f64 = 0.8;

/// One entry's count of a workspace's requests in the sliding window.
#[derive(Debug, Clone)]
pub struct SharedWindow {
    rate_limit: RateLimit,
    slots: Slots,
    /// Since when this entry has counted what all entries admit.
    observed_since: TimeMs,
    /// Whether the content of the window was adopted from the reports of other entries.
    report_adopted: bool,
    /// Time of the first report on the window's content by another entry, and the largest count
    /// reported.
    largest_report: Option<(TimeMs, f64)>,
    /// What this process instance has admitted.
    admitted: UsageTotals,
    /// What the other entries have reported.
    peer_reports: PeerReports,
    programs: RunningPrograms,
    surge: SurgeMeter,
    /// Whether there may have been a surge just before this entry started.
    may_have_surged_before: bool,
}

impl SharedWindow {
    /// A window that is assumed to be full: an entry that starts can't know what was admitted
    /// before.
    pub fn open(now: TimeMs, rate_limit: RateLimit) -> SharedWindow {
        let mut slots = Slots::open(now, rate_limit.window.length_ms);
        slots.assume_before(now, rate_limit.max_in_window());
        SharedWindow {
            rate_limit,
            slots,
            observed_since: now,
            report_adopted: false,
            largest_report: None,
            admitted: UsageTotals::default(),
            peer_reports: PeerReports::open(now),
            programs: RunningPrograms::new(now),
            surge: SurgeMeter::open(now),
            may_have_surged_before: true,
        }
    }

    /// The limit in force.
    pub fn rate_limit(&self) -> RateLimit {
        self.rate_limit
    }

    /// Replaces the limit. A window that is not known is assumed to be full under the new one too, as
    /// the others may have had it before.
    pub fn set_rate_limit(&mut self, now: TimeMs, rate_limit: RateLimit) {
        let was_allowed = self.rate_limit.max_in_window();
        self.rate_limit = rate_limit;
        self.slots.advance(now);
        if !self.is_known(now) && rate_limit.max_in_window() > was_allowed {
            self.slots.assume_before(self.observed_since, rate_limit.max_in_window());
        }
    }

    /// Admits a request, or returns in how many milliseconds there may be room for it. `all_stats`
    /// holds the statistics of the programs of all workspaces.
    pub fn try_admit(
        &mut self,
        now: TimeMs,
        peer_counts: PeerCounts,
        claim: Claim,
        all_stats: &ProgramStats,
    ) -> Result<Grant, u64> {
        if self.rate_limit.rate_per_s <= 0.0 {
            return Ok(Grant { admitted_at: now, counted: false, booked_ms: None });
        }
        self.slots.advance(now);
        let excess = match peer_counts.hears_half() {
            true => {
                let unreported = self.peer_reports.estimated_unreported(now);
                let limit = self.limit_for(claim, peer_counts, all_stats);
                self.slots.total().total() + unreported + 1.0 - limit
            }
            false => self.slots.total().own + 1.0 - peer_counts.share_alone(self.rate_limit),
        };
        if excess > 0.0 {
            return Err(self.slots.freed_after_ms(now, excess));
        }
        if !self.is_known(now) && !self.may_admit_unknown(peer_counts) {
            return Err(self.known_at().since(now).max(1));
        }
        let booked_ms = match claim {
            Claim::StartsProgram { duration_ms } => {
                Some(self.book_program(now, duration_ms, peer_counts, all_stats)?)
            }
            Claim::ContinuesProgram | Claim::Call => None,
        };
        let grant = Grant { admitted_at: now, counted: true, booked_ms };
        self.slots.add(Slot { own: 1.0, ..Slot::default() });
        self.admitted.add(grant);
        self.surge.record(now, 1.0, self.rate_limit.rate_per_s);
        self.programs.record_requests(now, 1.0, self.is_crowded());
        Ok(grant)
    }

    /// Whether a request may be admitted although it is not known what the window holds. After a surge,
    /// all that was admitted before this entry started may have come just before, and then stays in the
    /// window as long as what is admitted now. An entry that hears few of the others may have used its
    /// share already, before it was restarted.
    fn may_admit_unknown(&self, peer_counts: PeerCounts) -> bool {
        let Slot { own, others, .. } = self.slots.total();
        let is_tolerated = own + others + 1.0 <= self.rate_limit.tolerance_unknown();
        peer_counts.hears_half() && (!self.may_have_surged_before || is_tolerated)
    }

    /// Sets whether there may have been a surge just before this entry started.
    pub fn set_surged_before(&mut self, may_have_surged: bool) {
        self.may_have_surged_before = may_have_surged;
    }

    /// Whether the workspace sends a surge: its requests are so far ahead of its rate that the window
    /// would not empty evenly.
    pub fn is_surge(&self, now: TimeMs) -> bool {
        let ahead = self.surge.ahead(now, self.rate_limit.rate_per_s);
        self.rate_limit.rate_per_s > 0.0 && ahead + 1.0 > self.rate_limit.tolerance_uneven()
    }

    /// The part of the limit up to which a request is admitted. Where a start is admitted by the
    /// forecast, that keeps room for what running programs need; a window too small for it reserves
    /// a part of the limit instead.
    fn limit_for(&self, claim: Claim, peer_counts: PeerCounts, all_stats: &ProgramStats) -> f64 {
        let limit = peer_counts.limit_together(self.rate_limit);
        match self.programs.is_forecast_used(limit, all_stats) {
            true => limit,
            false => limit * claim.limit_fraction(),
        }
    }

    /// Books the time of a program, or returns in how many milliseconds it may start.
    fn book_program(
        &mut self,
        now: TimeMs,
        duration_ms: u64,
        peer_counts: PeerCounts,
        all_stats: &ProgramStats,
    ) -> Result<u64, u64> {
        let required_ms = self.programs.required_ms(duration_ms);
        if peer_counts.hears_half() {
            let limit = peer_counts.limit_together(self.rate_limit);
            let window_limit = WindowLimit { limit, window_ms: self.rate_limit.window.length_ms };
            let remaining = |in_ms| self.slots.remaining_after(in_ms);
            match self.programs.start_delay_ms(now, required_ms, window_limit, all_stats, remaining)
            {
                0 => {}
                start_delay_ms => return Err(start_delay_ms),
            }
        }
        self.programs.start(now, required_ms);
        Ok(required_ms)
    }

    fn is_crowded(&self) -> bool {
        self.slots.total().total() > self.rate_limit.max_in_window() * CROWDED_FRACTION
    }

    /// Refunds a request that has not run and will not run. It is taken from the slot in which it was
    /// admitted: if it stayed there, it would leave the window while the refund is still in it, and
    /// one request too many would be admitted.
    pub fn refund(&mut self, now: TimeMs, grant: Grant) {
        if !grant.counted {
            return;
        }
        self.slots.advance(now);
        let refunded = Slot { own: -1.0, refunded: 1.0, ..Slot::default() };
        self.slots.add_at(grant.admitted_at, refunded);
        self.surge.record(now, -1.0, self.rate_limit.rate_per_s);
        self.admitted.cancel_program(grant);
        if let Some(booked_ms) = grant.booked_ms {
            self.programs.cancel(booked_ms);
        }
    }

    /// The refunds of this entry's requests that are still in the window, by when the requests were
    /// admitted.
    pub fn refunds(&mut self, now: TimeMs) -> Vec<RefundCount> {
        self.slots.advance(now);
        self.slots.refunds()
    }

    /// Returns the observations of programs since the last call.
    pub fn take_new_stats(&mut self) -> ProgramStats {
        self.programs.take_new_stats()
    }

    /// What this process instance has admitted, with the requests refunded since.
    pub fn admitted(&self) -> UsageTotals {
        self.admitted
    }

    /// Requests of all entries in the window, if this entry knows.
    pub fn in_window(&mut self, now: TimeMs) -> Option<f64> {
        self.slots.advance(now);
        self.is_known(now).then(|| self.slots.total().total())
    }

    /// Records that this entry does not hear the others: a window that it does not know yet begins to be
    /// observed only when it does, and may be full until then.
    pub fn lose_contact(&mut self, now: TimeMs) {
        if !self.is_known(now) {
            self.observed_since = now;
            self.slots.advance(now);
            self.slots.assume_before(now, self.rate_limit.max_in_window());
        }
    }

    /// Whether this entry knows what all entries have admitted in the window.
    pub fn is_known(&self, now: TimeMs) -> bool {
        self.report_adopted || now >= self.known_at()
    }

    /// When this entry has observed a whole window itself.
    fn known_at(&self) -> TimeMs {
        self.observed_since.plus(self.rate_limit.window.length_ms)
    }

    /// What the window holds, after removing what has left it.
    pub fn usage(&mut self, now: TimeMs) -> WindowUsage {
        self.slots.advance(now);
        let Slot { own, others, assumed, .. } = self.slots.total();
        WindowUsage {
            own,
            others,
            assumed,
            limit: self.rate_limit.max_in_window(),
            is_known: self.is_known(now),
        }
    }

    /// Merges the report of another entry that knows the window: the requests of all entries in it.
    pub fn merge(&mut self, now: TimeMs, in_window: f64) {
        self.slots.advance(now);
        if self.is_known(now) {
            return;
        }
        let (since, largest) = self.largest_report.unwrap_or((now, 0.0));
        let largest = in_window.max(largest);
        self.largest_report = Some((since, largest));
        if now.since(since) < REPORT_COLLECTION_MS {
            return;
        }
        self.report_adopted = true;
        let Slot { own, others, .. } = self.slots.total();
        let unseen = (largest - own - others).max(0.0);
        self.slots.clear_assumed();
        // They may all have been admitted just now.
        self.slots.add(Slot { assumed: unseen, ..Slot::default() });
    }

    /// Applies the totals of the process instance `instance` of another entry that had been running
    /// before this entry received its messages. The first totals become the baseline and are not
    /// counted: it is not known when those requests were admitted. A window that is not known yet
    /// begins to be observed only now.
    pub fn record_baseline(&mut self, now: TimeMs, instance: u64, totals: UsageTotals) {
        match self.peer_reports.contains(instance) {
            true => self.apply_usage(now, instance, totals),
            false => {
                self.lose_contact(now);
                self.peer_reports.record_baseline(now, instance, totals);
            }
        }
    }

    /// Applies the totals of the process instance `instance` of another entry, and counts what is
    /// new.
    pub fn apply_usage(&mut self, now: TimeMs, instance: u64, totals: UsageTotals) {
        self.slots.advance(now);
        let delta = self.peer_reports.record(now, instance, totals);
        self.slots.add(Slot { others: delta.requests, ..Slot::default() });
        self.surge.record(now, delta.requests, self.rate_limit.rate_per_s);
        self.programs.apply_remote(now, &delta);
        self.programs.record_requests(now, delta.requests, self.is_crowded());
    }

    /// Applies which of its requests another entry has refunded, of those still in the window.
    pub fn apply_refunds(&mut self, now: TimeMs, instance: u64, refunds: &[RefundCount]) {
        self.slots.advance(now);
        let newest_at = self.slots.newest_at();
        let admitted_at =
            |refund: &RefundCount| newest_at.minus(u64::from(refund.age_slots) * SLOT_MS);
        let (earlier, current) = self.peer_reports.record_refunds(instance, refunds, admitted_at);
        for (at, requests) in earlier {
            self.slots.add_at(at, Slot { others: requests, ..Slot::default() });
        }
        for (at, requests) in current {
            self.slots.add_at(at, Slot { others: -requests, ..Slot::default() });
        }
    }
}
