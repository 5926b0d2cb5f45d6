//! Kills, freezes and crashes of real processes, as callers see them.

#![allow(clippy::unwrap_used)]

mod common;

use common::{Deployment, PATIENCE, control, eventually, wait_running};
use serde_json::json;
use trefoil_standins::caller::{Answer, action, completion};
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
