use super::fit::{ForgettingMean, LinePrior, LinearFit};
use super::{CostMs, TurnSample, Work, prior};

/// Samples that count most in the estimates of a service: many, as its endpoints share them and
/// its load changes within seconds.
const MEMORY_SAMPLES: f64 = 200.0;

/// Samples that the assumptions count like.
const PRIOR_SAMPLES: f64 = 2.0;

/// The prompt length at which the assumed prefill time is exact, besides zero.
const PRIOR_PROMPT_TOKENS: f64 = 2_000.0;

/// What the endpoints of one service have in common. All times are those of an endpoint with
/// pace 1.
#[derive(Debug)]
pub(super) struct ServicePace {
    /// Time to the first event, by uncached prompt tokens.
    prefill_ms: LinearFit,
    /// Time per event, by the fraction of slots taken.
    event_ms: LinearFit,
    /// Events of a turn.
    events: ForgettingMean,
    /// The fraction of slots taken when a turn is sent.
    load_fraction: ForgettingMean,
}

impl Default for ServicePace {
    fn default() -> ServicePace {
        let prefill = LinePrior {
            intercept: 0.0,
            slope: 1.0 / prior::PREFILL_TOKENS_PER_MS,
            far_x: PRIOR_PROMPT_TOKENS,
            samples: PRIOR_SAMPLES,
        };
        let event = LinePrior {
            intercept: prior::IDLE_EVENT_MS,
            slope: prior::FULL_BATCH_SLOWDOWN_MS / prior::EVENTS,
            far_x: 1.0,
            samples: PRIOR_SAMPLES,
        };
        ServicePace {
            prefill_ms: LinearFit::open(prefill, MEMORY_SAMPLES),
            event_ms: LinearFit::open(event, MEMORY_SAMPLES),
            events: ForgettingMean::open(MEMORY_SAMPLES),
            load_fraction: ForgettingMean::open(MEMORY_SAMPLES),
        }
    }
}

impl ServicePace {
    /// Adds a turn of an endpoint whose pace, relative to the mean of all endpoints, is `pace`.
    pub(super) fn record(&mut self, sample: &TurnSample, pace: f64) {
        let first_event_ms = sample.first_event_ms as f64 / pace;
        if sample.work.has_free_slot() {
            self.prefill_ms.add(sample.work.uncached_tokens as f64, first_event_ms);
        }
        let load_fraction = sample.work.load_fraction();
        let stream_ms = sample.stream_ms as f64 / pace;
        if sample.timed_events > 0 {
            self.event_ms.add(load_fraction, stream_ms / sample.timed_events as f64);
        }
        self.load_fraction.add(load_fraction);
        self.events.add(sample.events as f64);
    }

    pub(super) fn prefill_ms_per_token(&self) -> f64 {
        self.prefill_ms.line().1
    }

    /// Intercept and slope of the time per event over the fraction of slots taken.
    pub(super) fn event_ms_line(&self) -> (f64, f64) {
        self.event_ms.line()
    }

    /// Time per event at the mean load.
    pub(super) fn mean_event_ms(&self) -> f64 {
        self.event_ms.value_at(self.mean_load_fraction())
    }

    pub(super) fn mean_load_fraction(&self) -> f64 {
        self.load_fraction.with_prior(0.0, PRIOR_SAMPLES)
    }

    pub(super) fn mean_events(&self) -> f64 {
        self.events.with_prior(prior::EVENTS, PRIOR_SAMPLES).max(1.0)
    }

    /// The cost of a turn at an endpoint with pace 1: the prefill of what is not cached, and the
    /// crowding at the endpoint. Crowding weighs as before anything was measured: with its measured
    /// weight, entries whose counts of each other's requests are outdated all chose the endpoint
    /// that seemed least loaded.
    pub(super) fn turn_cost_ms(&self, work: &Work) -> CostMs {
        let slots = f64::from(work.slots.max(1));
        let load = f64::from(work.load) + 1.0;
        let wait_ms = (load - slots).max(0.0) * prior::WAIT_PER_REQUEST_MS;
        // Counts the turn itself, so that of two idle endpoints the faster one is chosen.
        let batch_ms = (load / slots).min(1.0 + 1.0 / slots) * prior::FULL_BATCH_SLOWDOWN_MS;
        work.uncached_tokens as f64 * self.prefill_ms_per_token() + wait_ms + batch_ms
    }
}
