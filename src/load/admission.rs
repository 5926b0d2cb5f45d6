//! Admission of programs to a service whose callers compete for too little capacity.
//!
//! Load: a surge of programs, each of which makes requests for seconds. Once all slots are taken,
//! every further program makes all of them late, and late programs keep the slots taken after the
//! surge. So programs start only while their requests find slots. The others are refused at once,
//! with the time at which there will be room for them, and keep their place until then.

use std::collections::VecDeque;

use super::{Place, ProgramTimes, Rank, ServiceLoad, SlotLimit, UseLevel, WaitingList};
use crate::prelude::*;

/// The counts of other entries are this old at most while messages arrive. Within this time all
/// owners together hand out the free slots once.
const REFRESH_MS: f64 = 200.0;

/// The part of the slots that is kept for programs of each more urgent rank.
const RESERVE_PER_RANK: f64 = 0.05;

/// Upper bound of the part that is kept for all more urgent ranks together.
const MAX_RESERVE: f64 = 0.2;

/// How far more urgent programs may reduce the room of a rank below zero, as a part of the owner's
/// slots. It bounds how long the rank waits after a burst of urgent programs.
const MAX_DEBT: f64 = 0.1;

/// The programs of a rank that may start for each one of a more urgent rank, however many of those
/// ask: a steady stream of urgent programs starves no other.
const MIN_SHARE: f64 = 0.1;

/// How many programs of a rank may start before more urgent ones at once.
const MAX_CREDIT: f64 = 2.0;

/// A rank counts as present for this long after its last program.
const RANK_PRESENT_MS: u64 = 2_000;

/// Below this part of the slots in use, every program is admitted, whatever its rank.
const ALWAYS_ADMITTED_BELOW: f64 = 0.5;

/// The part of the recent admissions that is expected to go on, as programs end at about the rate
/// at which they start. Below one, so that an estimate that is too high decays.
const CONTINUED_FRACTION: f64 = 0.8;

/// Time constant of the moving average of admissions: about the length of a program.
const AVERAGING_MS: f64 = 1_000.0;

/// A program that would end later than its time by more than this part of it is not started while
/// capacity is short: its caller gives up before it ends.
const MAX_OVERRUN: f64 = 1.0;

/// Shortest delay after which a program is told to return. Shorter ones cost more requests than
/// they save time.
const MIN_RETRY_MS: u64 = 100;

/// A program that asks to start.
#[value]
#[derive(Copy)]
pub struct Candidate {
    /// Hash of the program's key.
    pub program: u64,
    /// How urgent it is.
    pub rank: Rank,
    /// How far its workspace's use of its contracted rate lies above the mean use.
    pub use_level: UseLevel,
    /// The time until it should be finished, if it states one.
    pub finish_ms: Option<u64>,
    /// How long its first turn may still be held.
    pub max_wait_ms: u64,
    /// The longest delay before a retry that its caller accepts.
    pub max_retry_ms: u64,
}

/// Whether a program starts.
#[value]
#[derive(Copy)]
pub enum Decision {
    /// It starts; `place` is the one it had in the waiting list, if it was refused before.
    Admitted {
        /// The place that it had.
        place: Option<Place>,
    },
    /// There will be room so soon that the caller is not sent away: decide again then.
    Held {
        /// Milliseconds until then.
        wait_ms: u64,
    },
    /// It does not start now.
    Refused {
        /// When there will be room for it.
        retry_after_ms: u64,
        /// The number of programs that go before it, plus one.
        place: usize,
    },
}

/// The admission of programs to one service, at an entry that owns some of their shards.
#[derive(Debug)]
pub struct ProgramAdmission {
    waiting_list: WaitingList,
    times: ProgramTimes,
    limit: SlotLimit,
    /// For each rank: how many programs may start now before one of that rank may not. Negative
    /// if more urgent ones have started than there was room for at that rank.
    room: [f64; Rank::COUNT],
    /// For each rank: how many of its programs may start before more urgent ones, so that none
    /// starves.
    credit: [f64; Rank::COUNT],
    /// When the last program of each rank asked to start.
    asked_at: [Option<TimeMs>; Rank::COUNT],
    /// The admissions within [`REFRESH_MS`]. Their requests may not be in the counts yet: a burst
    /// that arrived within one interval was admitted whole, to endpoints that could not hold it.
    uncounted: VecDeque<TimeMs>,
    /// Admissions within about [`AVERAGING_MS`], decayed exponentially.
    recent: f64,
    updated_at: TimeMs,
}

impl ProgramAdmission {
    /// Nothing admitted yet. There is room for one program of each rank.
    pub fn open(now: TimeMs) -> ProgramAdmission {
        ProgramAdmission {
            waiting_list: WaitingList::default(),
            times: ProgramTimes::default(),
            limit: SlotLimit::open(now),
            room: [1.0; Rank::COUNT],
            credit: [0.0; Rank::COUNT],
            asked_at: [None; Rank::COUNT],
            uncounted: VecDeque::new(),
            recent: 0.0,
            updated_at: now,
        }
    }

    /// The programs that were refused and are expected back.
    pub fn waiting_list(&self) -> &WaitingList {
        &self.waiting_list
    }

    /// The limit of requests in flight, as a fraction of the service's slots.
    pub fn limit_fraction(&self, now: TimeMs) -> f64 {
        self.limit.part_at(now)
    }

    /// Records that a turn of a program has ended.
    pub fn record_turn(&mut self, now: TimeMs, program: u64) {
        self.times.record_turn(now, program);
    }

