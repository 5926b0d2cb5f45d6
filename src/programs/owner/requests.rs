use super::messages::UnconfirmedRefusal;
use super::{Context, ShardOwner};
use crate::prelude::*;
use crate::programs::active::Waiter;
use crate::programs::owner::{Action, CrashStatus, PlaceRefusal, PlaceRequest};
use crate::programs::{
    ActiveTurn, CallId, ExecutionStatus, IntentRecord, Phase, ProgramState, Record, Refusal,
    RefusalReason, Reply, TurnRequest,
};

/// Retry delay given while another call of the program runs or an earlier turn is missing.
const BUSY_RETRY_MS: u64 = 250;
/// Minimum retry delay given while no endpoint can take the call; up to as much again is added.
const NO_ENDPOINT_RETRY_MS: u64 = 1_000;
/// Retry delay given while the log accepts no records.
const LOG_RETRY_MS: u64 = 2_000;

impl From<PlaceRefusal> for RefusalReason {
    fn from(refusal: PlaceRefusal) -> RefusalReason {
        match refusal {
            PlaceRefusal::NoEndpoint => RefusalReason::NoEndpoint,
            PlaceRefusal::Overloaded => RefusalReason::Overloaded,
        }
    }
}

/// How to proceed with a call.
enum Decision {
    /// Start this turn.
    Start(TurnNo),
    /// Wait for the same call, which is already in progress.
    Join,
    /// Answer with the recorded result of this turn.
    Replay(TurnNo),
    /// Refuse at once.
    Refuse(Refusal),
    /// Refuse once a read of the log has confirmed that this entry still owns the shard.
    RefuseConfirmed(Refusal),
}

impl ShardOwner {
    pub(super) fn handle_request(
        &mut self,
        cx: &mut Context<'_>,
        call: CallId,
        request: TurnRequest,
    ) {
        if self.ownership.is_starting() {
            self.pending_requests.push((call, request));
            return;
        }
        if !self.ownership.is_owning() {
            cx.refuse(call, Refusal::not_run(RefusalReason::NotOwner).retry_after(0));
            return;
        }
        match self.decide(cx, &request) {
            Decision::Start(turn) => self.start(cx, call, turn, request),
            Decision::Join => self.join(cx, call, request),
            Decision::Replay(turn) => self.replay(cx, call, &request.program, turn),
            Decision::Refuse(refusal) => cx.refuse(call, refusal),
            Decision::RefuseConfirmed(refusal) => {
                let deadline = request.deadline;
                self.unconfirmed_refusals.push(UnconfirmedRefusal { call, refusal, deadline });
                self.start_read(cx);
            }
        }
    }

    fn decide(&self, cx: &Context<'_>, request: &TurnRequest) -> Decision {
        use RefusalReason as Reason;
        let known = self.shard_state.program(&request.program);
        if let Some(state) = known
            && let Some(decision) = decision_from_state(state, request)
        {
            return decision;
        }
        if let Some(active) = self.active_turns.get(&request.program) {
            return decision_from_active(active, request);
        }
        let next = known.map_or(TurnNo(1), ProgramState::next_turn);
        if request.turn.is_some_and(|turn| turn != next) {
            let refusal = Refusal::not_run(Reason::TurnTooEarly { expected: next });
            return Decision::RefuseConfirmed(refusal.retry_after(BUSY_RETRY_MS));
        }
        if cx.env.crash_status(&request.program.workspace, &request.digest) == CrashStatus::Poison {
            let reason = Reason::CrashesEndpoints;
            return Decision::Refuse(Refusal {
                ran: ExecutionStatus::Ran,
                reason,
                retry_after_ms: None,
            });
        }
        if next.0 > request.limits.max_turns {
            return Decision::RefuseConfirmed(Refusal::not_run(Reason::TurnsExhausted));
        }
        let worst_case = request.work.worst_case_tokens();
        let account = self.shard_state.account(&request.program);
        if !account.can_reserve(
            worst_case + self.unrecorded_reserve_tokens(&request.program),
            request.limits.budget_tokens,
        ) {
            return Decision::RefuseConfirmed(Refusal::not_run(Reason::BudgetExhausted));
        }
        if request.deadline <= cx.now {
            return Decision::Refuse(Refusal::not_run(Reason::DeadlinePassed));
        }
        if self.log.failing && !self.limits.waits_for_log {
            return Decision::Refuse(
                Refusal::not_run(Reason::LogUnavailable).retry_after(LOG_RETRY_MS),
            );
        }
        Decision::Start(next)
    }

    /// Tokens reserved for the same account by turns whose intents are not recorded yet.
    fn unrecorded_reserve_tokens(&self, program: &ProgramId) -> u64 {
        let same_account =
            |id: &ProgramId| id.workspace == program.workspace && id.root() == program.root();
        let unrecorded = |active: &ActiveTurn| active.phase == Phase::RecordingIntent;
        let reserves =
            self.active_turns.iter().filter(|(id, active)| same_account(id) && unrecorded(active));
        reserves.map(|(_, active)| active.reserve_tokens).sum()
    }

    fn start(&mut self, cx: &mut Context<'_>, call: CallId, turn: TurnNo, request: TurnRequest) {
        let endpoint = match self.choose_endpoint(cx, &request, None) {
            Ok(endpoint) => endpoint,
            Err(refusal) => {
                // Random, so that callers refused at the same time do not retry at the same time.
                let retry_ms = NO_ENDPOINT_RETRY_MS + cx.env.random() % NO_ENDPOINT_RETRY_MS;
                cx.refuse(call, Refusal::not_run(refusal.into()).retry_after(retry_ms));
                return;
            }
        };
        let attempt = self.next_attempt_id();
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
        self.active_turns.insert(request.program, active);
    }

