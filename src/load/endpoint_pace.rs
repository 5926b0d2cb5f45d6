use std::collections::HashMap;

use super::PaceTotals;
use super::service_pace::ServicePace;
use crate::prelude::*;

/// Samples that count most in an endpoint's pace, so that a change shows within about this many.
const MEMORY_SAMPLES: f64 = 10.0;

/// Samples that pace 1 counts like.
const PRIOR_SAMPLES: f64 = 1.0;

/// Time in which samples lose half of their weight. An endpoint that was slow gets few requests and
/// so few samples; without this, it would be avoided long after it has recovered.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Bounds of a pace: a stall of this process must not exclude an endpoint.
const PACE_RANGE: (f64, f64) = (0.25, 4.0);

/// Weight in samples of the first totals of a process instance, whose age is unknown.
const FIRST_TOTALS_SAMPLES: f64 = 1.0;

/// Totals of a process instance that were not repeated for this long are dropped.
const KEEP_TOTALS_MS: u64 = 60_000;

/// A change of the pace by more than this factor, in either direction, is reported.
const REPORTED_CHANGE: f64 = 1.25;

/// What is known of the pace of one endpoint.
#[derive(Debug)]
pub(super) struct EndpointPace {
    pub(super) service: Arc<str>,
    /// What this process has measured.
    pub(super) own: PaceTotals,
    /// Events, their times, and the sum of the load fractions at which they were sent, reduced by
    /// age.
    events: f64,
    events_ms: f64,
    events_at_load: f64,
    updated_at: TimeMs,
    /// The last totals from each process instance of another entry.
    heard: HashMap<u64, HeardTotals>,
    reported_pace: f64,
}

#[derive(Debug, Clone, Copy)]
struct HeardTotals {
    totals: PaceTotals,
    heard_at: TimeMs,
}

impl EndpointPace {
    pub(super) fn open(now: TimeMs, service: Arc<str>) -> EndpointPace {
        EndpointPace {
            service,
            own: PaceTotals::default(),
            events: 0.0,
            events_ms: 0.0,
            events_at_load: 0.0,
            updated_at: now,
            heard: HashMap::new(),
            reported_pace: 1.0,
        }
    }

    /// Time per event, relative to what the service's mean is at the same load.
    pub(super) fn pace(&self, now: TimeMs, service: &ServicePace) -> f64 {
        let (idle_ms, load_ms) = service.event_ms_line();
        let kept = self.kept(now);
        let expected_ms = kept * (self.events * idle_ms + self.events_at_load * load_ms);
        let prior_ms = PRIOR_SAMPLES * service.mean_events() * service.mean_event_ms();
        // The fits can't be negative, but all of them may be zero.
        if expected_ms + prior_ms <= 0.0 {
            return 1.0;
        }
        let pace = (kept * self.events_ms + prior_ms) / (expected_ms + prior_ms);
        pace.clamp(PACE_RANGE.0, PACE_RANGE.1)
    }

    /// Adds measured events, of which the older ones then count less.
    pub(super) fn add(
        &mut self,
        now: TimeMs,
        events: f64,
        events_ms: f64,
        load_fraction: f64,
        service: &ServicePace,
    ) {
        let (samples, keep_one) = (events / service.mean_events(), 1.0 - 1.0 / MEMORY_SAMPLES);
        if samples <= 0.0 {
            return;
        }
        let keep = keep_one.powf(samples);
        let kept = self.kept(now) * keep;
        // Totals of several turns count as if the turns had been added one after the other.
        let weight = (1.0 - keep) / (samples * (1.0 - keep_one));
        self.events = self.events * kept + weight * events;
        self.events_ms = self.events_ms * kept + weight * events_ms;
        self.events_at_load = self.events_at_load * kept + weight * events * load_fraction;
        self.updated_at = self.updated_at.max(now);
    }

    /// Adds what the process instance of another entry has measured since its last totals. A
    /// repeated or outdated message adds nothing.
    pub(super) fn merge(
        &mut self,
        now: TimeMs,
        instance: u64,
        totals: PaceTotals,
        service: &ServicePace,
    ) {
        self.heard.retain(|_, heard| now.since(heard.heard_at) < KEEP_TOTALS_MS);
        let last = self.heard.get(&instance).map(|heard| heard.totals);
        // Totals that have dropped by half or more count from a restart of the endpoint which the
        // other entry has noticed later than this one; slightly lower ones are outdated.
        let last = last.filter(|last| totals.events > last.events / 2);
        if last.is_some_and(|last| totals.events < last.events) {
            return;
        }
        self.heard.insert(instance, HeardTotals { totals, heard_at: now });
        let since = last.unwrap_or_default();
        let events = (totals.events - since.events) as f64;
        if events <= 0.0 {
            return;
        }
        let events_ms = totals.events_ms.saturating_sub(since.events_ms) as f64;
        let scale = match last {
            Some(_) => 1.0,
            None => (FIRST_TOTALS_SAMPLES * service.mean_events() / events).min(1.0),
        };
        let load_fraction = service.mean_load_fraction();
        self.add(now, events * scale, events_ms * scale, load_fraction, service);
    }

    /// The pace reported last and the current one, if they differ enough to be reported.
    pub(super) fn take_change(&mut self, now: TimeMs, service: &ServicePace) -> Option<(f64, f64)> {
        let pace = self.pace(now, service);
        let ratio = pace / self.reported_pace;
        let changed = !(1.0 / REPORTED_CHANGE..=REPORTED_CHANGE).contains(&ratio);
        changed.then(|| (std::mem::replace(&mut self.reported_pace, pace), pace))
    }

    /// The part of the sums' weight that is left.
    fn kept(&self, now: TimeMs) -> f64 {
        0.5_f64.powf(now.since(self.updated_at) as f64 / HALF_LIFE_MS)
    }
}
