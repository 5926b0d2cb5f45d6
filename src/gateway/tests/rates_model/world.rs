mod asking;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::limit::{Limit, WINDOW_MS};
use crate::gateway::hubs::{AskedQuestion, GrantedQuestions};
use crate::gateway::message::{CountReport, GossipMessage};
use crate::gateway::peers::Peers;
use crate::gateway::rates::{RateLimiter, RowSelection, SenderAge, workspace_hash};
use crate::gateway::tests::fakes::RATE_WINDOW;
use crate::gateway::tests::{gossip_message, peer};
use crate::prelude::*;
use crate::quota::Grant;

/// Length of a step, and latency of a message.
const STEP_MS: u64 = 5;
const MESSAGE_INTERVAL_MS: u64 = 100;
const MIN_MESSAGE_PAUSE_MS: u64 = 20;

/// How long it may take until an entry has a new configuration.
const CONFIG_MS: u64 = 2_000;

/// For how long an entry may be frozen or down, and for how long after that it is not in touch.
const MAX_OUT_OF_TOUCH_MS: u64 = 4_000 + 3_000;

/// The limit is this many times what the workspace usually sends.
const LIMIT_OVER_USUAL: f64 = 1.6;

/// A window with more requests than are tolerated.
#[derive(Debug)]
#[expect(dead_code, reason = "printed when the test fails")]
pub(super) struct Excess {
    from_ms: u64,
    ran: usize,
    tolerated: f64,
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Counts {
    pub(super) admitted: usize,
    pub(super) refused: usize,
}

type Message = (SocketAddr, GossipMessage, CountReport);

/// A planned stop of a hub, which serves until it exits and is started again later.
#[derive(Debug, Clone, Copy)]
struct Stop {
    begins_at: TimeMs,
    exits_at: TimeMs,
    down_for_ms: u64,
}

struct Hub {
    instance: u64,
    since: TimeMs,
    down_until: TimeMs,
    frozen_until: TimeMs,
    cut_until: TimeMs,
    stop: Option<Stop>,
    peers: Peers,
    rates: RateLimiter,
    granted: GrantedQuestions,
    /// The surges that the hub has recorded in the store.
    surges: Vec<u64>,
    sent_at: TimeMs,
    round: usize,
    inbox: Vec<Message>,
}

/// A refund that is due: who granted the request, and the question or the grant.
enum Refund {
    Here { hub: usize, instance: u64, grant: Grant },
    ByHub { hub: usize, instance: u64, question: AskedQuestion },
}

pub(super) struct World {
    pub(super) times_usual: f64,
    pub(super) loss: f64,
    pub(super) refunded: f64,
    now: TimeMs,
    random: SmallRng,
    hubs: Vec<Hub>,
    leaves: usize,
    next_instance: u64,
    next_question: u64,
    /// The limits and since when they are in force.
    limits: Vec<(TimeMs, Limit)>,
    /// When a hub gets a limit, the newest at that time.
    limits_due: BTreeMap<(TimeMs, u64), usize>,
    refunds_due: BTreeMap<(TimeMs, u64), Refund>,
    offered: f64,
    ran_at: Vec<TimeMs>,
    counts: Counts,
}

fn address(hub: usize) -> SocketAddr {
    ([127, 0, 0, 1], hub as u16 + 1).into()
}

fn index(hub: SocketAddr) -> usize {
    usize::from(hub.port()) - 1
}

impl World {
    pub(super) fn open(seed: u64, hubs: usize, leaves: usize, limit: Limit) -> World {
        let mut world = World {
            times_usual: 1.0,
            loss: 0.0,
            refunded: 0.0,
            now: TimeMs(0),
            random: SmallRng::seed_from_u64(seed),
            hubs: vec![],
            leaves,
            next_instance: 1,
            next_question: 0,
            limits: vec![(TimeMs(0), limit)],
            limits_due: BTreeMap::new(),
            refunds_due: BTreeMap::new(),
            offered: 0.0,
            ran_at: vec![],
            counts: Counts::default(),
        };
        for hub in 0..hubs {
            let started = world.start(hub, hubs, limit);
            world.hubs.push(started);
        }
        world
    }

