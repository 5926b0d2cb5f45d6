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

fn shard_state(records: &[Record]) -> (ShardState, Vec<ApplyOutcome>) {
    let mut shard_state = ShardState::new();
    let applied = (1..)
        .zip(records)
        .map(|(offset, record)| shard_state.apply(Offset(offset), UnixMs(offset * 10), record))
        .collect();
    (shard_state, applied)
}

/// An append of an intent was not answered and was sent again; the attempt was rejected and
/// settled. Then the first append takes effect after all. If it counted, the program would wait
/// for ever on an attempt that nobody dispatched, with its reservation held.
#[test]
fn a_late_copy_of_a_settled_intent_does_not_open_it_again() {
    let first = attempt(1, 1);
    let records = [claim(1), intent("a", 1, first), settled("a", first), intent("a", 1, first)];
    let (shard_state, applied) = shard_state(&records);
    assert_eq!(applied[3], ApplyOutcome::Ignored);
    assert_eq!(shard_state.program(&program("a")).unwrap().open_intent, None);
    assert_eq!(shard_state.account(&program("a")).reserved_tokens, 0);
}

/// A paused owner wakes up after its successor's claim and appends an outcome. It is void for
/// every reader, so that the successor's own outcome is the only one.
#[test]
fn what_a_replaced_owner_appends_is_void() {
    let (old, new) = (attempt(1, 1), attempt(3, 1));
    let records = [
        claim(1),
        intent("a", 1, old),
        claim(2),
        outcome("a", 1, old),
        intent("a", 1, new),
        outcome("a", 1, new),
    ];
    let (shard_state, applied) = shard_state(&records);
    assert_eq!(applied[3], ApplyOutcome::Ignored);
    assert_eq!(applied[5], ApplyOutcome::Accepted);
    let state = shard_state.program(&program("a")).unwrap();
    // The attempt that was never settled is charged in full, the other as it was.
    assert_eq!((state.turn_count, state.spent_tokens), (1, 10));
}

fn snapshot(name: &str, turns: u32) -> Record {
    let entry = FinishedTurn {
        digest: Digest::of(&[]),
        idempotency_key: None,
        messages: Vec::new(),
        result: TurnResult::Unknown,
    };
    Record::Snapshot {
        epoch: Epoch(1),
        snapshot: ProgramSnapshot {
            program: program(name),
            turns: vec![entry; turns as usize],
            turn_count: turns,
            spent_tokens: u64::from(turns) * 5,
            open: None,
            last_attempt: None,
            ended: None,
        },
    }
}

/// A snapshot's append takes effect late, when the program is a turn further. It must not take
/// the history back.
#[test]
fn a_late_snapshot_reverts_nothing() {
    let (first, second) = (attempt(1, 1), attempt(1, 2));
    let records = [
        claim(1),
        intent("a", 1, first),
        outcome("a", 1, first),
        intent("a", 2, second),
        outcome("a", 2, second),
        snapshot("a", 1),
    ];
    let (shard_state, applied) = shard_state(&records);
    assert_eq!(applied[5], ApplyOutcome::Ignored);
    assert_eq!(shard_state.program(&program("a")).unwrap().turn_count, 2);
}

/// Retention has passed over a program's first turns. Without a snapshot its history has a gap,
/// and that is an error state; with one behind the gap it is whole.
#[test]
fn a_history_with_a_gap_is_damaged_until_a_snapshot_fills_it() {
    let third = attempt(1, 3);
    let stored = |records: Vec<Record>| {
        let stored = (20..).zip(records).map(|(offset, data)| crate::programs::StoredRecord {
            offset: Offset(offset),
            time_ms: UnixMs(offset),
            data,
        });
        ShardState::from_records(Offset(20), &stored.collect::<Vec<_>>())
    };
    let gap = vec![intent("a", 3, third), outcome("a", 3, third)];
    let has_history_gap = stored(gap.clone());
    assert!(has_history_gap.program(&program("a")).unwrap().has_history_gap);
    let filled = stored([gap.clone(), vec![snapshot("a", 3)]].concat());
    let state = filled.program(&program("a")).unwrap();
    assert!(!state.has_history_gap && state.turn_count == 3 && state.turns.len() == 3);
    let outdated = stored([gap, vec![snapshot("a", 2)]].concat());
    assert!(outdated.program(&program("a")).unwrap().has_history_gap);
}

/// The claim in force where the retained records begin has expired with them. Records name its
/// epoch; one of an older epoch in between is still void.
#[test]
fn an_expired_claim_is_known_by_the_records_of_its_epoch() {
    let (old, new) = (attempt(3, 9), attempt(7, 1));
    let stored = [(20, intent("a", 1, old)), (21, intent("a", 1, new))];
    let stored = stored.map(|(offset, data)| crate::programs::StoredRecord {
        offset: Offset(offset),
        time_ms: UnixMs(offset),
        data,
    });
    let shard_state = ShardState::from_records(Offset(20), &stored);
    assert_eq!(shard_state.epoch(), Epoch(7));
    assert_eq!(shard_state.program(&program("a")).unwrap().spent_tokens, 0);
}
