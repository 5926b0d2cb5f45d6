use std::collections::HashMap;

use super::{model, program, request, service};
use crate::prelude::*;
use crate::programs::{
    CallId, ExecutionStatus, Refusal, RefusalReason, Reply, TurnRequest, TurnResult, Work,
};

/// Turns that each program makes.
pub const TURNS: u32 = 4;
/// How long a caller waits for a reply.
const DEADLINE_MS: u64 = 1_500;

/// The callers of a few programs, and the replies they got.
pub struct Callers {
    pub programs: Vec<ProgramId>,
    /// Result of each turn, as received by its callers.
    pub results: HashMap<(ProgramId, u32), TurnResult>,
    /// Text streamed to each open call.
    streamed: HashMap<CallId, String>,
    open_calls: HashMap<CallId, TurnRequest>,
    /// Number of calls of each turn that were not refused as not run.
    possible_runs: HashMap<(ProgramId, u32), usize>,
    /// Programs refused because their history has a gap.
    pub with_history_gap: Vec<ProgramId>,
    /// Programs refused because their budget is exhausted.
    pub out_of_budget: Vec<ProgramId>,
    pub next_call: u64,
    pub refusals: HashMap<&'static str, usize>,
    /// The latest refusal of each turn.
    pub last_refusal: HashMap<(ProgramId, u32), Refusal>,
}

impl Callers {
    pub fn new(count: usize) -> Callers {
        // "c" and its sub-agent "c/child" share one account.
        let names = ["a", "b", "c", "c/child"];
        Callers {
            programs: names.iter().take(count).map(|name| program(name)).collect(),
            results: HashMap::new(),
            streamed: HashMap::new(),
            open_calls: HashMap::new(),
            possible_runs: HashMap::new(),
            with_history_gap: Vec::new(),
            out_of_budget: Vec::new(),
            next_call: 0,
            refusals: HashMap::new(),
            last_refusal: HashMap::new(),
        }
    }

    /// The work of a turn: a completion or, for every second turn, a payment, which is not
    /// idempotent.
    pub fn work(program: &ProgramId, turn: u32) -> Work {
        match (turn + program.name.len() as u32) % 2 {
            1 => model(&format!("{program} turn {turn}")),
            _ => service(&format!("{program} turn {turn}"), false),
        }
    }

    /// The number of the first turn that has no result yet.
    pub fn current_turn(&self, program: &ProgramId) -> u32 {
        let done = |turn: &u32| self.results.contains_key(&(program.clone(), *turn));
        (1..=TURNS).find(|turn| !done(turn)).unwrap_or(TURNS + 1)
    }

    pub fn is_done(&self, program: &ProgramId) -> bool {
        let over = self.with_history_gap.contains(program) || self.out_of_budget.contains(program);
        over || self.current_turn(program) > TURNS
    }

    /// Opens a call of a turn.
    pub fn open_call(&mut self, now: u64, program: &ProgramId, turn: u32) -> (CallId, TurnRequest) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let work = Callers::work(program, turn);
        let request = request(program, turn, work, now + DEADLINE_MS);
        self.open_calls.insert(call, request.clone());
        *self.possible_runs.entry((program.clone(), turn)).or_default() += 1;
        (call, request)
    }

    /// Calls that wait for a reply, in order of their ids.
    pub fn waiting_calls(&self) -> Vec<CallId> {
        let mut calls: Vec<CallId> = self.open_calls.keys().copied().collect();
        calls.sort();
        calls
    }

    pub fn program_of(&self, call: CallId) -> Option<ProgramId> {
        self.open_calls.get(&call).map(|request| request.program.clone())
    }

    pub fn disconnect(&mut self, call: CallId) {
        self.open_calls.remove(&call);
    }

    /// Whether any call of a turn may have run.
    pub fn may_have_run(&self, program: &ProgramId, turn: u32) -> bool {
        self.possible_runs.get(&(program.clone(), turn)).is_some_and(|calls| *calls > 0)
    }

    /// Records a reply to a call. Returns the turn if it was refused as not run.
    pub fn record_reply(&mut self, call: CallId, reply: Reply) -> Option<(ProgramId, u32)> {
        let request = self.open_calls.get(&call)?.clone();
        let turn = request.turn.unwrap().0;
        let key = (request.program.clone(), turn);
        if reply.is_final() {
            self.open_calls.remove(&call);
        }
        match reply {
            Reply::Delta { text } => self.streamed.entry(call).or_default().push_str(&text),
            Reply::Answer { turn: answered, result, .. } => {
                assert_eq!(answered.0, turn, "call of turn {turn} got the answer to another turn");
                self.check_streamed_prefix(call, &result);
                let first = self.results.entry(key).or_insert_with(|| result.clone());
                assert_eq!(*first, result, "two callers of turn {turn} got different results");
            }
            Reply::Refused(refusal) => return self.record_refusal(&request, refusal),
            Reply::Ended => {}
        }
        None
    }

    /// Checks that the streamed text is a prefix of the complete answer.
    fn check_streamed_prefix(&self, call: CallId, result: &TurnResult) {
        if let (Some(streamed), TurnResult::Answered { text, .. }) =
            (self.streamed.get(&call), result)
        {
            assert!(
                text.starts_with(streamed.as_str()),
                "streamed text {streamed:?} is not a prefix of the answer {text:?}"
            );
        }
    }

    fn record_refusal(
        &mut self,
        request: &TurnRequest,
        refusal: Refusal,
    ) -> Option<(ProgramId, u32)> {
        *self.refusals.entry(refusal.reason.code()).or_default() += 1;
        let program = &request.program;
        let key = (program.clone(), request.turn.unwrap().0);
        self.last_refusal.insert(key.clone(), refusal);
        match refusal.reason {
            RefusalReason::HistoryGap => self.with_history_gap.push(program.clone()),
            RefusalReason::BudgetExhausted => self.out_of_budget.push(program.clone()),
            _ => {}
        }
        if refusal.ran != ExecutionStatus::NotRun {
            return None;
        }
        *self.possible_runs.get_mut(&key).unwrap() -= 1;
        Some(key)
    }
}
