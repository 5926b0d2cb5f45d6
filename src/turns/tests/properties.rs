use std::collections::HashSet;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::prelude::*;
use crate::turns::record::{DecodedRecord, decode};
use crate::turns::*;

const MAX_TOKENS: u64 = 60;

/// An event that affects the account of one program.
#[derive(Debug, Clone)]
enum Step {
    /// A turn starts.
    Start,
    /// The oldest turn in flight ends after generating this many tokens.
    End(u64),
    /// The store acknowledges this many more records.
    Acknowledge(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        Just(Step::Start),
        (0..=MAX_TOKENS).prop_map(Step::End),
        (1..4_usize).prop_map(Step::Acknowledge),
    ];
    proptest::collection::vec(step, 1..60)
}

/// Tokens that the next owner counts as spent if `record` is the last one of the account.
fn counted_as_spent(record: &Record) -> u64 {
    let value = record.value.as_deref().expect("accounts are not deleted in this test");
    match decode(&record.key, value).expect("a record written by the ledger decodes") {
        DecodedRecord::Account(_, account) => account.spent + account.reserved,
        DecodedRecord::Turn(..) => unreachable!("only accounts are written in this test"),
    }
}

/// One program at one owner, with a store that acknowledges the owner's records in order.
#[derive(Default)]
struct Simulation {
    ledger: Ledger,
    /// All records of the account, in order.
    written: Vec<(Record, AccountVersion)>,
    /// How many of them the store has acknowledged.
    durable: usize,
    /// Tokens delivered by turns that have ended.
    delivered: u64,
    /// Turns in flight, each with the record that must be durable before its first token.
    in_flight: Vec<Option<AccountVersion>>,
    /// Records that a turn waits for.
    waiting: HashSet<AccountVersion>,
    /// Whether the ledger is notified of every durable record, or only of those that turns wait
    /// for.
    acknowledge_all: bool,
}

impl Simulation {
    fn key() -> ProgramKey {
        ProgramKey::of("w", "p")
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Start => {
                let reserved = self.ledger.reserve(Self::key(), u64::MAX, MAX_TOKENS, UnixMs(1));
                let reserved = reserved.expect("the budget is unlimited");
                let version = reserved.map(|(record, version)| {
                    self.written.push((record, version));
                    self.waiting.insert(version);
                    version
                });
                self.in_flight.push(version);
            }
            Step::End(tokens) if !self.in_flight.is_empty() => {
                let turn = self.in_flight.remove(0);
                let used = if self.may_deliver(turn) { *tokens } else { 0 };
                self.delivered += used;
                self.written.push(self.ledger.settle(Self::key(), MAX_TOKENS, used));
            }
            Step::End(_) => {}
            Step::Acknowledge(records) => {
                let until = (self.durable + records).min(self.written.len());
                for (_, version) in &self.written[self.durable..until] {
                    if self.waiting.remove(version) || self.acknowledge_all {
                        self.ledger.mark_durable(Self::key(), *version);
                    }
                }
                self.durable = until;
            }
        }
    }

    fn may_deliver(&self, turn: Option<AccountVersion>) -> bool {
        turn.is_none_or(|version| !self.waiting.contains(&version))
    }

    /// The most tokens that callers may have received by now.
    fn max_delivered(&self) -> u64 {
        let running = self.in_flight.iter().filter(|turn| self.may_deliver(**turn));
        self.delivered + running.count() as u64 * MAX_TOKENS
    }

    /// Tokens that the next owner would count as spent if this one crashed now.
    fn counted_by_next_owner(&self) -> u64 {
        self.written[..self.durable].last().map_or(0, |(record, _)| counted_as_spent(record))
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    // Whenever the owner crashes, and whichever of its records are durable by then, the next owner
    // must count at least the tokens that callers have received. Otherwise the program could spend
    // part of its budget twice.
    #[test]
    fn next_owner_counts_all_delivered_tokens(steps in steps(), acknowledge_all: bool) {
        let mut simulation = Simulation { acknowledge_all, ..Simulation::default() };
        for step in &steps {
            simulation.apply(step);
            prop_assert!(
                simulation.max_delivered() <= simulation.counted_by_next_owner(),
                "{} tokens delivered, {} counted",
                simulation.max_delivered(),
                simulation.counted_by_next_owner()
            );
        }
    }
}
