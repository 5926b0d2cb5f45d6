use super::messages::UnconfirmedRefusal;
use super::{Context, ShardOwner};
use crate::prelude::*;
use crate::programs::active::Waiter;
use crate::programs::owner::{Action, CrashStatus, PlaceRefusal, PlaceRequest};
use crate::programs::{
    ActiveTurn, CallId, ExecutionStatus, IntentRecord, Phase, ProgramState, Record, Refusal,
    RefusalReason, Reply, TurnRequest,
};

/// When to come back while another call of the program runs or its predecessor is missing.
const BUSY_RETRY_MS: u64 = 250;
/// When to come back while no endpoint serves the call.
const NO_ENDPOINT_RETRY_MS: u64 = 1_000;
/// When to come back while the log takes no records.
const LOG_RETRY_MS: u64 = 2_000;

impl From<PlaceRefusal> for RefusalReason {
    fn from(refusal: PlaceRefusal) -> RefusalReason {
        match refusal {
            PlaceRefusal::NoEndpoint => RefusalReason::NoEndpoint,
            PlaceRefusal::Overloaded => RefusalReason::Overloaded,
        }
    }
}

/// What to do with a call.
enum Verdict {
    Start(TurnNo),
    Join,
    Replay(TurnNo),
    Refuse(Refusal),
    /// Refuse, once the log has confirmed that the shard is still ours.
    RefuseConfirmed(Refusal),
}

impl ShardOwner {
    pub(super) fn request(&mut self, cx: &mut Context<'_>, call: CallId, request: TurnRequest) {
        if self.ownership.is_starting() {
            self.parked.push((call, request));
            return;
        }
        if !self.ownership.is_owning() {
            cx.refuse(call, Refusal::not_run(RefusalReason::NotOwner).retry_after(0));
            return;
        }
        match self.verdict(cx, &request) {
            Verdict::Start(turn) => self.start(cx, call, turn, request),
            Verdict::Join => self.join(cx, call, request),
            Verdict::Replay(turn) => self.replay(cx, call, &request.program, turn),
            Verdict::Refuse(refusal) => cx.refuse(call, refusal),
            Verdict::RefuseConfirmed(refusal) => {
                let deadline = request.deadline;
                self.unconfirmed.push(UnconfirmedRefusal { call, refusal, deadline });
                self.start_read(cx);
            }
        }
    }

    fn verdict(&self, cx: &Context<'_>, request: &TurnRequest) -> Verdict {
        use RefusalReason as Why;
        let known = self.shard_state.program(&request.program);
        if let Some(state) = known
            && let Some(verdict) = recorded_verdict(state, request)
        {
            return verdict;
        }
        if let Some(active) = self.active.get(&request.program) {
            return active_verdict(active, request);
        }
        let next = known.map_or(TurnNo(1), ProgramState::next_turn);
        if request.turn.is_some_and(|turn| turn != next) {
            let refusal = Refusal::not_run(Why::TurnTooEarly { expected: next });
            return Verdict::RefuseConfirmed(refusal.retry_after(BUSY_RETRY_MS));
        }
        if cx.env.crash_status(&request.program.workspace, &request.digest) == CrashStatus::Poison {
            let reason = Why::CrashesEndpoints;
            return Verdict::Refuse(Refusal {
                ran: ExecutionStatus::Ran,
                reason,
                retry_after_ms: None,
            });
        }
        if next.0 > request.limits.max_turns {
            return Verdict::RefuseConfirmed(Refusal::not_run(Why::TurnsExhausted));
        }
        let worst_case = request.work.worst_case_tokens();
        let account = self.shard_state.account(&request.program);
        if !account.can_reserve(
            worst_case + self.unrecorded_reserve(&request.program),
            request.limits.budget_tokens,
        ) {
            return Verdict::RefuseConfirmed(Refusal::not_run(Why::BudgetExhausted));
        }
        if request.deadline <= cx.now {
            return Verdict::Refuse(Refusal::not_run(Why::DeadlinePassed));
        }
        if self.log.failing && !self.limits.waits_for_log {
            return Verdict::Refuse(
                Refusal::not_run(Why::LogUnavailable).retry_after(LOG_RETRY_MS),
            );
        }
        Verdict::Start(next)
    }

