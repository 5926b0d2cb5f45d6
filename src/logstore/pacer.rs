use crate::prelude::*;

/// Size of the burst that may be sent after an idle period, in milliseconds of this entry's rate.
const BURST_MS: u64 = 500;

/// Limits this entry's appends to its share of the log's append rate, which is divided equally
/// among all entries. Without the limit, the entries under high load would together exceed the
/// append rate, and the log's refusals would look like an outage.
///
/// Each append reserves its own send time, in the order of the calls, so that no shard starves.
/// While an append waits, its batch grows: throughput is kept, and latency rises instead.
#[value]
pub struct Pacer {
    /// The append rate that all entries share, per second.
    fleet_per_s: u64,
    entries: u64,
    /// The earliest time at which the next append may be sent, in microseconds.
    next_us: u64,
}

impl Pacer {
    /// Creates a pacer that allows a full burst.
    pub fn new(fleet_per_s: u64) -> Pacer {
        Pacer { fleet_per_s, entries: 1, next_us: 0 }
    }

    /// Sets the number of entries that share the append rate.
    pub fn share_between(&mut self, entries: usize) {
        self.entries = entries.max(1) as u64;
    }

    /// Reserves the send time of the next append. Returns how long to wait for it, in milliseconds.
    pub fn reserve(&mut self, now: TimeMs) -> u64 {
        let now_us = now.0 * 1_000;
        let interval_us = 1_000_000 * self.entries / self.fleet_per_s.max(1);
        let slot_us = self.next_us.max(now_us.saturating_sub(BURST_MS * 1_000));
        self.next_us = slot_us + interval_us;
        slot_us.saturating_sub(now_us).div_ceil(1_000)
    }
}
