//! Calls through entries, endpoint processes and engines: histories, replayed answers, isolation of
//! workspaces, takeover, and secrecy of keys.

#![allow(clippy::unwrap_used)]

mod common;

use common::Deployment;
use serde_json::json;
use trefoil_standins::caller::{Answer, Caller, action, completion};

const PROGRAMS: usize = 20;

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_programs_get_complete_answers_from_their_own_histories() {
    let deployment = Deployment::start().await;
    let entries = deployment.entries();
    let tasks = (0..PROGRAMS).map(|number| {
        let (caller, entries) = (deployment.caller(), entries.clone());
        tokio::spawn(async move {
            let name = format!("p{number}");
            for turn in 1..=5 {
                let entry = entries[(number + turn as usize) % 2];
                let call = completion(&name, turn, &format!("program {number} turn {turn}"));
                let answer = caller.call(entry, &call).await;
                let seen = format!("seen={} ", 2 * turn - 1);
                assert!(answer.text().starts_with(&seen), "{name} turn {turn}: {answer:?}");
                // A retry through the other entry replays the answer instead of running the turn.
                let other = entries[(number + turn as usize + 1) % 2];
                assert_eq!(caller.call(other, &call).await, answer);
            }
        })
    });
    for task in tasks.collect::<Vec<_>>() {
        task.await.unwrap();
    }
}

/// An entry that owns programs is killed between two turns. The other entry claims its shards, reads
/// their streams and continues the histories; callers only see a delay.
#[tokio::test(flavor = "multi_thread")]
async fn a_program_keeps_its_history_when_its_owner_is_killed() {
    let mut deployment = Deployment::start().await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    let names: Vec<String> = (0..12).map(|number| format!("k{number}")).collect();
    for name in &names {
        let answer = caller.call(entries[0], &completion(name, 1, "first")).await;
        assert!(answer.text().starts_with("seen=1 "), "{answer:?}");
    }
    let shard_counts = deployment.shard_counts().await;
    assert!(
        shard_counts.iter().all(|(_, shards)| *shards > 0),
        "an entry owns no shard: {shard_counts:?}"
    );
    deployment.fleet.entries.get_mut("e1").unwrap().kill();
    for name in &names {
        let answer = caller.insist(&entries[..1], &completion(name, 2, "second"), 5).await;
        assert!(answer.text().starts_with("seen=3 "), "{name}: {answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn early_turns_and_different_calls_with_the_same_turn_number_are_refused() {
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
async fn programs_with_the_same_name_in_two_workspaces_are_separate() {
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
async fn keys_appear_in_no_log_line_status_record_or_forwarded_header() {
    let deployment = Deployment::start().await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    caller.call(entries[0], &completion("q", 1, "hello")).await;
    caller.call(entries[1], &action("q", 2, "tools/look", json!({}))).await;
    let wrong = "wrong-key-that-nobody-granted";
    let refused = Caller::new(wrong).call(entries[0], &completion("q", 3, "x")).await;
    assert_eq!(refused.code(), "bad_key");
    // Another thread collects the output.
    let attempt_is_logged = || async {
        let mut lines = deployment.fleet.entries.values().flat_map(|process| process.output());
        lines.any(|line| line.contains("dispatching an attempt"))
    };
    common::eventually("a logged attempt", attempt_is_logged).await;
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
    assert!(all.contains("dispatching an attempt"), "no attempt was logged");
    assert!(!all.contains(common::ICE_KEY) && !all.contains(wrong));
    let tools = common::get(deployment.tools.address, "/control").await;
    assert_eq!(tools["authorizations"], json!([]));
    let engine = common::get(deployment.engines[0].address, "/control").await;
    assert_eq!(engine["authorizations"], json!(0));
}

/// An entry is killed and the other claims its shards. When it is restarted, the other hands idle
/// shards over to it, and the programs continue through both.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_entry_gets_its_share_of_the_shards() {
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
    common::eventually("a balanced number of shards on both entries", || async {
        let call = completion("b0", 1, "first");
        caller.call(deployment.entries()[1], &call).await;
        let owned = deployment.shard_counts().await;
        // Of 8 shards, the default number.
        owned.iter().all(|(_, shards)| *shards <= 6)
    })
    .await;
    for name in &names {
        let entries = deployment.entries();
        let answer = caller.insist(&entries, &completion(name, 2, "second"), 10).await;
        assert!(answer.text().starts_with("seen=3 "), "{name}: {answer:?}");
    }
}
