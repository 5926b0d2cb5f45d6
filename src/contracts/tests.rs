use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use test_case::test_case;

use super::{Book, Change, ConfigRecord, KeyDigest, KeyId, Operation, Verdict, parse_declaration};
use crate::prelude::*;

const GOOD: &str = "workspace = \"ice\"\nrate_per_s = 5\nburst = 9\nactions = [\"a/b\"]\n\
                    [program]\nbudget_tokens = 100\nmax_turns = 3\n";

fn workspace(name: &str) -> WorkspaceId {
    WorkspaceId::parse(name).unwrap()
}

fn change(id: u64, name: &str, base: u64, operation: Operation) -> ConfigRecord {
    ConfigRecord::Change { id, workspace: workspace(name), base: Offset(base), operation }
}

fn publish(burst: u32) -> Operation {
    let mut contract = parse_declaration(GOOD).unwrap().contract;
    contract.burst = burst;
    Operation::Publish { contract }
}

fn grant(key: &str) -> Operation {
    Operation::Grant { key: KeyId(key.into()), digest: KeyDigest::of_key(key) }
}

#[test_case("rate_per_s = 5", "rate_per_s = -5", "rate_per_s: -5 is not between"; "negative rate")]
#[test_case("burst = 9", "burst = 9\nbrust = 1", "unknown field"; "unknown field")]
#[test_case("[\"a/b\"]", "[\"ab\"]", "a name is empty"; "an action without a service")]
#[test_case("burst = 9", "burst = 9\nirreversible = [\"c/d\"]", "not among the actions"; "not allowed")]
#[test_case("max_turns = 3", "", "missing field"; "missing field")]
fn a_bad_declaration_is_refused_with_its_reason(from: &str, to: &str, reason: &str) {
    assert!(parse_declaration(GOOD).is_ok());
    let fault = parse_declaration(&GOOD.replace(from, to)).unwrap_err().to_string();
    assert!(fault.contains(reason), "{fault}");
}

/// Two operators change one contract at once, both having seen the same version. The first in
/// the log's order wins; the other is told which version won, and changes nothing.
#[test]
fn of_two_changes_for_one_version_the_second_is_a_conflict() {
    let mut book = Book::default();
    book.apply(Offset(1), &change(1, "ice", 0, publish(1)));
    book.apply(Offset(2), &change(2, "ice", 1, publish(2)));
    let verdict = book.apply(Offset(3), &change(3, "ice", 1, publish(3)));
    let Verdict::Change { change: Change::Conflict(conflict), .. } = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!((conflict.winner, conflict.base), (Offset(2), Offset(1)));
    assert_eq!(book.contract(&workspace("ice")).unwrap().burst, 2);
}

#[test]
fn a_revoked_key_and_the_keys_of_a_withdrawn_contract_act_for_nobody() {
    let mut book = Book::default();
    book.apply(Offset(1), &change(1, "ice", 0, publish(1)));
    book.apply(Offset(2), &change(2, "ice", 1, grant("one")));
    book.apply(Offset(3), &change(3, "ice", 2, grant("two")));
    assert!(book.authenticate(&KeyDigest::of_key("one")).is_some());
    let revoke = Operation::Revoke { key: KeyId("one".into()) };
    book.apply(Offset(4), &change(4, "ice", 3, revoke));
    assert_eq!(book.authenticate(&KeyDigest::of_key("one")), None);
    assert!(book.authenticate(&KeyDigest::of_key("two")).is_some());
    book.apply(Offset(5), &change(5, "ice", 4, Operation::Withdraw));
    assert_eq!(book.authenticate(&KeyDigest::of_key("two")), None);
}

fn operations() -> impl Strategy<Value = Vec<(u8, u8)>> {
    vec((any::<u8>(), any::<u8>()), 1..60)
}

/// The stream that these operations make: changes, some for an outdated version, and snapshots
/// taken by a reader that may be some records behind when its append takes effect.
fn stream(operations: &[(u8, u8)]) -> Vec<(Offset, ConfigRecord)> {
    let mut books = vec![Book::default()];
    let mut records: Vec<(Offset, ConfigRecord)> = Vec::new();
    for (number, (kind, arg)) in (1..).zip(operations) {
        let book = books.last().unwrap().clone();
        let name = ["ice", "gas"][usize::from(arg % 2)];
        let outdated = u64::from(*kind >= 200);
        let base = book.version(&workspace(name)).0.saturating_sub(outdated);
        let record = match kind % 5 {
            0 | 1 => change(number, name, base, publish(u32::from(*arg) + 1)),
            2 => change(number, name, base, grant(&format!("key{arg}"))),
            3 => change(number, name, base, Operation::Withdraw),
            _ => {
                let behind = books.len().saturating_sub(1 + usize::from(arg % 4));
                ConfigRecord::Snapshot(books[behind].snapshot())
            }
        };
        let mut next = book;
        next.apply(Offset(number), &record);
        books.push(next);
        records.push((Offset(number), record));
    }
    records
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Whatever was retained when a reader starts, and however stale the snapshots are that raced
    /// newer changes: it comes to the same configuration as one who read everything, or to none
    /// if no snapshot stands for what has expired. No reader's configuration ever goes back.
    #[test]
    fn every_reader_comes_to_the_same_configuration(ops in operations(), cut in any::<u8>()) {
        let records = stream(&ops);
        let whole = Book::of_stream(Offset(1), records.iter().map(|(at, r)| (*at, r))).unwrap();
        let from = usize::from(cut) % records.len();
        let kept = records[from..].iter().map(|(at, record)| (*at, record));
        if let Some(late) = Book::of_stream(records[from].0, kept) {
            prop_assert_eq!(&late, &whole);
        }
        let mut book = Book::default();
        for (at, record) in &records {
            let before = book.through();
            book.apply(*at, record);
            prop_assert!(book.through() > before);
            let again = book.clone();
            book.apply(Offset(at.0 / 2 + 1), record);
            prop_assert_eq!(&book, &again);
        }
    }
}