    /// Reservations of the same account whose intents the log has not taken yet.
    fn unrecorded_reserve(&self, program: &ProgramId) -> u64 {
        let same =
            |id: &ProgramId| id.workspace == program.workspace && id.root() == program.root();
        let unrecorded = |active: &ActiveTurn| active.phase == Phase::RecordingIntent;
        let reserves = self.active.iter().filter(|(id, active)| same(id) && unrecorded(active));
        reserves.map(|(_, active)| active.reserve_tokens).sum()
    }

    fn start(&mut self, cx: &mut Context<'_>, call: CallId, turn: TurnNo, request: TurnRequest) {
        let endpoint = match self.place(cx, &request, None) {
            Ok(endpoint) => endpoint,
            Err(refusal) => {
                // Spread, so that those who are turned away together don't come back together.
                let retry_ms = NO_ENDPOINT_RETRY_MS + cx.env.random() % NO_ENDPOINT_RETRY_MS;
                cx.refuse(call, Refusal::not_run(refusal.into()).retry_after(retry_ms));
                return;
            }
        };
        let attempt = self.next_attempt();
        let active = ActiveTurn {
            turn,
            digest: request.digest,
            attempt,
            endpoint,
            idempotent: request.work.idempotent(),
            reserve_tokens: request.work.worst_case_tokens(),
            idempotency_key: request.idempotency_key.clone(),
            generated_tokens: 0,
            waiters: vec![Waiter { call, deadline: request.deadline }],
            text: String::new(),
            attempts: 0,
            alone: false,
            phase: Phase::RecordingIntent,
            request: Some(request.clone()),
        };
        self.log.outbox.push(intent_record(&request.program, &active));
        self.active.insert(request.program, active);
    }

    fn join(&mut self, cx: &mut Context<'_>, call: CallId, request: TurnRequest) {
        let Some(active) = self.active.get_mut(&request.program) else {
            return;
        };
        active.waiters.push(Waiter { call, deadline: request.deadline });
        active.request.get_or_insert(request);
        if !active.text.is_empty() {
            let text = active.text.as_str().into();
            cx.reply(call, Reply::Delta { text });
        }
    }

    fn replay(&mut self, cx: &mut Context<'_>, call: CallId, program: &ProgramId, turn: TurnNo) {
        let entry = self.shard_state.program(program).and_then(|state| state.turn(turn));
        if let Some(entry) = entry {
            let result = entry.result.clone();
            cx.reply(call, Reply::Answer { turn, result, replayed: true });
        }
    }

    pub(super) fn end(&mut self, cx: &mut Context<'_>, call: CallId, program: ProgramId) {
        if !self.ownership.is_owning() {
            cx.refuse(call, Refusal::not_run(RefusalReason::NotOwner).retry_after(0));
            return;
        }
        self.ending.push((call, program.clone()));
        self.push_end(program);
    }

    pub(super) fn push_end(&mut self, program: ProgramId) {
        if let Some(epoch) = self.ownership.epoch() {
            self.log.outbox.push(Record::Ended { program, epoch });
        }
    }

    pub(super) fn caller_gone(&mut self, call: CallId) {
        for active in self.active.values_mut() {
            active.waiters.retain(|waiter| waiter.call != call);
        }
        self.unconfirmed.retain(|waiting| waiting.call != call);
        self.parked.retain(|(parked, _)| *parked != call);
        self.ending.retain(|(ending, _)| *ending != call);
    }

    pub(super) fn next_attempt(&mut self) -> AttemptId {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let epoch = self.ownership.epoch().unwrap_or_default();
        AttemptId { shard: self.shard, epoch, sequence }
    }

