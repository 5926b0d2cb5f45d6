use std::collections::HashSet;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::prelude::*;
use crate::turns::record::{Entry, decode};
use crate::turns::*;

const MOST: u64 = 60;

/// A step of one program's turns and of the store.
#[derive(Debug, Clone)]
enum Step {
    /// A turn begins.
    Begin,
    /// The oldest turn under way ends, after so many tokens.
    End(u64),
    /// The store acknowledges so many more records.
    Acknowledge(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        Just(Step::Begin),
        (0..=MOST).prop_map(Step::End),
        (1..4_usize).prop_map(Step::Acknowledge),
    ];
    proptest::collection::vec(step, 1..60)
}

/// What a successor counts as spent that finds `record` as the last of the account.
fn counted(record: &Record) -> u64 {
    let value = record.value.as_deref().expect("accounts are not dropped here");
    match decode(&record.key, value).expect("written by ourselves") {
        Entry::Account(_, account) => account.spent + account.reserved,
        Entry::Turn(..) => unreachable!("only accounts are written here"),
    }
}

/// One program at one owner, and a store that acknowledges its records in order.
#[derive(Default)]
struct Played {
    ledger: Ledger,
    written: Vec<(Record, AccountVersion)>,
    durable: usize,
    /// Tokens of turns that are over.
    handed_out: u64,
    /// Turns under way, with the record that each waits for.
    under_way: Vec<Option<AccountVersion>>,
    waiting: HashSet<AccountVersion>,
    /// Whether the ledger is told of all records that are durable, or only of those that turns wait for.
    tells_all: bool,
}

impl Played {
    fn key() -> ProgramKey {
        ProgramKey::of("w", "p")
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Begin => {
                let reserved = self.ledger.reserve(Self::key(), u64::MAX, MOST, UnixMs(1));
                let reserved = reserved.expect("no budget");
                let version = reserved.map(|(record, version)| {
                    self.written.push((record, version));
                    self.waiting.insert(version);
                    version
                });
                self.under_way.push(version);
            }
            Step::End(tokens) if !self.under_way.is_empty() => {
                let turn = self.under_way.remove(0);
                let used = if self.may_hand_out(turn) { *tokens } else { 0 };
                self.handed_out += used;
                self.written.push(self.ledger.settle(Self::key(), MOST, used));
            }
            Step::End(_) => {}
            Step::Acknowledge(records) => {
                let until = (self.durable + records).min(self.written.len());
                for (_, version) in &self.written[self.durable..until] {
                    if self.waiting.remove(version) || self.tells_all {
                        self.ledger.mark_durable(Self::key(), *version);
                    }
                }
                self.durable = until;
            }
        }
    }

    fn may_hand_out(&self, turn: Option<AccountVersion>) -> bool {
        turn.is_none_or(|version| !self.waiting.contains(&version))
    }

    /// The most that callers may have got by now.
    fn handed_out_at_most(&self) -> u64 {
        let running = self.under_way.iter().filter(|turn| self.may_hand_out(**turn));
        self.handed_out + running.count() as u64 * MOST
    }

    /// What a successor would count now.
    fn counted(&self) -> u64 {
        self.written[..self.durable].last().map_or(0, |(record, _)| counted(record))
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    // Whenever the owner dies, whichever of its records the store has by then, its successor counts at
    // least what callers have got. Else a program gets tokens of its budget a second time.
    #[test]
    fn a_successor_counts_all_that_was_handed_out(steps in steps(), tells_all: bool) {
        let mut played = Played { tells_all, ..Played::default() };
        for step in &steps {
            played.play(step);
            prop_assert!(
                played.handed_out_at_most() <= played.counted(),
                "{} handed out, {} counted", played.handed_out_at_most(), played.counted()
            );
        }
    }
}
