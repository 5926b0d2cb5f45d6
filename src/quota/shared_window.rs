//! A workspace's rate limit, shared by all entries. Most workspaces stay well below their rate,
//! while one at a time sends many times its own. Requests arrive in bursts, and at few entries.
//! Below the limit no request may wait for a message, so each entry admits from its own count of
//! the window and reports by gossip how much it has admitted. Between two messages it assumes that
//! the other entries continue at the rate they had. An entry that is cut off keeps to its own share
//! of the limit.
//!
//! An entry that has just started does not know what was admitted before. It assumes a full window
//! and refuses callers for some seconds after each restart, until entries that know the window have
//! reported its content.

use std::collections::{HashMap, VecDeque};

use super::program_stats::ProgramStats;
use super::programs::{RunningPrograms, WindowLimit};
use super::usage_totals::UsageTotals;
use super::{Claim, Grant, RefundCount, WindowUsage};
use crate::prelude::*;

/// Length of the slots in which the window is counted. It equals the time between two messages;
/// finer slots would not help, because the reports of other entries arrive with that delay anyway.
const SLOT_MS: u64 = 100;

/// Time constant of the moving average of the other entries' rate: five messages.
const AVERAGING_MS: f64 = 500.0;

/// Shortest time between two reports of an entry. The others are assumed to have continued at their
/// average rate since their last report.
const MIN_REPORT_INTERVAL_MS: f64 = 100.0;

/// A longer pause is no interval: an entry that admits nothing repeats its count rarely.
const MAX_REPORT_INTERVAL_MS: u64 = 800;

/// Reports that count most in the mean interval.
const MEMORY_REPORTS: f64 = 20.0;

/// How long an entry that does not know the window collects the reports of other entries before it
/// adopts the largest. This covers two messages of each; the largest counts because an entry that
/// is out of touch with some of the others reports too little.
const REPORT_COLLECTION_MS: u64 = 400;

/// Fraction of the limit above which a window is crowded: requests are refused, or soon will be.
const CROWDED_FRACTION: f64 = 0.8;

/// How many entries share a limit, and how many of them this entry receives messages from.
#[key]
pub struct PeerCounts {
    /// Entries that share the limit, including this one.
    pub entries: u32,
    /// Entries whose messages arrive, including this one.
    pub heard: u32,
}

impl PeerCounts {
    /// Whether messages arrive from at least half of the entries, which is enough to rely on them.
    pub fn hears_half(self) -> bool {
        self.heard * 2 >= self.entries
    }

    /// The fraction of the limit that the entries in contact may use. An entry that is cut off
    /// continues with its own share; if the others used the whole limit, both sides together would
    /// exceed it.
    fn heard_fraction(self) -> f64 {
        f64::from(self.heard) / f64::from(self.entries.max(1))
    }
}

/// A workspace's limit. Any window may hold the rate times the window's length, plus the burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests per second; zero means no limit.
    pub rate_per_s: f64,
    /// Requests allowed beyond the rate in a window.
    pub burst: f64,
    /// Length of the window.
    pub window_ms: u64,
}

impl RateLimit {
    fn max_in_window(&self) -> f64 {
        self.rate_per_s * self.window_ms as f64 / 1_000.0 + self.burst
    }
}

/// The requests counted in one slot of the window, or in all of them together.
#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    own: f64,
    others: f64,
    /// Requests assumed to have been admitted before this entry started.
    assumed: f64,
    /// Requests of this entry that were taken from `own` again, as they have not run.
    refunded: f64,
}

impl Slot {
    fn total(&self) -> f64 {
        self.own + self.others + self.assumed
    }

    fn add(&mut self, added: &Slot) {
        self.own += added.own;
        self.others += added.others;
        self.assumed += added.assumed;
        self.refunded += added.refunded;
    }
}

