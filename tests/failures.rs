//! What callers observe when processes are stopped, killed or frozen, or crash.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{Deployment, TEST_TIMEOUT, configure_stand_in, eventually, wait_running};
use serde_json::json;
use trefoil_standins::caller::{Answer, action, completion};
use trefoil_standins::engine::Settings;

/// An entry gets SIGTERM while answers stream through it. It accepts no new calls, completes every
/// answer and hands its shards over; the programs continue through the other entry.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_an_entry_interrupts_no_call() {
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
    for task in running {
        let answer = task.await.unwrap();
        assert!(answer.text().ends_with("word60 "), "{answer:?}");
    }
    let exit_status = deployment.fleet.entries.get_mut("e0").unwrap().wait_end(TEST_TIMEOUT);
    assert!(exit_status.is_some_and(|status| status.success()), "{exit_status:?}");
    for number in 0..16 {
        let call = completion(&format!("s{number}"), 2, "on");
        let answer = caller.insist(&entries[1..], &call, 5).await;
        assert!(answer.text().starts_with("seen=3 "), "{answer:?}");
    }
}

/// The process beside an endpoint gets SIGTERM. It finishes the calls that it runs, and new calls
/// go to the other endpoint although the VM list still contains the first.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_the_process_beside_an_endpoint_interrupts_no_call() {
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
    for task in running {
        let answer = task.await.unwrap();
        assert!(answer.text().ends_with("word60 "), "{answer:?}");
    }
    let exit_status = deployment.fleet.endpoints.get_mut("m0").unwrap().wait_end(TEST_TIMEOUT);
    assert!(exit_status.is_some_and(|status| status.success()), "{exit_status:?}");
}

/// An owner, the entry that holds the shards of some programs, is frozen while their payments run,
/// until the other entry has claimed the shards and answered the retries; then it resumes with
/// outdated state. Each payment must be made exactly once, and neither the original calls nor the
/// retries may be answered that it was not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_is_made_once_when_its_owner_is_frozen_until_after_a_takeover() {
    let deployment = Deployment::start().await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    configure_stand_in(deployment.tools.address, &json!({ "slow_ms": 400 })).await;
    let names: Vec<String> = (0..10).map(|number| format!("f{number}")).collect();
    let first_calls: Vec<_> = names
        .iter()
        .map(|name| {
            let (caller, entry) = (caller.clone(), entries[1]);
            let call = action(name, 1, "tools/pay", json!({ "program": name }));
            tokio::spawn(async move { caller.call(entry, &call).await })
        })
        .collect();
    eventually("ten payments at the tool service", || async {
        deployment.payments().await.len() == 10
    })
    .await;
    deployment.fleet.entries["e1"].signal("STOP");
    for name in &names {
        let call = action(name, 1, "tools/pay", json!({ "program": name }));
        let answer = caller.insist(&entries[..1], &call, 20).await;
        let outcome_is_truthful = matches!(&answer, Answer::Whole(_))
            || matches!(&answer, Answer::Error { ran, .. } if ran == "unknown");
        assert!(outcome_is_truthful, "{name}: {answer:?}");
    }
    deployment.fleet.entries["e1"].signal("CONT");
    for task in first_calls {
        let answer = task.await.unwrap();
        assert!(!matches!(&answer, Answer::Error { ran, .. } if ran == "not_run"), "{answer:?}");
    }
    let mut paid = deployment.payments().await;
    paid.sort();
    paid.dedup();
    assert_eq!((paid.len(), deployment.payments().await.len()), (10, 10));
}

/// The process beside the service is killed while a payment runs there, so its outcome is unknown.
/// The caller gets `outcome_unknown` at once and on every retry, and the payment is not repeated.
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_is_not_repeated_after_the_process_beside_its_service_was_killed() {
    let mut deployment = Deployment::start().await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    configure_stand_in(deployment.tools.address, &json!({ "hang": true })).await;
    let call = action("k", 1, "tools/pay", json!({ "n": 1 }));
    let first_call = {
        let (caller, entry, call) = (caller.clone(), entries[0], call.clone());
        tokio::spawn(async move { caller.call(entry, &call).await })
    };
    eventually("the payment at the tool service", || async {
        !deployment.payments().await.is_empty()
    })
    .await;
    deployment.fleet.endpoints.get_mut("t0").unwrap().kill();
    let tools = deployment.tools.address;
    deployment.fleet.start_endpoint("t0", "a", ("service", "tools", tools)).unwrap();
    deployment.fleet.list().await;
    configure_stand_in(deployment.tools.address, &json!({ "hang": false })).await;
    let first_answer = first_call.await.unwrap();
    assert_eq!(first_answer.code(), "outcome_unknown", "{first_answer:?}");
    let retried = caller.call(entries[1], &call).await;
    assert_eq!(retried.code(), "outcome_unknown", "{retried:?}");
    assert_eq!(deployment.payments().await.len(), 1);
}

