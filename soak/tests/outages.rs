//! Outages of the store, as seen by callers that retry a few times.

mod common;

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use trefoil_soak::{Caller, LinkFault, StoreFault, Turn, World};

use common::{REVOKE_MS, ask, turn, world};

/// Time without data after which the caller of a stream disconnects.
const GAP: Duration = Duration::from_secs(2);

/// Timeout of one attempt of a caller.
const TRY_MS: u64 = 3_000;

/// Number of attempts of a caller for one turn.
const TRIES: usize = 3;

/// Time within which gateways flush their logs.
const LOGS_WAIT: Duration = Duration::from_millis(1_000);

/// Pause between two attempts.
const TRY_PAUSE: Duration = Duration::from_millis(250);

/// The topic in which entries announce themselves.
const PEERS_TOPIC: &str = "keyed.peers";

/// Requests a turn as callers do: up to three attempts, each of which retries once after a refusal, after
/// at most a third of the time that it has left.
async fn serves(world: &World, caller: Caller, entry: usize, asked: Turn) -> bool {
    let mut number = 0;
    for at in 0..TRIES {
        let mut left_ms = TRY_MS;
        for _ in 0..2 {
            number += 1;
            let turn = Turn { request: format!("{}.{number}", asked.request), ..asked.clone() };
            let started = tokio::time::Instant::now();
            let answer = caller.turn(world.entry(entry + number), &turn);
            let limit = GAP.min(Duration::from_millis(left_ms));
            let Ok(answer) = tokio::time::timeout(limit, answer).await else {
                break;
            };
            if answer.is_served() {
                return true;
            }
            left_ms = left_ms.saturating_sub(started.elapsed().as_millis() as u64);
            let Some(retry_after_ms) =
                answer.retry_after_ms.filter(|_| answer.guarantees_not_run())
            else {
                break;
            };
            let pause_ms = retry_after_ms.min(left_ms / 3);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            left_ms -= pause_ms;
        }
        if at + 1 < TRIES {
            tokio::time::sleep(TRY_PAUSE).await;
        }
    }
    false
}

// The store refuses all calls for seven seconds, longer than a configuration may stay unconfirmed. Each
// caller attempts its turn three times. When each attempt was refused at once, or got no first event
// until its caller disconnected, the program was lost before the store was reachable again.
#[tokio::test(flavor = "multi_thread")]
async fn programs_outlast_an_outage_of_the_store() {
    let world = std::sync::Arc::new(world(2).await);
    world.store.set_fault(StoreFault::Down);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let asking = (0..8).map(|number| {
        let (world, id) = (world.clone(), format!("t{number}"));
        tokio::spawn(async move {
            let asked = if number % 2 == 0 { ask(&id, &id) } else { turn(&id, &id, None) };
            serves(&world, world.caller.clone(), number, asked).await
        })
    });
    let asking: Vec<_> = asking.collect();
    tokio::time::sleep(Duration::from_millis(6_500)).await;
    world.store.set_fault(StoreFault::None);
    for asked in asking {
        assert!(asked.await.expect("no panic"), "a program was lost to the outage");
    }
}

/// Number of log lines of all gateways with this message about a request.
fn lines_about(world: &World, request: &str, message: &str) -> usize {
    let request = format!("\"request\":\"{request}\"");
    let message = format!("\"msg\":\"{message}\"");
    let lines = world.gateways.iter().flat_map(|gateway| gateway.lines());
    lines.filter(|line| line.contains(&request) && line.contains(&message)).count()
}

// One of three entries can't reach the store for longer than a configuration may stay unconfirmed, and
// its callers stay connected to it. It refused their requests although the other two could serve them.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_an_entry_that_alone_has_lost_the_store_are_served() {
    let world = world(3).await;
    world.links[0].set_fault(LinkFault::Silent);
    tokio::time::sleep(Duration::from_millis(REVOKE_MS + 500)).await;
    let mut previous: Option<String> = None;
    for number in 0..6 {
        let id = format!("relayed-{number}");
        let answer = world.caller.turn(world.entry(0), &turn(&id, "p", previous.as_deref())).await;
        assert!(answer.is_served(), "{id}: {answer:?}");
        let looked_up = world.caller.look_up(world.entry(0), &format!("look-{number}")).await;
        assert!(looked_up.is_served(), "{looked_up:?}");
        previous = Some(id);
    }
    tokio::time::sleep(LOGS_WAIT).await;
    for number in 0..6 {
        let id = format!("relayed-{number}");
        assert_eq!(lines_about(&world, &id, "answered"), 1, "each request is counted once");
        assert_eq!(lines_about(&world, &id, "a request was relayed"), 1);
    }
    assert!(world.journal.counts().values().all(|runs| *runs == 1));
}

