mod endpoints;
mod network;

use std::collections::HashMap;

use super::callers::{Callers, TURNS};
use super::fake_log::FakeLog;
use super::vm;
use crate::endpoint::{AttemptScheduler, OrderPolicy, SchedulerLimits};
use crate::prelude::*;
use crate::programs::{
    Action, Attempt, CallId, CrashStatus, Event, OwnerEnvironment, OwnerLimits, PlaceRefusal,
    PlaceRequest, Record, Reply, ShardOwner,
};

const SHARD: ShardId = ShardId(0);
const PAGE_RECORDS: usize = 7;
const CACHE_LEASE_MS: u64 = 30_000;

/// One step of a simulation: `kind` selects the event, `arg` what it affects.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    pub kind: u8,
    pub arg: u8,
}

/// A message in flight between two parts of the simulation.
#[derive(Debug, Clone)]
enum Message {
    Owner { nonce: u64, event: Event },
    Append { nonce: u64, records: Vec<Record> },
    Read { nonce: u64, from: Option<Offset> },
    Submit { nonce: u64, attempt: Attempt },
    QueryAttempt { nonce: u64, attempt: AttemptId, endpoint: EndpointRef, epoch: Epoch },
    Reply { call: CallId, reply: Reply },
}

struct Entry {
    owner: Option<ShardOwner>,
    nonce: u64,
    paused: bool,
}

struct Endpoint {
    scheduler: AttemptScheduler,
    endpoint_ref: EndpointRef,
    /// Running attempts, each with the number of words that it has sent.
    running: Vec<(Attempt, usize)>,
    /// The owner, by its nonce, that gets the frames of an attempt; removed when the connection
    /// breaks.
    listeners: HashMap<AttemptId, u64>,
}

/// A simulation of two entries, two endpoints, a log and callers, driven one step at a time.
/// Invariants are checked at each step.
pub struct Simulation {
    pub now: u64,
    pub log: FakeLog,
    pub callers: Callers,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    in_flight: Vec<Message>,
    next_nonce: u64,
    /// The next append takes effect, but its answer is lost.
    pub lose_next_append_answer: bool,
    /// The next append is not answered and takes effect later.
    pub delay_next_append: Option<()>,
    delayed_appends: Vec<Vec<Record>>,
    pub executions: HashMap<(ProgramId, TurnNo), usize>,
    generated: HashMap<ProgramId, u64>,
    /// Whether some appends are delayed by the entry's share of the log's append rate.
    pub limit_append_rate: bool,
}

/// Environment of an owner: the endpoints, a number that selects one of them, and whether appends
/// are limited by the entry's share of the log's append rate.
struct Environment<'a>(&'a [Endpoint], usize, bool);

impl OwnerEnvironment for Environment<'_> {
    fn place(&mut self, request: &PlaceRequest<'_>) -> Result<EndpointRef, PlaceRefusal> {
        let usable = |e: &&Endpoint| Some(&e.endpoint_ref.vm) != request.avoid;
        let usable: Vec<&Endpoint> = self.0.iter().filter(usable).collect();
        let chosen = usable.get(self.1 % usable.len().max(1));
        chosen.map(|endpoint| endpoint.endpoint_ref.clone()).ok_or(PlaceRefusal::NoEndpoint)
    }

    fn crash_status(&self, _: &WorkspaceId, _: &Digest) -> CrashStatus {
        CrashStatus::Clear
    }

    fn record_crash(&mut self, _: &WorkspaceId, _: &Digest, _: Crash) {}

    fn clear_suspect(&mut self, _: &WorkspaceId, _: &Digest) {}

    fn record_success(&mut self, _: &WorkspaceId) {}

    fn try_acquire_retry(&mut self, _: &WorkspaceId) -> bool {
        true
    }

    fn reserve_append(&mut self) -> u64 {
        // In some steps, the entry has used up its share of the log's append rate.
        if self.2 && self.1.is_multiple_of(3) { 40 } else { 0 }
    }

    fn random(&mut self) -> u64 {
        7
    }
}

fn limits() -> OwnerLimits {
    OwnerLimits {
        snapshot_age_ms: 10_000,
        program_idle_ms: 1 << 40,
        tombstone_ms: 20_000,
        ..OwnerLimits::default()
    }
}

impl Simulation {
    pub fn new(programs: usize) -> Simulation {
        let entries = (0..2).map(|_| Entry { owner: None, nonce: 0, paused: false });
        let mut simulation = Simulation {
            now: 1_000,
            log: FakeLog::default(),
            callers: Callers::new(programs),
            entries: entries.collect(),
            endpoints: Vec::new(),
            in_flight: Vec::new(),
            next_nonce: 1,
            lose_next_append_answer: false,
            delay_next_append: None,
            delayed_appends: Vec::new(),
            executions: HashMap::new(),
            generated: HashMap::new(),
            limit_append_rate: false,
        };
        simulation.endpoints = (0..2).map(|index| simulation.new_endpoint(index)).collect();
        simulation
    }

