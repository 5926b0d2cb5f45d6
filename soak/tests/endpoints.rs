//! Endpoints that fail, leave or are replaced, under real gateways.

mod common;

use std::time::Duration;

use trefoil_soak::{EndpointFault, StoreFault};

use common::{served, turn, world};

/// An endpoint that leaves gets nothing new after this.
const DRAIN_MS: u64 = 2_000;

// An endpoint runs an action and its answer is lost. The caller is told that the outcome is unknown;
// a second run would pay twice. A lookup is simply asked again at another endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_repeats_lookups_and_never_actions() {
    let world = world(1).await;
    world.endpoints.iter().for_each(|e| e.set_fault(EndpointFault::BreaksOneIn(2)));
    let mut unknown = 0;
    for number in 0..20 {
        let answer = world.caller.act(world.entry(0), &format!("act-{number}")).await;
        assert!(answer.is_served() || answer.status == Some(502), "{answer:?}");
        unknown += u32::from(!answer.is_served());
    }
    assert!(unknown > 0);
    let counts = world.journal.counts();
    let acts = counts.iter().filter(|(id, _)| id.starts_with("act-"));
    assert!(acts.clone().all(|(_, runs)| *runs == 1), "{:?}", acts.collect::<Vec<_>>());
}

// The store is away for longer than callers wait. Turns run, and their first tokens wait for the store
// until their callers leave. That is not the endpoints' silence: counted against them, sound endpoints
// were left out just when the store was back.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_is_not_the_endpoints_silence() {
    let world = world(1).await;
    world.store.set_fault(StoreFault::Down);
    let turns = (0..8).map(|number| {
        let (caller, entry) = (world.caller.clone(), world.entry(0));
        tokio::spawn(async move {
            let id = format!("t{number}");
            let asked = turn(&id, &id, None);
            let leaves = Duration::from_millis(1_200);
            tokio::time::timeout(leaves, caller.turn(entry, &asked)).await.is_ok()
        })
    });
    for asked in turns.collect::<Vec<_>>() {
        assert!(!asked.await.expect("no panic"), "no turn may end while the store is away");
    }
    world.store.set_fault(StoreFault::None);
    served(&world, 0, turn("after", "after", None)).await;
    // Lines are written a few times a second.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let lines = world.gateways[0].lines();
    let blamed: Vec<_> = lines.iter().filter(|line| line.contains("endpoint is silent")).collect();
    assert!(blamed.is_empty(), "{blamed:?}");
}

// One of the endpoints of each service says nothing, and its entry in the list is sound. Callers of
// lookups are served by another endpoint; callers of turns lose those that reach it until it is left
// out, and no more, though no connection ever breaks.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_endpoint_is_left_out() {
    let world = world(1).await;
    let silent: Vec<_> = ["llm", "desk"]
        .iter()
        .filter_map(|service| world.endpoints.iter().find(|e| e.id.starts_with(service)))
        .collect();
    assert_eq!(silent.len(), 2);
    silent.iter().for_each(|endpoint| endpoint.set_fault(EndpointFault::Silent));
    let mut lost = 0;
    for number in 0..30 {
        let looked_up = world.caller.look_up(world.entry(0), &format!("look-{number}")).await;
        assert!(looked_up.is_served(), "{number}: {looked_up:?}");
        let id = format!("t{number}");
        lost +=
            u32::from(!world.caller.turn(world.entry(0), &turn(&id, &id, None)).await.is_served());
    }
    assert!(lost <= 6, "{lost}");
}

// An endpoint answers every request with a fault of its own. Lookups are served by another, and turns
// no longer reach it after a few.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_answers_with_faults_is_left_out() {
    let world = world(1).await;
    for service in ["llm", "desk"] {
        let faulty = world.endpoints.iter().find(|e| e.id.starts_with(service));
        faulty.expect("one of each").set_fault(EndpointFault::FailsOneIn(1));
    }
    let mut failed = 0;
    for number in 0..40 {
        let looked_up = world.caller.look_up(world.entry(0), &format!("look-{number}")).await;
        assert!(looked_up.is_served(), "{number}: {looked_up:?}");
        let id = format!("t{number}");
        failed +=
            u32::from(!world.caller.turn(world.entry(0), &turn(&id, &id, None)).await.is_served());
    }
    assert!(failed <= 8, "{failed}");
}

// An endpoint says that it is leaving. Requests that reach it later than the platform allows are cut
// when it ends, so that from then on none may.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_leaves_gets_nothing_new() {
    let mut world = world(2).await;
    let at = world.endpoints.iter().position(|e| e.id.starts_with("desk")).expect("one");
    let leaving = world.endpoints[at].id.clone();
    world.endpoints[at].drain("desk");
    tokio::time::sleep(Duration::from_millis(DRAIN_MS)).await;
    for number in 0..40 {
        let answer = world.caller.look_up(world.entry(number), &format!("after-{number}")).await;
        assert!(answer.is_served(), "{answer:?}");
    }
    let runs = world.journal.runs();
    let late =
        runs.iter().filter(|run| run.endpoint == leaving && run.request.starts_with("after"));
    assert_eq!(late.count(), 0);
}

// An endpoint dies, and its address is given to one of another service while its entry is still in the
// list. Turns must not run at a service that their route does not name, and lookups are served there.
#[tokio::test(flavor = "multi_thread")]
async fn a_reused_address_runs_nothing_of_the_old_service() {
    let mut world = world(2).await;
    let at = world.endpoints.iter().position(|e| e.id.starts_with("desk")).expect("one");
    world.endpoints[at].replace("llm-reborn", "llm");
    for number in 0..30 {
        let looked_up = world.caller.look_up(world.entry(number), &format!("look-{number}")).await;
        assert!(looked_up.is_served(), "{looked_up:?}");
    }
    let runs = world.journal.runs();
    let strayed =
        runs.iter().filter(|r| r.endpoint == "llm-reborn" && r.request.starts_with("look"));
    assert_eq!(strayed.count(), 0);
}
