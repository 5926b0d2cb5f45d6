//! What endpoints report of their load, and how it corrects the number of requests in flight that
//! the entries count.
//!
//! A report and the count differ all the time: requests are on their way, and counts of other
//! entries arrive late. Only a difference that no value of the count around the time of the report
//! explains is a correction.

use super::count_history::CountHistory;
use crate::prelude::*;

/// A report that is older counts for nothing.
pub const MAX_REPORT_AGE_MS: u64 = 1_500;

/// How old the values of a report may be when the endpoint sends it.
const VALUE_AGE_MS: u64 = 100;

/// How long after a report the counts may still change because of requests that it includes: an
/// interval between two gossip messages, and the time limit of a poll.
const COUNT_LAG_MS: u64 = 300;

/// Requests that an endpoint queues for each of its slots. Endpoints do not announce their queue.
const QUEUE_PER_SLOT: u32 = 3;

/// What an endpoint reports of itself. Values that it left out, or that have another type than
/// expected, are `None`.
#[wire]
#[derive(Copy, Default)]
pub struct EndpointReport {
    /// Requests that it runs.
    pub running: Option<u32>,
    /// Requests that wait in its queue.
    pub waiting: Option<u32>,
    /// Tokens of its memory that are in use and cannot be evicted.
    pub used_tokens: Option<u64>,
    /// Tokens that its memory holds.
    pub total_tokens: Option<u64>,
    /// When its process started, by its own clock. Differs between process instances.
    pub born: Option<u64>,
}

impl EndpointReport {
    /// Requests that it runs or queues, if it reports both.
    pub fn requests(&self) -> Option<u32> {
        Some(self.running?.saturating_add(self.waiting?))
    }

    /// Whether the two are known to come from different process instances.
    fn is_of_other_process(&self, other: &EndpointReport) -> bool {
        self.born.is_some() && other.born.is_some() && self.born != other.born
    }

    /// Tokens of its memory that are free, if it reports its memory.
    pub fn free_tokens(&self) -> Option<u64> {
        let total = self.total_tokens.filter(|total| *total > 0)?;
        Some(total.saturating_sub(self.used_tokens?))
    }
}

/// How the number of requests in flight at an endpoint differs from what the entries count.
#[value]
#[derive(Copy, Default)]
pub enum Correction {
    /// The count explains what the endpoint reports.
    #[default]
    None,
    /// The endpoint has this many requests more.
    Raised(u32),
    /// The endpoint has this many requests fewer.
    Lowered(u32),
}

impl Correction {
    /// The corrected number of requests at an endpoint with this many slots, if entries count
    /// `count` of them. The correction is at most what the slots and the queue hold, and lowers the
    /// count no further than to `floor`.
    fn apply(self, count: u32, floor: u32, slots: u32) -> u32 {
        let capacity = slots.saturating_mul(1 + QUEUE_PER_SLOT);
        match self {
            Correction::None => count,
            Correction::Raised(by) => count.saturating_add(by).min(capacity.max(count)),
            Correction::Lowered(by) => count.saturating_sub(by.min(capacity)).max(floor.min(count)),
        }
    }

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Correction::None => "none",
            Correction::Raised(_) => "raised",
            Correction::Lowered(_) => "lowered",
        }
    }
}

/// What became of a report.
#[value]
#[derive(Copy)]
pub enum ReportOutcome {
    /// It is the endpoint's newest one.
    Recorded,
    /// It is the first one of another process instance. What was known of the previous instance is
    /// discarded.
    Restarted,
    /// It is ignored: it is too old, or the newest one was taken at about the same time or later.
    Ignored,
    /// The endpoint is not known.
    UnknownEndpoint,
}

/// A report and the time when the endpoint was asked for it.
#[value]
#[derive(Copy)]
struct TakenReport {
    report: EndpointReport,
    taken_at: TimeMs,
}

/// Requests by which a report was below all counts that could explain it.
#[value]
#[derive(Copy)]
struct Shortfall {
    requests: u32,
    taken_at: TimeMs,
}

/// The reports of one endpoint, and how they correct its number of requests in flight.
#[value]
pub struct ReportedLoad {
    counts: CountHistory,
    newest: Option<TakenReport>,
    /// The newest report, until it is compared with the counts.
    pending: Option<TakenReport>,
    /// How far the report compared last was below the counts, if it was.
    shortfall: Option<Shortfall>,
    correction: Correction,
    /// The correction that [`ReportedLoad::settle`] has returned last.
    returned: Correction,
    /// The number of requests in the report that the correction is derived from.
    reported_requests: u32,
    /// When this report was taken.
    corrected_as_of: TimeMs,
}