    fn new_endpoint(&mut self, index: usize) -> Endpoint {
        self.next_nonce += 1;
        let endpoint_ref =
            EndpointRef { vm: vm(&format!("m{index}")), instance: Instance(self.next_nonce) };
        let limits = SchedulerLimits {
            concurrency: 2,
            queue: 16,
            cache_lease_ms: CACHE_LEASE_MS,
            finished_bytes: 400,
        };
        let scheduler =
            AttemptScheduler::new(endpoint_ref.clone(), limits, OrderPolicy::FairThenAttained);
        Endpoint { scheduler, endpoint_ref, running: Vec::new(), listeners: HashMap::new() }
    }

    /// Runs one step. Most kinds make normal progress; the others inject faults.
    pub fn step(&mut self, step: Step) {
        let arg = usize::from(step.arg);
        match step.kind % 64 {
            0..=25 => (0..3).for_each(|n| self.deliver(arg + n)),
            26..=29 => self.tick(u64::from(step.arg)),
            30..=37 => (0..2).for_each(|n| self.advance(arg + n)),
            38..=45 => self.call(arg),
            46 => self.call_early(arg),
            47 => self.kill_entry(arg % 2),
            48 => self.entries[arg % 2].paused = true,
            49..=50 => self.entries[arg % 2].paused = false,
            51..=53 => self.claim_if_free(arg),
            54 => self.claim(arg % 2),
            55 => self.log.unavailable = arg.is_multiple_of(4),
            56 => self.lose_next_append_answer = true,
            57 => self.delay_next_append = Some(()),
            58..=59 => self.kill_endpoint(arg % 2),
            60..=61 => self.break_connection(arg),
            62 => self.apply_delayed_append(),
            _ => self.disconnect_caller(arg),
        }
    }

    fn claim_if_free(&mut self, arg: usize) {
        if self.entries.iter().all(|entry| entry.owner.is_none() || entry.paused) {
            self.claim(arg % 2);
        }
    }

    /// Delivers all messages in flight, advances running attempts, and lets `ms` pass.
    pub fn round(&mut self, ms: u64) {
        for _ in 0..4 {
            self.deliver_all();
            (0..2).for_each(|index| self.advance_all(index));
        }
        self.tick(ms);
    }

    pub fn pause(&mut self, index: usize, paused: bool) {
        self.entries[index].paused = paused;
    }

    /// Ends all faults, and runs until every program is done.
    pub fn run_to_completion(&mut self) {
        self.log.unavailable = false;
        self.lose_next_append_answer = false;
        self.delay_next_append = None;
        for round in 0..4_000 {
            self.entries.iter_mut().for_each(|entry| entry.paused = false);
            if self.callers.programs.iter().all(|program| self.callers.is_done(program)) {
                break;
            }
            if round % 8 == 0 {
                self.call_all_programs();
            }
            self.deliver_all();
            (0..2).for_each(|index| self.advance_all(index));
            self.tick(60);
            self.apply_delayed_append();
        }
        self.assert_all_done();
    }

    fn assert_all_done(&self) {
        for program in &self.callers.programs {
            let current = self.callers.current_turn(program);
            let owners = self.entries.iter().filter_map(|entry| entry.owner.as_ref());
            let active: Vec<_> = owners.flat_map(|owner| owner.active_turns()).collect();
            assert!(
                self.callers.is_done(program),
                "{program} is stuck at turn {current}; refusals {:?}, turns in flight {active:?}",
                self.callers.refusals
            );
        }
    }

    fn call_all_programs(&mut self) {
        if self.entries.iter().all(|entry| entry.owner.is_none()) {
            self.claim(0);
        }
        let programs = self.callers.programs.clone();
        for program in programs {
            let turn = self.callers.current_turn(&program);
            if turn <= TURNS && !self.callers.is_done(&program) {
                (0..2).for_each(|entry| self.call_at(entry, &program, turn));
            }
        }
    }

