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

fn account(id: &str) -> ProgramKey {
    ProgramKey::of("w", id)
}

fn reload(records: &[Record]) -> Ledger {
    let mut ledger = Ledger::default();
    for record in records {
        if let Some(value) = &record.value {
            ledger.load(&record.key, value).expect("written by ourselves");
        }
    }
    ledger
}

#[test]
fn a_chain_comes_oldest_first_and_survives_a_reload() {
    let mut ledger = Ledger::default();
    let first = ledger.complete(key("1"), turn(None, "a", 5));
    let second = ledger.complete(key("2"), turn(Some(key("1")), "b", 5));
    let reloaded = reload(&[second, first]);
    let chain = reloaded.chain(key("2")).expect("whole");
    let inputs: Vec<_> = chain.iter().map(|(_, turn)| turn.input.clone()).collect();
    assert_eq!(inputs, ["a", "b"]);
}

#[test]
fn another_workspace_cannot_name_a_turn() {
    let mut ledger = Ledger::default();
    ledger.complete(TurnKey::of("w", "1"), turn(None, "a", 5));
    assert!(ledger.chain(TurnKey::of("v", "1")).is_none());
}

#[test]
fn a_chain_with_a_gap_is_no_chain() {
    let mut ledger = Ledger::default();
    ledger.complete(key("2"), turn(Some(key("1")), "b", 5));
    assert!(ledger.chain(key("2")).is_none());
}

#[test]
fn a_turn_keeps_those_before_it() {
    let mut ledger = Ledger::default();
    ledger.complete(key("1"), turn(None, "a", 1_000));
    ledger.complete(key("2"), turn(Some(key("1")), "b", 60_000));
    assert!(ledger.expire(UnixMs(30_000)).is_empty());
    assert_eq!(ledger.expire(UnixMs(90_000)).len(), 2);
}

#[test]
fn a_budget_is_passed_by_less_than_one_turn() {
    let mut ledger = Ledger::default();
    ledger.reserve(account("p"), 100, 60, UnixMs(1)).expect("nothing used");
    ledger.reserve(account("p"), 100, 60, UnixMs(1)).expect("60 promised");
    let refused = ledger.reserve(account("p"), 100, 60, UnixMs(1));
    assert_eq!(refused, Err(Spent { used: 120, budget: 100 }));
    ledger.settle(account("p"), 60, 10);
    ledger.settle(account("p"), 60, 20);
    assert!(ledger.reserve(account("p"), 100, 60, UnixMs(1)).is_ok());
}

// A turn is streaming when its owner dies. The caller has seen some of its tokens, and the next
// owner can't know how many: it counts the most that the turn could have generated, and what was
// reserved ahead for a turn that may have started without a record of its own.
#[test]
fn what_a_dead_owner_had_promised_counts_as_spent() {
    let mut ledger = Ledger::default();
    let reserved = ledger.reserve(account("p"), 121, 60, UnixMs(1)).expect("nothing used");
    let (record, _) = reserved.expect("the first needs a record");
    let mut successor = reload(&[record]);
    successor.reserve(account("p"), 121, 60, UnixMs(1)).expect("120 used");
    assert!(successor.reserve(account("p"), 121, 60, UnixMs(1)).is_err());
}

#[test]
fn turns_in_a_row_need_one_record_each() {
    let mut ledger = Ledger::default();
    let first = ledger.reserve(account("p"), 1_000, 60, UnixMs(1)).expect("nothing used");
    let (_, version) = first.expect("the first needs a record");
    ledger.mark_durable(account("p"), version);
    let (_, version) = ledger.settle(account("p"), 60, 10);
    ledger.mark_durable(account("p"), version);
    assert_eq!(ledger.reserve(account("p"), 1_000, 60, UnixMs(1)), Ok(None));
    assert!(ledger.reserve(account("p"), 1_000, 60, UnixMs(1)).expect("left").is_some());
}

// A turn ends and its record is on its way when two more begin. Counted by the last record that is
// known to be durable, both would be covered; the record on its way covers one of them. If the
// owner died then, the other's tokens would be charged to nobody.
#[test]
fn a_record_on_its_way_covers_no_more_than_it_says() {
    let mut ledger = Ledger::default();
    let first = ledger.reserve(account("p"), 1_000, 60, UnixMs(1)).expect("nothing used");
    ledger.mark_durable(account("p"), first.expect("the first needs a record").1);
    ledger.settle(account("p"), 60, 10);
    assert_eq!(ledger.reserve(account("p"), 1_000, 60, UnixMs(1)), Ok(None));
    let third = ledger.reserve(account("p"), 1_000, 60, UnixMs(1)).expect("left");
    assert!(third.is_some());
}

