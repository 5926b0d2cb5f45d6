//! Pattern: most workspaces stay well below their rate, and one at a time sends many times its own.
//! Below the limit no call may wait for a message, so that each entry admits from its own copy of
//! the bucket and tells the others how much it took. Near the limit the copies are too old to be
//! trusted: there, each entry keeps to its part of the rate as well.

use std::collections::HashMap;

use crate::prelude::*;

/// Below this part of the burst, an entry keeps to its own part of the rate. Source: 100 ms between
/// messages at five times the rate take half of a burst of one second's rate.
const CAREFUL_BELOW: f64 = 0.5;

/// How many even parts of the rate an entry may use while it hears from the others: callers choose
/// entries unevenly, and the copy of the bucket bounds the sum.
const UNEVENNESS: f64 = 2.0;

/// The most by which a copy may fall behind, in bursts. More would punish a workspace for longer
/// than the limit's window.
const DEBT_MOST: f64 = 1.0;

/// What an entry knows of the others.
#[key]
pub struct Peering {
    /// Entries that share the bucket, this one included.
    pub entries: u32,
    /// Whether the others are heard from. An entry that is cut off keeps to its part.
    pub in_touch: bool,
}

/// One entry's copy of a workspace's bucket.
#[derive(Debug, Clone)]
pub struct SharedBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    part: f64,
    refilled_at: TimeMs,
    taken: u64,
    told: HashMap<u64, u64>,
}

impl SharedBucket {
    /// An empty copy: whoever starts can't know what was taken before.
    pub fn open(now: TimeMs, rate_per_s: f64, burst: f64) -> SharedBucket {
        SharedBucket {
            rate_per_s,
            burst,
            level: 0.0,
            part: 0.0,
            refilled_at: now,
            taken: 0,
            told: HashMap::new(),
        }
    }

    /// New limits came into force.
    pub fn change(&mut self, now: TimeMs, rate_per_s: f64, burst: f64) {
        self.refill(now, Peering { entries: 1, in_touch: true });
        (self.rate_per_s, self.burst) = (rate_per_s, burst);
        self.level = self.level.min(burst);
    }

    /// Takes one, or says in how many milliseconds there may be one.
    pub fn take(&mut self, now: TimeMs, peering: Peering) -> Result<(), u64> {
        if self.rate_per_s <= 0.0 {
            return Ok(());
        }
        self.refill(now, peering);
        let careful = !peering.in_touch || self.level < self.burst * CAREFUL_BELOW;
        let lacking = match careful {
            true => (1.0 - self.part) * f64::from(peering.entries.max(1)),
            false => 0.0,
        };
        let lacking = lacking.max(1.0 - self.level);
        if lacking > 0.0 {
            return Err((lacking / self.rate_per_s * 1_000.0).ceil() as u64);
        }
        if careful {
            self.part -= 1.0;
        }
        self.level -= 1.0;
        self.taken += 1;
        Ok(())
    }

    fn refill(&mut self, now: TimeMs, peering: Peering) {
        let gained = now.since(self.refilled_at) as f64 / 1_000.0 * self.rate_per_s;
        let entries = f64::from(peering.entries.max(1));
        self.refilled_at = now;
        self.level = (self.level + gained).min(self.burst);
        let part_most = (self.burst * CAREFUL_BELOW / entries).max(1.0);
        let evenness = if peering.in_touch { UNEVENNESS } else { 1.0 };
        self.part = (self.part + evenness * gained / entries).min(part_most);
    }

    /// How many this entry has taken in its life.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Another entry, in the life `life`, has taken `taken` in all.
    pub fn tell(&mut self, life: u64, taken: u64) {
        let before = *self.told.entry(life).or_insert(taken);
        if taken > before {
            self.told.insert(life, taken);
            let debt_most = -self.burst.max(1.0) * DEBT_MOST;
            self.level = (self.level - (taken - before) as f64).max(debt_most);
        }
    }
}