    pub fn claim(&mut self, index: usize) {
        if self.entries[index].paused {
            return;
        }
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        let name = vm(&format!("e{index}"));
        let owner = ShardOwner::new(SHARD, name, Instance(index as u64), nonce, limits());
        self.entries[index].owner = Some(owner);
        self.entries[index].nonce = nonce;
        self.handle(index, Event::Claim);
    }

    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index] = Entry { owner: None, nonce: 0, paused: false };
    }

    /// The endpoint process crashes. Attempts that it had started still count as executed.
    pub fn kill_endpoint(&mut self, index: usize) {
        let lost: Vec<(AttemptId, u64)> =
            self.endpoints[index].listeners.iter().map(|(id, nonce)| (*id, *nonce)).collect();
        self.endpoints[index] = self.new_endpoint(index);
        for (attempt, nonce) in lost {
            self.in_flight.push(Message::Owner { nonce, event: Event::ConnectionLost { attempt } });
        }
    }

    /// Breaks a connection between an owner and an endpoint. For an even `arg`, that is the
    /// connection of the latest attempt still in flight to its endpoint, if there is one: the owner
    /// then sees the break before the endpoint gets the attempt.
    pub fn break_connection(&mut self, arg: usize) {
        let mut submits = self.in_flight.iter().filter_map(|message| match message {
            Message::Submit { nonce, attempt } => Some((*nonce, attempt.id)),
            _ => None,
        });
        if let Some((nonce, attempt)) = submits.next_back().filter(|_| arg.is_multiple_of(2)) {
            self.in_flight.push(Message::Owner { nonce, event: Event::ConnectionLost { attempt } });
            return;
        }
        let endpoint = &mut self.endpoints[arg % 2];
        let mut ids: Vec<AttemptId> = endpoint.listeners.keys().copied().collect();
        ids.sort();
        let Some(attempt) = ids.get(arg / 2 % ids.len().max(1)).copied() else {
            return;
        };
        if let Some(nonce) = endpoint.listeners.remove(&attempt) {
            self.in_flight.push(Message::Owner { nonce, event: Event::ConnectionLost { attempt } });
        }
    }

    fn disconnect_caller(&mut self, arg: usize) {
        let waiting = self.callers.waiting_calls();
        let Some(call) = waiting.get(arg % waiting.len().max(1)).copied() else {
            return;
        };
        self.callers.disconnect(call);
        (0..2).for_each(|index| self.handle(index, Event::CallerGone { call }));
    }

    fn call(&mut self, arg: usize) {
        let program = self.callers.programs[arg / 2 % self.callers.programs.len()].clone();
        let turn = self.callers.current_turn(&program);
        if turn <= TURNS && !self.callers.is_done(&program) {
            self.call_at(arg % 2, &program, turn);
        }
    }

    fn call_early(&mut self, arg: usize) {
        let program = self.callers.programs[arg / 2 % self.callers.programs.len()].clone();
        let turn = self.callers.current_turn(&program) + 1;
        if turn <= TURNS {
            self.call_at(arg % 2, &program, turn);
        }
    }

    pub fn call_at(&mut self, index: usize, program: &ProgramId, turn: u32) {
        if self.entries[index].paused {
            return;
        }
        if self.entries[index].owner.is_none() {
            return;
        }
        let (call, request) = self.callers.open_call(self.now, program, turn);
        self.handle(index, Event::Request { call, request });
    }

    fn tick(&mut self, ms: u64) {
        self.now += ms;
        (0..2).for_each(|index| self.handle(index, Event::Tick));
        for index in 0..2 {
            let actions = self.endpoints[index].scheduler.schedule(TimeMs(self.now));
            self.scheduler_actions(index, actions);
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        let (now, unix) = (TimeMs(self.now), UnixMs(self.now));
        let entry = &mut self.entries[index];
        if entry.paused {
            return;
        }
        let nonce = entry.nonce;
        let Some(owner) = entry.owner.as_mut() else {
            return;
        };
        let mut environment =
            Environment(&self.endpoints, self.now as usize / 7, self.limit_append_rate);
        let actions = owner.handle(now, unix, event, &mut environment);
        if owner.ownership().is_lost() {
            entry.owner = None;
        }
        actions.into_iter().for_each(|action| self.carry_out(nonce, action));
    }

    fn carry_out(&mut self, nonce: u64, action: Action) {
        let message = match action {
            Action::Append(records) => Message::Append { nonce, records },
            Action::Read(from) => Message::Read { nonce, from },
            Action::Dispatch(attempt) => Message::Submit { nonce, attempt },
            Action::QueryAttempt { attempt, endpoint, epoch } => {
                Message::QueryAttempt { nonce, attempt, endpoint, epoch }
            }
            Action::Reply { call, reply } => Message::Reply { call, reply },
            // The owner needs no wake-up, because each tick also makes it proceed.
            Action::Wake { .. } | Action::Cancel { .. } | Action::FreeCache { .. } => return,
        };
        self.in_flight.push(message);
    }
}
