use std::collections::HashMap;

use super::Rank;
use crate::prelude::*;

/// Maximum number of programs in a waiting list. Beyond it, refused programs keep no place.
const MAX_PLACES: usize = 2_000;

/// How long a program may return later than it was told before others go first.
const LATE_MS: u64 = 150;

/// How long before it is due a program's room is kept for it: the time in which one owner is
/// handed room for one program when capacity is short.
const EARLY_MS: u64 = 50;

/// A program that is this late is taken to have given up.
const GIVEN_UP_MS: u64 = 1_500;

/// The place of a refused program in the waiting list.
#[value]
#[derive(Copy)]
pub struct Place {
    rank: Rank,
    /// Whether its workspace uses more than its share of the contracted rates.
    over_share: bool,
    /// When the program was first refused.
    since: TimeMs,
    /// When it was told to return.
    due_at: TimeMs,
    /// How often it was refused.
    refusals: u32,
}

impl Place {
    /// Sorts programs in the order in which they are admitted.
    fn order(&self) -> (Rank, bool, TimeMs) {
        (self.rank, self.over_share, self.since)
    }

    /// Whether the program is expected now.
    fn is_due(&self, now: TimeMs) -> bool {
        now.plus(EARLY_MS) >= self.due_at && now.since(self.due_at) <= LATE_MS
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
    /// The place of a program, or the one that it would get now.
    pub fn place(&self, now: TimeMs, program: u64, rank: Rank, over_share: bool) -> Place {
        self.places.get(&program).copied().unwrap_or(Place {
            rank,
            over_share,
            since: now,
            due_at: now,
            refusals: 0,
        })
    }

    /// The number of programs that are admitted before this place.
    pub fn ahead(&self, place: &Place) -> usize {
        let order = place.order();
        self.places.values().filter(|other| other.order() < order).count()
    }

    /// The number of programs ahead of this place that are expected now, and for which room is kept.
    pub fn due_ahead(&self, now: TimeMs, place: &Place) -> usize {
        let order = place.order();
        self.places.values().filter(|other| other.is_due(now) && other.order() < order).count()
    }

    /// Keeps the place of a refused program that was told to return after `retry_after_ms`.
    pub fn keep(&mut self, now: TimeMs, program: u64, place: Place, retry_after_ms: u64) {
        self.expire(now);
        if self.places.len() < MAX_PLACES || self.places.contains_key(&program) {
            let due_at = now.plus(retry_after_ms);
            self.places.insert(program, Place { due_at, refusals: place.refusals + 1, ..place });
        }
    }

    /// Removes a program that was admitted, and returns the place that it had.
    pub fn remove(&mut self, program: u64) -> Option<Place> {
        self.places.remove(&program)
    }

    /// The number of programs in the list.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no program waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Removes programs that did not return.
    pub fn expire(&mut self, now: TimeMs) {
        self.places.retain(|_, place| now.since(place.due_at) < GIVEN_UP_MS);
    }
}
