//! What is assumed of an endpoint of which nothing has been measured.

/// Prompt tokens that an engine prefills per millisecond.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 168.0;

/// Estimated wait at an endpoint without a free slot, for each request in excess of its slots.
pub(crate) const WAIT_PER_REQUEST_MS: f64 = 10.0;

/// Estimated slowdown by concurrent requests when all slots are taken; proportionally less
/// otherwise.
pub(crate) const FULL_BATCH_SLOWDOWN_MS: f64 = 20.0;

/// Events of a turn.
pub(super) const EVENTS: f64 = 20.0;

/// Time per event at an idle endpoint. It is the same for all endpoints as long as nothing is
/// measured, so that it decides nothing then.
pub(super) const IDLE_EVENT_MS: f64 = 1.0;
