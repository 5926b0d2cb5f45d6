//! What callers observe during outages of the log and after keys are revoked.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{Deployment, eventually, wait_running};
use serde_json::json;
use trefoil_standins::caller::{Answer, Caller, completion};
use trefoil_standins::engine::Settings;

/// A key is revoked while an answer streams to its caller. The stream ends with an error instead of
/// looking complete, and every entry refuses new calls with the key.
#[tokio::test(flavor = "multi_thread")]
async fn revoking_a_key_ends_its_streams_and_refuses_its_calls() {
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
    let (code, output) = deployment.fleet.ctl(&["revoke", "ice", "second", "--wait"], "").unwrap();
    assert_eq!(code, 0, "{output}");
    assert_eq!(streaming.await.unwrap().code(), "key_withdrawn");
    for entry in &entries {
        let answer = caller.call(*entry, &completion("r2", 1, "x")).await;
        assert_eq!(answer.code(), "bad_key");
    }
    let other = deployment.caller().call(entries[0], &completion("r3", 1, "x")).await;
    assert!(matches!(other, Answer::Whole(_)), "{other:?}");
}

/// The log is unavailable. New turns are refused as `not_run` with a retry time, and once the log is
/// available again the programs continue with their histories.
#[tokio::test(flavor = "multi_thread")]
async fn turns_are_refused_as_not_run_in_a_log_outage_and_no_history_is_lost() {
    let deployment =
        Deployment::start_with(Settings::default(), &["--config-stale-ms", "60000"], &[]).await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    let names: Vec<String> = (0..6).map(|number| format!("l{number}")).collect();
    for name in &names {
        caller.call(entries[0], &completion(name, 1, "before")).await;
    }
    deployment.set_log_faults(json!({ "outage": true })).await;
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
    deployment.set_log_faults(json!({ "outage": false })).await;
    for name in &names {
        let answer = caller.insist(&entries, &completion(name, 2, "during"), 20).await;
        assert!(answer.text().starts_with("seen=3 "), "{answer:?}");
    }
}

/// An entry is frozen while a key is revoked. When it resumes, its configuration is outdated, and its
/// clock shows that the configuration was unconfirmed for too long: it refuses the key too.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_entry_refuses_a_key_that_was_revoked_while_it_was_frozen() {
    let flags = ["--config-stale-ms", "700"];
    let deployment = Deployment::start_with(Settings::default(), &flags, &[]).await;
    let key = "key-to-be-revoked-77";
    deployment.grant("ice", "second", key);
    let caller = Caller::new(key);
    let entry = deployment.entries()[1];
    assert!(matches!(caller.call(entry, &completion("z", 1, "x")).await, Answer::Whole(_)));
    deployment.fleet.entries["e1"].signal("STOP");
    let (code, output) = deployment.fleet.ctl(&["revoke", "ice", "second"], "").unwrap();
    assert_eq!(code, 0, "{output}");
    // Longer than `--config-stale-ms`.
    tokio::time::sleep(Duration::from_millis(900)).await;
    deployment.fleet.entries["e1"].signal("CONT");
    let answer = caller.call(entry, &completion("z", 2, "x")).await;
    assert!(["not_ready", "bad_key"].contains(&answer.code()), "{answer:?}");
    eventually("a refusal of the key", || async {
        caller.call(entry, &completion("z", 2, "x")).await.code() == "bad_key"
    })
    .await;
}

/// An entry is replaced while the log is unavailable. It copies the configuration from its peer, so it
/// authenticates keys and refuses known ones with `log_unavailable`; it serves them once the log is
/// available again.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_started_in_a_log_outage_copies_its_peers_configuration() {
    let mut deployment = Deployment::start().await;
    deployment.set_log_faults(json!({ "outage": true })).await;
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
    deployment.set_log_faults(json!({ "outage": false })).await;
    let entries = [entry];
    let served = deployment.caller().insist(&entries, &completion("y", 1, "x"), 20).await;
    assert!(matches!(served, Answer::Whole(_)), "{served:?}");
}

/// With `--when-log-fails wait`, a call that arrives while the log is unavailable is not refused but
/// answered once the log is available again. A call whose deadline passes first is refused as
/// `not_run`.
#[tokio::test(flavor = "multi_thread")]
async fn calls_wait_for_the_log_with_when_log_fails_wait() {
    let flags = ["--when-log-fails", "wait", "--config-stale-ms", "60000"];
    let deployment = Deployment::start_with(Settings::default(), &flags, &[]).await;
    let entry = deployment.entries()[0];
    let caller = deployment.caller();
    caller.call(entry, &completion("v", 1, "before")).await;
    deployment.set_log_faults(json!({ "outage": true })).await;
    eventually("`log_failing` in the entry's status", || async {
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
    deployment.set_log_faults(json!({ "outage": false })).await;
    let answer = waiting.await.unwrap();
    assert!(answer.text().starts_with("seen=3 "), "{answer:?}");
}
