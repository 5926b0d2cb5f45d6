//! Pattern: most workspaces stay well below their rate, and one at a time sends many times its own.
//! Callers come in clumps and to few entries. Below the limit no call may wait for a message, so
//! that each entry admits from its own count of the window and tells the others how much it took.
//! Between two messages it reckons with the others going on as they did. An entry that is cut off
//! keeps to its part.
//!
//! An entry that has just started does not know what was taken before. It takes the window for full,
//! which refuses callers for some seconds after each restart, until others that know have told it.

use std::collections::{HashMap, VecDeque};

use super::program_stats::ProgramStats;
use super::programs::{Programs, Room};
use super::tally::UsageTotals;
use super::{Claim, Grant};
use crate::prelude::*;

/// The window is counted in slots of this length: the time between two messages; finer
/// slots would only order what arrives late anyway.
const SLOT_MS: u64 = 100;

/// The others' takings are averaged over about this time: five messages.
const AVERAGED_MS: f64 = 500.0;

/// Time between two messages of an entry, for which the others are reckoned to go on.
const TOLD_EVERY_MS: f64 = 100.0;

/// A window that is not known takes over what others say of it after this long, and then the most
/// that was said: two messages of each of them; one that is out of touch with some knows less.
const ASKED_FOR_MS: u64 = 400;

/// From this part of the limit on, a window is crowded: requests are refused, or soon will be.
const CROWDED_FROM: f64 = 0.8;

/// What an entry knows of the others.
#[key]
pub struct PeerCounts {
    /// Entries that share the limit, this one included.
    pub entries: u32,
    /// Those of them that are heard from, this one included.
    pub heard: u32,
}

impl PeerCounts {
    /// Whether enough of the others are heard from to go by what they tell.
    fn in_touch(self) -> bool {
        self.heard * 2 >= self.entries
    }

    /// The part of the limit that falls to the entries that are heard from. One that is cut off goes
    /// on with its own part; if the others took the whole, both would exceed it together.
    fn heard_part(self) -> f64 {
        f64::from(self.heard) / f64::from(self.entries.max(1))
    }
}

/// A workspace's limit: in any window, its rate times the window and its burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests a second; zero: no limit.
    pub rate_per_s: f64,
    /// Requests beyond the rate in a window.
    pub burst: f64,
    /// The window.
    pub window_ms: u64,
}

impl RateLimit {
    fn in_window(&self) -> f64 {
        self.rate_per_s * self.window_ms as f64 / 1_000.0 + self.burst
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    own: f64,
    others: f64,
    /// Taken before this entry started, as far as it must assume.
    assumed: f64,
}

impl Slot {
    fn all(&self) -> f64 {
        self.own + self.others + self.assumed
    }
}

/// One entry's count of what a workspace has taken in the window.
#[derive(Debug, Clone)]
pub struct SharedWindow {
    rate_limit: RateLimit,
    /// The newest slot comes last.
    slots: VecDeque<Slot>,
    newest_at: TimeMs,
    counted: Slot,
    /// From then on this entry has seen the whole window by itself.
    whole_at: TimeMs,
    /// Whether others have told what it has not seen.
    learnt: bool,
    /// When others began to say what is in the window, and the most that was said.
    said: Option<(TimeMs, f64)>,
    taken: UsageTotals,
    told: HashMap<u64, UsageTotals>,
    programs: Programs,
    /// What the others took of late, fading.
    others: f64,
    told_at: TimeMs,
}

impl SharedWindow {
    /// A window that is full: whoever starts can't know what was taken before.
    pub fn open(now: TimeMs, rate_limit: RateLimit) -> SharedWindow {
        let count = (rate_limit.window_ms / SLOT_MS).max(1) as usize;
        let each = rate_limit.in_window() / count as f64;
        SharedWindow {
            rate_limit,
            slots: VecDeque::from(vec![Slot { assumed: each, ..Slot::default() }; count]),
            newest_at: now,
            counted: Slot { assumed: each * count as f64, ..Slot::default() },
            whole_at: now.plus(rate_limit.window_ms),
            learnt: false,
            said: None,
            taken: UsageTotals::default(),
            told: HashMap::new(),
            programs: Programs::open(now),
            others: 0.0,
            told_at: now,
        }
    }

    /// The limit in force.
    pub fn rate_limit(&self) -> RateLimit {
        self.rate_limit
    }

    /// A new limit came into force.
    pub fn set_rate_limit(&mut self, rate_limit: RateLimit) {
        self.rate_limit = rate_limit;
    }

    /// Takes one, or says in how many milliseconds there may be one. `usual` is the pace of all
    /// workspaces' programs.
    pub fn try_admit(
        &mut self,
        now: TimeMs,
        peer_counts: PeerCounts,
        claim: Claim,
        usual: &ProgramStats,
    ) -> Result<Grant, u64> {
        if self.rate_limit.rate_per_s <= 0.0 {
            return Ok(Grant { counted: false, booked_ms: None });
        }
        self.advance(now);
        let limit = self.rate_limit.in_window();
        let lacking = match peer_counts.in_touch() {
            true => {
                self.counted.all() + self.taken_since_told() + 1.0
                    - limit * peer_counts.heard_part()
            }
            false => self.counted.own + 1.0 - limit / f64::from(peer_counts.entries),
        };
        if lacking > 0.0 {
            return Err(self.freed_in_ms(now, lacking));
        }
        let booked_ms = match claim {
            Claim::StartsProgram { duration_ms } => {
                Some(self.begin(now, duration_ms, peer_counts, usual)?)
            }
            Claim::Continues => None,
        };
        let grant = Grant { counted: true, booked_ms };
        self.count(Slot { own: 1.0, ..Slot::default() });
        self.taken.add(grant);
        self.programs.ran(now, 1.0, self.is_crowded());
        Ok(grant)
    }