/// One entry's count of a workspace's requests in the sliding window.
#[derive(Debug, Clone)]
pub struct SharedWindow {
    rate_limit: RateLimit,
    /// The newest slot is last.
    slots: VecDeque<Slot>,
    newest_slot_at: TimeMs,
    /// Sum of all slots.
    window_total: Slot,
    /// From this time on, the entry has observed the whole window itself.
    fully_observed_at: TimeMs,
    /// Whether the content of the window was adopted from the reports of other entries.
    report_adopted: bool,
    /// Time of the first report on the window's content by another entry, and the largest count
    /// reported.
    largest_report: Option<(TimeMs, f64)>,
    /// What this process instance has admitted.
    admitted: UsageTotals,
    /// The newest totals of the other entries and when they came, by process instance.
    peer_totals: HashMap<u64, (UsageTotals, TimeMs)>,
    /// From when on the requests of another process instance are counted, if not all of them are.
    counted_from: HashMap<u64, TimeMs>,
    /// The refunds that other process instances have reported, by when the requests were admitted.
    peer_refunds: HashMap<u64, Vec<(TimeMs, f64)>>,
    /// Mean time between two reports of an entry. With many workspaces a count is not in every
    /// message.
    report_interval_ms: f64,
    programs: RunningPrograms,
    /// Requests admitted by other entries, decayed exponentially.
    others_recent: f64,
    last_peer_update_at: TimeMs,
}

impl SharedWindow {
    /// A window that is assumed to be full: an entry that starts can't know what was admitted
    /// before.
    pub fn open(now: TimeMs, rate_limit: RateLimit) -> SharedWindow {
        let count = (rate_limit.window_ms / SLOT_MS).max(1) as usize;
        let each = rate_limit.max_in_window() / count as f64;
        SharedWindow {
            rate_limit,
            slots: VecDeque::from(vec![Slot { assumed: each, ..Slot::default() }; count]),
            newest_slot_at: now,
            window_total: Slot { assumed: each * count as f64, ..Slot::default() },
            fully_observed_at: now.plus(rate_limit.window_ms),
            report_adopted: false,
            largest_report: None,
            admitted: UsageTotals::default(),
            peer_totals: HashMap::new(),
            counted_from: HashMap::new(),
            peer_refunds: HashMap::new(),
            report_interval_ms: MIN_REPORT_INTERVAL_MS,
            programs: RunningPrograms::new(now),
            others_recent: 0.0,
            last_peer_update_at: now,
        }
    }

    /// The limit in force.
    pub fn rate_limit(&self) -> RateLimit {
        self.rate_limit
    }

    /// Replaces the limit.
    pub fn set_rate_limit(&mut self, rate_limit: RateLimit) {
        self.rate_limit = rate_limit;
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
        self.advance(now);
        let limit = self.limit_for(claim, peer_counts, all_stats);
        let excess = match peer_counts.hears_half() {
            true => {
                self.window_total.total() + self.estimated_since_last_message() + 1.0
                    - limit * peer_counts.heard_fraction()
            }
            false => self.window_total.own + 1.0 - limit / f64::from(peer_counts.entries),
        };
        if excess > 0.0 {
            return Err(self.freed_after_ms(now, excess));
        }
        let booked_ms = match claim {
            Claim::StartsProgram { duration_ms } => {
                Some(self.book_program(now, duration_ms, peer_counts, all_stats)?)
            }
            Claim::ContinuesProgram | Claim::Call => None,
        };
        let grant = Grant { admitted_at: now, counted: true, booked_ms };
        self.add(Slot { own: 1.0, ..Slot::default() });
        self.admitted.add(grant);
        self.programs.record_requests(now, 1.0, self.is_crowded());
        Ok(grant)
    }

    /// The part of the limit up to which a request is admitted. Where a start is admitted by the
    /// forecast, that keeps room for what running programs need; a window too small for it reserves
    /// a part of the limit instead.
    fn limit_for(&self, claim: Claim, peer_counts: PeerCounts, all_stats: &ProgramStats) -> f64 {
        let limit = self.rate_limit.max_in_window();
        let usable = limit * peer_counts.heard_fraction();
        match self.programs.is_forecast_used(usable, all_stats) {
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
            let limit = self.rate_limit.max_in_window() * peer_counts.heard_fraction();
            let window_limit = WindowLimit { limit, window_ms: self.rate_limit.window_ms };
            let remaining = |in_ms| self.remaining_after(in_ms);
            match self.programs.start_delay_ms(now, required_ms, window_limit, all_stats, remaining)
            {
                0 => {}
                start_delay_ms => return Err(start_delay_ms),
            }
        }
        self.programs.start(now, required_ms);
        Ok(required_ms)
    }