    fn join(&mut self, cx: &mut Context<'_>, call: CallId, request: TurnRequest) {
        let Some(active) = self.active_turns.get_mut(&request.program) else {
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
        let finished = self.shard_state.program(program).and_then(|state| state.turn(turn));
        if let Some(finished) = finished {
            let result = finished.result.clone();
            cx.reply(call, Reply::Answer { turn, result, replayed: true });
        }
    }

    pub(super) fn handle_end(&mut self, cx: &mut Context<'_>, call: CallId, program: ProgramId) {
        if !self.ownership.is_owning() {
            cx.refuse(call, Refusal::not_run(RefusalReason::NotOwner).retry_after(0));
            return;
        }
        self.pending_ends.push((call, program.clone()));
        self.queue_end_record(program);
    }

    pub(super) fn queue_end_record(&mut self, program: ProgramId) {
        if let Some(epoch) = self.ownership.epoch() {
            self.log.outbox.push(Record::Ended { program, epoch });
        }
    }

    pub(super) fn handle_caller_gone(&mut self, call: CallId) {
        for active in self.active_turns.values_mut() {
            active.waiters.retain(|waiter| waiter.call != call);
        }
        self.unconfirmed_refusals.retain(|unconfirmed| unconfirmed.call != call);
        self.pending_requests.retain(|(waiting_call, _)| *waiting_call != call);
        self.pending_ends.retain(|(waiting_call, _)| *waiting_call != call);
    }

    pub(super) fn next_attempt_id(&mut self) -> AttemptId {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let epoch = self.ownership.epoch().unwrap_or_default();
        AttemptId { shard: self.shard, epoch, sequence }
    }

    pub(super) fn choose_endpoint(
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

    /// Whether the attempt whose intent was just recorded must not start. Since its placement, the
    /// same call may have crashed an engine for another program. A suspect call runs only where it
    /// would be placed now: all entries choose the same endpoint, so that it does not crash one
    /// engine for each caller.
    pub(super) fn must_not_start(
        &self,
        cx: &mut Context<'_>,
        program: &ProgramId,
        request: &TurnRequest,
    ) -> bool {
        match cx.env.crash_status(&program.workspace, &request.digest) {
            CrashStatus::Clear => false,
            CrashStatus::Suspect => {
                let placed = self.choose_endpoint(cx, request, None).ok();
                let planned = self.active_turns.get(program).map(|active| &active.endpoint);
                placed.is_some_and(|placed| Some(&placed) != planned)
            }
            CrashStatus::Poison => true,
        }
    }

    pub(super) fn end_turn_and_free_cache(&mut self, cx: &mut Context<'_>, program: &ProgramId) {
        if let Some(active) = self.active_turns.remove(program) {
            let refusal = Refusal::unknown(RefusalReason::ProgramEnded);
            active.waiters.iter().for_each(|waiter| cx.refuse(waiter.call, refusal));
            cx.out.push(Action::Cancel { attempt: active.attempt, endpoint: active.endpoint });
        }
        cx.out.push(Action::FreeCache { program: program.clone() });
    }
}

/// The record that must be in the log before an active turn's latest attempt is dispatched.
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

/// The decision for a call that the program's recorded state already decides.
fn decision_from_state(state: &ProgramState, request: &TurnRequest) -> Option<Decision> {
    use RefusalReason as Reason;
    if state.ended.is_some() {
        return Some(Decision::Refuse(refusal_after_end(state, request)));
    }
    if state.has_history_gap {
        return Some(Decision::Refuse(Refusal::not_run(Reason::HistoryGap)));
    }
    let by_key = request.idempotency_key.as_deref().and_then(|key| state.turn_by_key(key));
    let by_number = request.turn.and_then(|turn| Some((turn, state.turn(turn)?)));
    let (turn, finished) = by_key.or(by_number)?;
    match finished.digest == request.digest {
        true => Some(Decision::Replay(turn)),
        false => Some(Decision::Refuse(Refusal::not_run(Reason::TurnConflict))),
    }
}

/// The refusal of a call to an ended program, of which only the number of finished turns is kept.
/// A call that repeats one of them did run.
fn refusal_after_end(state: &ProgramState, request: &TurnRequest) -> Refusal {
    let reason = RefusalReason::ProgramEnded;
    let ran = match request.turn {
        Some(turn) if turn.0 > state.turn_count => ExecutionStatus::NotRun,
        Some(_) => ExecutionStatus::Ran,
        None => ExecutionStatus::Unknown,
    };
    Refusal { ran, reason, retry_after_ms: None }
}

fn decision_from_active(active: &ActiveTurn, request: &TurnRequest) -> Decision {
    use RefusalReason as Reason;
    let same_digest = active.digest == request.digest;
    let same_key =
        active.idempotency_key.is_some() && active.idempotency_key == request.idempotency_key;
    match request.turn {
        Some(turn) if turn == active.turn && same_digest => Decision::Join,
        Some(turn) if turn == active.turn => {
            Decision::Refuse(Refusal::not_run(Reason::TurnConflict))
        }
        None if same_key && same_digest => Decision::Join,
        None if same_key => Decision::Refuse(Refusal::not_run(Reason::TurnConflict)),
        None => Decision::Refuse(Refusal::not_run(Reason::ProgramBusy).retry_after(BUSY_RETRY_MS)),
        Some(_) => {
            let refusal = Refusal::not_run(Reason::TurnTooEarly { expected: active.turn });
            Decision::RefuseConfirmed(refusal.retry_after(BUSY_RETRY_MS))
        }
    }
}
