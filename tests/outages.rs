//! Outages of the log and withdrawn keys over real processes, as callers see them.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{Deployment, eventually, wait_running};
use serde_json::json;
use trefoil_standins::caller::{Answer, Caller, completion};
use trefoil_standins::engine::Settings;

/// A key is revoked while an answer streams to its caller. The stream ends with an error, not as
/// if it were whole, and new calls are refused on every entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_ends_open_streams_and_lets_nobody_in() {
    let deployment = Deployment::start().await;
    let entries = deployment.entries();
    let key = "key-to-be-revoked-55";
    deployment.grant("ice", "second", key);
    let caller = Caller::new(key);
    let streaming = {
        let (caller, entry) = (caller.clone(), entries[1]);
        let mut call = completion("r", 1, "words=20000");
        call.body["max_tokens"] = json!(20_000);
        tokio::spawn(async move { caller.call(entry, &call).await })
    };
    wait_running(&deployment, 1).await;
    let (code, said) = deployment.fleet.ctl(&["revoke", "ice", "second", "--wait"], "").unwrap();
    assert_eq!(code, 0, "{said}");
    assert_eq!(streaming.await.unwrap().code(), "key_withdrawn");
    for entry in &entries {
        let answer = caller.call(*entry, &completion("r2", 1, "x")).await;
        assert_eq!(answer.code(), "bad_key");
    }
    let other = deployment.caller().call(entries[0], &completion("r3", 1, "x")).await;
    assert!(matches!(other, Answer::Whole(_)), "{other:?}");
}

/// The log goes out. New turns are refused at once as not run, with a time to come back, and
/// once it is back the programs go on with their histories.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_log_refuses_truthfully_and_loses_nothing() {
    let deployment =
        Deployment::start_with(Settings::default(), &["--config-stale-ms", "60000"], &[]).await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    let names: Vec<String> = (0..6).map(|number| format!("l{number}")).collect();
    for name in &names {
        caller.call(entries[0], &completion(name, 1, "before")).await;
    }
    deployment.fault_log(json!({ "outage": true })).await;
    for name in &names {
        let mut call = completion(name, 2, "during");
        call.deadline_ms = 1_500;
        let answer = caller.call(entries[0], &call).await;
        let Answer::Error { ran, retry_after_ms, .. } = &answer else {
            panic!("{answer:?}");
        };
        assert_eq!(ran, "not_run", "{answer:?}");
        assert!(retry_after_ms.is_some(), "{answer:?}");
    }
    deployment.fault_log(json!({ "outage": false })).await;
    for name in &names {
        let answer = caller.insist(&entries, &completion(name, 2, "during"), 20).await;
        assert!(answer.text().starts_with("seen=3 "), "{answer:?}");
    }
}

/// An entry is frozen while a key is revoked. When it wakes up it has an old configuration, and
/// knows by its clock that it may be old: the key is not let in there either.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_revoked_while_an_entry_was_frozen_is_not_let_in_there() {
    let flags = ["--config-stale-ms", "700"];
    let deployment = Deployment::start_with(Settings::default(), &flags, &[]).await;
    let key = "key-to-be-revoked-77";
    deployment.grant("ice", "second", key);
    let caller = Caller::new(key);
    let entry = deployment.entries()[1];
    assert!(matches!(caller.call(entry, &completion("z", 1, "x")).await, Answer::Whole(_)));
    deployment.fleet.entries["e1"].signal("STOP");
    let (code, said) = deployment.fleet.ctl(&["revoke", "ice", "second"], "").unwrap();
    assert_eq!(code, 0, "{said}");
    // Longer than a configuration may go unconfirmed.
    tokio::time::sleep(Duration::from_millis(900)).await;
    deployment.fleet.entries["e1"].signal("CONT");
    let answer = caller.call(entry, &completion("z", 2, "x")).await;
    assert!(["not_ready", "bad_key"].contains(&answer.code()), "{answer:?}");
    eventually("the refusal of the key", || async {
        caller.call(entry, &completion("z", 2, "x")).await.code() == "bad_key"
    })
    .await;
}

/// The log is out and an entry is replaced. It takes the configuration from its peer, so that it
/// knows keys and refuses truthfully, and serves once the log is back.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_started_in_an_outage_takes_its_peers_configuration() {
    let mut deployment = Deployment::start().await;
    deployment.fault_log(json!({ "outage": true })).await;
    deployment.fleet.entries.get_mut("e1").unwrap().kill();
    deployment.fleet.start_entry("e1", "b").unwrap();
    deployment.fleet.list().await;
    assert!(deployment.fleet.wait_ready().await);
    let entry = deployment.entries()[1];
    let known = deployment.caller().call(entry, &completion("y", 1, "x")).await;
    assert_eq!(known.code(), "log_unavailable", "{known:?}");
    let unknown =
        Caller::new("key-that-nobody-granted").call(entry, &completion("y", 1, "x")).await;
    assert_eq!(unknown.code(), "bad_key");
    deployment.fault_log(json!({ "outage": false })).await;
    let entries = [entry];
    let served = deployment.caller().insist(&entries, &completion("y", 1, "x"), 20).await;
    assert!(matches!(served, Answer::Whole(_)), "{served:?}");
}

/// The operator has chosen to let calls wait for the log. A call that comes in an outage is not
/// refused: it is answered once the log is back. One whose deadline passes first is told,
/// truthfully, that it was not run.
#[tokio::test(flavor = "multi_thread")]
async fn calls_wait_for_the_log_where_the_operator_says_so() {
    let flags = ["--when-log-fails", "wait", "--config-stale-ms", "60000"];
    let deployment = Deployment::start_with(Settings::default(), &flags, &[]).await;
    let entry = deployment.entries()[0];
    let caller = deployment.caller();
    caller.call(entry, &completion("v", 1, "before")).await;
    deployment.fault_log(json!({ "outage": true })).await;
    eventually("the outage in the entry's view", || async {
        deployment.fleet.status("e0").await.unwrap_or_default()["log_failing"] == true
    })
    .await;
    let mut short = completion("w", 1, "short");
    short.deadline_ms = 300;
    let refused = caller.call(entry, &short).await;
    assert!(matches!(&refused, Answer::Error { ran, .. } if ran == "not_run"), "{refused:?}");
    let waiting = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.call(entry, &completion("v", 2, "during")).await })
    };
    tokio::task::yield_now().await;
    deployment.fault_log(json!({ "outage": false })).await;
    let answer = waiting.await.unwrap();
    assert!(answer.text().starts_with("seen=3 "), "{answer:?}");
}
