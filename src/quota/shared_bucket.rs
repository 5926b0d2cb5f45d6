//! Pattern: most workspaces stay well below their rate, and one at a time sends many times its own.
//! Callers come in clumps and to few entries. Below the limit no call may wait for a message, so
//! that each entry admits from its own copy of the bucket and tells the others how much it took.
//! Between two messages it reckons with the others going on as they did. An entry that is cut off
//! keeps to its part of the rate.

use std::collections::HashMap;

use crate::prelude::*;

/// The others' takings are averaged over about this time. Source: five messages.
const AVERAGED_MS: f64 = 500.0;

/// What the others took is reckoned ahead for this long at most. Source: two messages; beyond, this
/// entry is out of touch.
const AHEAD_MOST_MS: f64 = 200.0;

/// The most by which a copy may fall behind, in bursts. More would punish a workspace for longer
/// than the limit's window.
const DEBT_MOST: f64 = 1.0;

/// Part of the burst that is kept for programs under way. Source: a program makes some ten to thirty
/// requests within a second or two; one that is refused in its middle has wasted all before.
const KEPT_FOR_RUNNING: f64 = 0.5;

/// What a request means to its program.
#[key]
pub enum Claim {
    /// It begins a program: refused, it costs its caller nothing but the wait.
    Begins,
    /// It belongs to a program that has run already.
    GoesOn,
}

/// What an entry knows of the others.
#[key]
pub struct Peering {
    /// Entries that share the bucket, this one included.
    pub entries: u32,
    /// Those of them that are heard from, this one included.
    pub heard: u32,
}

impl Peering {
    /// Whether enough of the others are heard from to go by what they tell.
    fn in_touch(self) -> bool {
        self.heard * 2 >= self.entries
    }

    /// The part of the rate that falls to the entries that are heard from. One that is cut off goes
    /// on with its own part; if the others took the whole rate, both would exceed it together.
    fn heard_part(self) -> f64 {
        f64::from(self.heard) / f64::from(self.entries.max(1))
    }
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
    /// What the others took of late, fading.
    others: f64,
    told_at: TimeMs,
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
            others: 0.0,
            told_at: now,
        }
    }

    /// New limits came into force.
    pub fn change(&mut self, now: TimeMs, rate_per_s: f64, burst: f64) {
        self.refill(now, Peering { entries: 1, heard: 1 });
        (self.rate_per_s, self.burst) = (rate_per_s, burst);
        self.level = self.level.min(burst);
    }

    /// Takes one, or says in how many milliseconds there may be one.
    pub fn take(&mut self, now: TimeMs, peering: Peering, claim: Claim) -> Result<(), u64> {
        if self.rate_per_s <= 0.0 {
            return Ok(());
        }
        self.refill(now, peering);
        let kept = match claim {
            Claim::Begins => self.burst * KEPT_FOR_RUNNING,
            Claim::GoesOn => 0.0,
        };
        let needed = 1.0 + kept;
        let lacking = match peering.in_touch() {
            true => needed - (self.level - self.taken_since_told(now)),
            false => ((1.0 - self.part) * f64::from(peering.entries)).max(needed - self.level),
        };
        if lacking > 0.0 {
            return Err((lacking / self.rate_per_s * 1_000.0).ceil() as u64);
        }
        self.part -= if peering.in_touch() { 0.0 } else { 1.0 };
        self.level -= 1.0;
        self.taken += 1;
        Ok(())
    }

    /// What the others have probably taken since they told.
    fn taken_since_told(&self, now: TimeMs) -> f64 {
        let ahead_ms = now.since(self.told_at) as f64;
        self.others / AVERAGED_MS * ahead_ms.min(AHEAD_MOST_MS)
    }

    fn refill(&mut self, now: TimeMs, peering: Peering) {
        let gained = now.since(self.refilled_at) as f64 / 1_000.0 * self.rate_per_s;
        let entries = f64::from(peering.entries.max(1));
        self.refilled_at = now;
        self.level = (self.level + gained * peering.heard_part()).min(self.burst);
        self.part = (self.part + gained / entries).min((self.burst / entries).max(1.0));
    }

    /// Gives one back: its request has not run, and will not.
    pub fn give_back(&mut self) {
        self.level = (self.level + 1.0).min(self.burst);
        self.taken = self.taken.saturating_sub(1);
    }

    /// How many this entry has taken in its life.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Another entry, in the life `life`, has taken `taken` in all.
    pub fn tell(&mut self, now: TimeMs, life: u64, taken: u64) {
        let before = *self.told.entry(life).or_insert(taken);
        self.others *= (-(now.since(self.told_at) as f64) / AVERAGED_MS).exp();
        self.told_at = now;
        let news = taken as f64 - before as f64;
        self.told.insert(life, taken);
        self.others = (self.others + news).max(0.0);
        let debt_most = -self.burst.max(1.0) * DEBT_MOST;
        self.level = (self.level - news).clamp(debt_most, self.burst);
    }
}