// A caller takes a second to send its body to an entry that can't reach the store. The entry to which the
// request was relayed gave the endpoint the caller's full timeout again.
#[tokio::test(flavor = "multi_thread")]
async fn a_relayed_request_keeps_to_its_callers_time() {
    const BODY_TAKES: Duration = Duration::from_millis(1_000);
    let world = world(2).await;
    world.links[0].set_fault(LinkFault::Silent);
    tokio::time::sleep(Duration::from_millis(REVOKE_MS + 500)).await;
    let head = format!(
        "POST /actions/1 HTTP/1.1\r\nhost: soak.example\r\nauthorization: Bearer {}\r\n\
        trefoilproxy-request-id: slow\r\ntrefoilproxy-deadline-ms: {TRY_MS}\r\n\
        content-length: 4\r\n\r\n",
        world.caller.key
    );
    let mut stream = TcpStream::connect(world.entry(0)).await.expect("it listens");
    stream.write_all(head.as_bytes()).await.expect("sent");
    tokio::time::sleep(BODY_TAKES).await;
    stream.write_all(b"slow").await.expect("sent");
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let runs = world.journal.runs();
    let run = runs.iter().find(|run| run.request == "slow").expect("it has run");
    let left_ms = run.left_ms.expect("the endpoint is told");
    assert!(left_ms <= TRY_MS - BODY_TAKES.as_millis() as u64, "{left_ms}");
}

// During an outage of the store, callers are refused because the configuration is unconfirmed. Each of these
// refusals was charged to the workspace's rate, so that callers were refused for seconds afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_refused_in_an_outage_costs_no_rate() {
    const RATE_PER_S: u64 = 10;
    let mut world = world(1).await;
    world.rate_per_s = RATE_PER_S;
    world.configure(&["secret-key-in-force"], &["other-key"]);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    world.links[0].set_fault(LinkFault::Silent);
    tokio::time::sleep(Duration::from_millis(REVOKE_MS + 100)).await;
    let asking = (0..10 * RATE_PER_S).map(|number| {
        let (caller, entry) = (world.caller.clone(), world.entry(0));
        tokio::spawn(async move { caller.look_up(entry, &format!("refused-{number}")).await })
    });
    for asked in asking.collect::<Vec<_>>() {
        assert_eq!(asked.await.expect("no panic").status, Some(503));
    }
    world.links[0].set_fault(LinkFault::None);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let answer = world.caller.look_up(world.entry(0), "after").await;
    assert!(answer.is_served(), "{answer:?}");
}

// The write that noted the end of a surge was executed after the one that noted the next surge, and replaced
// it. After a kill of all processes the workspace had far more requests run than its limit allows.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_write_replaces_no_newer_announcement() {
    let world = world(1).await;
    let notes_surge = || {
        let record = world.store.newest_value(PEERS_TOPIC, "entry-0").expect("it is announced");
        record.get("surges").is_some()
    };
    let mut requests = 0;
    send_until(&world, &mut requests, notes_surge).await;
    world.store.hold_next_append(PEERS_TOPIC);
    wait_until(|| !notes_surge()).await;
    send_until(&world, &mut requests, notes_surge).await;
    assert!(world.store.execute_held());
    assert!(notes_surge(), "an older announcement is the newest record");
}

/// Sends lookups of the workspace with a low rate until the condition holds.
async fn send_until(world: &World, requests: &mut usize, is_met: impl Fn() -> bool) {
    let caller = Caller { key: "key-of-flooded".to_string() };
    let send = async {
        loop {
            *requests += 1;
            caller.look_up(world.entry(0), &format!("look-{requests}")).await;
        }
    };
    tokio::select! {
        () = send => {}
        () = wait_until(is_met) => {}
    }
}

async fn wait_until(is_met: impl Fn() -> bool) {
    while !is_met() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
