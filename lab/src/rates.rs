//! Rate and burst over all entries: a static split, one owner asked for each call, and shares that
//! are lent for a second, on one seeded trace.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use trefoilproxy::admission::{
    AdmissionDecision, BorrowRequest, Borrower, Lender, LendingTimes, Loan, MIN_CALLS_TO_PREFETCH,
    StaticSplit, TokenBucket,
};
use trefoilproxy::contracts::Contract;
use trefoilproxy::prelude::*;
use trefoilproxy::programs::ProgramLimits;

use crate::random::Random;

/// Time from an entry to another and back.
const ROUND_TRIP_MS: u64 = 2;
const RUN_MS: u64 = 60_000;
/// A question, an answer, and their frames.
const EXCHANGE_BYTES: u64 = 160;
/// How long a caller that was let wait for a share may wait.
const PATIENCE_MS: u64 = 50;

struct Outcome {
    offered: u64,
    within_rate: u64,
    wrongly_refused: u64,
    excess: u64,
    exchanges: u64,
}

/// One call of the trace.
struct Call {
    at_ms: u64,
    workspace: usize,
    entry: usize,
}

fn contract(rate: u32, burst: u32) -> Contract {
    Contract {
        rate_per_s: rate,
        burst,
        program: ProgramLimits { budget_tokens: 0, max_turns: 1 },
        models: Vec::new(),
        actions: Vec::new(),
        irreversible: Vec::new(),
    }
}

/// Calls at 80% of each workspace's rate, in bursts, except for one workspace at four times its
/// rate; the balancer sends a growing and moving part of them to a few entries.
fn trace(entries: usize, workspaces: usize, rate: u32, seed: u64) -> Vec<Call> {
    let mut random = Random::new(seed);
    let mut calls = Vec::new();
    for workspace in 0..workspaces {
        let load = if workspace == 0 { 4.0 } else { 0.8 };
        let mean_gap_ms = 1_000.0 / (f64::from(rate) * load);
        let mut at = 0.0;
        while at < RUN_MS as f64 {
            let burst = 1 + random.below(4);
            for _ in 0..burst {
                // Two thirds of the calls go to a quarter of the entries, another each 20 s.
                let favoured = (entries / 4).max(1);
                let shift = (at as usize / 20_000) * favoured;
                let entry = match random.below(3) {
                    0 => random.below(entries as u64) as usize,
                    _ => (shift + random.below(favoured as u64) as usize) % entries,
                };
                calls.push(Call { at_ms: at as u64, workspace, entry });
            }
            at += burst as f64 * mean_gap_ms * (0.5 + random.unit());
        }
    }
    calls.sort_by_key(|call| call.at_ms);
    calls
}

fn name(workspace: usize) -> WorkspaceId {
    WorkspaceId::parse(&format!("w{workspace}")).expect("a valid name")
}

/// What an ideal single bucket admits, and what was admitted beyond any window's allowance.
struct Referee {
    ideal: Vec<TokenBucket>,
    limit: Vec<TokenBucket>,
    balance: Vec<i64>,
}

impl Referee {
    fn new(workspaces: usize, contract: &Contract) -> Referee {
        let full = TokenBucket::full(contract.rate_per_s.into(), contract.burst.into(), TimeMs(0));
        Referee {
            ideal: vec![full.clone(); workspaces],
            limit: vec![full; workspaces],
            balance: vec![0; workspaces],
        }
    }

    fn wrongly_refused(&self) -> u64 {
        self.balance.iter().map(|missing| (*missing).max(0) as u64).sum()
    }

    fn judge(&mut self, outcome: &mut Outcome, call: &Call, admitted_at: Option<u64>) {
        outcome.offered += 1;
        let within = self.ideal[call.workspace].try_take(TimeMs(call.at_ms)).is_ok();
        outcome.within_rate += u64::from(within);
        // Of a workspace beyond its rate some calls are refused by right, whichever: it is wronged
        // only by as much as it gets less than the ideal.
        self.balance[call.workspace] += i64::from(within) - i64::from(admitted_at.is_some());
        if let Some(at) = admitted_at {
            outcome.excess += u64::from(self.limit[call.workspace].try_take(TimeMs(at)).is_err());
        }
    }
}

fn blank() -> Outcome {
    Outcome { offered: 0, within_rate: 0, wrongly_refused: 0, excess: 0, exchanges: 0 }
}

fn static_split(calls: &[Call], entries: usize, workspaces: usize, contract: &Contract) -> Outcome {
    let mut splits: Vec<StaticSplit> = (0..entries).map(|_| StaticSplit::default()).collect();
    let names: Vec<WorkspaceId> = (0..workspaces).map(name).collect();
    let mut referee = Referee::new(workspaces, contract);
    let mut outcome = blank();
    for call in calls {
        let now = TimeMs(call.at_ms);
        let split = &mut splits[call.entry];
        let admitted = split.admit(&names[call.workspace], contract, entries, now).is_ok();
        referee.judge(&mut outcome, call, admitted.then_some(call.at_ms));
    }
    outcome.wrongly_refused = referee.wrongly_refused();
    outcome
}

fn one_owner(calls: &[Call], workspaces: usize, contract: &Contract) -> Outcome {
    let full = TokenBucket::full(contract.rate_per_s.into(), contract.burst.into(), TimeMs(0));
    let mut buckets = vec![full; workspaces];
    let mut referee = Referee::new(workspaces, contract);
    let mut outcome = blank();
    for call in calls {
        let at = call.at_ms + ROUND_TRIP_MS / 2;
        let admitted = buckets[call.workspace].try_take(TimeMs(at)).is_ok();
        outcome.exchanges += 1;
        referee.judge(&mut outcome, call, admitted.then_some(at));
    }
    outcome.wrongly_refused = referee.wrongly_refused();
    outcome
}

