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

/// When to come back after every attempt of a call failed.
const FAILED_RETRY_MS: u64 = 1_000;

impl ShardOwner {
    /// Sends the attempt whose intent the log has just confirmed.
    pub(super) fn dispatch(&mut self, cx: &mut Context<'_>, program: &ProgramId) {
        let Some(active) = self.active.get_mut(program) else {
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

    pub(super) fn frame(&mut self, cx: &mut Context<'_>, attempt: AttemptId, frame: AttemptFrame) {
        let Some(program) = self.program_running(attempt) else {
            return;
        };
        match frame {
            AttemptFrame::Delta { text } => self.delta(cx, &program, &text),
            AttemptFrame::Done { result } => {
                self.clear_suspicion(cx, &program);
                cx.env.record_success(&program.workspace);
                self.done(cx, &program, result);
            }
            AttemptFrame::Failed { cause, spent_tokens } => {
                self.failed(cx, &program, cause, spent_tokens);
            }
        }
    }

    /// The program whose newest attempt this is. A frame of an earlier attempt finds none: it
    /// would otherwise put one attempt's text into another's answer.
    fn program_running(&self, attempt: AttemptId) -> Option<ProgramId> {
        let current = |active: &ActiveTurn| {
            let under_way = matches!(active.phase, Phase::Running | Phase::AwaitingReport { .. });
            active.attempt == attempt && under_way
        };
        self.active.iter().find(|(_, active)| current(active)).map(|(id, _)| id.clone())
    }

    fn delta(&mut self, cx: &mut Context<'_>, program: &ProgramId, text: &Arc<str>) {
        let Some(active) = self.active.get_mut(program) else {
            return;
        };
        active.text.push_str(text);
        for waiter in &active.waiters {
            cx.reply(waiter.call, Reply::Delta { text: text.clone() });
        }
    }

    fn done(&mut self, cx: &mut Context<'_>, program: &ProgramId, result: TurnResult) {
        self.stream_rest(cx, program, &result);
        let Some((epoch, active)) = self.ownership.epoch().zip(self.active.get_mut(program)) else {
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

    fn failed(
        &mut self,
        cx: &mut Context<'_>,
        program: &ProgramId,
        cause: FailureCause,
        spent_tokens: Option<u64>,
    ) {
        let Some(active) = self.active.get(program) else {
            return;
        };
        if let FailureCause::Crashed { run } = cause {
            let crash = Crash { vm: active.endpoint.vm.clone(), run, alone: active.alone };
            cx.env.record_crash(&program.workspace, &active.digest, crash);
        }
        if !cause.certainly_not_run() && !active.idempotent {
            self.done(cx, program, TurnResult::Unknown);
            return;
        }
        let charge_tokens = match cause.certainly_not_run() {
            true => 0,
            false => spent_tokens.unwrap_or(active.reserve_tokens),
        };
        self.count_generated(program, spent_tokens);
        self.settle(program, charge_tokens);
        self.back_off_or_give_up(cx, program, cause);
    }

    fn clear_suspicion(&self, cx: &mut Context<'_>, program: &ProgramId) {
        if let Some(active) = self.active.get(program).filter(|active| active.alone) {
            cx.env.clear_suspect(&program.workspace, &active.digest);
        }
    }

    fn count_generated(&mut self, program: &ProgramId, spent_tokens: Option<u64>) {
        if let Some(active) = self.active.get_mut(program) {
            active.generated_tokens += spent_tokens.unwrap_or(0);
        }
    }

    /// Streams what the result holds beyond the text that was streamed: frames that a broken
    /// connection swallowed. Each attempt goes on from the text before it, so that the streamed
    /// text is always the beginning of the result.
    fn stream_rest(&mut self, cx: &mut Context<'_>, program: &ProgramId, result: &TurnResult) {
        let TurnResult::Answered { text, .. } = result else {
            return;
        };
        let streamed = self.active.get(program).map_or("", |active| &active.text);
        match text.strip_prefix(streamed) {
            Some("") | None => {}
            Some(rest) => self.delta(cx, program, &rest.into()),
        }
    }

    fn settle(&mut self, program: &ProgramId, charge_tokens: u64) {
        let Some((epoch, active)) = self.ownership.epoch().zip(self.active.get_mut(program)) else {
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
        let Some(active) = self.active.get_mut(program) else {
            return;
        };
        let crash_status = cx.env.crash_status(&program.workspace, &active.digest);
        let out_of_tries = active.attempts >= self.limits.max_attempts;
        let given_up = crash_status == CrashStatus::Poison || out_of_tries;
        let nobody_waits = active.waiters.is_empty() || cause == FailureCause::Cancelled;
        let over = given_up || nobody_waits || active.request.is_none();
        if over || !cx.env.try_acquire_retry(&program.workspace) {
            let reason = match crash_status {
                CrashStatus::Poison => RefusalReason::CrashesEndpoints,
                _ => RefusalReason::AttemptsFailed,
            };
            self.give_up(cx, program, reason);
            return;
        }
        let doubled = self.limits.backoff_ms << active.attempts.saturating_sub(1).min(6);
        let jitter_ms = cx.env.random() % doubled.max(1);
        active.phase = Phase::BackingOff { until: cx.now.plus(doubled / 2 + jitter_ms) };
    }

    /// Ends the turn's attempts without a result; the caller may send the turn again.
    fn give_up(&mut self, cx: &mut Context<'_>, program: &ProgramId, reason: RefusalReason) {
        let Some(active) = self.active.remove(program) else {
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

    /// Starts another attempt, on another endpoint if there is one.
    pub(super) fn attempt_again(&mut self, cx: &mut Context<'_>, program: &ProgramId) {
        let Some(active) = self.active.get(program) else {
            return;
        };
        let Some(request) = active.request.clone() else {
            return;
        };
        let settled =
            self.shard_state.program(program).is_none_or(|state| state.open_intent.is_none());
        if !settled {
            // The log still counts the last attempt's reservation against the budget.
            return;
        }
        let avoid = active.endpoint.vm.clone();
        let endpoint = match self.place(cx, &request, Some(&avoid)) {
            Ok(endpoint) => endpoint,
            Err(refusal) => return self.give_up(cx, program, refusal.into()),
        };
        let generated_tokens = active.generated_tokens;
        let worst_case = request.work.worst_case_tokens();
        let reserve_tokens = worst_case.saturating_sub(generated_tokens).max(worst_case.min(1));
        let account = self.shard_state.account(program);
        if !account.can_reserve(reserve_tokens, request.limits.budget_tokens) {
            return self.give_up(cx, program, RefusalReason::BudgetExhausted);
        }
        let attempt = self.next_attempt();
        let Some(active) = self.active.get_mut(program) else {
            return;
        };
        active.attempt = attempt;
        active.endpoint = endpoint;
        active.reserve_tokens = reserve_tokens;
        active.phase = Phase::RecordingIntent;
        self.log.outbox.push(intent_record(program, active));
    }

    /// The connection broke before the last frame: what became of the attempt is only known
    /// where it ran.
    pub(super) fn lost(&mut self, cx: &mut Context<'_>, attempt: AttemptId) {
        let Some(program) = self.program_running(attempt) else {
            return;
        };
        self.ask(cx, &program, 0);
    }

    pub(super) fn ask(&mut self, cx: &mut Context<'_>, program: &ProgramId, unanswered: u32) {
        let epoch = self.ownership.epoch().unwrap_or_default();
        let next_query_at = cx.now.plus(self.limits.ask_every_ms);
        if let Some(active) = self.active.get_mut(program) {
            active.phase = Phase::AwaitingReport { next_query_at, unanswered };
            cx.out.push(Action::QueryAttempt {
                attempt: active.attempt,
                endpoint: active.endpoint.clone(),
                epoch,
            });
        }
    }

    pub(super) fn report(
        &mut self,
        cx: &mut Context<'_>,
        attempt: AttemptId,
        report: AttemptReport,
    ) {
        let Some(program) = self.program_running(attempt) else {
            return;
        };
        let Some(Phase::AwaitingReport { next_query_at, unanswered }) =
            self.active.get(&program).map(|active| active.phase)
        else {
            return;
        };
        match report {
            AttemptReport::NeverSeen => {
                self.failed(cx, &program, FailureCause::Rejected, Some(0));
            }
            AttemptReport::Over(AttemptFrame::Done { result }) => {
                self.done_elsewhere(cx, &program, next_query_at, result);
            }
            AttemptReport::Over(AttemptFrame::Failed { cause, spent_tokens }) => {
                self.failed(cx, &program, cause, spent_tokens);
            }
            AttemptReport::Running | AttemptReport::Over(AttemptFrame::Delta { .. }) => {
                self.set_asking(&program, next_query_at, 0);
            }
            AttemptReport::NoAnswer if unanswered + 1 < self.limits.max_unanswered => {
                self.set_asking(&program, next_query_at, unanswered + 1);
            }
            AttemptReport::NoAnswer | AttemptReport::Forgotten => {
                self.failed(cx, &program, FailureCause::Interrupted, None);
            }
        }
    }

    fn set_asking(&mut self, program: &ProgramId, next_query_at: TimeMs, unanswered: u32) {
        if let Some(active) = self.active.get_mut(program) {
            active.phase = Phase::AwaitingReport { next_query_at, unanswered };
        }
    }

    /// Takes the result of an attempt whose stream broke, or that an earlier owner dispatched.
    fn done_elsewhere(
        &mut self,
        cx: &mut Context<'_>,
        program: &ProgramId,
        next_query_at: TimeMs,
        result: TurnResult,
    ) {
        let nobody_asked = self.active.get(program).is_some_and(|active| active.request.is_none());
        if nobody_asked && matches!(result, TurnResult::Answered { .. }) {
            // The call's messages come only with the caller's repeat, and a history without
            // them would be wrong. Until then the process beside the endpoint keeps the result.
            self.set_asking(program, next_query_at, 0);
            return;
        }
        self.done(cx, program, result);
    }
}

fn attempt_work(
    state: Option<&ProgramState>,
    active: &ActiveTurn,
    request: &TurnRequest,
) -> AttemptWork {
    match &request.work {
        Work::Model { model, messages, max_tokens, parameters } => {
            let mut all = state.map_or_else(Vec::new, ProgramState::history);
            all.extend(messages.iter().cloned());
            AttemptWork::Model {
                model: model.clone(),
                messages: all,
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
