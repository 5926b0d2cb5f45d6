//! Simulated endpoints: they run attempts and generate answers word by word. When an attempt
//! starts, they check turn order, history and at-most-once execution.

use super::{Message, Simulation};
use crate::endpoint::{SchedulerAction, Submission};
use crate::prelude::*;
use crate::programs::tests::LIMITS;
use crate::programs::tests::callers::Callers;
use crate::programs::{
    Attempt, AttemptFrame, AttemptReport, AttemptWork, CallId, Event, FailureCause, FinishReason,
    Reply, TurnResult, Usage,
};

impl Simulation {
    pub(super) fn submit(&mut self, nonce: u64, attempt: Attempt) {
        let id = attempt.id;
        let target =
            self.endpoints.iter().position(|e| e.endpoint_ref.vm == attempt.target.vm).unwrap();
        let endpoint = &mut self.endpoints[target];
        match endpoint.scheduler.submit(TimeMs(self.now), attempt) {
            Submission::Accepted => {
                endpoint.listeners.insert(id, nonce);
                let actions = endpoint.scheduler.schedule(TimeMs(self.now));
                self.scheduler_actions(target, actions);
            }
            Submission::Rejected => {
                let cause = FailureCause::Rejected;
                let frame = AttemptFrame::Failed { cause, spent_tokens: Some(0) };
                let event = Event::Frame { attempt: id, frame };
                self.in_flight.push(Message::Owner { nonce, event });
            }
            Submission::Duplicate => {
                self.in_flight
                    .push(Message::Owner { nonce, event: Event::ConnectionLost { attempt: id } });
            }
        }
    }

    pub(super) fn query_attempt(
        &mut self,
        attempt: AttemptId,
        at: &EndpointRef,
        epoch: Epoch,
    ) -> AttemptReport {
        let endpoint = self.endpoints.iter_mut().find(|e| e.endpoint_ref.vm == at.vm).unwrap();
        endpoint.scheduler.query(attempt, at.instance, epoch)
    }

    pub(super) fn scheduler_actions(&mut self, index: usize, actions: Vec<SchedulerAction>) {
        for action in actions {
            match action {
                SchedulerAction::Start(attempt) => self.start(index, attempt),
                SchedulerAction::End(attempt, frame) => self.frame(index, attempt, frame),
                SchedulerAction::Stop(id) => self.stop(index, id),
                SchedulerAction::FreeCache(_) => {}
            }
        }
    }

    /// Starts an attempt, and checks turn order, history and at-most-once execution.
    fn start(&mut self, index: usize, attempt: Attempt) {
        let key = (attempt.program.clone(), attempt.turn);
        let turn = attempt.turn.0;
        assert!(
            self.callers.may_have_run(&attempt.program, turn),
            "{} turn {turn} started although every call of it was refused as not run",
            attempt.program
        );
        let expected = self.recorded_history(&attempt.program, turn);
        match &attempt.work {
            AttemptWork::Model { messages, .. } => {
                assert_eq!(
                    *messages, expected,
                    "{} turn {turn} started on a history that differs from the recorded one",
                    attempt.program
                );
            }
            AttemptWork::Service { idempotent, .. } => {
                let runs = self.executions.get(&key).copied().unwrap_or(0);
                assert!(
                    *idempotent || runs == 0,
                    "{} turn {turn} is not idempotent and started twice",
                    attempt.program
                );
            }
        }
        *self.executions.entry(key).or_default() += 1;
        self.endpoints[index].running.push((attempt, 0));
    }

    /// The conversation that the model must get in a turn, from the recorded earlier turns.
    fn recorded_history(&self, program: &ProgramId, turn: u32) -> Vec<crate::programs::Message> {
        let shard_state = self.log.shard_state();
        let mut history = Vec::new();
        for earlier in 1..turn {
            let state = shard_state.program(program);
            let recorded = state.and_then(|state| state.turn(TurnNo(earlier)));
            let Some(recorded) = recorded else {
                panic!("{program} turn {turn} started before turn {earlier} was recorded");
            };
            history.extend(Callers::work(program, earlier).messages());
            if let TurnResult::Answered { text, .. } = &recorded.result {
                history.push(crate::programs::Message::text("assistant", text));
            }
        }
        history.extend(Callers::work(program, turn).messages());
        history
    }

