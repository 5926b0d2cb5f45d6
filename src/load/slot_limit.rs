use crate::prelude::*;

/// Time constant of the mean of the times to the first event: a few turns at one owner.
const AVERAGING_MS: f64 = 300.0;

/// Above this part of the target for the first event, too many requests wait at the endpoints.
const HIGH: f64 = 0.8;

/// Below this part of the target, more requests could run.
const LOW: f64 = 0.5;

/// A longer time counts like this part of the target: one turn that was stuck for seconds must not
/// hold the limit down for all.
const MAX_SAMPLE: f64 = 3.0;

/// How much the limit falls in a second while the time is too high, as a part of the slots. Fast,
/// as every program admitted meanwhile is late.
const DECREASE_PER_S: f64 = 0.6;

/// How much it rises in a second while the time is low.
const INCREASE_PER_S: f64 = 0.2;

/// Bounds of the limit as a part of the slots.
const RANGE: (f64, f64) = (0.6, 1.2);

/// Without a measurement for this long, the limit moves back to the number of slots.
const STALE_AFTER_MS: u64 = 1_000;

/// How many requests a service may have in flight so that turns begin within their routes'
/// targets, as a part of its slots (an adaptive concurrency limit).
///
/// Load: endpoints that differ, or slow down for a while. With as many requests as slots, turns
/// wait at the slow and crowded ones, and programs end late.
#[derive(Debug)]
pub struct SlotLimit {
    part: f64,
    /// Mean of the times to the first event, as a part of the target.
    first_event: f64,
    measured_at: TimeMs,
    updated_at: TimeMs,
}

impl SlotLimit {
    /// As many requests as slots.
    pub fn open(now: TimeMs) -> SlotLimit {
        SlotLimit { part: 1.0, first_event: LOW, measured_at: now, updated_at: now }
    }

    /// Records the time from sending a turn to its first event. Turns without a target (zero) say
    /// nothing about the limit.
    pub fn record(&mut self, now: TimeMs, first_event_ms: u64, target_ms: u64) {
        if target_ms == 0 {
            return;
        }
        let part = (first_event_ms as f64 / target_ms as f64).min(MAX_SAMPLE);
        let elapsed_ms = now.since(self.measured_at) as f64;
        // A sample counts at least as if some time had passed, as several come at once.
        let weight = 1.0 - (-(elapsed_ms.max(AVERAGING_MS / 10.0)) / AVERAGING_MS).exp();
        self.first_event += weight * (part - self.first_event);
        self.measured_at = now;
    }

    /// Brings the limit up to date, and returns it as a part of the slots.
    pub fn part(&mut self, now: TimeMs) -> f64 {
        self.part = self.part_at(now);
        self.updated_at = now;
        self.part
    }

    /// The limit as a part of the slots, as [`SlotLimit::part`] would return it now.
    pub fn part_at(&self, now: TimeMs) -> f64 {
        let elapsed_s = now.since(self.updated_at) as f64 / 1_000.0;
        if now.since(self.measured_at) > STALE_AFTER_MS {
            // All of the elapsed time counts, as nothing is decided while no program asks to start.
            let step = INCREASE_PER_S * elapsed_s;
            return self.part + (1.0 - self.part).clamp(-step, step);
        }
        let change = match self.first_event {
            first_event if first_event > HIGH => -DECREASE_PER_S,
            first_event if first_event < LOW => INCREASE_PER_S,
            _ => 0.0,
        };
        (self.part + change * elapsed_s.min(1.0)).clamp(RANGE.0, RANGE.1)
    }
}