impl ReportedLoad {
    /// Before the first report of an endpoint at which `count` requests are in flight.
    pub fn open(now: TimeMs, count: u32) -> ReportedLoad {
        ReportedLoad {
            counts: CountHistory::start(now, count),
            newest: None,
            pending: None,
            shortfall: None,
            correction: Correction::None,
            returned: Correction::None,
            reported_requests: 0,
            corrected_as_of: TimeMs::default(),
        }
    }

    /// Records a change of the number of requests that the entries count.
    pub fn record_count(&mut self, now: TimeMs, count: u32) {
        self.counts.record(now, count);
    }

    /// Records a report for which the endpoint was asked at `taken_at`.
    pub fn record(
        &mut self,
        now: TimeMs,
        taken_at: TimeMs,
        report: EndpointReport,
    ) -> ReportOutcome {
        self.compare_pending(now);
        if now.since(taken_at) > MAX_REPORT_AGE_MS {
            return ReportOutcome::Ignored;
        }
        let restarted =
            self.newest.is_some_and(|newest| newest.report.is_of_other_process(&report));
        // The same report arrives in several gossip messages; and while two entries poll an
        // endpoint, their reports of the same moment are no independent evidence.
        let min_gap_ms = if restarted { 1 } else { COUNT_LAG_MS };
        if self.newest.is_some_and(|newest| taken_at < newest.taken_at.plus(min_gap_ms)) {
            return ReportOutcome::Ignored;
        }
        if restarted {
            (self.shortfall, self.correction) = (None, Correction::None);
        }
        let taken = TakenReport { report, taken_at };
        (self.newest, self.pending) = (Some(taken), Some(taken));
        match restarted {
            true => ReportOutcome::Restarted,
            false => ReportOutcome::Recorded,
        }
    }

    /// Compares the newest report with the counts, once all that it may explain have arrived.
    /// Returns the correction if it has changed since the last call.
    pub fn settle(&mut self, now: TimeMs) -> Option<Correction> {
        self.compare_pending(now);
        let before = std::mem::replace(&mut self.returned, self.correction);
        (before != self.correction).then_some(self.correction)
    }

    fn compare_pending(&mut self, now: TimeMs) {
        let due = |pending: &mut TakenReport| now.since(pending.taken_at) >= COUNT_LAG_MS;
        if let Some(taken) = self.pending.take_if(due) {
            self.correction = self.compare(taken);
            self.reported_requests = taken.report.requests().unwrap_or(0);
            self.corrected_as_of = taken.taken_at;
        }
    }

    fn compare(&mut self, taken: TakenReport) -> Correction {
        let previous = self.shortfall.take();
        let from = TimeMs(taken.taken_at.0.saturating_sub(VALUE_AGE_MS));
        let counts = self.counts.range(from, taken.taken_at.plus(COUNT_LAG_MS));
        let (Some(requests), Some((low, high))) = (taken.report.requests(), counts) else {
            return Correction::None;
        };
        if requests > high {
            return Correction::Raised(requests - high);
        }
        if requests >= low {
            return Correction::None;
        }
        let shortfall = Shortfall { requests: low - requests, taken_at: taken.taken_at };
        self.shortfall = Some(shortfall);
        let recent =
            |previous: &Shortfall| shortfall.taken_at.since(previous.taken_at) <= MAX_REPORT_AGE_MS;
        previous.filter(recent).map_or(Correction::None, |previous| {
            Correction::Lowered(shortfall.requests.min(previous.requests))
        })
    }

    /// The number of requests at an endpoint with this many slots, if entries count `count` of them
    /// and this entry has sent `own`. It is not lowered below these, nor below what was reported: the
    /// requests of a dead entry may be dropped from the count before the next report.
    pub fn corrected(&self, now: TimeMs, count: u32, own: u32, slots: u32) -> u32 {
        match now.since(self.corrected_as_of) <= MAX_REPORT_AGE_MS {
            true => self.correction.apply(count, own.max(self.reported_requests), slots),
            false => count,
        }
    }

    /// The newest report, unless it is too old.
    pub fn fresh(&self, now: TimeMs) -> Option<&EndpointReport> {
        let newest = self.newest.as_ref()?;
        (now.since(newest.taken_at) <= MAX_REPORT_AGE_MS).then_some(&newest.report)
    }
}
