use std::collections::HashMap;

use super::{Candidate, Rank, UseLevel};
use crate::prelude::*;

/// Maximum number of programs in a waiting list. Beyond it, the last ones keep no place.
const MAX_PLACES: usize = 2_000;

/// How long a program may return later than it was told before others go first.
const LATE_MS: u64 = 150;

/// How long before it is due a program's room is kept for it: the time in which one owner is
/// handed room for one program when capacity is short.
const EARLY_MS: u64 = 50;

/// The time of programs that state none.
const UNLIMITED_MS: u64 = 3_600_000;

/// A program that is this late is taken to have given up.
const GIVEN_UP_MS: u64 = 1_500;

/// The order of admission: rank, use level, whether the program would end too late, first refusal.
type PlaceOrder = (Rank, UseLevel, bool, TimeMs);

/// The place of a refused program in the waiting list.
#[value]
#[derive(Copy)]
pub struct Place {
    rank: Rank,
    /// How far its workspace's use of its contracted rate lies above the mean use.
    use_level: UseLevel,
    /// When the program was first refused.
    since: TimeMs,
    /// When it was told to return.
    due_at: TimeMs,
    /// How often it was refused.
    refusals: u32,
    /// When the program should be finished.
    finish_at: TimeMs,
    /// The time that it had until then when it was first refused.
    finish_ms: u64,
}

impl Place {
    /// Sorts programs in the order in which they are admitted: those that can still finish in time
    /// before those that can't. `need` is the part of its time that a program takes.
    fn order(&self, now: TimeMs, need: f64) -> PlaceOrder {
        let is_late = self.left_after(now, need) < 0.0;
        (self.rank, self.use_level, is_late, self.since)
    }

    /// The part of its time that would be left when the program ends, if it started now. Negative
    /// if it would end too late.
    pub fn left_after(&self, now: TimeMs, need: f64) -> f64 {
        let overdue_ms = now.since(self.finish_at) as f64;
        let left_ms = self.finish_at.since(now) as f64 - overdue_ms;
        left_ms / self.finish_ms.max(1) as f64 - need
    }

    /// Whether the program is expected now.
    fn is_due(&self, now: TimeMs) -> bool {
        now.plus(EARLY_MS) >= self.due_at && now.since(self.due_at) <= LATE_MS
    }

    fn has_given_up(&self, now: TimeMs) -> bool {
        now.since(self.due_at) >= GIVEN_UP_MS
    }

    /// How long the program has waited.
    pub fn waited_ms(&self, now: TimeMs) -> u64 {
        now.since(self.since)
    }

    /// How often the program was refused.
    pub fn refusals(&self) -> u32 {
        self.refusals
    }
}

/// The programs that were refused because capacity was short, and are expected back.
#[derive(Debug, Default)]
pub struct WaitingList {
    places: HashMap<u64, Place>,
}

impl WaitingList {
    /// The place of a program, or the one that it would get now. Its rank and use level are the
    /// current ones, as the configuration and the use may have changed since it was refused.
    pub fn place(&self, now: TimeMs, candidate: &Candidate) -> Place {
        let Candidate { program, rank, use_level, finish_ms, .. } = *candidate;
        // A program that states no time is taken to have plenty.
        let finish_ms = finish_ms.unwrap_or(UNLIMITED_MS);
        let finish_at = now.plus(finish_ms);
        let (since, due_at) = (now, now);
        let new = Place { rank, use_level, since, due_at, refusals: 0, finish_at, finish_ms };
        self.places.get(&program).map_or(new, |place| Place { rank, use_level, ..*place })
    }

    /// The number of programs that are admitted before this place.
    pub fn ahead(&self, now: TimeMs, place: &Place, need: f64) -> usize {
        let order = place.order(now, need);
        self.places.values().filter(|other| other.order(now, need) < order).count()
    }

    /// The number of programs ahead of this place that are expected now, and for which room is kept.
    pub fn due_ahead(&self, now: TimeMs, place: &Place, need: f64) -> usize {
        let order = place.order(now, need);
        let due = self.places.values().filter(|other| other.is_due(now));
        due.filter(|other| other.order(now, need) < order).count()
    }

    /// Keeps the place of a refused program that was told to return after `retry_after_ms`. In a
    /// full list it takes the place of the last program, unless it would be the last itself.
    pub fn keep(
        &mut self,
        now: TimeMs,
        program: u64,
        place: Place,
        retry_after_ms: u64,
        need: f64,
    ) {
        let is_new = !self.places.contains_key(&program);
        if is_new && self.places.len() >= MAX_PLACES && !self.evict_after(now, &place, need) {
            return;
        }
        let due_at = now.plus(retry_after_ms);
        self.places.insert(program, Place { due_at, refusals: place.refusals + 1, ..place });
    }

    /// Removes the last program of the list if it comes after this place.
    fn evict_after(&mut self, now: TimeMs, place: &Place, need: f64) -> bool {
        let orders = self.places.iter().map(|(program, other)| (other.order(now, need), *program));
        let last = orders.max().filter(|(order, _)| *order > place.order(now, need));
        last.is_some_and(|(_, program)| self.places.remove(&program).is_some())
    }

    /// Removes a program that was admitted, and returns the place that it had.
    pub fn remove(&mut self, program: u64) -> Option<Place> {
        self.places.remove(&program)
    }

    /// The number of programs that are expected back.
    pub fn waiting(&self, now: TimeMs) -> usize {
        self.waiting_by_rank(now).iter().sum()
    }

    /// The number of programs that are expected back, by rank.
    pub fn waiting_by_rank(&self, now: TimeMs) -> [usize; Rank::COUNT] {
        let mut waiting = [0; Rank::COUNT];
        for place in self.places.values().filter(|place| !place.has_given_up(now)) {
            waiting[place.rank.index()] += 1;
        }
        waiting
    }

    /// Removes programs that did not return.
    pub fn expire(&mut self, now: TimeMs) {
        self.places.retain(|_, place| !place.has_given_up(now));
    }
}
