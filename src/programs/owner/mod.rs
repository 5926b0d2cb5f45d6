//! The owner of one shard: orders, records and dispatches the turns of its programs.

mod attempts;
mod log;
mod messages;
mod requests;
mod upkeep;

use std::collections::{HashMap, VecDeque};

pub use messages::{
    Action, AppendedAt, Attempt, AttemptFrame, AttemptReport, AttemptWork, CrashStatus, Event,
    FailureCause, LogCallError, OwnerEnvironment, OwnerLimits, PlaceRefusal, PlaceRequest,
    Predecessor, ReadPage,
};

use messages::UnconfirmedRefusal;

use crate::prelude::*;
use crate::programs::ownership::OwnershipEvent;
use crate::programs::{
    ActiveTurn, CallId, Record, Refusal, Reply, ShardOwnership, ShardState, StoredRecord,
};
use crate::programs::{RefusalReason, TurnRequest};

/// The state machine of one shard's owner. It does no I/O: see [`ShardOwner::handle`].
pub struct ShardOwner {
    shard: ShardId,
    entry: VmName,
    instance: Instance,
    nonce: u64,
    limits: OwnerLimits,
    ownership: ShardOwnership,
    predecessor: Predecessor,
    confirmed: Option<TimeMs>,
    shard_state: ShardState,
    active: HashMap<ProgramId, ActiveTurn>,
    next_sequence: u64,
    log: LogState,
    parked: Vec<(CallId, TurnRequest)>,
    unconfirmed: Vec<UnconfirmedRefusal>,
    ending: Vec<(CallId, ProgramId)>,
}

/// What is under way between the owner and the log.
#[derive(Default)]
struct LogState {
    /// Records to append next.
    outbox: Vec<Record>,
    /// Records of the append under way, until they were read or applied.
    in_flight: VecDeque<Record>,
    appending: bool,
    reading: bool,
    /// A read was asked for while another was under way.
    read_again: bool,
    /// When the read or the append under way was asked for.
    read_asked: TimeMs,
    append_asked: TimeMs,
    /// Pages of the first read, until its end.
    recovered: Vec<StoredRecord<Record>>,
    /// When the reserved append may be sent.
    slot: Option<TimeMs>,
    failing: bool,
    retry_at: Option<TimeMs>,
}

/// What one call of [`ShardOwner::handle`] works with.
struct Context<'a> {
    now: TimeMs,
    unix: UnixMs,
    env: &'a mut dyn OwnerEnvironment,
    out: Vec<Action>,
}

impl Context<'_> {
    fn reply(&mut self, call: CallId, reply: Reply) {
        self.out.push(Action::Reply { call, reply });
    }

    fn refuse(&mut self, call: CallId, refusal: Refusal) {
        self.reply(call, Reply::Refused(refusal));
    }
}

impl ShardOwner {
    /// An owner that has not claimed its shard. `nonce` tells its claim from any other.
    pub fn new(
        shard: ShardId,
        entry: VmName,
        instance: Instance,
        nonce: u64,
        limits: OwnerLimits,
    ) -> ShardOwner {
        ShardOwner {
            shard,
            entry,
            instance,
            nonce,
            limits,
            ownership: ShardOwnership::new(),
            predecessor: Predecessor::Unknown,
            confirmed: None,
            shard_state: ShardState::new(),
            active: HashMap::new(),
            next_sequence: 1,
            log: LogState::default(),
            parked: Vec::new(),
            unconfirmed: Vec::new(),
            ending: Vec::new(),
        }
    }

    /// The shard.
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// The tenure of the shard.
    pub fn ownership(&self) -> &ShardOwnership {
        &self.ownership
    }

    /// The state that the log gives.
    pub fn shard_state(&self) -> &ShardState {
        &self.shard_state
    }

    /// Who owned the shard before.
    pub fn predecessor(&self) -> Predecessor {
        self.predecessor
    }

    /// The last moment at which the log was asked and then showed that the shard is still ours.
    pub fn confirmed_at(&self) -> Option<TimeMs> {
        self.confirmed
    }

    /// Turns under way.
    pub fn active_turns(&self) -> impl Iterator<Item = (&ProgramId, &ActiveTurn)> {
        self.active.iter()
    }

    /// Whether the log did not take or give records when last tried.
    pub fn log_failing(&self) -> bool {
        self.log.failing
    }

    /// Takes an event; returns what is to be done.
    pub fn handle(
        &mut self,
        now: TimeMs,
        unix: UnixMs,
        event: Event,
        env: &mut dyn OwnerEnvironment,
    ) -> Vec<Action> {
        let mut cx = Context { now, unix, env, out: Vec::new() };
        match event {
            Event::Claim => self.claim(&mut cx),
            Event::Release => self.hand_over(),
            Event::ConfirmOwnership => self.start_read(&mut cx),
            Event::Request { call, request } => self.request(&mut cx, call, request),
            Event::End { call, program } => self.end(&mut cx, call, program),
            Event::CallerGone { call } => self.caller_gone(call),
            Event::Appended(result) => self.appended(&mut cx, result),
            Event::Read(result) => self.read(&mut cx, result),
            Event::Frame { attempt, frame } => self.frame(&mut cx, attempt, frame),
            Event::ConnectionLost { attempt } => self.lost(&mut cx, attempt),
            Event::Report { attempt, report } => self.report(&mut cx, attempt, report),
            Event::Wake => {}
            Event::Tick => self.tick(&mut cx),
        }
        self.flush(&mut cx);
        cx.out
    }

    fn claim(&mut self, cx: &mut Context<'_>) {
        if !self.ownership.is_unclaimed() {
            return;
        }
        self.ownership.handle(OwnershipEvent::Claim);
        let claim =
            Record::Claim { entry: self.entry.clone(), instance: self.instance, nonce: self.nonce };
        self.log.in_flight.push_back(claim.clone());
        self.log.appending = true;
        cx.out.push(Action::Append(vec![claim]));
    }

    fn hand_over(&mut self) {
        self.ownership.handle(OwnershipEvent::Release);
        self.release_if_idle();
    }

    /// Gives the shard up for good: everything that still waits is told so.
    fn lose(&mut self, cx: &mut Context<'_>) {
        self.ownership.handle(OwnershipEvent::OtherClaimRead);
        self.log.in_flight.clear();
        self.log.outbox.clear();
        for (call, _) in std::mem::take(&mut self.parked) {
            cx.refuse(call, Refusal::not_run(RefusalReason::NotOwner).retry_after(0));
        }
        for waiting in std::mem::take(&mut self.unconfirmed) {
            cx.refuse(waiting.call, Refusal::unknown(RefusalReason::NotOwner).retry_after(0));
        }
        for (call, _) in std::mem::take(&mut self.ending) {
            cx.refuse(call, Refusal::unknown(RefusalReason::NotOwner).retry_after(0));
        }
        for (_, active) in std::mem::take(&mut self.active) {
            let refusal = refusal_when_lost(&active);
            active.waiters.iter().for_each(|waiter| cx.refuse(waiter.call, refusal));
        }
    }
}

fn refusal_when_lost(active: &ActiveTurn) -> Refusal {
    use crate::programs::Phase;
    let untouched = active.phase == Phase::RecordingIntent && active.attempts == 0;
    let refusal = match untouched {
        true => Refusal::not_run(RefusalReason::NotOwner),
        false => Refusal::unknown(RefusalReason::NotOwner),
    };
    refusal.retry_after(0)
}