#[test]
fn a_record_that_is_not_durable_covers_nothing() {
    let mut ledger = Ledger::default();
    ledger.reserve(account("p"), 1_000, 60, UnixMs(1)).expect("nothing used");
    assert!(ledger.reserve(account("p"), 1_000, 60, UnixMs(1)).expect("left").is_some());
}

#[test]
fn adopted_turns_are_written_once() {
    let mut ledger = Ledger::default();
    let chain = vec![(key("1"), turn(None, "a", 5)), (key("2"), turn(Some(key("1")), "b", 5))];
    assert_eq!(ledger.import_turns(chain.clone()).len(), 2);
    assert_eq!(ledger.import_turns(chain).len(), 0);
    assert!(ledger.chain(key("2")).is_some());
}

#[test]
fn events_are_counted_and_their_data_kept() {
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

// A turn ran at an owner that lost its shard before it could reserve the turn's tokens. The next owner
// has begun another turn of the program meanwhile. Each alone may pass the budget by less than a
// turn; both together would hand out two turns too much.
#[test]
fn tokens_of_another_owner_must_fit_what_is_left() {
    let mut ledger = Ledger::default();
    let program = account("p");
    ledger.reserve(program, 100, 80, UnixMs(1)).expect("room").expect("a record");
    assert!(ledger.charge(program, 100, 30, UnixMs(1)).is_err());
    let record = ledger.charge(program, 100, 20, UnixMs(1)).expect("room").expect("a record");
    let mut next = reload(&[record]);
    assert!(next.reserve(program, 100, 1, UnixMs(1)).is_err());
}

// An endpoint stops in the middle of an event, and another goes on behind the last whole one. What had
// come of the cut event must neither be passed on nor be joined to the next endpoint's events.
#[test]
fn a_cut_event_is_dropped_and_the_next_run_goes_on_behind_the_last_whole_one() {
    let first = b"id: 7\ndata: a\n\nid: 8\ndata: b\n\n";
    for cut in 0..=first.len() {
        let mut reader = EventReader::collecting_output();
        let whole = reader.push(&first[..cut]);
        assert_eq!(whole, [0, 15, 30][reader.events() as usize], "{cut}");
        let last_id = reader.last_id().map(<[u8]>::to_vec);
        assert_eq!(
            last_id.as_deref(),
            [None, Some(&b"7"[..]), Some(b"8")][reader.events() as usize]
        );
        reader.discard_partial_event();
        assert!(reader.at_event_boundary());
        reader.push(&first[whole..]);
        assert_eq!((reader.events(), reader.into_output()), (2, b"a\nb\n".to_vec()));
    }
}

// A program's turns follow each other while the store is away. What each has used is written, but none of
// these records becomes durable; each turn found enough reserved by the first record, as if the turns
// before had used nothing. Then all entries died: the account that was left knew of two turns, and the
// program, come back, got its tokens a second time.
#[test]
fn turns_whose_records_are_not_durable_hand_out_no_more_than_was_reserved() {
    let (budget, most, used) = (1_000_000, 60, 50);
    let mut ledger = Ledger::default();
    let first = ledger.reserve(account("p"), budget, most, UnixMs(1)).expect("nothing used");
    let (durable, version) = first.expect("the first turn needs a record");
    ledger.mark_durable(account("p"), version);
    let mut handed_out = 0;
    loop {
        handed_out += used;
        ledger.settle(account("p"), most, used);
        let next =
            ledger.reserve(account("p"), budget, most, UnixMs(1)).expect("within the budget");
        if next.is_some() || handed_out > 10 * most {
            break;
        }
    }
    let mut next_owner = reload(&[durable]);
    let counted = next_owner.reserve(account("p"), 0, most, UnixMs(1)).expect_err("no budget").used;
    assert!(handed_out <= counted, "{handed_out} handed out, {counted} known");
}

// Turns of a program without history follow each other. Each ends without waiting for its record; once that
// is durable, the next turn is covered by what it reserved ahead and needs no record before its first token.
#[test]
fn a_turn_needs_no_record_once_that_of_the_turn_before_is_durable() {
    let mut ledger = Ledger::default();
    let first = ledger.reserve(account("p"), 10_000, 60, UnixMs(1)).expect("nothing used");
    ledger.mark_durable(account("p"), first.expect("the first needs a record").1);
    for turn in 0..10 {
        let (_, settled) = ledger.settle(account("p"), 60, 50);
        ledger.mark_durable(account("p"), settled);
        let next = ledger.reserve(account("p"), 10_000, 60, UnixMs(1)).expect("within the budget");
        assert_eq!(next, None, "{turn}");
    }
}
