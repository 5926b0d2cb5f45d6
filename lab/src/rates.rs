//! Compares ways to enforce a workspace's rate and burst across all entries on one seeded trace: a
//! static split, a single owner that is asked for each call, and shares that are lent for a second.

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

/// Round trip between two entries.
const ROUND_TRIP_MS: u64 = 2;
const RUN_MS: u64 = 60_000;
/// Bytes of a request and a response with their frames.
const EXCHANGE_BYTES: u64 = 160;
/// Maximum time that a call waits for a loan.
const MAX_LOAN_WAIT_MS: u64 = 50;

struct Outcome {
    offered: u64,
    /// Calls that an ideal single bucket admits.
    within_rate: u64,
    /// Sum over workspaces of the calls that each got less than the ideal.
    wrongly_refused: u64,
    /// Calls admitted beyond rate and burst.
    excess: u64,
    /// Pairs of a request to another entry and its response.
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

/// Generates calls in bursts at 80% of each workspace's rate, and at four times the rate for
/// workspace 0. The load balancer prefers a quarter of the entries, which changes every 20 s.
fn generate_trace(entries: usize, workspaces: usize, rate: u32, seed: u64) -> Vec<Call> {
    let mut random = Random::new(seed);
    let mut calls = Vec::new();
    for workspace in 0..workspaces {
        let load = if workspace == 0 { 4.0 } else { 0.8 };
        let mean_gap_ms = 1_000.0 / (f64::from(rate) * load);
        let mut at = 0.0;
        while at < RUN_MS as f64 {
            let burst = 1 + random.below(4);
            for _ in 0..burst {
                // Two thirds of the calls go to a quarter of the entries, a different one every 20 s.
                let preferred_entries = (entries / 4).max(1);
                let first_preferred = (at as usize / 20_000) * preferred_entries;
                let entry = match random.below(3) {
                    0 => random.below(entries as u64) as usize,
                    _ => {
                        (first_preferred + random.below(preferred_entries as u64) as usize)
                            % entries
                    }
                };
                calls.push(Call { at_ms: at as u64, workspace, entry });
            }
            at += burst as f64 * mean_gap_ms * (0.5 + random.unit());
        }
    }
    calls.sort_by_key(|call| call.at_ms);
    calls
}

fn workspace_id(workspace: usize) -> WorkspaceId {
    WorkspaceId::parse(&format!("w{workspace}")).expect("a valid name")
}

/// Compares decisions with an ideal single bucket, and counts calls admitted beyond rate and burst.
struct Evaluator {
    /// Buckets that all calls are taken from when they arrive.
    ideal: Vec<TokenBucket>,
    /// Buckets that admitted calls are taken from when they are admitted.
    limit: Vec<TokenBucket>,
    /// By how many calls each workspace got less than the ideal.
    shortfalls: Vec<i64>,
}

impl Evaluator {
    fn new(workspaces: usize, contract: &Contract) -> Evaluator {
        let full_bucket =
            TokenBucket::full(contract.rate_per_s.into(), contract.burst.into(), TimeMs(0));
        Evaluator {
            ideal: vec![full_bucket.clone(); workspaces],
            limit: vec![full_bucket; workspaces],
            shortfalls: vec![0; workspaces],
        }
    }

    fn wrongly_refused(&self) -> u64 {
        self.shortfalls.iter().map(|shortfall| (*shortfall).max(0) as u64).sum()
    }