enum Happening {
    Arrives(usize),
    Retries(usize),
    AtLender(usize, BorrowRequest),
    Answered(usize, BorrowRequest, Loan),
}

/// Events in order of time, and of their making at equal times.
struct Agenda {
    next: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: HashMap<u64, Happening>,
}

impl Agenda {
    fn add(&mut self, at: u64, happening: Happening) {
        self.next += 1;
        self.heap.push(Reverse((at, self.next)));
        self.happenings.insert(self.next, happening);
    }

    fn pop(&mut self) -> Option<(u64, Happening)> {
        let Reverse((at, id)) = self.heap.pop()?;
        Some((at, self.happenings.remove(&id)?))
    }
}

fn lent_shares(calls: &[Call], entries: usize, workspaces: usize, contract: &Contract) -> Outcome {
    let names: Vec<WorkspaceId> = (0..workspaces).map(name).collect();
    let mut borrowers: Vec<Borrower> = (0..entries)
        .map(|index| Borrower::new(Instance(index as u64), MIN_CALLS_TO_PREFETCH))
        .collect();
    let mut lender = Lender::first(LendingTimes::default(), TimeMs(0));
    let limits = (u64::from(contract.rate_per_s), u64::from(contract.burst));
    let mut referee = Referee::new(workspaces, contract);
    let mut outcome = blank();
    let mut agenda = Agenda { next: 0, heap: BinaryHeap::new(), happenings: HashMap::new() };
    calls.iter().enumerate().for_each(|(i, call)| agenda.add(call.at_ms, Happening::Arrives(i)));
    while let Some((at, happening)) = agenda.pop() {
        match happening {
            Happening::Arrives(index) | Happening::Retries(index) => {
                let call = &calls[index];
                let workspace = &names[call.workspace];
                let borrower = &mut borrowers[call.entry];
                let ask = match borrower.admit(TimeMs(at), workspace) {
                    AdmissionDecision::Admitted => {
                        referee.judge(&mut outcome, call, Some(at));
                        borrower.should_prefetch(workspace).then_some(0)
                    }
                    AdmissionDecision::Refused { .. } => {
                        referee.judge(&mut outcome, call, None);
                        None
                    }
                    AdmissionDecision::NeedsLoan if at > call.at_ms + PATIENCE_MS => {
                        referee.judge(&mut outcome, call, None);
                        None
                    }
                    AdmissionDecision::NeedsLoan => {
                        agenda.add(at + ROUND_TRIP_MS + 1, Happening::Retries(index));
                        Some(1)
                    }
                };
                let question = ask.and_then(|n| borrower.next_request(TimeMs(at), workspace, n));
                if let Some(question) = question {
                    let arrives = at + ROUND_TRIP_MS / 2;
                    agenda.add(arrives, Happening::AtLender(call.entry, question));
                }
            }
            Happening::AtLender(entry, question) => {
                outcome.exchanges += 1;
                let loan = lender.lend(TimeMs(at), TimeMs(at), limits, &question);
                let arrives = at + ROUND_TRIP_MS / 2;
                agenda.add(arrives, Happening::Answered(entry, question, loan));
            }
            Happening::Answered(entry, question, loan) => {
                borrowers[entry].record_loan(TimeMs(at), &question, loan);
            }
        }
    }
    outcome.wrongly_refused = referee.wrongly_refused();
    outcome
}

/// Entries, workspaces, and each workspace's rate and burst.
const SIZES: &[(usize, usize, u32, u32)] = &[
    (2, 8, 20, 10),
    (4, 8, 20, 10),
    (16, 8, 20, 10),
    (64, 8, 20, 10),
    (350, 8, 20, 10),
    (4, 8, 1_000, 200),
    (16, 8, 1_000, 200),
    (350, 3_300, 3, 6),
];

/// Prints the table.
pub fn run() {
    println!("60 s; workspace 0 sends 4 times its rate, the others 0.8 of it");
    println!(
        "{:>7} {:>10} {:>5} {:>5}  {:<12} {:>8} {:>15} {:>6} {:>13} {:>9}",
        "entries",
        "workspaces",
        "rate",
        "burst",
        "way",
        "calls",
        "wrongly refused",
        "excess",
        "msgs/s/entry",
        "B/s/entry"
    );
    for (entries, workspaces, rate, burst) in SIZES {
        let contract = contract(*rate, *burst);
        let calls = trace(*entries, *workspaces, *rate, 42);
        let ways = [
            ("static split", static_split(&calls, *entries, *workspaces, &contract)),
            ("one owner", one_owner(&calls, *workspaces, &contract)),
            ("lent shares", lent_shares(&calls, *entries, *workspaces, &contract)),
        ];
        for (way, outcome) in ways {
            let per_entry = outcome.exchanges as f64 * 2_000.0 / RUN_MS as f64 / *entries as f64;
            let refused = 100.0 * outcome.wrongly_refused as f64 / outcome.within_rate as f64;
            let bytes = per_entry * EXCHANGE_BYTES as f64 / 2.0;
            println!(
                "{entries:>7} {workspaces:>10} {rate:>5} {burst:>5}  {way:<12} {:>8} \
                 {refused:>14.2}% {:>6} {per_entry:>13.1} {bytes:>9.0}",
                outcome.offered, outcome.excess,
            );
        }
    }
}
