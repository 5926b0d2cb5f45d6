//! The whole path over real processes.

#![allow(clippy::unwrap_used)]

mod common;

use common::Deployment;
use serde_json::json;
use trefoil_standins::caller::{Answer, Caller, action, completion};

const PROGRAMS: usize = 20;

#[tokio::test(flavor = "multi_thread")]
async fn twenty_programs_keep_whole_answers_and_their_own_histories() {
    let deployment = Deployment::start().await;
    let entries = deployment.entries();
    let runs = (0..PROGRAMS).map(|number| {
        let (caller, entries) = (deployment.caller(), entries.clone());
        tokio::spawn(async move {
            let name = format!("p{number}");
            for turn in 1..=5 {
                let entry = entries[(number + turn as usize) % 2];
                let call = completion(&name, turn, &format!("program {number} turn {turn}"));
                let answer = caller.call(entry, &call).await;
                let seen = format!("seen={} ", 2 * turn - 1);
                assert!(answer.text().starts_with(&seen), "{name} turn {turn}: {answer:?}");
                // The same call again, through the other entry: the same answer, not a new run.
                let other = entries[(number + turn as usize + 1) % 2];
                assert_eq!(caller.call(other, &call).await, answer);
            }
        })
    });
    for run in runs.collect::<Vec<_>>() {
        run.await.unwrap();
    }
}

/// The entry that owns programs is killed between two turns. Callers see nothing but a short
/// delay: the other entry claims the shards, reads their streams and goes on with the history.
#[tokio::test(flavor = "multi_thread")]
async fn a_program_goes_on_with_its_history_after_its_owner_was_killed() {
    let mut deployment = Deployment::start().await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    let names: Vec<String> = (0..12).map(|number| format!("k{number}")).collect();
    for name in &names {
        let answer = caller.call(entries[0], &completion(name, 1, "first")).await;
        assert!(answer.text().starts_with("seen=1 "), "{answer:?}");
    }
    let owners = deployment.owners().await;
    assert!(owners.iter().all(|(_, shards)| *shards > 0), "one entry owns all: {owners:?}");
    deployment.fleet.entries.get_mut("e1").unwrap().kill();
    for name in &names {
        let answer = caller.insist(&entries[..1], &completion(name, 2, "second"), 5).await;
        assert!(answer.text().starts_with("seen=3 "), "{name}: {answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn turns_out_of_order_and_other_calls_under_one_number_are_refused_as_not_run() {
    let deployment = Deployment::start().await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    let early = caller.call(entries[0], &completion("o", 2, "early")).await;
    assert_eq!(early.code(), "turn_too_early");
    let first = caller.call(entries[0], &action("o", 1, "tools/pay", json!({ "n": 1 }))).await;
    assert!(matches!(first, Answer::Whole(_)), "{first:?}");
    let other = caller.call(entries[1], &action("o", 1, "tools/pay", json!({ "n": 2 }))).await;
    assert!(
        matches!(&other, Answer::Error { code, ran, .. } if code == "turn_conflict" && ran == "not_run"),
        "{other:?}"
    );
    assert_eq!(deployment.payments().await, [r#"{"n":1}"#]);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_workspaces_with_one_program_name_never_meet() {
    let deployment = Deployment::start().await;
    let entries = deployment.entries();
    deployment.publish("gas", common::CONTRACT);
    let gas_key = "key-of-the-biogas-ledger-91";
    deployment.grant("gas", "main", gas_key);
    let (ice, gas) = (deployment.caller(), Caller::new(gas_key));
    let first = ice.call(entries[0], &completion("same", 1, "of ice")).await;
    assert!(first.text().starts_with("seen=1 "), "{first:?}");
    let second = gas.call(entries[0], &completion("same", 1, "of gas")).await;
    assert!(second.text().starts_with("seen=1 "), "{second:?}");
    let ended = gas.end(entries[1], "same").await;
    assert!(matches!(ended, Answer::Whole(_)), "{ended:?}");
    let third = ice.call(entries[1], &completion("same", 2, "of ice again")).await;
    assert!(third.text().starts_with("seen=3 "), "{third:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_appear_in_nothing_that_a_run_emits() {
    let deployment = Deployment::start().await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    caller.call(entries[0], &completion("q", 1, "hello")).await;
    caller.call(entries[1], &action("q", 2, "tools/look", json!({}))).await;
    let wrong = "wrong-key-that-nobody-granted";
    let refused = Caller::new(wrong).call(entries[0], &completion("q", 3, "x")).await;
    assert_eq!(refused.code(), "bad_key");
    let mut emitted: Vec<String> = Vec::new();
    let processes = deployment.fleet.entries.values().chain(deployment.fleet.endpoints.values());
    for process in processes {
        emitted.extend(process.output());
        let admin = process.address("admin");
        emitted.push(common::get(admin, "/status").await.to_string());
    }
    for stream in ["config".to_string()].into_iter().chain((0..16).map(|n| format!("shard-{n}"))) {
        let path = format!("/streams/{stream}/records?from=0&limit=1000");
        emitted.push(common::get(deployment.log.address, &path).await.to_string());
    }
    let all = emitted.join("\n");
    assert!(all.contains("dispatching an attempt"), "nothing was emitted");
    assert!(!all.contains(common::ICE_KEY) && !all.contains(wrong));
    let tools = common::get(deployment.tools.address, "/control").await;
    assert_eq!(tools["authorizations"], json!([]));
    let engine = common::get(deployment.engines[0].address, "/control").await;
    assert_eq!(engine["authorizations"], json!(0));
}

/// An entry was killed and its shards were claimed by the other. When it is back, the other gives
/// idle shards up to it, and programs go on through both.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_comes_back_gets_its_part_of_the_shards() {
    let mut deployment = Deployment::start().await;
    let caller = deployment.caller();
    deployment.fleet.entries.get_mut("e1").unwrap().kill();
    let names: Vec<String> = (0..40).map(|number| format!("b{number}")).collect();
    for name in &names {
        let entry = deployment.entries()[0];
        let answer = caller.insist(&[entry], &completion(name, 1, "first"), 5).await;
        assert!(answer.text().starts_with("seen=1 "), "{answer:?}");
    }
    deployment.fleet.start_entry("e1", "b").unwrap();
    deployment.fleet.list().await;
    assert!(deployment.fleet.wait_ready().await);
    common::eventually("a share of the shards", || async {
        let call = completion("b0", 1, "first");
        caller.call(deployment.entries()[1], &call).await;
        let owned = deployment.owners().await;
        owned.iter().all(|(_, shards)| *shards <= 6)
    })
    .await;
    for name in &names {
        let entries = deployment.entries();
        let answer = caller.insist(&entries, &completion(name, 2, "second"), 10).await;
        assert!(answer.text().starts_with("seen=3 "), "{name}: {answer:?}");
    }
}