    /// Records the time from sending a turn to its first event.
    pub fn record_first_event(&mut self, now: TimeMs, first_event_ms: u64, target_ms: u64) {
        self.limit.record(now, first_event_ms, target_ms);
    }

    /// Decides whether a program starts. One that was admitted already is not refused: its account
    /// may not exist yet when a second request of it arrives.
    pub fn decide(&mut self, now: TimeMs, candidate: &Candidate, load: &ServiceLoad) -> Decision {
        self.asked_at[candidate.rank.index()] = Some(now);
        self.hand_out_room(now, load);
        self.waiting_list.expire(now);
        let Candidate { program, rank, .. } = *candidate;
        if self.times.is_running(now, program) {
            return Decision::Admitted { place: None };
        }
        let place = self.waiting_list.place(now, candidate);
        if self.may_start(now, &place, rank, load) {
            self.times.start(now, program, candidate.finish_ms);
            return self.admit(now, program, rank, load);
        }
        let ahead = self.waiting_list.ahead(now, &place, self.times.need());
        let delay_ms = (((ahead as f64 + 1.0) / self.admissions_per_ms(load)) as u64).max(1);
        if delay_ms <= candidate.max_wait_ms {
            return Decision::Held { wait_ms: delay_ms };
        }
        let retry_after_ms = delay_ms.max(MIN_RETRY_MS).min(candidate.max_retry_ms);
        let need = self.times.need();
        self.waiting_list.keep(now, program, place, retry_after_ms, need);
        Decision::Refused { retry_after_ms, place: ahead + 1 }
    }

    fn may_start(&self, now: TimeMs, place: &Place, rank: Rank, load: &ServiceLoad) -> bool {
        // Other owners are taken to have admitted as many programs that are not counted yet.
        let unseen = self.uncounted.len() as f64 / load.share.max(f64::EPSILON);
        if f64::from(load.in_flight) + unseen < f64::from(load.slots) * ALWAYS_ADMITTED_BELOW {
            return true;
        }
        if !load.hears_half {
            return f64::from(load.own_in_flight) < f64::from(load.slots) * load.share;
        }
        let need = self.times.need();
        if place.left_after(now, need) < -MAX_OVERRUN {
            return false;
        }
        let due_ahead = self.waiting_list.due_ahead(now, place, need);
        let is_next = self.room[rank.index()] - due_ahead as f64 >= 1.0;
        is_next || (self.credit[rank.index()] >= 1.0 && self.room[0] >= 1.0)
    }

    fn admit(&mut self, now: TimeMs, program: u64, rank: Rank, load: &ServiceLoad) -> Decision {
        self.recent += 1.0;
        self.uncounted.push_back(now);
        let credit = &mut self.credit[rank.index()];
        *credit = (*credit - 1.0).max(0.0);
        for index in rank.index() + 1..Rank::COUNT {
            let gain = if self.is_present(now, index) { MIN_SHARE } else { 0.0 };
            self.credit[index] = (self.credit[index] + gain).min(MAX_CREDIT);
        }
        let least = -(f64::from(load.slots) * load.share * MAX_DEBT).max(1.0);
        for room in &mut self.room {
            *room = (*room - 1.0).max(least);
        }
        Decision::Admitted { place: self.waiting_list.remove(program) }
    }

    /// Adds the room that became available since the last decision: this owner's share of the free
    /// slots once in [`REFRESH_MS`], and what programs that end make available.
    fn hand_out_room(&mut self, now: TimeMs, load: &ServiceLoad) {
        while self.uncounted.front().is_some_and(|at| now.since(*at) as f64 >= REFRESH_MS) {
            self.uncounted.pop_front();
        }
        let elapsed_ms = now.since(self.updated_at) as f64;
        self.updated_at = now;
        self.recent *= (-elapsed_ms / AVERAGING_MS).exp();
        let limit = f64::from(load.slots) * self.limit.part(now);
        let continued_per_ms = CONTINUED_FRACTION * self.recent / AVERAGING_MS;
        for index in 0..Rank::COUNT {
            let own_free = self.free_slots(now, index, limit, load) * load.share;
            let per_ms = (own_free / REFRESH_MS + continued_per_ms).max(0.0);
            let most = own_free.max(1.0);
            self.room[index] = (self.room[index] + per_ms * elapsed_ms).min(most);
        }
    }

    /// Whether programs of this rank have asked to start recently.
    fn is_present(&self, now: TimeMs, index: usize) -> bool {
        self.asked_at[index].is_some_and(|at| now.since(at) < RANK_PRESENT_MS)
    }

    /// The free slots for programs of this rank; negative if too many are taken.
    fn free_slots(&self, now: TimeMs, index: usize, limit: f64, load: &ServiceLoad) -> f64 {
        let more_urgent = (0..index).filter(|index| self.is_present(now, *index)).count();
        let reserve = (RESERVE_PER_RANK * more_urgent as f64).min(MAX_RESERVE);
        limit - f64::from(load.slots) * reserve - f64::from(load.in_flight)
    }

    /// The rate at which programs of the waiting list are admitted: the recent one, but at least
    /// that of programs that take a slot for twice [`AVERAGING_MS`] each.
    fn admissions_per_ms(&self, load: &ServiceLoad) -> f64 {
        let least = f64::from(load.slots) * load.share / (2.0 * AVERAGING_MS);
        (self.recent / AVERAGING_MS).max(least).max(1.0 / AVERAGING_MS)
    }
}
