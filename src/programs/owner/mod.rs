//! The owner of one shard: orders the turns of its programs, records them in the shard's stream
//! and dispatches them to endpoints.

mod attempts;
mod log;
mod messages;
mod requests;
mod tick;

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

/// The state machine of one shard's owner. It does no I/O: [`ShardOwner::handle`] returns the
/// actions to carry out.
pub struct ShardOwner {
    shard: ShardId,
    entry: VmName,
    instance: Instance,
    nonce: u64,
    limits: OwnerLimits,
    ownership: ShardOwnership,
    predecessor: Predecessor,
    confirmed_at: Option<TimeMs>,
    shard_state: ShardState,
    active_turns: HashMap<ProgramId, ActiveTurn>,
    next_sequence: u64,
    log: LogState,
    /// Calls that arrived before the ownership was established; they are handled afterwards.
    pending_requests: Vec<(CallId, TurnRequest)>,
    unconfirmed_refusals: Vec<UnconfirmedRefusal>,
    /// Callers that ended a program and wait until its end is recorded.
    pending_ends: Vec<(CallId, ProgramId)>,
}

/// The owner's appends and reads of the log: those in flight and those still to be sent.
#[derive(Default)]
struct LogState {
    /// Records for the next append.
    outbox: Vec<Record>,
    /// Records that were sent to the log and are not yet applied. They stay here after a failed
    /// append, because it may still have taken effect.
    in_flight: VecDeque<Record>,
    appending: bool,
    reading: bool,
    /// Another read was requested while one was in flight.
    read_again: bool,
    /// When the latest read was sent.
    read_sent_at: TimeMs,
    /// When the latest append was sent.
    append_sent_at: TimeMs,
    /// Records read during recovery, collected until the end of the stream is reached.
    recovered: Vec<StoredRecord<Record>>,
    /// When the next append may be sent, if the append rate made it wait.
    append_at: Option<TimeMs>,
    /// Whether the latest append or read failed.
    failing: bool,
    /// When to try the log again after a failure.
    retry_at: Option<TimeMs>,
}

/// The inputs and the collected actions of one call of [`ShardOwner::handle`].
struct Context<'a> {
    now: TimeMs,
    unix_now: UnixMs,
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
    /// An owner that has not claimed its shard yet. `nonce` distinguishes its claim from others of
    /// the same process instance.
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
            confirmed_at: None,
            shard_state: ShardState::new(),
            active_turns: HashMap::new(),
            next_sequence: 1,
            log: LogState::default(),
            pending_requests: Vec::new(),
            unconfirmed_refusals: Vec::new(),
            pending_ends: Vec::new(),
        }
    }

    /// The owned shard.
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// The state of this entry's ownership of the shard.
    pub fn ownership(&self) -> &ShardOwnership {
        &self.ownership
    }

    /// The shard's state, replayed from its stream.
    pub fn shard_state(&self) -> &ShardState {
        &self.shard_state
    }

    /// How the shard's previous ownership ended.
    pub fn predecessor(&self) -> Predecessor {
        self.predecessor
    }

    /// When the latest append or read was sent whose answer confirmed that this entry still owns
    /// the shard.
    pub fn confirmed_at(&self) -> Option<TimeMs> {
        self.confirmed_at
    }

    /// The turns in progress.
    pub fn active_turns(&self) -> impl Iterator<Item = (&ProgramId, &ActiveTurn)> {
        self.active_turns.iter()
    }

    /// Whether the latest append or read failed.
    pub fn log_failing(&self) -> bool {
        self.log.failing
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(
        &mut self,
        now: TimeMs,
        unix_now: UnixMs,
        event: Event,
        env: &mut dyn OwnerEnvironment,
    ) -> Vec<Action> {
        let mut cx = Context { now, unix_now, env, out: Vec::new() };
        match event {
            Event::Claim => self.claim(&mut cx),
            Event::Release => self.start_release(),
            Event::HandOver => self.hand_over(&mut cx),
            Event::ConfirmOwnership => self.start_read(&mut cx),
            Event::Request { call, request } => self.handle_request(&mut cx, call, request),
            Event::End { call, program } => self.handle_end(&mut cx, call, program),
            Event::CallerGone { call } => self.handle_caller_gone(call),
            Event::Appended(result) => self.handle_appended(&mut cx, result),
            Event::Read(result) => self.handle_read(&mut cx, result),
            Event::Frame { attempt, frame } => self.handle_frame(&mut cx, attempt, frame),
            Event::ConnectionLost { attempt } => self.handle_connection_lost(&mut cx, attempt),
            Event::Report { attempt, report } => self.handle_report(&mut cx, attempt, report),
            // `flush` sends the append that waited.
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

    fn start_release(&mut self) {
        self.ownership.handle(OwnershipEvent::Release);
        self.release_if_idle();
    }

    /// Releases the shard with its turns in flight. The next owner asks the endpoints what became
    /// of those that were dispatched; the others are not dispatched any more.
    fn hand_over(&mut self, cx: &mut Context<'_>) {
        self.refuse_waiting_calls(cx);
        self.log.outbox.retain(|record| !matches!(record, Record::Intent(_)));
        self.start_release();
    }

    /// Ends the ownership for good and refuses every waiting call.
    fn lose_ownership(&mut self, cx: &mut Context<'_>) {
        self.ownership.handle(OwnershipEvent::Lost);
        self.log.in_flight.clear();
        self.log.outbox.clear();
        self.refuse_waiting_calls(cx);
    }

    /// Refuses every waiting call, and drops the turns in flight.
    fn refuse_waiting_calls(&mut self, cx: &mut Context<'_>) {
        for (call, _) in std::mem::take(&mut self.pending_requests) {
            cx.refuse(call, Refusal::not_run(RefusalReason::NotOwner).retry_after(0));
        }
        for unconfirmed in std::mem::take(&mut self.unconfirmed_refusals) {
            cx.refuse(unconfirmed.call, Refusal::unknown(RefusalReason::NotOwner).retry_after(0));
        }
        for (call, _) in std::mem::take(&mut self.pending_ends) {
            cx.refuse(call, Refusal::unknown(RefusalReason::NotOwner).retry_after(0));
        }
        for (_, active) in std::mem::take(&mut self.active_turns) {
            let refusal = refusal_on_ownership_loss(&active);
            active.waiters.iter().for_each(|waiter| cx.refuse(waiter.call, refusal));
        }
    }
}

fn refusal_on_ownership_loss(active: &ActiveTurn) -> Refusal {
    use crate::programs::Phase;
    let never_dispatched = active.phase == Phase::RecordingIntent && active.attempts == 0;
    let refusal = match never_dispatched {
        true => Refusal::not_run(RefusalReason::NotOwner),
        false => Refusal::unknown(RefusalReason::NotOwner),
    };
    refusal.retry_after(0)
}
