use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use test_case::test_case;

use super::{
    ApplyOutcome, ChangeOutcome, ConfigRecord, ConfigState, KeyDigest, KeyId, Operation,
    parse_declaration,
};
use crate::prelude::*;

const VALID: &str = "workspace = \"ice\"\nrate_per_s = 5\nburst = 9\nactions = [\"a/b\"]\n\
                    [program]\nbudget_tokens = 100\nmax_turns = 3\n";

fn workspace(name: &str) -> WorkspaceId {
    WorkspaceId::parse(name).unwrap()
}

fn change(id: u64, name: &str, base: u64, operation: Operation) -> ConfigRecord {
    ConfigRecord::Change { id, workspace: workspace(name), base: Offset(base), operation }
}

fn publish(burst: u32) -> Operation {
    let mut contract = parse_declaration(VALID).unwrap().contract;
    contract.burst = burst;
    Operation::Publish { contract }
}

fn grant(key: &str) -> Operation {
    Operation::Grant { key: KeyId(key.into()), digest: KeyDigest::of_key(key) }
}

#[test_case("rate_per_s = 5", "rate_per_s = -5", "rate_per_s: -5 is not between"; "negative rate")]
#[test_case("burst = 9", "burst = 9\nbrust = 1", "unknown field"; "unknown field")]
#[test_case("[\"a/b\"]", "[\"ab\"]", "a name is empty"; "action without a service")]
#[test_case("burst = 9", "burst = 9\nirreversible = [\"c/d\"]", "not among the actions"; "irreversible action not listed")]
#[test_case("max_turns = 3", "", "missing field"; "missing field")]
fn an_invalid_declaration_is_rejected_with_a_reason(from: &str, to: &str, reason: &str) {
    assert!(parse_declaration(VALID).is_ok());
    let fault = parse_declaration(&VALID.replace(from, to)).unwrap_err().to_string();
    assert!(fault.contains(reason), "{fault}");
}

/// Two operators change a contract concurrently, based on the same version. The change that comes
/// first in the log takes effect; the other is rejected, and reports the version that is in force.
#[test]
fn the_second_change_based_on_a_version_is_a_conflict() {
    let mut config_state = ConfigState::default();
    config_state.apply(Offset(1), &change(1, "ice", 0, publish(1)));
    config_state.apply(Offset(2), &change(2, "ice", 1, publish(2)));
    let outcome = config_state.apply(Offset(3), &change(3, "ice", 1, publish(3)));
    let ApplyOutcome::Change { change: ChangeOutcome::Conflict(conflict), .. } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!((conflict.winner, conflict.base), (Offset(2), Offset(1)));
    assert_eq!(config_state.contract(&workspace("ice")).unwrap().burst, 2);
}

#[test]
fn revoked_keys_and_keys_of_withdrawn_contracts_are_invalid() {
    let mut config_state = ConfigState::default();
    config_state.apply(Offset(1), &change(1, "ice", 0, publish(1)));
    config_state.apply(Offset(2), &change(2, "ice", 1, grant("one")));
    config_state.apply(Offset(3), &change(3, "ice", 2, grant("two")));
    assert!(config_state.authenticate(&KeyDigest::of_key("one")).is_some());
    let revoke = Operation::Revoke { key: KeyId("one".into()) };
    config_state.apply(Offset(4), &change(4, "ice", 3, revoke));
    assert_eq!(config_state.authenticate(&KeyDigest::of_key("one")), None);
    assert!(config_state.authenticate(&KeyDigest::of_key("two")).is_some());
    config_state.apply(Offset(5), &change(5, "ice", 4, Operation::Withdraw));
    assert_eq!(config_state.authenticate(&KeyDigest::of_key("two")), None);
}

fn operations() -> impl Strategy<Value = Vec<(u8, u8)>> {
    vec((any::<u8>(), any::<u8>()), 1..60)
}

/// Builds a stream of changes, some based on an outdated version, and of snapshots whose writer may
/// have been a few records behind when it took them.
fn stream(operations: &[(u8, u8)]) -> Vec<(Offset, ConfigRecord)> {
    let mut states = vec![ConfigState::default()];
    let mut records: Vec<(Offset, ConfigRecord)> = Vec::new();
    for (number, (kind, arg)) in (1..).zip(operations) {
        let config_state = states.last().unwrap().clone();
        let name = ["ice", "gas"][usize::from(arg % 2)];
        let outdated = u64::from(*kind >= 200);
        let base = config_state.version(&workspace(name)).0.saturating_sub(outdated);
        let record = match kind % 5 {
            0 | 1 => change(number, name, base, publish(u32::from(*arg) + 1)),
            2 => change(number, name, base, grant(&format!("key{arg}"))),
            3 => change(number, name, base, Operation::Withdraw),
            _ => {
                let behind = states.len().saturating_sub(1 + usize::from(arg % 4));
                ConfigRecord::Snapshot(states[behind].snapshot())
            }
        };
        let mut next = config_state;
        next.apply(Offset(number), &record);
        states.push(next);
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

    /// A reader that starts when some records have expired must compute the same configuration as one
    /// that has read all records, or none if no snapshot covers the expired ones. Snapshots may be
    /// outdated, because changes can be appended before them. No record takes a reader's
    /// configuration back to an earlier one.
    #[test]
    fn all_readers_compute_the_same_configuration(ops in operations(), first in any::<u8>()) {
        let records = stream(&ops);
        let full =
            ConfigState::from_records(Offset(1), records.iter().map(|(at, r)| (*at, r))).unwrap();
        let from = usize::from(first) % records.len();
        let retained = records[from..].iter().map(|(at, record)| (*at, record));
        if let Some(partial) = ConfigState::from_records(records[from].0, retained) {
            prop_assert_eq!(&partial, &full);
        }
        let mut config_state = ConfigState::default();
        for (at, record) in &records {
            let before = config_state.through();
            config_state.apply(*at, record);
            prop_assert!(config_state.through() > before);
            let expected = config_state.clone();
            config_state.apply(Offset(at.0 / 2 + 1), record);
            prop_assert_eq!(&config_state, &expected);
        }
    }
}
