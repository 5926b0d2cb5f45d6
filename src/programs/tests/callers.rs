use std::collections::HashMap;

use super::{model, program, request, service};
use crate::prelude::*;
use crate::programs::{
    CallId, ExecutionStatus, Refusal, RefusalReason, Reply, TurnRequest, TurnResult, Work,
};

/// Turns of each program.
pub const TURNS: u32 = 4;
/// How long a caller waits.
const DEADLINE_MS: u64 = 1_500;

/// The callers of a few programs, and what they were told.
pub struct Callers {
    pub programs: Vec<ProgramId>,
    /// Results that ended each turn, as callers saw them.
    pub results: HashMap<(ProgramId, u32), TurnResult>,
    /// Text streamed to each open call.
    streamed: HashMap<CallId, String>,
    open: HashMap<CallId, TurnRequest>,
    /// Calls of each turn that were not refused as not run.
    maybe_run: HashMap<(ProgramId, u32), usize>,
    /// Programs that the system says it has lost the history of.
    pub lost: Vec<ProgramId>,
    /// Programs that ran out of budget.
    pub broke: Vec<ProgramId>,
    pub next_call: u64,
    pub refusals: HashMap<&'static str, usize>,
    /// The newest refusal of each turn.
    pub last_refusal: HashMap<(ProgramId, u32), Refusal>,
}

impl Callers {
    pub fn new(count: usize) -> Callers {
        // The last two share one account.
        let names = ["a", "b", "c", "c/child"];
        Callers {
            programs: names.iter().take(count).map(|name| program(name)).collect(),
            results: HashMap::new(),
            streamed: HashMap::new(),
            open: HashMap::new(),
            maybe_run: HashMap::new(),
            lost: Vec::new(),
            broke: Vec::new(),
            next_call: 0,
            refusals: HashMap::new(),
            last_refusal: HashMap::new(),
        }
    }

    /// The work of a turn: every second one is a payment that must happen at most once.
    pub fn work(program: &ProgramId, turn: u32) -> Work {
        match (turn + program.name.len() as u32) % 2 {
            1 => model(&format!("{program} turn {turn}")),
            _ => service(&format!("{program} turn {turn}"), false),
        }
    }

    /// The number of the turn that a program's caller has no result of yet.
    pub fn current(&self, program: &ProgramId) -> u32 {
        let done = |turn: &u32| self.results.contains_key(&(program.clone(), *turn));
        (1..=TURNS).find(|turn| !done(turn)).unwrap_or(TURNS + 1)
    }

    pub fn is_done(&self, program: &ProgramId) -> bool {
        let over = self.lost.contains(program) || self.broke.contains(program);
        over || self.current(program) > TURNS
    }

    /// Opens a call of a turn.
    pub fn open(&mut self, now: u64, program: &ProgramId, turn: u32) -> (CallId, TurnRequest) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let work = Callers::work(program, turn);
        let request = request(program, turn, work, now + DEADLINE_MS);
        self.open.insert(call, request.clone());
        *self.maybe_run.entry((program.clone(), turn)).or_default() += 1;
        (call, request)
    }

    /// The turn of a call that waits.
    pub fn waiting(&self) -> Vec<CallId> {
        let mut calls: Vec<CallId> = self.open.keys().copied().collect();
        calls.sort();
        calls
    }

    pub fn program_of(&self, call: CallId) -> Option<ProgramId> {
        self.open.get(&call).map(|request| request.program.clone())
    }

    pub fn abandon(&mut self, call: CallId) {
        self.open.remove(&call);
    }

    /// Whether any call of a turn may have been run.
    pub fn may_have_run(&self, program: &ProgramId, turn: u32) -> bool {
        self.maybe_run.get(&(program.clone(), turn)).is_some_and(|calls| *calls > 0)
    }

    /// Takes a reply. Returns the turn that was refused as not run, if it was.
    pub fn told(&mut self, call: CallId, reply: Reply) -> Option<(ProgramId, u32)> {
        let request = self.open.get(&call)?.clone();
        let turn = request.turn.unwrap().0;
        let key = (request.program.clone(), turn);
        if reply.is_final() {
            self.open.remove(&call);
        }
        match reply {
            Reply::Delta { text } => self.streamed.entry(call).or_default().push_str(&text),
            Reply::Answer { turn: answered, result, .. } => {
                assert_eq!(answered.0, turn, "an answer to another turn");
                self.check_whole(call, &result);
                let first = self.results.entry(key).or_insert_with(|| result.clone());
                assert_eq!(*first, result, "two results of one turn");
            }
            Reply::Refused(refusal) => return self.refused(&request, refusal),
            Reply::Ended => {}
        }
        None
    }

    /// What was streamed must be the beginning of the whole answer.
    fn check_whole(&self, call: CallId, result: &TurnResult) {
        if let (Some(streamed), TurnResult::Answered { text, .. }) =
            (self.streamed.get(&call), result)
        {
            assert!(text.starts_with(streamed.as_str()), "{streamed:?} streamed of {text:?}");
        }
    }

    fn refused(&mut self, request: &TurnRequest, refusal: Refusal) -> Option<(ProgramId, u32)> {
        *self.refusals.entry(refusal.reason.code()).or_default() += 1;
        let program = &request.program;
        let key = (program.clone(), request.turn.unwrap().0);
        self.last_refusal.insert(key.clone(), refusal);
        match refusal.reason {
            RefusalReason::HistoryGap => self.lost.push(program.clone()),
            RefusalReason::BudgetExhausted => self.broke.push(program.clone()),
            _ => {}
        }
        if refusal.ran != ExecutionStatus::NotRun {
            return None;
        }
        *self.maybe_run.get_mut(&key).unwrap() -= 1;
        Some(key)
    }
}