    /// How many of the requests now in the window are still in it after `in_ms`.
    fn remaining_after(&self, in_ms: u64) -> f64 {
        self.slots.iter().skip((in_ms / SLOT_MS) as usize).map(Slot::total).sum()
    }

    fn is_crowded(&self) -> bool {
        self.window_total.total() > self.rate_limit.max_in_window() * CROWDED_FRACTION
    }

    /// Refunds a request that has not run and will not run. It is taken from the slot in which it was
    /// admitted: if it stayed there, it would leave the window while the refund is still in it, and
    /// one request too many would be admitted.
    pub fn refund(&mut self, now: TimeMs, grant: Grant) {
        if !grant.counted {
            return;
        }
        self.advance(now);
        let refunded = Slot { own: -1.0, refunded: 1.0, ..Slot::default() };
        self.add_at(grant.admitted_at, refunded);
        self.admitted.cancel_program(grant);
        if let Some(booked_ms) = grant.booked_ms {
            self.programs.cancel(booked_ms);
        }
    }

    /// The refunds of this entry's requests that are still in the window, by when the requests were
    /// admitted.
    pub fn refunds(&mut self, now: TimeMs) -> Vec<RefundCount> {
        self.advance(now);
        let by_age = self.slots.iter().rev().enumerate();
        let counts =
            by_age.filter(|(_, slot)| slot.refunded > 0.0).map(|(age, slot)| RefundCount {
                age_slots: u8::try_from(age).unwrap_or(u8::MAX),
                requests: slot.refunded as u32,
            });
        counts.collect()
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
        self.advance(now);
        self.is_known(now).then(|| self.window_total.total())
    }

    /// Whether this entry knows what all entries have admitted in the window.
    pub fn is_known(&self, now: TimeMs) -> bool {
        self.report_adopted || now >= self.fully_observed_at
    }

    /// What the window holds, after removing what has left it.
    pub fn usage(&mut self, now: TimeMs) -> WindowUsage {
        self.advance(now);
        WindowUsage {
            own: self.window_total.own,
            others: self.window_total.others,
            assumed: self.window_total.assumed,
            limit: self.rate_limit.max_in_window(),
            is_known: self.is_known(now),
        }
    }

    /// Merges the report of another entry that knows the window: the requests of all entries in it.
    pub fn merge(&mut self, now: TimeMs, in_window: f64) {
        self.advance(now);
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
        let unseen = (largest - self.window_total.own - self.window_total.others).max(0.0);
        let assumed_fraction = (unseen / self.window_total.assumed.max(1.0)).min(1.0);
        for slot in self.slots.iter_mut().chain([&mut self.window_total]) {
            slot.assumed *= assumed_fraction;
        }
    }

    /// Applies the totals of the process instance `instance` of another entry that had been running
    /// before this entry received its messages. The first totals become the baseline and are not
    /// counted: it is not known when those requests were admitted.
    pub fn record_baseline(&mut self, now: TimeMs, instance: u64, totals: UsageTotals) {
        match self.peer_totals.contains_key(&instance) {
            true => self.apply_usage(now, instance, totals),
            false => {
                self.peer_totals.insert(instance, (totals, now));
                self.counted_from.insert(instance, now);
            }
        }
    }

