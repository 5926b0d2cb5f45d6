use crate::prelude::*;

/// Measures how far the requests of a workspace are ahead of its rate (token bucket).
///
/// As long as they are little ahead, a window holds about as many requests in each of its parts, and an
/// entry that knows nothing of it may take them to leave it evenly.
#[derive(Debug, Clone, Copy)]
pub(super) struct SurgeMeter {
    ahead: f64,
    at: TimeMs,
}

impl SurgeMeter {
    /// No requests yet.
    pub(super) fn open(now: TimeMs) -> SurgeMeter {
        SurgeMeter { ahead: 0.0, at: now }
    }

    /// Counts requests; fewer than none if some were refunded.
    pub(super) fn record(&mut self, now: TimeMs, requests: f64, rate_per_s: f64) {
        self.ahead = (self.ahead(now, rate_per_s) + requests).max(0.0);
        self.at = now;
    }

    /// How many requests came beyond the rate.
    pub(super) fn ahead(&self, now: TimeMs, rate_per_s: f64) -> f64 {
        (self.ahead - now.since(self.at) as f64 / 1_000.0 * rate_per_s).max(0.0)
    }
}
