mod properties;

use super::*;
use crate::prelude::*;

fn turn(parent: Option<TurnKey>, input: &str, kept_until: u64) -> Turn {
    Turn {
        parent,
        input: input.as_bytes().to_vec().into(),
        output: b"out\n".to_vec().into(),
        kept_until: UnixMs(kept_until),
        ran_at: "r".into(),
    }
}

fn key(id: &str) -> TurnKey {
    TurnKey::of("w", id)
}

fn program_key(id: &str) -> ProgramKey {
    ProgramKey::of("w", id)
}

fn reload(records: &[Record]) -> Ledger {
    let mut ledger = Ledger::default();
    for record in records {
        if let Some(value) = &record.value {
            ledger.load(&record.key, value).expect("a record written by the ledger decodes");
        }
    }
    ledger
}

#[test]
fn chain_is_ordered_oldest_first_after_a_reload() {
    let mut ledger = Ledger::default();
    let first = ledger.complete(key("1"), turn(None, "a", 5));
    let second = ledger.complete(key("2"), turn(Some(key("1")), "b", 5));
    let reloaded = reload(&[second, first]);
    let chain = reloaded.chain(key("2")).expect("the chain is complete");
    let inputs: Vec<_> = chain.iter().map(|(_, turn)| turn.input.clone()).collect();
    assert_eq!(inputs, ["a", "b"]);
}

#[test]
fn turn_is_not_found_from_another_workspace() {
    let mut ledger = Ledger::default();
    ledger.complete(TurnKey::of("w", "1"), turn(None, "a", 5));
    assert!(ledger.chain(TurnKey::of("v", "1")).is_none());
}

#[test]
fn chain_with_a_missing_turn_is_not_returned() {
    let mut ledger = Ledger::default();
    ledger.complete(key("2"), turn(Some(key("1")), "b", 5));
    assert!(ledger.chain(key("2")).is_none());
}

#[test]
fn turn_extends_the_retention_of_the_turns_before_it() {
    let mut ledger = Ledger::default();
    ledger.complete(key("1"), turn(None, "a", 1_000));
    ledger.complete(key("2"), turn(Some(key("1")), "b", 60_000));
    assert!(ledger.expire(UnixMs(30_000)).is_empty());
    assert_eq!(ledger.expire(UnixMs(90_000)).len(), 2);
}

// The next owner of the shard read from the log only how long each turn was to be kept by itself, so
// that turns expired before those that continue them, and the program lost its history.
#[test]
fn turns_before_a_kept_turn_are_kept_after_a_reload_in_any_order() {
    let mut ledger = Ledger::default();
    let kept = [("1", None, 1_000), ("2", Some("1"), 500), ("3", Some("2"), 60_000)];
    let records = kept.map(|(id, parent, kept_until)| {
        ledger.complete(key(id), turn(parent.map(key), "in", kept_until))
    });
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    for order in orders {
        let mut reloaded = reload(&order.map(|record: usize| records[record].clone()));
        assert_eq!(reloaded.expire(UnixMs(30_000)), [], "{order:?}");
        assert!(reloaded.chain(key("3")).is_some());
        assert_eq!(reloaded.expire(UnixMs(90_000)).len(), 3, "{order:?}");
    }
}

// A turn began shortly before the one that it continues expired. That one was gone when it ended, and its
// chain had a gap.
#[test]
fn a_running_turn_keeps_the_turns_before_it() {
    let mut ledger = Ledger::default();
    ledger.complete(key("1"), turn(None, "a", 1_000));
    ledger.complete(key("2"), turn(Some(key("1")), "b", 1_000));
    ledger.keep_chain(Some(key("2")), UnixMs(60_000));
    assert!(ledger.expire(UnixMs(30_000)).is_empty());
    ledger.complete(key("3"), turn(Some(key("2")), "c", 60_000));
    assert!(ledger.chain(key("3")).is_some());
}