    /// Applies the totals of the process instance `instance` of another entry, and counts what is
    /// new.
    pub fn apply_usage(&mut self, now: TimeMs, instance: u64, totals: UsageTotals) {
        self.advance(now);
        let (earlier, reported_at) =
            self.peer_totals.insert(instance, (totals, now)).unwrap_or_default();
        self.record_report(now.since(reported_at));
        let delta = totals.delta_since(&earlier);
        self.others_recent *= (-(now.since(self.last_peer_update_at) as f64) / AVERAGING_MS).exp();
        self.last_peer_update_at = now;
        self.others_recent = (self.others_recent + delta.requests).max(0.0);
        self.add(Slot { others: delta.requests, ..Slot::default() });
        self.programs.apply_remote(now, &delta);
        self.programs.record_requests(now, delta.requests, self.is_crowded());
    }

    /// Applies which of its requests another entry has refunded, of those still in the window.
    pub fn apply_refunds(&mut self, now: TimeMs, instance: u64, refunds: &[RefundCount]) {
        self.advance(now);
        let earlier = self.peer_refunds.remove(&instance).unwrap_or_default();
        let counted_from = self.counted_from.get(&instance).copied().unwrap_or_default();
        let refunds = refunds.iter().filter_map(|refund| {
            let age_ms = u64::from(refund.age_slots) * SLOT_MS;
            let at = TimeMs(self.newest_slot_at.0.checked_sub(age_ms)?);
            (at >= counted_from).then_some((at, f64::from(refund.requests)))
        });
        let refunds: Vec<_> = refunds.collect();
        for (at, requests) in &earlier {
            self.add_at(*at, Slot { others: *requests, ..Slot::default() });
        }
        for (at, requests) in &refunds {
            self.add_at(*at, Slot { others: -requests, ..Slot::default() });
        }
        let total = |refunds: &[(TimeMs, f64)]| refunds.iter().map(|(_, requests)| requests).sum();
        let (earlier, current): (f64, f64) = (total(&earlier), total(&refunds));
        self.others_recent = (self.others_recent - (current - earlier).max(0.0)).max(0.0);
        if !refunds.is_empty() {
            self.peer_refunds.insert(instance, refunds);
        }
    }

    /// Adds the time between two reports of an entry to the mean.
    fn record_report(&mut self, interval_ms: u64) {
        if interval_ms <= MAX_REPORT_INTERVAL_MS {
            let change = interval_ms as f64 - self.report_interval_ms;
            self.report_interval_ms =
                (self.report_interval_ms + change / MEMORY_REPORTS).max(MIN_REPORT_INTERVAL_MS);
        }
    }

    fn add(&mut self, added: Slot) {
        self.add_at(self.newest_slot_at, added);
    }

    /// Adds to the slot of a time, unless that has left the window.
    fn add_at(&mut self, at: TimeMs, added: Slot) {
        let age_slots = self.newest_slot_at.since(at).div_ceil(SLOT_MS) as usize;
        let Some(newest) = self.slots.len().checked_sub(age_slots + 1) else {
            return;
        };
        for slot in self.slots.get_mut(newest).into_iter().chain([&mut self.window_total]) {
            slot.add(&added);
        }
    }

    /// Removes the slots that have left the window.
    fn advance(&mut self, now: TimeMs) {
        let elapsed_slots = now.since(self.newest_slot_at) / SLOT_MS;
        self.newest_slot_at = self.newest_slot_at.plus(elapsed_slots * SLOT_MS);
        for _ in 0..elapsed_slots.min(self.slots.len() as u64) {
            self.slots.pop_front();
            self.slots.push_back(Slot::default());
        }
        if elapsed_slots > 0 {
            self.window_total = Slot::default();
            self.slots.iter().for_each(|slot| self.window_total.add(slot));
        }
    }

    /// Estimate of what the other entries have admitted since their last reports.
    fn estimated_since_last_message(&self) -> f64 {
        self.others_recent / AVERAGING_MS * self.report_interval_ms
    }

    /// Time until at least `excess` requests have left the window.
    fn freed_after_ms(&self, now: TimeMs, excess: f64) -> u64 {
        let mut freed = 0.0;
        let slots = self.slots.iter().take_while(|slot| {
            let enough = freed >= excess;
            freed += slot.total();
            !enough
        });
        let slots = slots.count() as u64;
        (slots * SLOT_MS).saturating_sub(now.since(self.newest_slot_at)).max(1)
    }
}