    fn start(&mut self, hub: usize, hubs: usize, limit: Limit) -> Hub {
        let mut peers = Peers::default();
        let others = (0..hubs).filter(|other| *other != hub);
        others.for_each(|other| peers.upsert(self.now, peer(other as u16 + 1, None)));
        let mut rates = RateLimiter::open(RATE_WINDOW);
        rates.open_window(self.now, &limit.workspace());
        let recorded = self.hubs.iter().flat_map(|hub| hub.surges.iter().copied());
        rates.set_surges_before_start(recorded.collect());
        self.next_instance += 1;
        Hub {
            instance: self.next_instance,
            since: self.now,
            down_until: TimeMs(0),
            frozen_until: TimeMs(0),
            cut_until: TimeMs(0),
            stop: None,
            peers,
            rates,
            granted: GrantedQuestions::default(),
            surges: vec![],
            sent_at: TimeMs(0),
            round: hub,
            inbox: vec![],
        }
    }

    pub(super) fn cut(&mut self, hubs: &[usize], for_ms: u64) {
        self.each_of(hubs, |hub, now| hub.cut_until = now.plus(for_ms));
    }

    pub(super) fn freeze(&mut self, hubs: &[usize], for_ms: u64) {
        self.each_of(hubs, |hub, now| hub.frozen_until = now.plus(for_ms));
    }

    pub(super) fn kill(&mut self, hubs: &[usize], for_ms: u64) {
        self.each_of(hubs, |hub, now| hub.down_until = now.plus(for_ms));
    }

    /// Stops hubs one after the other, in this order, `gap_ms` apart.
    pub(super) fn stop(&mut self, hubs: &[usize], gap_ms: u64, for_ms: u64, down_for_ms: u64) {
        for (place, hub) in hubs.iter().enumerate() {
            let begins_at = self.now.plus(gap_ms * place as u64);
            let stop = Stop { begins_at, exits_at: begins_at.plus(for_ms), down_for_ms };
            self.each_of(&[*hub], |hub, _| _ = hub.stop.get_or_insert(stop));
        }
    }

    fn each_of(&mut self, hubs: &[usize], change: impl Fn(&mut Hub, TimeMs)) {
        for hub in hubs {
            if let Some(hub) = self.hubs.get_mut(*hub) {
                change(hub, self.now);
            }
        }
    }

    pub(super) fn change_limit(&mut self, limit: Limit) {
        self.limits.push((self.now, limit));
        for hub in 0..self.hubs.len() {
            self.send_limit(hub);
        }
    }

    fn send_limit(&mut self, hub: usize) {
        let at = self.now.plus(self.random.random_range(0..CONFIG_MS));
        self.next_question += 1;
        self.limits_due.insert((at, self.next_question), hub);
    }

    pub(super) fn counts(&self) -> Counts {
        self.counts
    }

    pub(super) fn ran_since(&self, ms: u64) -> usize {
        self.ran_at.iter().filter(|at| self.now.since(**at) < ms).count()
    }

