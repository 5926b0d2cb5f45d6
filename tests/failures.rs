//! Failures of real processes, as callers see them.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{Deployment, PATIENCE, control, eventually};
use serde_json::json;
use trefoil_standins::caller::{Answer, Caller, action, completion};
use trefoil_standins::engine::Settings;

/// An entry is told to stop while answers stream through it. It takes no new calls, sends every
/// answer to its end and hands its shards over; the programs go on through the other entry.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_an_entry_cuts_no_call() {
    let mut deployment = Deployment::start().await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    let running: Vec<_> = (0..16)
        .map(|number| {
            let (caller, entry) = (caller.clone(), entries[number % 2]);
            let call = completion(&format!("s{number}"), 1, "words=60");
            tokio::spawn(async move { caller.call(entry, &call).await })
        })
        .collect();
    wait_running(&deployment, 16).await;
    deployment.fleet.entries["e0"].signal("TERM");
    for run in running {
        let answer = run.await.unwrap();
        assert!(answer.text().ends_with("word60 "), "{answer:?}");
    }
    let ended = deployment.fleet.entries.get_mut("e0").unwrap().wait_end(PATIENCE);
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    for number in 0..16 {
        let call = completion(&format!("s{number}"), 2, "on");
        let answer = caller.insist(&entries[1..], &call, 5).await;
        assert!(answer.text().starts_with("seen=3 "), "{answer:?}");
    }
}

/// The process beside an endpoint is told to stop. What it runs is finished, new work goes to
/// the other endpoint, and the platform's list has not said a word yet.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_the_process_beside_an_endpoint_cuts_no_call() {
    let mut deployment = Deployment::start().await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    let running: Vec<_> = (0..12)
        .map(|number| {
            let (caller, entry) = (caller.clone(), entries[number % 2]);
            let call = completion(&format!("d{number}"), 1, "words=60");
            tokio::spawn(async move { caller.call(entry, &call).await })
        })
        .collect();
    wait_running(&deployment, 12).await;
    deployment.fleet.endpoints["m0"].signal("TERM");
    for number in 0..8 {
        let answer = caller.call(entries[0], &completion(&format!("n{number}"), 1, "new")).await;
        assert!(matches!(answer, Answer::Whole(_)), "{answer:?}");
    }
    for run in running {
        let answer = run.await.unwrap();
        assert!(answer.text().ends_with("word60 "), "{answer:?}");
    }
    let ended = deployment.fleet.endpoints.get_mut("m0").unwrap().wait_end(PATIENCE);
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}

async fn wait_running(deployment: &Deployment, wanted: u64) {
    eventually("the calls under way", || async {
        let mut running = 0;
        for engine in &deployment.engines {
            let state = common::get(engine.address, "/control").await;
            running += state["running"].as_u64().unwrap_or(0);
        }
        running >= wanted
    })
    .await;
}

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

/// An owner is frozen with a payment dispatched, long enough for the other entry to take over
/// and answer the repeat. Then it wakes up and goes on as if nothing had happened. The payment
/// has been made once, and the repeat never says that it was not.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_is_made_once_though_its_owner_was_frozen_past_the_takeover() {
    let deployment = Deployment::start().await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    control(deployment.tools.address, &json!({ "slow_ms": 400 })).await;
    let names: Vec<String> = (0..10).map(|number| format!("f{number}")).collect();
    let first: Vec<_> = names
        .iter()
        .map(|name| {
            let (caller, entry) = (caller.clone(), entries[1]);
            let call = action(name, 1, "tools/pay", json!({ "program": name }));
            tokio::spawn(async move { caller.call(entry, &call).await })
        })
        .collect();
    eventually("the payments", || async { deployment.payments().await.len() == 10 }).await;
    deployment.fleet.entries["e1"].signal("STOP");
    for name in &names {
        let call = action(name, 1, "tools/pay", json!({ "program": name }));
        let answer = caller.insist(&entries[..1], &call, 20).await;
        let fine = matches!(&answer, Answer::Whole(_))
            || matches!(&answer, Answer::Error { ran, .. } if ran == "unknown");
        assert!(fine, "{name}: {answer:?}");
    }
    deployment.fleet.entries["e1"].signal("CONT");
    for run in first {
        let answer = run.await.unwrap();
        assert!(!matches!(&answer, Answer::Error { ran, .. } if ran == "not_run"), "{answer:?}");
    }
    let mut paid = deployment.payments().await;
    paid.sort();
    paid.dedup();
    assert_eq!((paid.len(), deployment.payments().await.len()), (10, 10));
}

/// The process beside the service is killed while a payment runs there. Nobody can know whether
/// it was made: the caller is told so at once, and on every repeat, and it is not made again.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_whose_process_died_is_not_made_again() {
    let mut deployment = Deployment::start().await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    control(deployment.tools.address, &json!({ "hang": true })).await;
    let call = action("k", 1, "tools/pay", json!({ "n": 1 }));
    let paying = {
        let (caller, entry, call) = (caller.clone(), entries[0], call.clone());
        tokio::spawn(async move { caller.call(entry, &call).await })
    };
    eventually("the payment", || async { !deployment.payments().await.is_empty() }).await;
    deployment.fleet.endpoints.get_mut("t0").unwrap().kill();
    let tools = deployment.tools.address;
    deployment.fleet.start_endpoint("t0", "a", ("service", "tools", tools)).unwrap();
    deployment.fleet.list().await;
    control(deployment.tools.address, &json!({ "hang": false })).await;
    let told = paying.await.unwrap();
    assert_eq!(told.code(), "outcome_unknown", "{told:?}");
    let again = caller.call(entries[1], &call).await;
    assert_eq!(again.code(), "outcome_unknown", "{again:?}");
    assert_eq!(deployment.payments().await.len(), 1);
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

