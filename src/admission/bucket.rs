use crate::prelude::*;

/// A thousandth of a call, so that small rates refill evenly.
const MILLI: u64 = 1_000;

/// A token bucket: at most `burst` calls at once and `rate` a second over time.
#[value]
pub struct TokenBucket {
    rate_per_s: u64,
    burst: u64,
    level_milli: u64,
    refilled: TimeMs,
}

impl TokenBucket {
    /// A full bucket.
    pub fn full(rate_per_s: u64, burst: u64, now: TimeMs) -> TokenBucket {
        TokenBucket { rate_per_s, burst, level_milli: burst * MILLI, refilled: now }
    }

    /// An empty bucket.
    pub fn empty(rate_per_s: u64, burst: u64, now: TimeMs) -> TokenBucket {
        TokenBucket { rate_per_s, burst, level_milli: 0, refilled: now }
    }

    /// Follows a change of the contract. The level never rises by it.
    pub fn set_limits(&mut self, rate_per_s: u64, burst: u64, now: TimeMs) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level_milli = self.level_milli.min(burst * MILLI);
    }

    /// Whole calls that it holds.
    pub fn level(&mut self, now: TimeMs) -> u64 {
        self.refill(now);
        self.level_milli / MILLI
    }

    /// Takes one call, or says after which time there will be one.
    pub fn try_take(&mut self, now: TimeMs) -> Result<(), u64> {
        self.refill(now);
        if self.level_milli >= MILLI {
            self.level_milli -= MILLI;
            return Ok(());
        }
        Err(self.wait_ms())
    }

    /// Takes up to `wanted` calls; returns how many.
    pub fn take_up_to(&mut self, wanted: u64, now: TimeMs) -> u64 {
        let taken = wanted.min(self.level(now));
        self.level_milli -= taken * MILLI;
        taken
    }

    /// Puts calls back that were taken and not used.
    pub fn put_back(&mut self, calls: u64) {
        self.level_milli = (self.level_milli + calls * MILLI).min(self.burst * MILLI);
    }

    /// Time until the next whole call, from the last refill.
    pub fn wait_ms(&self) -> u64 {
        match self.rate_per_s {
            0 => u64::MAX,
            rate => MILLI.saturating_sub(self.level_milli).div_ceil(rate),
        }
    }

    fn refill(&mut self, now: TimeMs) {
        let added = now.since(self.refilled) * self.rate_per_s;
        self.level_milli = (self.level_milli + added).min(self.burst * MILLI);
        self.refilled = now.max(self.refilled);
    }
}