    pub(super) fn place(
        &self,
        cx: &mut Context<'_>,
        request: &TurnRequest,
        avoid: Option<&VmName>,
    ) -> Result<EndpointRef, PlaceRefusal> {
        let crash_status = cx.env.crash_status(&request.program.workspace, &request.digest);
        cx.env.place(&PlaceRequest {
            program: &request.program,
            target: request.work.target(),
            digest: &request.digest,
            weight: request.weight,
            is_first: self.shard_state.program(&request.program).is_none_or(|s| s.turn_count == 0),
            is_suspect: crash_status != CrashStatus::Clear,
            avoid,
        })
    }

    pub(super) fn free(&mut self, cx: &mut Context<'_>, program: &ProgramId) {
        if let Some(active) = self.active.remove(program) {
            let refusal = Refusal::unknown(RefusalReason::ProgramEnded);
            active.waiters.iter().for_each(|waiter| cx.refuse(waiter.call, refusal));
            cx.out.push(Action::Cancel { attempt: active.attempt, endpoint: active.endpoint });
        }
        cx.out.push(Action::FreeCache { program: program.clone() });
    }
}

/// The record that announces an active turn's newest attempt.
pub(super) fn intent_record(program: &ProgramId, active: &ActiveTurn) -> Record {
    Record::Intent(IntentRecord {
        program: program.clone(),
        turn: active.turn,
        digest: active.digest,
        attempt: active.attempt,
        endpoint: active.endpoint.clone(),
        reserve_tokens: active.reserve_tokens,
        idempotent: active.idempotent,
        idempotency_key: active.idempotency_key.clone(),
    })
}

/// The verdict that the log alone gives, if it gives one.
fn recorded_verdict(state: &ProgramState, request: &TurnRequest) -> Option<Verdict> {
    use RefusalReason as Why;
    if state.ended.is_some() {
        return Some(Verdict::Refuse(refusal_after_end(state, request)));
    }
    if state.has_history_gap {
        return Some(Verdict::Refuse(Refusal::not_run(Why::HistoryGap)));
    }
    let by_key = request.idempotency_key.as_deref().and_then(|key| state.turn_by_key(key));
    let by_number = request.turn.and_then(|turn| Some((turn, state.turn(turn)?)));
    let (turn, entry) = by_key.or(by_number)?;
    match entry.digest == request.digest {
        true => Some(Verdict::Replay(turn)),
        false => Some(Verdict::Refuse(Refusal::not_run(Why::TurnConflict))),
    }
}

/// The turns of an ended program are gone, but not their number: a repeat of one did run.
fn refusal_after_end(state: &ProgramState, request: &TurnRequest) -> Refusal {
    let reason = RefusalReason::ProgramEnded;
    let ran = match request.turn {
        Some(turn) if turn.0 > state.turn_count => ExecutionStatus::NotRun,
        Some(_) => ExecutionStatus::Ran,
        None => ExecutionStatus::Unknown,
    };
    Refusal { ran, reason, retry_after_ms: None }
}

fn active_verdict(active: &ActiveTurn, request: &TurnRequest) -> Verdict {
    use RefusalReason as Why;
    let same_digest = active.digest == request.digest;
    let same_key =
        active.idempotency_key.is_some() && active.idempotency_key == request.idempotency_key;
    match request.turn {
        Some(turn) if turn == active.turn && same_digest => Verdict::Join,
        Some(turn) if turn == active.turn => Verdict::Refuse(Refusal::not_run(Why::TurnConflict)),
        None if same_key && same_digest => Verdict::Join,
        None if same_key => Verdict::Refuse(Refusal::not_run(Why::TurnConflict)),
        None => Verdict::Refuse(Refusal::not_run(Why::ProgramBusy).retry_after(BUSY_RETRY_MS)),
        Some(_) => {
            let refusal = Refusal::not_run(Why::TurnTooEarly { expected: active.turn });
            Verdict::RefuseConfirmed(refusal.retry_after(BUSY_RETRY_MS))
        }
    }
}
