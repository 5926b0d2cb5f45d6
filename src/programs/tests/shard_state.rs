use super::program;
use crate::prelude::*;
use crate::programs::{ApplyOutcome, FinishedTurn, IntentRecord, Record, ShardState, TurnResult};
use crate::programs::{OutcomeRecord, ProgramSnapshot};

fn claim(nonce: u64) -> Record {
    Record::Claim { entry: super::vm("e0"), instance: Instance(nonce), nonce }
}

fn attempt(epoch: u64, sequence: u64) -> AttemptId {
    AttemptId { shard: ShardId(0), epoch: Epoch(epoch), sequence }
}

fn intent(name: &str, turn: u32, attempt: AttemptId) -> Record {
    Record::Intent(IntentRecord {
        program: program(name),
        turn: TurnNo(turn),
        digest: Digest::of(&[]),
        attempt,
        endpoint: EndpointRef { vm: super::vm("m0"), instance: Instance(1) },
        reserve_tokens: 5,
        idempotent: true,
        idempotency_key: None,
    })
}

fn settled(name: &str, attempt: AttemptId) -> Record {
    Record::Settled { program: program(name), epoch: attempt.epoch, attempt, charge_tokens: 2 }
}

fn outcome(name: &str, turn: u32, attempt: AttemptId) -> Record {
    Record::Outcome(OutcomeRecord {
        program: program(name),
        epoch: attempt.epoch,
        turn: TurnNo(turn),
        attempt,
        digest: Digest::of(&[]),
        idempotency_key: None,
        messages: Vec::new(),
        result: TurnResult::Unknown,
        charge_tokens: 5,
    })
}

fn replay(records: &[Record]) -> (ShardState, Vec<ApplyOutcome>) {
    let mut shard = ShardState::new();
    let outcomes = (1..)
        .zip(records)
        .map(|(offset, record)| shard.apply(Offset(offset), UnixMs(offset * 10), record))
        .collect();
    (shard, outcomes)
}

/// The append of an intent is not answered and is retried; the attempt is rejected and settled.
/// Then the first append takes effect as well. If that copy were accepted, the program would wait
/// forever for an attempt that nobody dispatched, and its tokens would stay reserved.
#[test]
fn late_copy_of_a_settled_intent_does_not_reopen_the_attempt() {
    let first = attempt(1, 1);
    let records = [claim(1), intent("a", 1, first), settled("a", first), intent("a", 1, first)];
    let (shard, outcomes) = replay(&records);
    assert_eq!(outcomes[3], ApplyOutcome::Ignored);
    assert_eq!(shard.program(&program("a")).unwrap().open_intent, None);
    assert_eq!(shard.account(&program("a")).reserved_tokens, 0);
}

/// A paused owner resumes after its successor's claim and appends an outcome. Every reader must
/// ignore it, so that only the successor's outcome is recorded for the turn.
#[test]
fn records_of_a_replaced_owner_are_ignored() {
    let (old, new) = (attempt(1, 1), attempt(3, 1));
    let records = [
        claim(1),
        intent("a", 1, old),
        claim(2),
        outcome("a", 1, old),
        intent("a", 1, new),
        outcome("a", 1, new),
    ];
    let (shard, outcomes) = replay(&records);
    assert_eq!(outcomes[3], ApplyOutcome::Ignored);
    assert_eq!(outcomes[5], ApplyOutcome::Accepted);
    let state = shard.program(&program("a")).unwrap();
    // The attempt that was never settled is charged its whole reservation of 5 tokens, the other
    // the 5 tokens of its outcome.
    assert_eq!((state.turn_count, state.spent_tokens), (1, 10));
}

fn snapshot(name: &str, turns: u32) -> Record {
    let turn = FinishedTurn {
        digest: Digest::of(&[]),
        idempotency_key: None,
        messages: Vec::new(),
        result: TurnResult::Unknown,
    };
    Record::Snapshot {
        epoch: Epoch(1),
        snapshot: ProgramSnapshot {
            program: program(name),
            turns: vec![turn; turns as usize],
            turn_count: turns,
            spent_tokens: u64::from(turns) * 5,
            open_intent: None,
            last_attempt: None,
            ended: None,
        },
    }
}

/// The append of a snapshot takes effect late, after the program has finished another turn. It
/// must not revert the history.
#[test]
fn late_snapshot_does_not_revert_the_history() {
    let (first, second) = (attempt(1, 1), attempt(1, 2));
    let records = [
        claim(1),
        intent("a", 1, first),
        outcome("a", 1, first),
        intent("a", 2, second),
        outcome("a", 2, second),
        snapshot("a", 1),
    ];
    let (shard, outcomes) = replay(&records);
    assert_eq!(outcomes[5], ApplyOutcome::Ignored);
    assert_eq!(shard.program(&program("a")).unwrap().turn_count, 2);
}

/// The log's retention has removed the records of a program's first turns. The history then has a
/// gap, and calls are refused, unless a later snapshot covers all turns so far.
#[test]
fn history_has_a_gap_until_a_snapshot_covers_it() {
    let third = attempt(1, 3);
    let replay_from_20 = |records: Vec<Record>| {
        let stored = (20..).zip(records).map(|(offset, data)| crate::programs::StoredRecord {
            offset: Offset(offset),
            time_ms: UnixMs(offset),
            data,
        });
        ShardState::from_records(Offset(20), &stored.collect::<Vec<_>>())
    };
    let gap = vec![intent("a", 3, third), outcome("a", 3, third)];
    let incomplete = replay_from_20(gap.clone());
    assert!(incomplete.program(&program("a")).unwrap().has_history_gap);
    let filled = replay_from_20([gap.clone(), vec![snapshot("a", 3)]].concat());
    let state = filled.program(&program("a")).unwrap();
    assert!(!state.has_history_gap && state.turn_count == 3 && state.turns.len() == 3);
    let outdated = replay_from_20([gap, vec![snapshot("a", 2)]].concat());
    assert!(outdated.program(&program("a")).unwrap().has_history_gap);
}

/// The claim that applies to the first retained records has itself expired. Its epoch must be
/// taken from the records that name it, and records of an older epoch must still be ignored.
#[test]
fn epoch_of_an_expired_claim_is_taken_from_later_records() {
    let (old, new) = (attempt(3, 9), attempt(7, 1));
    let stored = [(20, intent("a", 1, old)), (21, intent("a", 1, new))];
    let stored = stored.map(|(offset, data)| crate::programs::StoredRecord {
        offset: Offset(offset),
        time_ms: UnixMs(offset),
        data,
    });
    let shard = ShardState::from_records(Offset(20), &stored);
    assert_eq!(shard.epoch(), Epoch(7));
    assert_eq!(shard.program(&program("a")).unwrap().spent_tokens, 0);
}
