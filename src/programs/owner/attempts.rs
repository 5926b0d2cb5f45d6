use super::requests::intent_record;
use super::{Context, ShardOwner};
use crate::prelude::*;
use crate::programs::owner::{
    Action, Attempt, AttemptFrame, AttemptReport, AttemptWork, CrashStatus, FailureCause,
};
use crate::programs::{
    ActiveTurn, ExecutionStatus, OutcomeRecord, Phase, ProgramState, Record, Refusal,
    RefusalReason, Reply, TurnRequest, TurnResult, Work,
};

/// Retry delay given after all attempts of a call failed.
const FAILED_RETRY_MS: u64 = 1_000;

impl ShardOwner {
    /// Dispatches the attempt whose intent was just recorded.
    pub(super) fn dispatch(&mut self, cx: &mut Context<'_>, program: &ProgramId) {
        let Some(active) = self.active_turns.get_mut(program) else {
            return;
        };
        let Some(request) = active.request.clone() else {
            return;
        };
        active.phase = Phase::Running;
        active.attempts += 1;
        let deadline = active.deadline().unwrap_or(request.deadline);
        let crash_status = cx.env.crash_status(&program.workspace, &active.digest);
        active.alone = crash_status != CrashStatus::Clear;
        if self.must_not_start(cx, program, &request) {
            return self.handle_failure(cx, program, FailureCause::Rejected, Some(0));
        }
        let Some(active) = self.active_turns.get(program) else {
            return;
        };
        let state = self.shard_state.program(program);
        let attempt = Attempt {
            id: active.attempt,
            target: active.endpoint.clone(),
            program: program.clone(),
            turn: active.turn,
            digest: active.digest,
            work: attempt_work(state, active, &request),
            attained_tokens: self.shard_state.account(program).spent_tokens,
            deadline_in_ms: deadline.since(cx.now),
            alone: active.alone,
        };
        cx.out.push(Action::Dispatch(attempt));
    }

    pub(super) fn handle_frame(
        &mut self,
        cx: &mut Context<'_>,
        attempt: AttemptId,
        frame: AttemptFrame,
    ) {
        let Some(program) = self.program_of_attempt(attempt) else {
            return;
        };
        match frame {
            AttemptFrame::Delta { text } => self.stream_text(cx, &program, &text),
            AttemptFrame::Done { result } => {
                self.clear_suspicion(cx, &program);
                cx.env.record_success(&program.workspace);
                self.handle_result(cx, &program, result);
            }
            AttemptFrame::Failed { cause, spent_tokens } => {
                self.handle_failure(cx, &program, cause, spent_tokens);
            }
        }
    }

    /// The program whose latest attempt this is, if it is in flight. Frames of earlier attempts are
    /// ignored: they would mix their text into the latest attempt's answer.
    fn program_of_attempt(&self, attempt: AttemptId) -> Option<ProgramId> {
        let is_current = |active: &ActiveTurn| {
            let is_in_flight =
                matches!(active.phase, Phase::Running | Phase::AwaitingReport { .. });
            active.attempt == attempt && is_in_flight
        };
        self.active_turns.iter().find(|(_, active)| is_current(active)).map(|(id, _)| id.clone())
    }

    fn stream_text(&mut self, cx: &mut Context<'_>, program: &ProgramId, text: &Arc<str>) {
        let Some(active) = self.active_turns.get_mut(program) else {
            return;
        };
        active.text.push_str(text);
        for waiter in &active.waiters {
            cx.reply(waiter.call, Reply::Delta { text: text.clone() });
        }
    }

    fn handle_result(&mut self, cx: &mut Context<'_>, program: &ProgramId, result: TurnResult) {
        self.stream_remaining_text(cx, program, &result);
        let Some((epoch, active)) = self.ownership.epoch().zip(self.active_turns.get_mut(program))
        else {
            return;
        };
        let charge_tokens = match &result {
            TurnResult::Answered { usage, .. } => usage.completion_tokens,
            TurnResult::Served { .. } => 0,
            TurnResult::Unknown => active.reserve_tokens,
        };
        active.phase = Phase::RecordingOutcome;
        let request = active.request.as_ref();
        self.log.outbox.push(Record::Outcome(OutcomeRecord {
            program: program.clone(),
            epoch,
            turn: active.turn,
            attempt: active.attempt,
            digest: active.digest,
            idempotency_key: active.idempotency_key.clone(),
            messages: request.map_or_else(Vec::new, |r| r.work.messages()),
            result,
            charge_tokens,
        }));
    }

