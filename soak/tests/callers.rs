//! Guarantees to callers, on real gateways.

mod common;

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use trefoil_soak::{Caller, LinkFault, World};

use common::{REVOKE_MS, turn, world};

/// A world in which the caller's key was withdrawn longer ago than it may be served, while the first
/// entry could not reach the store.
async fn key_withdrawn_out_of_reach(gateways: usize) -> World {
    let mut world = world(gateways).await;
    world.links[0].set_fault(LinkFault::Silent);
    world.configure(&["a-new-key"], &["other-key"]);
    tokio::time::sleep(Duration::from_millis(REVOKE_MS + 100)).await;
    world
}

// A key is withdrawn while the only entry can't reach the store. The entry must stop serving any key
// before the bound, and must not answer that the key is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_runs_nothing_at_an_entry_that_cannot_know() {
    let world = key_withdrawn_out_of_reach(1).await;
    let answer = world.caller.look_up(world.entry(0), "late-0").await;
    assert_eq!(answer.status, Some(503), "{answer:?}");
    assert!(!world.journal.counts().keys().any(|id| id.starts_with("late-")));
}

// A key is withdrawn while one of two entries can't reach the store: the other one must decide on the
// requests of both.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_cannot_know_has_another_decide_on_keys() {
    let world = key_withdrawn_out_of_reach(2).await;
    let answer = world.caller.look_up(world.entry(0), "late-0").await;
    assert_eq!(answer.status, Some(401), "{answer:?}");
    let granted = Caller { key: "a-new-key".into() };
    let answer = granted.look_up(world.entry(0), "granted").await;
    assert!(answer.is_served(), "{answer:?}");
    let answer = world.caller.look_up(world.entry(1), "late-1").await;
    assert_eq!(answer.status, Some(401), "{answer:?}");
    assert!(!world.journal.counts().keys().any(|id| id.starts_with("late-")));
}

// An entry is stopped with SIGTERM while callers keep sending to it. Each request must be answered, by
// it or by the next owner of its shards, and the process must exit by itself.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_an_entry_loses_no_request() {
    let mut world = world(2).await;
    let (caller, entry) = (world.caller.clone(), world.entry(0));
    let asking = tokio::spawn(async move {
        let mut answers = Vec::new();
        for number in 0..60 {
            let asked = turn(&format!("t{number}"), &format!("p{number}"), None);
            answers.push(caller.turn(entry, &asked).await);
        }
        answers
    });
    tokio::time::sleep(Duration::from_millis(150)).await;
    world.gateways[0].signal("TERM").expect("sent");
    let answers = asking.await.expect("no panic");
    let cut = answers.iter().filter(|answer| answer.status.is_some() && !answer.whole);
    assert_eq!(cut.count(), 0);
    let unknown = answers.iter().filter(|answer| matches!(answer.status, Some(502 | 504)));
    assert_eq!(unknown.count(), 0);
    let status = world.gateways[0].wait_for_exit(Duration::from_secs(6)).expect("waited");
    assert!(status.is_some_and(|status| status.success()));
}

// An entry is stopped while callers open connections to it until it has exited. A request read at the
// last moment was sent to an endpoint, and its response was cut off when the process exited: the caller
// got no answer although the request had run.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_read_in_the_last_moment_is_answered() {
    let mut world = world(1).await;
    let entry = world.entry(0);
    let callers = (0..24).map(|line| {
        let caller = world.caller.clone();
        tokio::spawn(async move {
            let mut unanswered = Vec::new();
            for number in 0.. {
                let request = format!("last-{line}-{number}");
                let answer = caller.look_up(entry, &request).await;
                if answer.status.is_none() {
                    unanswered.push(request);
                }
                if unanswered.len() >= 20 {
                    break;
                }
            }
            unanswered
        })
    });
    let callers: Vec<_> = callers.collect();
    world.gateways[0].signal("TERM").expect("sent");
    let status = world.gateways[0].wait_for_exit(Duration::from_secs(6)).expect("waited");
    assert!(status.is_some_and(|status| status.success()));
    let mut unanswered = Vec::new();
    for caller in callers {
        unanswered.extend(caller.await.expect("no panic"));
    }
    let counts = world.journal.counts();
    let cut: Vec<_> = unanswered.iter().filter(|id| counts.contains_key(*id)).collect();
    assert!(cut.is_empty(), "ran and not answered: {cut:?}");
}