    /// Checks that an answer sent to a caller is already recorded in the log.
    pub(super) fn check_is_recorded(&self, call: CallId, reply: &Reply) {
        let Reply::Answer { turn, result, .. } = reply else {
            return;
        };
        if let Some(program) = self.callers.program_of(call) {
            let shard_state = self.log.shard_state();
            let recorded = shard_state.program(&program).and_then(|state| state.turn(*turn));
            assert_eq!(
                recorded.map(|turn| &turn.result),
                Some(result),
                "{program}: the answer is not the recorded result"
            );
        }
    }

    fn stop(&mut self, index: usize, id: AttemptId) {
        let running = &mut self.endpoints[index].running;
        if let Some(position) = running.iter().position(|(attempt, _)| attempt.id == id) {
            let (_, sent) = running.remove(position);
            let cause = FailureCause::Interrupted;
            let spent_tokens = Some(sent as u64);
            self.end(index, id, AttemptFrame::Failed { cause, spent_tokens });
        }
    }

    pub(super) fn advance_all(&mut self, index: usize) {
        for _ in 0..8 {
            self.advance(index);
        }
    }

    /// Generates one more word of a running attempt, or finishes it.
    pub(super) fn advance(&mut self, arg: usize) {
        let index = arg % 2;
        let running = &mut self.endpoints[index].running;
        let count = running.len();
        let Some((attempt, sent)) = running.get_mut(arg / 2 % count.max(1)) else {
            return;
        };
        let (id, words) = (attempt.id, remaining_words(attempt));
        if let Some(word) = words.get(*sent) {
            *sent += 1;
            let account = attempt.program.account();
            let generated = self.generated.entry(account).or_default();
            *generated += 1;
            assert!(
                *generated <= LIMITS.budget_tokens,
                "an account generated more tokens than its budget"
            );
            let text = word.as_str().into();
            return self.frame(index, id, AttemptFrame::Delta { text });
        }
        let result = result_of(attempt, &words);
        let position = running.iter().position(|(attempt, _)| attempt.id == id).unwrap();
        running.remove(position);
        self.end(index, id, AttemptFrame::Done { result });
    }

    fn end(&mut self, index: usize, id: AttemptId, frame: AttemptFrame) {
        self.endpoints[index].scheduler.record_end(TimeMs(self.now), id, frame.clone());
        self.frame(index, id, frame);
        let actions = self.endpoints[index].scheduler.schedule(TimeMs(self.now));
        self.scheduler_actions(index, actions);
    }

    fn frame(&mut self, index: usize, attempt: AttemptId, frame: AttemptFrame) {
        let is_last = !matches!(frame, AttemptFrame::Delta { .. });
        let listeners = &mut self.endpoints[index].listeners;
        let nonce = listeners.get(&attempt).copied();
        if is_last {
            listeners.remove(&attempt);
        }
        if let Some(nonce) = nonce {
            let event = Event::Frame { attempt, frame };
            self.in_flight.push(Message::Owner { nonce, event });
        }
    }
}

/// The words of the answer that come after the attempt's resume text.
fn remaining_words(attempt: &Attempt) -> Vec<String> {
    match &attempt.work {
        AttemptWork::Model { messages, resume_text, max_tokens, .. } => {
            let resumed = resume_text.split_inclusive(' ').count();
            let all = (0..3).map(|n| format!("w{}-{n} ", messages.len()));
            all.skip(resumed).take(*max_tokens as usize).collect()
        }
        AttemptWork::Service { .. } => Vec::new(),
    }
}

fn result_of(attempt: &Attempt, words: &[String]) -> TurnResult {
    match &attempt.work {
        AttemptWork::Model { resume_text, .. } => TurnResult::Answered {
            text: format!("{resume_text}{}", words.concat()).into(),
            finish: FinishReason::Stop,
            usage: Usage { prompt_tokens: 1, completion_tokens: words.len() as u64 },
        },
        AttemptWork::Service { body, .. } => {
            TurnResult::Served { status: 200, body: format!("paid {body}").into() }
        }
    }
}
