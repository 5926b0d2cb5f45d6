//! Endpoints that fail, leave or are replaced, with real gateways.

mod common;

use std::time::Duration;

use trefoil_soak::{EndpointFault, StoreFault, Turn, World};

use common::{served, turn, world};

/// Time after which a draining endpoint must get no new requests.
const DRAIN_MS: u64 = 2_000;

// An endpoint runs a request and its response is lost. An action must not run again, and its caller must
// be told that the outcome is unknown; a lookup is repeated at another endpoint.
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

// During an outage of the store that is longer than callers wait, the first tokens of turns wait for the
// store until their callers disconnect. This was counted as silence of the endpoints, and healthy ones
// were ejected when the store was reachable again.
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
        assert!(!asked.await.expect("no panic"), "no turn may end while the store is unreachable");
    }
    world.store.set_fault(StoreFault::None);
    served(&world, 0, turn("after", "after", None)).await;
    // Log lines are flushed a few times per second.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let lines = world.gateways[0].lines();
    let blamed: Vec<_> = lines.iter().filter(|line| line.contains("endpoint is silent")).collect();
    assert!(blamed.is_empty(), "{blamed:?}");
}

// One endpoint of each service does not respond while its record in the list is valid. Lookups must be
// served by another endpoint; turns may be lost only until it is ejected, although no connection fails.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_endpoint_is_ejected() {
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

// An endpoint answers every request with status 500. Lookups must be served by another endpoint, and
// turns must no longer be sent to it after a few failures.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_answers_with_errors_is_ejected() {
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

// An endpoint announces that it is draining. Requests sent to it after the platform's bound would be cut
// off when it exits.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_endpoint_gets_no_new_requests() {
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

// Endpoints crashed while they ran turns with the same input and different histories. The input counted as
// the request, and was refused in every program of the workspace.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_under_turns_with_one_input_refuse_no_other_program() {
    let mut world = world(2).await;
    let mut begun = Vec::new();
    for number in 0..8 {
        begun.push(
            served(&world, number, turn(&format!("b{number}"), &number.to_string(), None)).await,
        );
    }
    let next = |number: usize| Turn {
        input: "go on;".to_string(),
        ..turn(&format!("n{number}"), &number.to_string(), Some(&begun[number]))
    };
    for number in 0..3 {
        world.endpoints.iter().for_each(|endpoint| endpoint.set_fault(EndpointFault::Silent));
        let (caller, entry, asked) = (world.caller.clone(), world.entry(number), next(number));
        let broken = tokio::spawn(async move { caller.turn(entry, &asked).await });
        let at = running_at(&world, &format!("n{number}")).await;
        let endpoint = world.endpoints.iter_mut().find(|endpoint| endpoint.id == at);
        let endpoint = endpoint.expect("it is one of them");
        endpoint.crash().await;
        assert!(!broken.await.expect("no panic").is_served());
        tokio::time::sleep(Duration::from_millis(300)).await;
        endpoint.restart().await.expect("it starts again");
    }
    world.endpoints.iter().for_each(|endpoint| endpoint.set_fault(EndpointFault::None));
    for number in 3..8 {
        served(&world, number, next(number)).await;
    }
}

// Each of three lookups of one path was answered after a crash. The entry that answered them knew that the
// lookup was not the cause; the others refused the path for 90 s.
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_that_one_entry_has_answered_is_refused_by_none() {
    let mut world = world(2).await;
    for number in 0..3 {
        world.endpoints.iter().for_each(|endpoint| endpoint.set_fault(EndpointFault::Silent));
        let (caller, entry, id) = (world.caller.clone(), world.entry(0), format!("look-{number}"));
        let request = id.clone();
        let asked = tokio::spawn(async move { caller.look_up(entry, &request).await });
        let at = running_at(&world, &id).await;
        world.endpoints.iter().for_each(|endpoint| endpoint.set_fault(EndpointFault::None));
        let endpoint = world.endpoints.iter_mut().find(|endpoint| endpoint.id == at);
        let endpoint = endpoint.expect("it is one of them");
        endpoint.crash().await;
        let answer = asked.await.expect("no panic");
        assert!(answer.is_served(), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(500)).await;
        endpoint.restart().await.expect("it starts again");
    }
    let answer = world.caller.look_up(world.entry(1), "look-elsewhere").await;
    assert!(answer.is_served(), "{answer:?}");
}

/// Waits until a request runs, and returns the ID of the endpoint that runs it.
async fn running_at(world: &World, request: &str) -> String {
    loop {
        if let Some(run) = world.journal.runs().into_iter().find(|run| run.request == request) {
            return run.endpoint;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

// An endpoint exits, and its address is reused by one of another service while its own record is still
// listed. Turns must not run at the other service, whose lookups must be served.
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
