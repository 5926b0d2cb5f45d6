use crate::prelude::*;

/// Units per call. The level is kept in thousandths of a call, so that low rates refill evenly.
const MILLIS_PER_CALL: u64 = 1_000;

/// A token bucket that allows `burst` calls at once and `rate_per_s` calls per second over time.
#[value]
pub struct TokenBucket {
    rate_per_s: u64,
    burst: u64,
    level_milli: u64,
    refilled_at: TimeMs,
}

impl TokenBucket {
    /// Creates a bucket that holds `burst` calls.
    pub fn full(rate_per_s: u64, burst: u64, now: TimeMs) -> TokenBucket {
        TokenBucket { rate_per_s, burst, level_milli: burst * MILLIS_PER_CALL, refilled_at: now }
    }

    /// Creates a bucket that holds no calls.
    pub fn empty(rate_per_s: u64, burst: u64, now: TimeMs) -> TokenBucket {
        TokenBucket { rate_per_s, burst, level_milli: 0, refilled_at: now }
    }

    /// Changes rate and burst. The level is capped at the new burst and is never raised.
    pub fn set_limits(&mut self, rate_per_s: u64, burst: u64, now: TimeMs) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level_milli = self.level_milli.min(burst * MILLIS_PER_CALL);
    }

    /// Returns the number of whole calls available.
    pub fn level(&mut self, now: TimeMs) -> u64 {
        self.refill(now);
        self.level_milli / MILLIS_PER_CALL
    }

    /// Takes one call, or returns the time in milliseconds until one is available.
    pub fn try_take(&mut self, now: TimeMs) -> Result<(), u64> {
        self.refill(now);
        if self.level_milli >= MILLIS_PER_CALL {
            self.level_milli -= MILLIS_PER_CALL;
            return Ok(());
        }
        Err(self.wait_ms())
    }

    /// Takes up to `wanted` calls and returns the number taken.
    pub fn take_up_to(&mut self, wanted: u64, now: TimeMs) -> u64 {
        let taken = wanted.min(self.level(now));
        self.level_milli -= taken * MILLIS_PER_CALL;
        taken
    }

    /// Puts back calls that were taken but not used.
    pub fn refund(&mut self, calls: u64) {
        self.level_milli =
            (self.level_milli + calls * MILLIS_PER_CALL).min(self.burst * MILLIS_PER_CALL);
    }

    /// Returns the time in milliseconds from the last refill until a whole call is available.
    pub fn wait_ms(&self) -> u64 {
        match self.rate_per_s {
            0 => u64::MAX,
            rate => MILLIS_PER_CALL.saturating_sub(self.level_milli).div_ceil(rate),
        }
    }

    fn refill(&mut self, now: TimeMs) {
        let added = now.since(self.refilled_at) * self.rate_per_s;
        self.level_milli = (self.level_milli + added).min(self.burst * MILLIS_PER_CALL);
        self.refilled_at = now.max(self.refilled_at);
    }
}