    pub(super) fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now = self.now.plus(STEP_MS);
            self.restart_hubs();
            self.stop_hubs();
            self.apply_limits();
            // A hub that wakes up may serve requests before it reads what it has missed.
            self.serve_callers();
            self.read_messages();
            self.probe_silent_hubs();
            self.refund_requests();
            self.record_surges();
            self.send_messages();
        }
    }

    fn is_up(&self, hub: usize) -> bool {
        let hub = &self.hubs[hub];
        hub.down_until <= self.now && hub.frozen_until <= self.now
    }

    fn restart_hubs(&mut self) {
        for hub in 0..self.hubs.len() {
            let was_killed = self.hubs[hub].down_until > self.hubs[hub].since;
            if was_killed && self.hubs[hub].down_until <= self.now {
                let cut_until = self.hubs[hub].cut_until;
                // It may read an older configuration first.
                let known = self.limits.iter().rev().take(2).next_back().map(|(_, limit)| *limit);
                let newest = self.limits.last().expect("there is one").1;
                let started = self.start(hub, self.hubs.len(), known.unwrap_or(newest));
                let surges = std::mem::take(&mut self.hubs[hub].surges);
                self.hubs[hub] = Hub { cut_until, surges, ..started };
                self.send_limit(hub);
                self.learn_of_the_dead(hub);
            }
        }
    }

    fn stop_hubs(&mut self) {
        let now = self.now;
        for hub in self.hubs.iter_mut().filter(|hub| hub.down_until <= now) {
            match hub.stop {
                Some(stop) if stop.exits_at <= now => {
                    hub.down_until = now.plus(stop.down_for_ms);
                    hub.stop = None;
                }
                Some(stop) if stop.begins_at <= now => hub.peers.set_leaving(),
                _ => {}
            }
        }
    }

    /// Hubs connect to those that are silent, and learn which of them have ended.
    fn probe_silent_hubs(&mut self) {
        let now = self.now;
        let is_reached = |hub: &Hub| hub.cut_until <= now;
        let ended = |hub: &Hub| is_reached(hub) && hub.down_until > now;
        let ended: Vec<_> =
            (0..self.hubs.len()).filter(|hub| ended(&self.hubs[*hub])).map(address).collect();
        for hub in 0..self.hubs.len() {
            if self.is_up(hub) && is_reached(&self.hubs[hub]) {
                let peers = &mut self.hubs[hub].peers;
                let unprobed = peers.take_unprobed(now).into_iter();
                unprobed.filter(|at| ended.contains(at)).for_each(|at| peers.mark_dead(at));
            }
        }
    }

    /// A probe finds that the earlier process of a hub has ended.
    fn learn_of_the_dead(&mut self, started: usize) {
        if self.hubs[started].cut_until > self.now {
            return;
        }
        let is_reached = |at: usize| at != started && self.hubs[at].cut_until <= self.now;
        let reached: Vec<_> = (0..self.hubs.len()).filter(|at| is_reached(*at)).collect();
        for hub in reached {
            self.hubs[hub].peers.mark_dead(address(started));
        }
    }

    fn apply_limits(&mut self) {
        while let Some(due) = self.limits_due.first_entry().filter(|due| due.key().0 <= self.now) {
            let ((_, number), hub) = due.remove_entry();
            let frozen_until = self.hubs[hub].frozen_until;
            match frozen_until > self.now {
                true => drop(self.limits_due.insert((frozen_until, number), hub)),
                false => {
                    let newest = self.limits.last().expect("there is one").1;
                    self.hubs[hub].rates.open_window(self.now, &newest.workspace());
                }
            }
        }
    }

    fn serve_callers(&mut self) {
        let limit = self.limits.last().expect("there is one").1;
        let usual_per_s = limit.rate_per_s / LIMIT_OVER_USUAL;
        self.offered += usual_per_s * self.times_usual * STEP_MS as f64 / 1_000.0;
        while self.offered >= 1.0 {
            // Requests of a program come to one entry, one after the other.
            let in_a_row = self.random.random_range(1..=4).min(self.offered as usize);
            self.offered -= in_a_row as f64;
            let entry = self.random.random_range(0..self.hubs.len() + self.leaves);
            (0..in_a_row).for_each(|_| self.serve(entry));
        }
    }

    fn refund_requests(&mut self) {
        while let Some(due) = self.refunds_due.first_entry().filter(|due| due.key().0 <= self.now) {
            let refund = due.remove();
            self.refund(refund);
        }
    }

    fn refund(&mut self, refund: Refund) {
        let now = self.now;
        match refund {
            Refund::Here { hub, instance, grant } => {
                if self.hubs[hub].instance == instance && self.is_up(hub) {
                    self.hubs[hub].rates.refund(now, workspace_hash("w"), grant);
                }
            }
            Refund::ByHub { hub, instance, question } => {
                let is_reached = self.is_up(hub) && self.hubs[hub].cut_until <= now;
                if self.hubs[hub].instance != instance
                    || !is_reached
                    || self.random.random_bool(self.loss)
                {
                    return;
                }
                if let Some((workspace, grant)) = self.hubs[hub].granted.take(question) {
                    self.hubs[hub].rates.refund(now, workspace, grant);
                }
            }
        }
    }

    /// The store is reached by all hubs, and answers within a step.
    fn record_surges(&mut self) {
        let now = self.now;
        let known = |hub: &Hub| now.since(hub.since) >= WINDOW_MS;
        for hub in
            self.hubs.iter_mut().filter(|hub| hub.down_until <= now && hub.frozen_until <= now)
        {
            let surges = hub.rates.surges_to_record(now);
            let earlier = hub.surges.iter().filter(|_| !known(hub)).copied();
            hub.surges = earlier.chain(surges).collect();
            hub.rates.confirm_surges(&hub.surges);
        }
    }

    fn send_messages(&mut self) {
        for hub in 0..self.hubs.len() {
            let since_last_ms = self.now.since(self.hubs[hub].sent_at);
            let is_due = self.hubs[hub].rates.is_report_due(workspace_hash("w"));
            let pause_ms = if is_due { MIN_MESSAGE_PAUSE_MS } else { MESSAGE_INTERVAL_MS };
            if self.is_up(hub) && since_last_ms >= pause_ms {
                self.send_message(hub);
            }
        }
    }

    fn send_message(&mut self, sender: usize) {
        let (now, recently_started) = (self.now, self.is_recent(sender));
        let knows_windows = self.knows_windows(sender);
        let hub = &mut self.hubs[sender];
        hub.sent_at = now;
        hub.round += 1;
        let include_all = hub.peers.has_newcomer(now);
        let selection = RowSelection { round: hub.round, include_all, max_rows: 50 };
        let admitted = hub.rates.rows_to_send(now, selection);
        let refunds = hub.rates.refunds_to_send(now, admitted.iter().map(|row| row.workspace));
        let counts = CountReport { knows_windows, refunds };
        hub.rates.mark_reported(&admitted);
        let gossip = GossipMessage {
            leaving: hub.stop.is_some_and(|stop| stop.begins_at <= now),
            name: format!("entry-{}", sender + 1).into(),
            recently_started,
            admitted,
            ..gossip_message(hub.instance, false)
        };
        let is_cut = hub.cut_until > now;
        for receiver in (0..self.hubs.len()).filter(|receiver| *receiver != sender) {
            let is_lost = self.random.random_bool(self.loss);
            let receiver = &mut self.hubs[receiver];
            if !is_lost && !is_cut && receiver.cut_until <= now && receiver.down_until <= now {
                receiver.inbox.push((address(sender), gossip.clone(), counts.clone()));
            }
        }
    }

    fn read_messages(&mut self) {
        for at in 0..self.hubs.len() {
            if !self.is_up(at) {
                continue;
            }
            let (now, hub) = (self.now, &mut self.hubs[at]);
            for (from, gossip, counts) in std::mem::take(&mut hub.inbox) {
                let outcome = hub.peers.record_message(now, from, &gossip);
                let recently_started = gossip.recently_started;
                let sender = SenderAge { since: outcome.first_heard_at, recently_started };
                hub.rates.apply_remote(now, gossip.instance, &gossip.admitted, sender);
                hub.peers.record_knowledge(from, counts.knows_windows);
                hub.rates.apply_refunds(now, gossip.instance, &counts.refunds);
            }
            hub.peers.take_silent(now);
            hub.rates.record_contact(now, hub.peers.peer_counts(now).hears_half());
        }
    }

    /// The window with the most requests above what is tolerated, if any has.
    pub(super) fn largest_excess(&self) -> Option<Excess> {
        let excess_of = |from: &TimeMs| {
            let until = from.plus(WINDOW_MS);
            let ran = self.ran_at.iter().filter(|at| (*from..until).contains(*at)).count();
            let tolerated = self.tolerated(*from, until);
            (ran as f64 > tolerated).then_some(Excess { from_ms: from.0, ran, tolerated })
        };
        let mut starts = self.ran_at.clone();
        starts.dedup();
        let excesses = starts.iter().filter_map(excess_of);
        excesses
            .max_by(|a, b| (a.ran as f64 - a.tolerated).total_cmp(&(b.ran as f64 - b.tolerated)))
    }

    /// What the largest limit that binds between two times tolerates. A lower limit binds one window
    /// after all entries may have it.
    fn tolerated(&self, from: TimeMs, until: TimeMs) -> f64 {
        let replaced_at = self.limits.iter().skip(1).map(|(at, _)| *at).chain([TimeMs(u64::MAX)]);
        let lingers_ms = CONFIG_MS + MAX_OUT_OF_TOUCH_MS + WINDOW_MS;
        let in_force = self.limits.iter().zip(replaced_at).filter(|((since, _), replaced_at)| {
            *since <= until && replaced_at.plus(lingers_ms) >= from
        });
        in_force.map(|((_, limit), _)| limit.tolerated()).fold(0.0, f64::max)
    }
}