// One workspace floods all entries while one of them is killed and restarted. Its rate must hold over all
// entries in any window, and other workspaces must still be served.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_holds_over_all_entries_through_the_death_of_one() {
    const RATE_PER_S: u64 = 40;
    const WINDOW: Duration = Duration::from_secs(5);
    let mut world = world(3).await;
    world.rate_per_s = RATE_PER_S;
    world.configure(&["secret-key-in-force"], &["other-key"]);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let flood = (0..3).map(|entry| {
        let (caller, address) = (world.caller.clone(), world.entry(entry));
        tokio::spawn(async move {
            for number in 0..400 {
                caller.look_up(address, &format!("flood-{entry}-{number}")).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
    });
    let flood: Vec<_> = flood.collect();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    world.gateways[1].kill().expect("killed");
    world.gateways[1].start().expect("started");
    for line in flood {
        line.await.expect("no panic");
    }
    let mut at: Vec<_> =
        world.journal.runs().into_iter().filter(|r| r.request.starts_with("flood")).collect();
    at.sort_by_key(|run| run.at);
    let windows = at.iter().map(|first| {
        at.iter().filter(|run| run.at >= first.at && run.at < first.at + WINDOW).count()
    });
    let most = windows.max().unwrap_or(0) as u64;
    let allowed = (RATE_PER_S * 5 + RATE_PER_S) * 11 / 10 + 20;
    assert!(most <= allowed, "{most} of {allowed}");
    assert!(most >= RATE_PER_S, "{most}");
}

// A request with both a length and chunked encoding could smuggle a second request inside its body.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_inside_another_never_runs() {
    let world = world(1).await;
    let inner = "GET /lookups/1 HTTP/1.1\r\nhost: soak.example\r\n\
        authorization: Bearer secret-key-in-force\r\ntrefoilproxy-request-id: smuggled\r\n\r\n";
    let outer = format!(
        "POST /actions/1 HTTP/1.1\r\nhost: soak.example\r\n\
        authorization: Bearer secret-key-in-force\r\ntrefoilproxy-request-id: outer\r\n\
        trefoilproxy-deadline-ms: 1000\r\ncontent-length: {}\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\n{inner}",
        inner.len() + 5
    );
    let mut stream = TcpStream::connect(world.entry(0)).await.expect("connected");
    stream.write_all(outer.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    drop(tokio::time::timeout(Duration::from_millis(1_500), reading).await);
    assert!(!world.journal.counts().contains_key("smuggled"));
    assert!(world.caller.look_up(world.entry(0), "after").await.is_served());
}

// A request head larger than any configuration allows must be refused without affecting other callers.
#[tokio::test(flavor = "multi_thread")]
async fn an_oversized_head_is_refused() {
    let world = world(1).await;
    let head = format!("GET /lookups/1 HTTP/1.1\r\nx-long: {}\r\n\r\n", "x".repeat(200_000));
    let mut stream = TcpStream::connect(world.entry(0)).await.expect("connected");
    drop(stream.write_all(head.as_bytes()).await);
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    drop(tokio::time::timeout(Duration::from_millis(1_500), reading).await);
    assert!(!answer.starts_with(b"HTTP/1.1 2"), "{:?}", String::from_utf8_lossy(&answer));
    assert!(world.caller.look_up(world.entry(0), "after").await.is_served());
}

// Callers open a connection for each concurrent call and use most of them once. Kept open for a minute
// each, they used most of an entry's memory. Callers are told the idle timeout, so that none sends on a
// connection that is about to be closed.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_told_how_long_an_unused_connection_is_kept() {
    let world = world(1).await;
    let answer = world.caller.look_up(world.entry(0), "told").await;
    assert!(answer.is_served(), "{answer:?}");
    let told_ms = answer.keep_alive_ms.expect("it is told");
    let mut stream = TcpStream::connect(world.entry(0)).await.expect("it listens");
    tokio::time::sleep(Duration::from_millis(told_ms)).await;
    let sent = stream.write_all(b"GET /none HTTP/1.1\r\nhost: soak.example\r\n\r\n").await;
    assert!(sent.is_ok());
    let mut first = [0; 8];
    stream.read_exact(&mut first).await.expect("it is answered");
    assert_eq!(&first, b"HTTP/1.1");
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "an unused connection is never closed");
}