    fn handle_failure(
        &mut self,
        cx: &mut Context<'_>,
        program: &ProgramId,
        cause: FailureCause,
        spent_tokens: Option<u64>,
    ) {
        let Some(active) = self.active_turns.get(program) else {
            return;
        };
        if let FailureCause::Crashed { run } = cause {
            let crash = Crash { vm: active.endpoint.vm.clone(), run, alone: active.alone };
            cx.env.record_crash(&program.workspace, &active.digest, crash);
        }
        if !cause.certainly_not_run() && !active.idempotent {
            self.handle_result(cx, program, TurnResult::Unknown);
            return;
        }
        let charge_tokens = match cause.certainly_not_run() {
            true => 0,
            false => spent_tokens.unwrap_or(active.reserve_tokens),
        };
        self.add_generated_tokens(program, spent_tokens);
        self.settle(program, charge_tokens);
        self.back_off_or_give_up(cx, program, cause);
    }

    fn clear_suspicion(&self, cx: &mut Context<'_>, program: &ProgramId) {
        if let Some(active) = self.active_turns.get(program).filter(|active| active.alone) {
            cx.env.clear_suspect(&program.workspace, &active.digest);
        }
    }

    fn add_generated_tokens(&mut self, program: &ProgramId, spent_tokens: Option<u64>) {
        if let Some(active) = self.active_turns.get_mut(program) {
            active.generated_tokens += spent_tokens.unwrap_or(0);
        }
    }

    /// Streams the part of the result that was not streamed yet because a broken connection lost
    /// the frames. Each attempt continues the text of the one before, so the streamed text is
    /// always a prefix of the result.
    fn stream_remaining_text(
        &mut self,
        cx: &mut Context<'_>,
        program: &ProgramId,
        result: &TurnResult,
    ) {
        let TurnResult::Answered { text, .. } = result else {
            return;
        };
        let streamed = self.active_turns.get(program).map_or("", |active| &active.text);
        match text.strip_prefix(streamed) {
            Some("") | None => {}
            Some(rest) => self.stream_text(cx, program, &rest.into()),
        }
    }

    fn settle(&mut self, program: &ProgramId, charge_tokens: u64) {
        let Some((epoch, active)) = self.ownership.epoch().zip(self.active_turns.get_mut(program))
        else {
            return;
        };
        let charge_tokens = charge_tokens.min(active.reserve_tokens);
        active.reserve_tokens = 0;
        self.log.outbox.push(Record::Settled {
            program: program.clone(),
            epoch,
            attempt: active.attempt,
            charge_tokens,
        });
    }

    fn back_off_or_give_up(
        &mut self,
        cx: &mut Context<'_>,
        program: &ProgramId,
        cause: FailureCause,
    ) {
        let Some(active) = self.active_turns.get_mut(program) else {
            return;
        };
        let crash_status = cx.env.crash_status(&program.workspace, &active.digest);
        let attempts_exhausted = active.attempts >= self.limits.max_attempts;
        let no_attempts_left = crash_status == CrashStatus::Poison || attempts_exhausted;
        let is_abandoned = active.waiters.is_empty() || cause == FailureCause::Cancelled;
        let gives_up = no_attempts_left || is_abandoned || active.request.is_none();
        if gives_up || !cx.env.try_acquire_retry(&program.workspace) {
            let reason = match crash_status {
                CrashStatus::Poison => RefusalReason::CrashesEndpoints,
                _ => RefusalReason::AttemptsFailed,
            };
            self.give_up(cx, program, reason);
            return;
        }
        let delay_ms = self.limits.backoff_ms << active.attempts.saturating_sub(1).min(6);
        let jitter_ms = cx.env.random() % delay_ms.max(1);
        active.phase = Phase::BackingOff { until: cx.now.plus(delay_ms / 2 + jitter_ms) };
    }

    /// Ends the turn without a result; the caller may send it again.
    fn give_up(&mut self, cx: &mut Context<'_>, program: &ProgramId, reason: RefusalReason) {
        let Some(active) = self.active_turns.remove(program) else {
            return;
        };
        let refusal = match reason {
            RefusalReason::CrashesEndpoints => {
                Refusal { ran: ExecutionStatus::Ran, reason, retry_after_ms: None }
            }
            _ => Refusal::unknown(reason).retry_after(FAILED_RETRY_MS),
        };
        active.waiters.iter().for_each(|waiter| cx.refuse(waiter.call, refusal));
    }

    /// Starts another attempt, on a different endpoint if there is one.
    pub(super) fn start_next_attempt(&mut self, cx: &mut Context<'_>, program: &ProgramId) {
        let Some(active) = self.active_turns.get(program) else {
            return;
        };
        let Some(request) = active.request.clone() else {
            return;
        };
        let settled =
            self.shard_state.program(program).is_none_or(|state| state.open_intent.is_none());
        if !settled {
            // The last attempt's settlement is not recorded yet, so its reservation still counts
            // against the budget. The next tick tries again.
            return;
        }
        let avoid = active.endpoint.vm.clone();
        let endpoint = match self.choose_endpoint(cx, &request, Some(&avoid)) {
            Ok(endpoint) => endpoint,
            Err(refusal) => return self.give_up(cx, program, refusal.into()),
        };
        let generated_tokens = active.generated_tokens;
        let worst_case = request.work.worst_case_tokens();
        // At least one token, unless the work can generate none: see the `max_tokens` of
        // `attempt_work`.
        let reserve_tokens = worst_case.saturating_sub(generated_tokens).max(worst_case.min(1));
        let account = self.shard_state.account(program);
        if !account.can_reserve(reserve_tokens, request.limits.budget_tokens) {
            return self.give_up(cx, program, RefusalReason::BudgetExhausted);
        }
        let attempt = self.next_attempt_id();
        let Some(active) = self.active_turns.get_mut(program) else {
            return;
        };
        active.attempt = attempt;
        active.endpoint = endpoint;
        active.reserve_tokens = reserve_tokens;
        active.phase = Phase::RecordingIntent;
        self.log.outbox.push(intent_record(program, active));
    }