#[test]
fn budget_is_exceeded_by_less_than_one_turn() {
    let mut ledger = Ledger::default();
    ledger.reserve(program_key("p"), 100, 60, UnixMs(1)).expect("nothing used");
    ledger.reserve(program_key("p"), 100, 60, UnixMs(1)).expect("60 of 100 reserved");
    let refused = ledger.reserve(program_key("p"), 100, 60, UnixMs(1));
    assert_eq!(refused, Err(BudgetExhausted { used: 120, budget: 100 }));
    ledger.settle(program_key("p"), 60, 10);
    ledger.settle(program_key("p"), 60, 20);
    assert!(ledger.reserve(program_key("p"), 100, 60, UnixMs(1)).is_ok());
}

// The owner crashes while a turn is streaming. The caller has received some of its tokens, and the
// next owner can't know how many. It must count the maximum that the turn could have generated, and
// the tokens reserved ahead for a turn that may have started without a record of its own.
#[test]
fn tokens_reserved_by_a_crashed_owner_count_as_spent() {
    let mut ledger = Ledger::default();
    let reserved = ledger.reserve(program_key("p"), 121, 60, UnixMs(1)).expect("nothing used");
    let (record, _) = reserved.expect("the first turn needs a record");
    let mut successor = reload(&[record]);
    successor.reserve(program_key("p"), 121, 60, UnixMs(1)).expect("120 of 121 counted as spent");
    assert!(successor.reserve(program_key("p"), 121, 60, UnixMs(1)).is_err());
}

#[test]
fn sequential_turns_need_one_record_each() {
    let mut ledger = Ledger::default();
    let first = ledger.reserve(program_key("p"), 1_000, 60, UnixMs(1)).expect("nothing used");
    let (_, version) = first.expect("the first turn needs a record");
    ledger.mark_durable(program_key("p"), version);
    let (_, version) = ledger.settle(program_key("p"), 60, 10);
    ledger.mark_durable(program_key("p"), version);
    assert_eq!(ledger.reserve(program_key("p"), 1_000, 60, UnixMs(1)), Ok(None));
    assert!(
        ledger
            .reserve(program_key("p"), 1_000, 60, UnixMs(1))
            .expect("within the budget")
            .is_some()
    );
}

// Two turns start while the record of the turn before is still being written. The last durable
// record would cover both, but the record being written covers only one of them. If the owner
// crashed after that write, the other turn's tokens would not be charged to the program.
#[test]
fn pending_record_covers_only_what_it_reserves() {
    let mut ledger = Ledger::default();
    let first = ledger.reserve(program_key("p"), 1_000, 60, UnixMs(1)).expect("nothing used");
    ledger.mark_durable(program_key("p"), first.expect("the first turn needs a record").1);
    ledger.settle(program_key("p"), 60, 10);
    assert_eq!(ledger.reserve(program_key("p"), 1_000, 60, UnixMs(1)), Ok(None));
    let third = ledger.reserve(program_key("p"), 1_000, 60, UnixMs(1)).expect("within the budget");
    assert!(third.is_some());
}

#[test]
fn record_that_is_not_durable_covers_no_turn() {
    let mut ledger = Ledger::default();
    ledger.reserve(program_key("p"), 1_000, 60, UnixMs(1)).expect("nothing used");
    assert!(
        ledger
            .reserve(program_key("p"), 1_000, 60, UnixMs(1))
            .expect("within the budget")
            .is_some()
    );
}

#[test]
fn imported_turns_are_written_once() {
    let mut ledger = Ledger::default();
    let chain = vec![(key("1"), turn(None, "a", 5)), (key("2"), turn(Some(key("1")), "b", 5))];
    assert_eq!(ledger.import_turns(chain.clone()).len(), 2);
    assert_eq!(ledger.import_turns(chain).len(), 0);
    assert!(ledger.chain(key("2")).is_some());
}

#[test]
fn events_are_counted_and_their_data_collected() {
    let mut reader = EventReader::collecting_output();
    for piece in [&b"id: 1\nda"[..], b"ta: one\n\n: note\n\nid: 2\r\ndata: t", b"wo\ndata:x\n\n"] {
        reader.push(piece);
    }
    assert_eq!(reader.events(), 2);
    assert!(reader.at_event_boundary());
    reader.push(b"id: 3\n");
    assert!(!reader.at_event_boundary());
    assert_eq!(reader.into_output(), b"one\ntwo\nx\n");
}

