//! What callers get of gateways that get a signal while they start, or a further one while they stop.

mod common;

use std::time::Duration;

use trefoil_soak::{Answer, EndpointFault, World};

use common::{turn, world};

/// Time after which a gateway that was stopped has exited: its grace period, and a second for a loaded
/// machine.
const EXIT_LIMIT: Duration = Duration::from_secs(5);

/// How long endpoints take for a call that is in flight when the second signal comes.
const CALL_MS: u64 = 700;

fn has_exited(world: &mut World, gateway: usize) -> bool {
    let status = world.gateways[gateway].wait_for_exit(EXIT_LIMIT).expect("waited");
    status.is_some_and(|status| status.success())
}

// A second signal while a gateway drains must not end what is in flight, nor the time in which it takes
// requests. All lines of its log are written.
#[tokio::test(flavor = "multi_thread")]
async fn a_further_signal_while_a_gateway_stops_changes_nothing() {
    const SIGNALS: [(&str, &str); 4] =
        [("TERM", "TERM"), ("INT", "INT"), ("TERM", "HUP"), ("INT", "TERM")];
    let mut world = world(SIGNALS.len() + 1).await;
    world.endpoints.iter().for_each(|e| e.set_fault(EndpointFault::ReadsSlowly(CALL_MS)));
    let call = |when: &str, entry: usize| {
        let (caller, address) = (world.caller.clone(), world.entry(entry));
        let id = format!("{when}-{entry}");
        tokio::spawn(async move { caller.act(address, &id).await })
    };
    let mut calls: Vec<_> = (0..SIGNALS.len()).map(|entry| call("before", entry)).collect();
    tokio::time::sleep(Duration::from_millis(150)).await;
    for (gateway, (first, _)) in world.gateways.iter().zip(SIGNALS) {
        gateway.signal(first).expect("sent");
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    for (gateway, (_, second)) in world.gateways.iter().zip(SIGNALS) {
        gateway.signal(second).expect("sent");
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    calls.extend((0..SIGNALS.len()).map(|entry| call("after", entry)));
    for call in calls {
        let answer = call.await.expect("no panic");
        assert!(answer.is_served(), "{answer:?}");
    }
    for (gateway, signals) in SIGNALS.into_iter().enumerate() {
        assert!(has_exited(&mut world, gateway), "{signals:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let lines = world.gateways[gateway].lines();
        assert!(lines.last().is_some_and(|line| line.contains("\"msg\":\"stopped\"")), "{lines:?}");
    }
}

// A gateway that is stopped while it starts must exit by itself, or end by the signal before it listens,
// and answer all requests that it reads. `0` is before its listeners are open; without the store it has
// no configuration; later it has no shards yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_is_stopped_while_it_starts_answers_what_it_reads() {
    let mut world = world(3).await;
    for gateway in 0..3 {
        world.gateways[gateway].kill().expect("killed");
    }
    for (round, after_ms) in [0, 10, 30, 80, 200, 500].into_iter().enumerate() {
        let gateway = round % 3;
        if round == 3 {
            (0..3).for_each(|stopped| assert!(has_exited_or_was_ended(&mut world, stopped)));
        }
        world.gateways[gateway].start().expect("started");
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        world.gateways[gateway].signal("TERM").expect("sent");
        let id = format!("start-{round}");
        let answer = world.caller.act(world.entry(gateway), &id).await;
        assert!(is_told(&world, &id, &answer), "{id}: {answer:?}");
    }
    (0..3).for_each(|stopped| assert!(has_exited_or_was_ended(&mut world, stopped)));
}

/// Whether a gateway has exited by itself, or was ended by a signal before it opened its listeners.
fn has_exited_or_was_ended(world: &mut World, gateway: usize) -> bool {
    let status = world.gateways[gateway].wait_for_exit(EXIT_LIMIT).expect("waited");
    status.is_some_and(|status| status.success() || status.code().is_none())
}

/// Whether a request that has run got an answer, and one that was promised not to run has not run.
fn is_told(world: &World, id: &str, answer: &Answer) -> bool {
    let has_run = world.journal.counts().contains_key(id);
    match answer.status {
        Some(_) => !(has_run && answer.guarantees_not_run()),
        None => !has_run,
    }
}

// One gateway is stopped with two signals while another one is stopped and started again at once. Each
// request must run at most once and be answered truthfully, and both must serve afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn two_gateways_that_stop_while_one_starts_again_lose_nothing() {
    let mut world = world(2).await;
    let callers: Vec<_> = (0..8)
        .map(|line| {
            let (caller, entry) = (world.caller.clone(), world.entry(line));
            tokio::spawn(async move {
                let mut answers = Vec::new();
                for number in 0..60 {
                    let id = format!("two-{line}-{number}");
                    answers.push((id.clone(), caller.act(entry, &id).await));
                    let id = format!("two-turn-{line}-{number}");
                    answers.push((id.clone(), caller.turn(entry, &turn(&id, &id, None)).await));
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                answers
            })
        })
        .collect();
    world.gateways[0].signal("TERM").expect("sent");
    tokio::time::sleep(Duration::from_millis(100)).await;
    world.gateways[1].signal("TERM").expect("sent");
    tokio::time::sleep(Duration::from_millis(100)).await;
    world.gateways[0].signal("TERM").expect("sent");
    for gateway in [1, 0] {
        assert!(has_exited(&mut world, gateway), "gateway {gateway}");
        world.gateways[gateway].start().expect("started");
    }
    for caller in callers {
        for (id, answer) in caller.await.expect("no panic") {
            assert!(is_told(&world, &id, &answer), "{id}: {:?}", answer.status);
        }
    }
    assert!(world.journal.counts().values().all(|runs| *runs == 1), "a request ran twice");
    world.wait_serving().await.expect("both serve");
}