/// Engines close every stream after five tokens. The caller still gets one complete answer: each
/// attempt continues from the end of the text received before it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_complete_although_the_engine_closes_its_streams_early() {
    let settings = Settings { cut_after_tokens: 5, ..Settings::default() };
    let deployment = Deployment::start_with(settings, &[], &[]).await;
    let entries = deployment.entries();
    let answer = deployment.caller().call(entries[0], &completion("c", 1, "words=8")).await;
    assert!(answer.text().ends_with("word6 word7 word8 "), "{answer:?}");
    assert_eq!(answer.text().matches("word3 ").count(), 1, "{answer:?}");
}

/// Engines free their cache for programs that their callers end, and, when the cache lease expires,
/// for programs that their callers abandon.
#[tokio::test(flavor = "multi_thread")]
async fn engines_free_their_cache_for_ended_and_abandoned_programs() {
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
    eventually("empty engine caches", || async {
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

/// Three programs send the same content concurrently through the two entries, and it crashes every
/// engine that runs it. At most two engines may crash in the whole fleet. Each of the three calls
/// gets `crashes_endpoints`, and so does a retry after both entries were replaced and their memory
/// is lost. Other calls that run at the same time complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_crashes_engines_is_refused_after_two_crashes() {
    let mut deployment = Deployment::start().await;
    let entries = deployment.entries();
    let caller = deployment.caller();
    let other_calls: Vec<_> = (0..6)
        .map(|number| {
            let (caller, entries) = (caller.clone(), entries.clone());
            let call = completion(&format!("i{number}"), 1, "words=60");
            tokio::spawn(async move { caller.insist(&entries, &call, 10).await })
        })
        .collect();
    wait_running(&deployment, 6).await;
    let crashing_call = |number: usize| completion(&format!("x{number}"), 1, "please crash-engine");
    let crashing_calls: Vec<_> = (0..3)
        .map(|number| {
            let (caller, entry) = (caller.clone(), entries[number % 2]);
            let call = crashing_call(number);
            tokio::spawn(async move { caller.call(entry, &call).await })
        })
        .collect();
    for task in crashing_calls {
        let answer = task.await.unwrap();
        assert_eq!(answer.code(), "crashes_endpoints", "{answer:?}");
    }
    for task in other_calls {
        let answer = task.await.unwrap();
        assert!(answer.text().ends_with("word60 "), "{answer:?}");
    }
    for vm in ["e0", "e1"] {
        let domain = if vm == "e0" { "a" } else { "b" };
        deployment.fleet.entries.get_mut(vm).unwrap().kill();
        deployment.fleet.start_entry(vm, domain).unwrap();
        deployment.fleet.list().await;
        assert!(deployment.fleet.wait_ready().await);
    }
    let retried = caller.insist(&deployment.entries(), &crashing_call(9), 10).await;
    assert_eq!(retried.code(), "crashes_endpoints", "{retried:?}");
    let crashes = engine_crashes(&deployment).await;
    assert!(crashes <= 2, "{crashes} engines crashed");
}

/// Guards against running a call again on the engine that it crashed: it was placed there while its
/// intent, which a slow log delays, was not recorded, and the engine is back before the dispatch.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_placed_before_a_crash_is_not_dispatched_to_the_crashed_engine() {
    let deployment = Deployment::start().await;
    let entries = deployment.entries();
    for number in 0..6 {
        deployment.caller().call(entries[0], &completion(&format!("p{number}"), 1, "hello")).await;
    }
    deployment.set_log_faults(json!({ "slow_ms": 150 })).await;
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let (caller, entry) = (deployment.caller(), entries[number % 2]);
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(25 * number as u64)).await;
                let call = completion(&format!("p{number}"), 2, "please crash-engine");
                caller.call(entry, &call).await
            })
        })
        .collect();
    for task in callers {
        let answer = task.await.unwrap();
        assert_eq!(answer.code(), "crashes_endpoints", "{answer:?}");
    }
    let crashes = engine_crashes(&deployment).await;
    assert!(crashes <= 2, "{crashes} engines crashed");
}

/// The crashes of all engines. An engine reports how often it started as `run`.
async fn engine_crashes(deployment: &Deployment) -> u64 {
    let mut crashes = 0;
    for engine in &deployment.engines {
        crashes += common::get(engine.address, "/control").await["run"].as_u64().unwrap() - 1;
    }
    crashes
}

/// The owner is killed while its answers stream through another entry. A truncated answer must not
/// look complete: the caller gets an error or a broken stream, and a retry gets the complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_truncated_by_its_owners_death_does_not_look_complete() {
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
    for task in streaming {
        match task.await.unwrap() {
            Answer::Whole(text) => assert!(text.ends_with("word60 "), "{text}"),
            Answer::Error { code, ran, retry_after_ms, .. } => {
                assert_eq!((code.as_str(), ran.as_str()), ("owner_lost", "unknown"));
                assert!(retry_after_ms.is_some());
                lost += 1;
            }
            Answer::Cut => lost += 1,
        }
    }
    assert!(lost > 0, "the killed entry owned no program");
    for number in 0..16 {
        let answer = caller.insist(&[entry], &call(number), 20).await;
        assert!(answer.text().ends_with("word60 "), "{answer:?}");
    }
}