// A turn ran at an owner that lost its shard before it could reserve the turn's tokens, and the
// next owner has started another turn of the program since. Each alone may exceed the budget by
// less than one turn; both together would exceed it by up to two turns.
#[test]
fn charge_beyond_the_remaining_budget_is_refused() {
    let mut ledger = Ledger::default();
    let program = program_key("p");
    ledger.reserve(program, 100, 80, UnixMs(1)).expect("nothing used").expect("a record is needed");
    assert!(ledger.charge(program, 100, 30, UnixMs(1)).is_err());
    let record = ledger
        .charge(program, 100, 20, UnixMs(1))
        .expect("20 tokens are left")
        .expect("a record is needed");
    let mut next = reload(&[record]);
    assert!(next.reserve(program, 100, 1, UnixMs(1)).is_err());
}

// An endpoint fails in the middle of an event, and another endpoint continues after the last
// complete one. The bytes of the truncated event must neither be forwarded nor be joined to the
// events of the next endpoint.
#[test]
fn truncated_event_is_discarded_before_the_stream_resumes() {
    let first = b"id: 7\ndata: a\n\nid: 8\ndata: b\n\n";
    for cut_at in 0..=first.len() {
        let mut reader = EventReader::collecting_output();
        let complete_len = reader.push(&first[..cut_at]);
        assert_eq!(complete_len, [0, 15, 30][reader.events() as usize], "{cut_at}");
        let last_id = reader.last_id().map(<[u8]>::to_vec);
        assert_eq!(
            last_id.as_deref(),
            [None, Some(&b"7"[..]), Some(b"8")][reader.events() as usize]
        );
        reader.discard_partial_event();
        assert!(reader.at_event_boundary());
        reader.push(&first[complete_len..]);
        assert_eq!((reader.events(), reader.into_output()), (2, b"a\nb\n".to_vec()));
    }
}

// A program runs turns in sequence while the store is unreachable, so that none of the records of
// their usage becomes durable. A fault let each turn start on the reservation of the first record,
// as if the turns before it had used nothing. When all entries then crashed, the durable account
// covered only two turns, and the program could spend the tokens of the others a second time.
#[test]
fn turns_without_durable_records_deliver_no_more_than_was_reserved() {
    let (budget, max_tokens, used) = (1_000_000, 60, 50);
    let mut ledger = Ledger::default();
    let first =
        ledger.reserve(program_key("p"), budget, max_tokens, UnixMs(1)).expect("nothing used");
    let (durable, version) = first.expect("the first turn needs a record");
    ledger.mark_durable(program_key("p"), version);
    let mut delivered = 0;
    loop {
        delivered += used;
        ledger.settle(program_key("p"), max_tokens, used);
        let next = ledger
            .reserve(program_key("p"), budget, max_tokens, UnixMs(1))
            .expect("within the budget");
        if next.is_some() || delivered > 10 * max_tokens {
            break;
        }
    }
    let mut next_owner = reload(&[durable]);
    let counted = next_owner
        .reserve(program_key("p"), 0, max_tokens, UnixMs(1))
        .expect_err("the budget is 0")
        .used;
    assert!(
        delivered <= counted,
        "{delivered} tokens delivered, {counted} counted by the next owner"
    );
}

// A program without history runs turns in sequence, and each ends without waiting for its record.
// Once that record is durable, the tokens it reserved ahead must cover the next turn, which then
// needs no record before its first token.
#[test]
fn turn_needs_no_record_once_the_previous_record_is_durable() {
    let mut ledger = Ledger::default();
    let first = ledger.reserve(program_key("p"), 10_000, 60, UnixMs(1)).expect("nothing used");
    ledger.mark_durable(program_key("p"), first.expect("the first turn needs a record").1);
    for turn in 0..10 {
        let (_, settled) = ledger.settle(program_key("p"), 60, 50);
        ledger.mark_durable(program_key("p"), settled);
        let next =
            ledger.reserve(program_key("p"), 10_000, 60, UnixMs(1)).expect("within the budget");
        assert_eq!(next, None, "{turn}");
    }
}
