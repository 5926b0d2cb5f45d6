//! What a caller was told of turns, against what the next owner of a shard finds in the log, under any
//! order of turns, refusals, disconnects, lost queues and changes of owner.

use std::collections::HashMap;
use std::rc::Rc;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use tokio::task::LocalSet;

use crate::gateway::find_turn::Chain;
use crate::gateway::owned_shard::{OwnedShard, Stage};
use crate::gateway::reservation::Reservation;
use crate::gateway::writer::AppendAck;
use crate::prelude::*;
use crate::turns::{ProgramKey, Record, Turn, TurnKey};

const SHARDS: usize = 2;
const PROGRAMS: usize = 6;
const MAX_TOKENS: u64 = 10;
const KEPT_UNTIL: UnixMs = UnixMs(60_000);

#[derive(Debug, Clone)]
enum Step {
    /// A program sends a turn that continues any of the turns so far, in any shard.
    Turn { program: usize, continues: Option<usize>, ends: Ending },
    /// The store acknowledges all that a shard has queued.
    Append { shard: usize },
    /// A shard gets another owner. What was queued is lost.
    NewOwner { shard: usize },
}

/// How a turn ends.
#[derive(Debug, Clone, Copy)]
enum Ending {
    Complete,
    /// The program's budget is spent.
    Refused,
    /// The caller disconnects.
    Abandoned,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let ending =
        prop_oneof![Just(Ending::Complete), Just(Ending::Refused), Just(Ending::Abandoned)];
    let continues = proptest::option::weighted(0.8, 0..20_usize);
    let turn = (0..PROGRAMS, continues, ending).prop_map(|(program, continues, ends)| Step::Turn {
        program,
        continues,
        ends,
    });
    let step = prop_oneof![
        6 => turn,
        3 => (0..SHARDS).prop_map(|shard| Step::Append { shard }),
        1 => (0..SHARDS).prop_map(|shard| Step::NewOwner { shard }),
    ];
    proptest::collection::vec(step, 1..60)
}

/// The owners of all shards, and a store with what they have appended.
struct Model {
    owners: Vec<Rc<OwnedShard>>,
    logs: Vec<Vec<Record>>,
    /// The turns whose end waits for the store, by shard.
    ending: Vec<Vec<(TurnKey, AppendAck)>>,
    /// The turns that were answered whole, in order, with the number of turns in their chains.
    answered: Vec<(TurnKey, usize)>,
    shard_of: HashMap<TurnKey, usize>,
    turns: usize,
}

impl Model {
    fn open() -> Model {
        Model {
            owners: (0..SHARDS).map(|shard| serving(shard, &[])).collect(),
            logs: vec![Vec::new(); SHARDS],
            ending: (0..SHARDS).map(|_| Vec::new()).collect(),
            answered: Vec::new(),
            shard_of: HashMap::new(),
            turns: 0,
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Turn { program, continues, ends } => self.turn(program, continues, ends),
            Step::Append { shard } => self.append(shard),
            Step::NewOwner { shard } => {
                self.ending[shard].clear();
                self.owners[shard] = serving(shard, &self.logs[shard]);
            }
        }
    }

    fn turn(&mut self, program: usize, continues: Option<usize>, ends: Ending) {
        let shard = program % SHARDS;
        let previous = continues.filter(|_| !self.answered.is_empty());
        let previous = previous.map(|index| self.answered[index % self.answered.len()].0);
        let chain = previous.map_or_else(Vec::new, |turn| self.find(shard, turn));
        let key = TurnKey::of("w", &format!("t{}", self.turns));
        self.turns += 1;
        let budget = if matches!(ends, Ending::Refused) { 0 } else { u64::MAX };
        let program = ProgramKey::of("w", &format!("p{program}"));
        let owner = &self.owners[shard];
        let charge = Reservation::open(owner, program, (budget, MAX_TOKENS), KEPT_UNTIL, chain);
        let Ok(mut charge) = charge else {
            return;
        };
        if matches!(ends, Ending::Complete) {
            let turn = Turn {
                parent: previous,
                input: b"in".as_slice().into(),
                output: b"out\n".as_slice().into(),
                kept_until: KEPT_UNTIL,
                ran_at: "e".into(),
            };
            if let (_, Some(recorded)) = charge.reservation.settle(Some((key, turn))) {
                self.ending[shard].push((key, recorded));
                self.shard_of.insert(key, shard);
            }
        }
    }

    /// The chain of a turn, from the ledger of the turn's program or of another one.
    fn find(&self, shard: usize, turn: TurnKey) -> Chain {
        let owners = [&self.owners[shard]].into_iter().chain(&self.owners);
        let found = owners.filter_map(|owner| {
            let ledger = owner.ledger();
            let chain = ledger.chain(turn)?;
            Some(chain.into_iter().map(|(key, turn)| (key, turn.clone())).collect())
        });
        found.into_iter().next().expect("a turn that was answered whole is found with its chain")
    }

    fn append(&mut self, shard: usize) {
        let (records, acks) = self.owners[shard].writer.next_batch();
        self.logs[shard].extend(records);
        acks.into_iter().for_each(|ack| ack.send(()).unwrap_or_default());
        for (key, mut recorded) in std::mem::take(&mut self.ending[shard]) {
            match recorded.try_recv() {
                Ok(()) => {
                    let turns = self.owners[shard].ledger().chain(key).map_or(0, |c| c.len());
                    self.answered.push((key, turns));
                }
                Err(_) => self.ending[shard].push((key, recorded)),
            }
        }
    }

    /// A turn that was answered whole, and whose chain the next owner of its shard would not find.
    fn lost(&self) -> Option<TurnKey> {
        let next: Vec<_> = (0..SHARDS).map(|shard| serving(shard, &self.logs[shard])).collect();
        let is_lost = |(key, turns): &&(TurnKey, usize)| {
            let ledger = next[self.shard_of[key]].ledger();
            ledger.chain(*key).map(|chain| chain.len()) != Some(*turns)
        };
        self.answered.iter().find(is_lost).map(|(key, _)| *key)
    }
}

/// The owner of a shard after it has loaded the records.
fn serving(shard: usize, log: &[Record]) -> Rc<OwnedShard> {
    let owner = OwnedShard::open(shard as u32, 1);
    for record in log {
        if let Some(value) = &record.value {
            owner.load(&record.key, value).expect("a record of an owner decodes");
        }
    }
    owner.set_stage(Stage::Serving);
    owner
}

proptest! {
    #![proptest_config(Config {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..Config::default()
    })]

    // Turns that were answered whole were lost with the copies of other programs' turns that only the memory
    // of an owner held.
    #[test]
    fn the_next_owner_finds_the_chain_of_each_turn_that_was_answered_whole(steps in steps()) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let lost = LocalSet::new().block_on(&runtime, async {
            let mut model = Model::open();
            steps.iter().find_map(|step| {
                model.apply(step);
                model.lost()
            })
        });
        prop_assert_eq!(lost, None);
    }
}