    /// The connection broke before the last frame. Only the endpoint process knows what became of
    /// the attempt, so it is queried.
    pub(super) fn handle_connection_lost(&mut self, cx: &mut Context<'_>, attempt: AttemptId) {
        let Some(program) = self.program_of_attempt(attempt) else {
            return;
        };
        self.query_attempt(cx, &program, 0);
    }

    pub(super) fn query_attempt(
        &mut self,
        cx: &mut Context<'_>,
        program: &ProgramId,
        unanswered: u32,
    ) {
        let epoch = self.ownership.epoch().unwrap_or_default();
        let next_query_at = cx.now.plus(self.limits.query_interval_ms);
        if let Some(active) = self.active_turns.get_mut(program) {
            active.phase = Phase::AwaitingReport { next_query_at, unanswered };
            cx.out.push(Action::QueryAttempt {
                attempt: active.attempt,
                endpoint: active.endpoint.clone(),
                epoch,
            });
        }
    }

    pub(super) fn handle_report(
        &mut self,
        cx: &mut Context<'_>,
        attempt: AttemptId,
        report: AttemptReport,
    ) {
        let Some(program) = self.program_of_attempt(attempt) else {
            return;
        };
        let Some(Phase::AwaitingReport { next_query_at, unanswered }) =
            self.active_turns.get(&program).map(|active| active.phase)
        else {
            return;
        };
        match report {
            AttemptReport::NeverSeen => {
                self.handle_failure(cx, &program, FailureCause::Rejected, Some(0));
            }
            AttemptReport::Over(AttemptFrame::Done { result }) => {
                self.handle_reported_result(cx, &program, next_query_at, result);
            }
            AttemptReport::Over(AttemptFrame::Failed { cause, spent_tokens }) => {
                self.handle_failure(cx, &program, cause, spent_tokens);
            }
            AttemptReport::Running | AttemptReport::Over(AttemptFrame::Delta { .. }) => {
                self.set_awaiting_report(&program, next_query_at, 0);
            }
            AttemptReport::NoAnswer if unanswered + 1 < self.limits.max_unanswered_queries => {
                self.set_awaiting_report(&program, next_query_at, unanswered + 1);
            }
            AttemptReport::NoAnswer | AttemptReport::Forgotten => {
                self.handle_failure(cx, &program, FailureCause::Interrupted, None);
            }
        }
    }

    fn set_awaiting_report(&mut self, program: &ProgramId, next_query_at: TimeMs, unanswered: u32) {
        if let Some(active) = self.active_turns.get_mut(program) {
            active.phase = Phase::AwaitingReport { next_query_at, unanswered };
        }
    }

    /// Handles the result of an attempt whose stream broke or that an earlier owner dispatched.
    fn handle_reported_result(
        &mut self,
        cx: &mut Context<'_>,
        program: &ProgramId,
        next_query_at: TimeMs,
        result: TurnResult,
    ) {
        let no_request =
            self.active_turns.get(program).is_some_and(|active| active.request.is_none());
        if no_request && matches!(result, TurnResult::Answered { .. }) {
            // The call's messages arrive only when the caller repeats it, and a history without
            // them would be wrong. Until then the endpoint process keeps the result.
            self.set_awaiting_report(program, next_query_at, 0);
            return;
        }
        self.handle_result(cx, program, result);
    }
}

fn attempt_work(
    state: Option<&ProgramState>,
    active: &ActiveTurn,
    request: &TurnRequest,
) -> AttemptWork {
    match &request.work {
        Work::Model { model, messages, max_tokens, parameters } => {
            let mut conversation = state.map_or_else(Vec::new, ProgramState::history);
            conversation.extend(messages.iter().cloned());
            AttemptWork::Model {
                model: model.clone(),
                messages: conversation,
                resume_text: active.text.as_str().into(),
                max_tokens: max_tokens.saturating_sub(active.generated_tokens as u32).max(1),
                parameters: parameters.clone(),
            }
        }
        Work::Service { service, action, body, idempotent } => AttemptWork::Service {
            service: service.clone(),
            action: action.clone(),
            body: body.clone(),
            idempotent: *idempotent,
        },
    }
}
