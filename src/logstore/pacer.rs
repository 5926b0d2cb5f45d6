use crate::prelude::*;

/// Appends that may be sent at once after a quiet time, in milliseconds of this entry's rate.
const BURST_MS: u64 = 500;

/// Shares the log's append rate fairly between entries: each takes its part of the fleet's
/// budget. Without it a busy fleet overruns the log, whose refusals then look like an outage.
///
/// Each append reserves a time of its own, in the order of asking: no shard is passed by. While
/// it waits its batch grows, so that throughput is kept and latency rises instead.
#[value]
pub struct Pacer {
    fleet_per_s: u64,
    entries: u64,
    /// When the next append may be sent, in microseconds.
    next_us: u64,
}

impl Pacer {
    /// A pacer that has been quiet.
    pub fn new(fleet_per_s: u64) -> Pacer {
        Pacer { fleet_per_s, entries: 1, next_us: 0 }
    }

    /// Sets how many entries share the budget.
    pub fn share_between(&mut self, entries: usize) {
        self.entries = entries.max(1) as u64;
    }

    /// Reserves the next append; returns how long to wait for it, in milliseconds.
    pub fn reserve(&mut self, now: TimeMs) -> u64 {
        let now_us = now.0 * 1_000;
        let gap_us = 1_000_000 * self.entries / self.fleet_per_s.max(1);
        let slot_us = self.next_us.max(now_us.saturating_sub(BURST_MS * 1_000));
        self.next_us = slot_us + gap_us;
        slot_us.saturating_sub(now_us).div_ceil(1_000)
    }
}
