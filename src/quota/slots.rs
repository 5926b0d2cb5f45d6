use std::collections::VecDeque;

use super::RefundCount;
use crate::prelude::*;

/// Length of the slots in which a window is counted. Finer slots would not help, because the reports
/// of other entries arrive with a delay of about one slot anyway.
pub(super) const SLOT_MS: u64 = 100;

/// The requests counted in one slot of the window, or in all of them together.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Slot {
    pub(super) own: f64,
    pub(super) others: f64,
    /// Requests assumed to have been admitted before this entry started.
    pub(super) assumed: f64,
    /// Requests of this entry that were taken from `own` again, as they have not run.
    pub(super) refunded: f64,
}

impl Slot {
    pub(super) fn total(&self) -> f64 {
        self.own + self.others + self.assumed
    }

    fn add(&mut self, added: &Slot) {
        self.own += added.own;
        self.others += added.others;
        self.assumed += added.assumed;
        self.refunded += added.refunded;
    }
}

/// The slots of a sliding window.
#[derive(Debug, Clone)]
pub(super) struct Slots {
    /// The newest slot is last.
    slots: VecDeque<Slot>,
    newest_at: TimeMs,
    /// Sum of all slots.
    total: Slot,
}

impl Slots {
    /// Empty slots for a window of this length.
    pub(super) fn open(now: TimeMs, window_ms: u64) -> Slots {
        let count = (window_ms / SLOT_MS).max(1) as usize;
        Slots {
            slots: VecDeque::from(vec![Slot::default(); count]),
            newest_at: now,
            total: Slot::default(),
        }
    }

    /// The sum of all slots.
    pub(super) fn total(&self) -> Slot {
        self.total
    }

    /// When the newest slot began.
    pub(super) fn newest_at(&self) -> TimeMs {
        self.newest_at
    }

    /// Adds to the newest slot.
    pub(super) fn add(&mut self, added: Slot) {
        self.add_at(self.newest_at, added);
    }

    /// Adds to the slot of a time, unless that has left the window.
    pub(super) fn add_at(&mut self, at: TimeMs, added: Slot) {
        let age_slots = self.newest_at.since(at).div_ceil(SLOT_MS) as usize;
        let position = self.slots.len().checked_sub(age_slots + 1);
        if let Some(slot) = position.and_then(|position| self.slots.get_mut(position)) {
            slot.add(&added);
            self.total.add(&added);
        }
    }

    /// Sets what is assumed in the slots that began before `start`, spread evenly over the window.
    pub(super) fn assume_before(&mut self, start: TimeMs, in_window: f64) {
        let each = in_window / self.slots.len() as f64;
        let newer = self.newest_at.since(start).div_ceil(SLOT_MS) as usize;
        let older = self.slots.len().saturating_sub(newer);
        self.slots.iter_mut().take(older).for_each(|slot| slot.assumed = each);
        self.sum_up();
    }

    /// Assumes nothing any more of what was admitted before this entry started.
    pub(super) fn clear_assumed(&mut self) {
        self.slots.iter_mut().for_each(|slot| slot.assumed = 0.0);
        self.sum_up();
    }

    /// Removes the slots that have left the window.
    pub(super) fn advance(&mut self, now: TimeMs) {
        let elapsed_slots = now.since(self.newest_at) / SLOT_MS;
        self.newest_at = self.newest_at.plus(elapsed_slots * SLOT_MS);
        for _ in 0..elapsed_slots.min(self.slots.len() as u64) {
            self.slots.pop_front();
            self.slots.push_back(Slot::default());
        }
        if elapsed_slots > 0 {
            self.sum_up();
        }
    }

    fn sum_up(&mut self) {
        self.total = Slot::default();
        self.slots.iter().for_each(|slot| self.total.add(slot));
    }

    /// How many of the requests now in the window are still in it after `in_ms`.
    pub(super) fn remaining_after(&self, in_ms: u64) -> f64 {
        self.slots.iter().skip((in_ms / SLOT_MS) as usize).map(Slot::total).sum()
    }

    /// Time until at least `excess` requests have left the window.
    pub(super) fn freed_after_ms(&self, now: TimeMs, excess: f64) -> u64 {
        let mut freed = 0.0;
        let slots = self.slots.iter().take_while(|slot| {
            let enough = freed >= excess;
            freed += slot.total();
            !enough
        });
        let slots = slots.count() as u64;
        (slots * SLOT_MS).saturating_sub(now.since(self.newest_at)).max(1)
    }

    /// The refunds of this entry's requests by the age of the requests.
    pub(super) fn refunds(&self) -> Vec<RefundCount> {
        let by_age = self.slots.iter().rev().enumerate();
        let counts =
            by_age.filter(|(_, slot)| slot.refunded > 0.0).map(|(age, slot)| RefundCount {
                age_slots: u8::try_from(age).unwrap_or(u8::MAX),
                requests: slot.refunded as u32,
            });
        counts.collect()
    }
}
