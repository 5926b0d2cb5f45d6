use crate::prelude::*;

/// Shares the log's append rate fairly between entries: each takes its part of the fleet's
/// budget. Without it a busy fleet overruns the log, whose refusals then look like an outage.
///
/// While an append waits for its turn its batch grows, so that throughput is kept and latency
/// rises instead.
#[value]
pub struct Pacer {
    fleet_per_s: u64,
    entries: u64,
    tokens_milli: u64,
    refilled: TimeMs,
}

impl Pacer {
    /// A pacer with a full second of its share.
    pub fn new(fleet_per_s: u64, now: TimeMs) -> Pacer {
        let tokens_milli = fleet_per_s * 1_000;
        Pacer { fleet_per_s, entries: 1, tokens_milli, refilled: now }
    }

    /// Sets how many entries share the budget.
    pub fn share_between(&mut self, entries: usize) {
        self.entries = entries.max(1) as u64;
    }

    /// Takes one append, or says how long to wait for it.
    pub fn take(&mut self, now: TimeMs) -> Result<(), u64> {
        let rate_milli_per_ms = (self.fleet_per_s / self.entries).max(1);
        let refill = now.since(self.refilled) * rate_milli_per_ms;
        self.tokens_milli = (self.tokens_milli + refill).min(rate_milli_per_ms * 1_000);
        self.refilled = now;
        if self.tokens_milli >= 1_000 {
            self.tokens_milli -= 1_000;
            return Ok(());
        }
        Err((1_000 - self.tokens_milli).div_ceil(rate_milli_per_ms))
    }
}