    /// Books a program's time, or says in how many milliseconds it may begin.
    fn begin(
        &mut self,
        now: TimeMs,
        duration_ms: u64,
        peer_counts: PeerCounts,
        usual: &ProgramStats,
    ) -> Result<u64, u64> {
        let needed_ms = self.programs.needed_ms(duration_ms);
        if peer_counts.in_touch() {
            let limit = self.rate_limit.in_window() * peer_counts.heard_part();
            let room = Room { limit, window_ms: self.rate_limit.window_ms };
            let kept = |in_ms| self.kept_after(in_ms);
            match self.programs.begins_in_ms(now, needed_ms, room, usual, kept) {
                0 => {}
                begins_in_ms => return Err(begins_in_ms),
            }
        }
        self.programs.begin(now, needed_ms);
        Ok(needed_ms)
    }

    /// What of all that is in the window now is still there after `in_ms`.
    fn kept_after(&self, in_ms: u64) -> f64 {
        self.slots.iter().skip((in_ms / SLOT_MS) as usize).map(Slot::all).sum()
    }

    fn is_crowded(&self) -> bool {
        self.counted.all() > self.rate_limit.in_window() * CROWDED_FROM
    }

    /// Gives one back: its request has not run, and will not.
    pub fn refund(&mut self, grant: Grant) {
        if !grant.counted {
            return;
        }
        self.count(Slot { own: -1.0, ..Slot::default() });
        self.taken.take_back(grant);
        if let Some(booked_ms) = grant.booked_ms {
            self.programs.take_back(booked_ms);
        }
    }

    /// What was learnt of the programs' pace since this was last asked.
    pub fn take_new_stats(&mut self) -> ProgramStats {
        self.programs.take_new_stats()
    }

    /// What this entry has taken in its life, less what was given back.
    pub fn taken(&self) -> UsageTotals {
        self.taken
    }

    /// How many all entries have taken in the window, if this one knows.
    pub fn in_window(&mut self, now: TimeMs) -> Option<f64> {
        self.advance(now);
        self.is_known(now).then(|| self.counted.all())
    }

    fn is_known(&self, now: TimeMs) -> bool {
        self.learnt || now >= self.whole_at
    }

    /// How many all entries have taken in the window, and how many they may.
    pub fn used(&self) -> (f64, f64) {
        (self.counted.all(), self.rate_limit.in_window())
    }

    /// Another entry that knows says how many all have taken in the window.
    pub fn merge(&mut self, now: TimeMs, in_window: f64) {
        self.advance(now);
        if self.is_known(now) {
            return;
        }
        let (since, most) = self.said.unwrap_or((now, 0.0));
        let most = in_window.max(most);
        self.said = Some((since, most));
        if now.since(since) < ASKED_FOR_MS {
            return;
        }
        self.learnt = true;
        let unseen = (most - self.counted.own - self.counted.others).max(0.0);
        let kept = (unseen / self.counted.assumed.max(1.0)).min(1.0);
        for slot in self.slots.iter_mut().chain([&mut self.counted]) {
            slot.assumed *= kept;
        }
    }

    /// An entry that has lived for a while is not known for long, in the life `life`. What it has
    /// taken before it was first heard was taken at times that are not known.
    pub fn record_baseline(&mut self, now: TimeMs, life: u64, taken: UsageTotals) {
        match self.told.contains_key(&life) {
            true => self.apply_usage(now, life, taken),
            false => drop(self.told.insert(life, taken)),
        }
    }

    /// Another entry, in the life `life`, has taken `taken` in all.
    pub fn apply_usage(&mut self, now: TimeMs, life: u64, taken: UsageTotals) {
        self.advance(now);
        let before = self.told.insert(life, taken).unwrap_or_default();
        let news = taken.news_since(&before);
        self.others *= (-(now.since(self.told_at) as f64) / AVERAGED_MS).exp();
        self.told_at = now;
        self.others = (self.others + news.requests).max(0.0);
        self.count(Slot { others: news.requests, ..Slot::default() });
        self.programs.heard(now, &news);
        self.programs.ran(now, news.requests, self.is_crowded());
    }

    fn count(&mut self, more: Slot) {
        for slot in self.slots.back_mut().into_iter().chain([&mut self.counted]) {
            slot.own += more.own;
            slot.others += more.others;
            slot.assumed += more.assumed;
        }
    }

    /// Drops the slots that have left the window.
    fn advance(&mut self, now: TimeMs) {
        let passed = now.since(self.newest_at) / SLOT_MS;
        self.newest_at = self.newest_at.plus(passed * SLOT_MS);
        for _ in 0..passed.min(self.slots.len() as u64) {
            self.slots.pop_front();
            self.slots.push_back(Slot::default());
        }
        if passed > 0 {
            self.counted = self.slots.iter().fold(Slot::default(), |sum, slot| Slot {
                own: sum.own + slot.own,
                others: sum.others + slot.others,
                assumed: sum.assumed + slot.assumed,
            });
        }
    }

    /// What the others have probably taken since they told.
    fn taken_since_told(&self) -> f64 {
        self.others / AVERAGED_MS * TOLD_EVERY_MS
    }

    /// When so many will have left the window.
    fn freed_in_ms(&self, now: TimeMs, lacking: f64) -> u64 {
        let mut freed = 0.0;
        let slots = self.slots.iter().take_while(|slot| {
            let enough = freed >= lacking;
            freed += slot.all();
            !enough
        });
        let slots = slots.count() as u64;
        (slots * SLOT_MS).saturating_sub(now.since(self.newest_at)).max(1)
    }
}