    fn record_decision(&mut self, outcome: &mut Outcome, call: &Call, admitted_at: Option<u64>) {
        outcome.offered += 1;
        let is_within_rate = self.ideal[call.workspace].try_take(TimeMs(call.at_ms)).is_ok();
        outcome.within_rate += u64::from(is_within_rate);
        // When a workspace exceeds its rate, it doesn't matter which of its calls are refused: only the
        // number by which it gets less than the ideal counts as wrongly refused.
        self.shortfalls[call.workspace] +=
            i64::from(is_within_rate) - i64::from(admitted_at.is_some());
        if let Some(at) = admitted_at {
            outcome.excess += u64::from(self.limit[call.workspace].try_take(TimeMs(at)).is_err());
        }
    }
}

fn empty_outcome() -> Outcome {
    Outcome { offered: 0, within_rate: 0, wrongly_refused: 0, excess: 0, exchanges: 0 }
}

fn static_split(calls: &[Call], entries: usize, workspaces: usize, contract: &Contract) -> Outcome {
    let mut splits: Vec<StaticSplit> = (0..entries).map(|_| StaticSplit::default()).collect();
    let names: Vec<WorkspaceId> = (0..workspaces).map(workspace_id).collect();
    let mut evaluator = Evaluator::new(workspaces, contract);
    let mut outcome = empty_outcome();
    for call in calls {
        let now = TimeMs(call.at_ms);
        let split = &mut splits[call.entry];
        let admitted = split.admit(&names[call.workspace], contract, entries, now).is_ok();
        evaluator.record_decision(&mut outcome, call, admitted.then_some(call.at_ms));
    }
    outcome.wrongly_refused = evaluator.wrongly_refused();
    outcome
}

fn one_owner(calls: &[Call], workspaces: usize, contract: &Contract) -> Outcome {
    let full_bucket =
        TokenBucket::full(contract.rate_per_s.into(), contract.burst.into(), TimeMs(0));
    let mut buckets = vec![full_bucket; workspaces];
    let mut evaluator = Evaluator::new(workspaces, contract);
    let mut outcome = empty_outcome();
    for call in calls {
        let at = call.at_ms + ROUND_TRIP_MS / 2;
        let admitted = buckets[call.workspace].try_take(TimeMs(at)).is_ok();
        outcome.exchanges += 1;
        evaluator.record_decision(&mut outcome, call, admitted.then_some(at));
    }
    outcome.wrongly_refused = evaluator.wrongly_refused();
    outcome
}

/// Calls and entries are given by index.
enum Event {
    CallArrives(usize),
    CallRetries(usize),
    RequestArrives(usize, BorrowRequest),
    LoanArrives(usize, BorrowRequest, Loan),
}

/// Events ordered by time, and by insertion at equal times.
struct EventQueue {
    next: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
}

impl EventQueue {
    fn add(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.heap.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    fn pop(&mut self) -> Option<(u64, Event)> {
        let Reverse((at, id)) = self.heap.pop()?;
        Some((at, self.events.remove(&id)?))
    }
}

fn lent_shares(calls: &[Call], entries: usize, workspaces: usize, contract: &Contract) -> Outcome {
    let names: Vec<WorkspaceId> = (0..workspaces).map(workspace_id).collect();
    let mut borrowers: Vec<Borrower> = (0..entries)
        .map(|index| Borrower::new(Instance(index as u64), MIN_CALLS_TO_PREFETCH))
        .collect();
    let mut lender = Lender::first(LendingTimes::default(), TimeMs(0));
    let limits = (u64::from(contract.rate_per_s), u64::from(contract.burst));
    let mut evaluator = Evaluator::new(workspaces, contract);
    let mut outcome = empty_outcome();
    let mut event_queue = EventQueue { next: 0, heap: BinaryHeap::new(), events: HashMap::new() };
    calls
        .iter()
        .enumerate()
        .for_each(|(index, call)| event_queue.add(call.at_ms, Event::CallArrives(index)));
    while let Some((at, event)) = event_queue.pop() {
        match event {
            Event::CallArrives(index) | Event::CallRetries(index) => {
                let call = &calls[index];
                let workspace = &names[call.workspace];
                let borrower = &mut borrowers[call.entry];
                // The calls that wait for a loan, if one is to be requested; none for a prefetch.
                let waiting = match borrower.admit(TimeMs(at), workspace) {
                    AdmissionDecision::Admitted => {
                        evaluator.record_decision(&mut outcome, call, Some(at));
                        borrower.should_prefetch(workspace).then_some(0)
                    }
                    AdmissionDecision::Refused { .. } => {
                        evaluator.record_decision(&mut outcome, call, None);
                        None
                    }
                    AdmissionDecision::NeedsLoan if at > call.at_ms + MAX_LOAN_WAIT_MS => {
                        evaluator.record_decision(&mut outcome, call, None);
                        None
                    }
                    AdmissionDecision::NeedsLoan => {
                        event_queue.add(at + ROUND_TRIP_MS + 1, Event::CallRetries(index));
                        Some(1)
                    }
                };
                let request = waiting.and_then(|n| borrower.next_request(TimeMs(at), workspace, n));
                if let Some(request) = request {
                    let arrives_at = at + ROUND_TRIP_MS / 2;
                    event_queue.add(arrives_at, Event::RequestArrives(call.entry, request));
                }
            }
            Event::RequestArrives(entry, request) => {
                outcome.exchanges += 1;
                let loan = lender.lend(TimeMs(at), TimeMs(at), limits, &request);
                let arrives_at = at + ROUND_TRIP_MS / 2;
                event_queue.add(arrives_at, Event::LoanArrives(entry, request, loan));
            }
            Event::LoanArrives(entry, request, loan) => {
                borrowers[entry].record_loan(TimeMs(at), &request, loan);
            }
        }
    }
    outcome.wrongly_refused = evaluator.wrongly_refused();
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

/// Compares the three methods at several sizes.
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
        let calls = generate_trace(*entries, *workspaces, *rate, 42);
        let methods = [
            ("static split", static_split(&calls, *entries, *workspaces, &contract)),
            ("one owner", one_owner(&calls, *workspaces, &contract)),
            ("lent shares", lent_shares(&calls, *entries, *workspaces, &contract)),
        ];
        for (method, outcome) in methods {
            let per_entry = outcome.exchanges as f64 * 2_000.0 / RUN_MS as f64 / *entries as f64;
            let refused = 100.0 * outcome.wrongly_refused as f64 / outcome.within_rate as f64;
            let bytes = per_entry * EXCHANGE_BYTES as f64 / 2.0;
            println!(
                "{entries:>7} {workspaces:>10} {rate:>5} {burst:>5}  {method:<12} {:>8} \
                 {refused:>14.2}% {:>6} {per_entry:>13.1} {bytes:>9.0}",
                outcome.offered, outcome.excess,
            );
        }
    }
}