/// An engine cuts every stream after five tokens. The caller sees one answer all the same: each
/// attempt goes on from the end of the text before it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_whole_though_the_engine_cuts_the_stream() {
    let settings = Settings { cut_after_tokens: 5, ..Settings::default() };
    let deployment = Deployment::start_with(settings, &[], &[]).await;
    let entries = deployment.entries();
    let answer = deployment.caller().call(entries[0], &completion("c", 1, "words=8")).await;
    assert!(answer.text().ends_with("word6 word7 word8 "), "{answer:?}");
    assert_eq!(answer.text().matches("word3 ").count(), 1, "{answer:?}");
}

/// A program ends; a little later no engine holds anything for it. Another is abandoned by its
/// caller: its lease runs out.
#[tokio::test(flavor = "multi_thread")]
async fn engines_hold_nothing_for_programs_that_are_over() {
    let flags = ["--cache-lease-ms", "700"];
    let deployment = Deployment::start_with(Settings::default(), &[], &flags).await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    for number in 0..6 {
        caller.call(entries[0], &completion(&format!("e{number}"), 1, "x")).await;
    }
    for number in 0..3 {
        caller.end(entries[1], &format!("e{number}")).await;
    }
    eventually("empty engines", || async {
        let mut held = 0;
        for engine in &deployment.engines {
            let cached = common::get(engine.address, "/cache").await;
            held += cached.as_array().map_or(usize::MAX, Vec::len);
        }
        held == 0
    })
    .await;
    let resent = caller.call(entries[0], &completion("e0", 2, "x")).await;
    assert_eq!(resent.code(), "program_ended");
}

/// Three callers send the same call at once, through different entries, and it crashes every
/// engine that runs it. Innocent calls run beside it. At most two engines crash in the whole
/// fleet; each of the three gets its final answer at once, and so does a resend after the entries
/// that knew were replaced. The innocent calls finish.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_crashes_engines_is_given_up_on_after_two() {
    let mut deployment = Deployment::start().await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    let innocent: Vec<_> = (0..6)
        .map(|number| {
            let (caller, entries) = (caller.clone(), entries.clone());
            let call = completion(&format!("i{number}"), 1, "words=60");
            tokio::spawn(async move { caller.insist(&entries, &call, 10).await })
        })
        .collect();
    wait_running(&deployment, 6).await;
    let crash = |number: usize| completion(&format!("x{number}"), 1, "please crash-engine");
    let guilty: Vec<_> = (0..3)
        .map(|number| {
            let (caller, entry) = (caller.clone(), entries[number % 2]);
            let call = crash(number);
            tokio::spawn(async move { caller.call(entry, &call).await })
        })
        .collect();
    for run in guilty {
        let answer = run.await.unwrap();
        assert_eq!(answer.code(), "crashes_endpoints", "{answer:?}");
    }
    for run in innocent {
        let answer = run.await.unwrap();
        assert!(answer.text().ends_with("word60 "), "{answer:?}");
    }
    for vm in ["e0", "e1"] {
        let domain = if vm == "e0" { "a" } else { "b" };
        deployment.fleet.entries.get_mut(vm).unwrap().kill();
        deployment.fleet.start_entry(vm, domain).unwrap();
        deployment.fleet.list().await;
        assert!(deployment.fleet.wait_ready().await);
    }
    let again = caller.insist(&deployment.entries(), &crash(9), 10).await;
    assert_eq!(again.code(), "crashes_endpoints", "{again:?}");
    let mut crashes = 0;
    for engine in &deployment.engines {
        crashes += common::get(engine.address, "/control").await["run"].as_u64().unwrap() - 1;
    }
    assert!(crashes <= 2, "{crashes} engines crashed");
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

/// The owner is killed while its answers stream through another entry. No part of an answer
/// passes for the whole: the caller gets an error, or a cut, and the same call again gives the
/// whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_cut_by_its_owners_death_never_passes_for_whole() {
    let mut deployment = Deployment::start().await;
    let entry = deployment.entries()[0];
    let caller = deployment.caller();
    let call = |number: usize| completion(&format!("m{number}"), 1, "words=60");
    let streaming: Vec<_> = (0..16)
        .map(|number| {
            let (caller, call) = (caller.clone(), call(number));
            tokio::spawn(async move { caller.call(entry, &call).await })
        })
        .collect();
    wait_running(&deployment, 16).await;
    deployment.fleet.entries.get_mut("e1").unwrap().kill();
    let mut lost = 0;
    for run in streaming {
        match run.await.unwrap() {
            Answer::Whole(text) => assert!(text.ends_with("word60 "), "{text}"),
            Answer::Error { code, ran, retry_after_ms, .. } => {
                assert_eq!((code.as_str(), ran.as_str()), ("owner_lost", "unknown"));
                assert!(retry_after_ms.is_some());
                lost += 1;
            }
            Answer::Cut => lost += 1,
        }
    }
    assert!(lost > 0, "no program was owned by the entry that was killed");
    for number in 0..16 {
        let answer = caller.insist(&[entry], &call(number), 20).await;
        assert!(answer.text().ends_with("word60 "), "{answer:?}");
    }
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
