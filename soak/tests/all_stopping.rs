//! What callers get while all gateways are stopped with SIGTERM, as long as these take requests.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use trefoil_soak::{Answer, World};

use common::{turn, world, world_with_hubs};

/// Times after SIGTERM at which requests are sent: within the time in which stopped gateways take
/// requests.
const SENT_AFTER_MS: [u64; 4] = [50, 400, 800, 1_200];

/// Longest time until a request that can't be served is refused: far less than a wait for a hub or an
/// owner that never comes.
const REFUSED_WITHIN: Duration = Duration::from_millis(400);

/// Rate per second and burst of the workspace that floods the entries.
const RATE_PER_S: u64 = 40;

/// The window of the rates.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// How long the flood goes on after the last start: an entry that has started lets others count for a
/// window, and all of them may have.
const FLOOD_AFTER_START: Duration = Duration::from_secs(15);

/// Time limit for a second's worth of the rate to be served before the first stop.
const BEGIN_LIMIT: Duration = Duration::from_secs(10);

/// Callers of the flood at each entry.
const FLOODING_CALLERS: usize = 6;

/// Time after which all entries have a new configuration.
const CONFIG_TIME: Duration = Duration::from_millis(1_500);

/// Time after which a gateway that was stopped has exited: its grace period, and a second for a loaded
/// machine.
const EXIT_LIMIT: Duration = Duration::from_secs(5);

/// An answer and how long it took.
struct Timed {
    id: String,
    answer: Answer,
    took: Duration,
}

fn stop_all(world: &World) -> Instant {
    world.gateways.iter().for_each(|gateway| gateway.signal("TERM").expect("sent"));
    Instant::now()
}

/// Sends a request to each entry at each of [`SENT_AFTER_MS`].
async fn send_to_all<F>(
    world: &World,
    stopped: Instant,
    send: impl Fn(SocketAddr, String) -> F,
) -> Vec<Timed>
where
    F: Future<Output = Answer> + Send + 'static,
{
    let mut sent = Vec::new();
    for after_ms in SENT_AFTER_MS {
        for entry in 0..world.gateways.len() {
            let id = format!("sent-{after_ms}-{entry}");
            let asked = send(world.entry(entry), id.clone());
            sent.push(tokio::spawn(async move {
                let wait = Duration::from_millis(after_ms).saturating_sub(stopped.elapsed());
                tokio::time::sleep(wait).await;
                let started = Instant::now();
                let answer = asked.await;
                Timed { id, answer, took: started.elapsed() }
            }));
        }
    }
    let mut answers = Vec::new();
    for asked in sent {
        answers.push(asked.await.expect("no panic"));
    }
    answers
}

async fn assert_calls_are_served(world: &World) {
    let stopped = stop_all(world);
    let caller = world.caller.clone();
    let answers = send_to_all(world, stopped, |entry, id| {
        let caller = caller.clone();
        async move { caller.act(entry, &id).await }
    });
    for Timed { id, answer, took } in answers.await {
        assert!(answer.is_served(), "{id}: {:?} after {took:?}", answer.status);
    }
}

// Guards against calls refused with 503 after half a second: hubs that were stopped no longer counted
// their workspace's requests, and no other hub was left.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_served_while_all_entries_stop() {
    assert_calls_are_served(&world(3).await).await;
}

// As above, at entries that are not hubs.
#[tokio::test(flavor = "multi_thread")]
async fn calls_at_leaves_are_served_while_all_entries_stop() {
    let world = world_with_hubs(4, 2).await;
    assert_calls_are_served(&world).await;
    let lines = world.gateways.iter().flat_map(|gateway| gateway.lines());
    let recruited = lines.filter(|line| line.contains("becoming one")).count();
    assert_eq!(recruited, 0, "an entry that is shutting down begins as a hub");
}

// Guards against a workspace that exceeds its rate while all entries are stopped one after the other and
// started again: each of them would count alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_holds_while_all_entries_stop_and_start_again() {
    let mut world = world(3).await;
    world.rate_per_s = RATE_PER_S;
    world.configure(&["secret-key-in-force"], &["other-key"]);
    // The requests by which the world was seen to serve count under the new limit too.
    tokio::time::sleep(CONFIG_TIME + RATE_WINDOW).await;
    let (end_flood, flood_ends) = tokio::sync::watch::channel(false);
    let flood = (0..3 * FLOODING_CALLERS).map(|line| {
        let (caller, address) = (world.caller.clone(), world.entry(line));
        let flood_ends = flood_ends.clone();
        tokio::spawn(async move {
            for number in 0.. {
                caller.look_up(address, &format!("flood-{line}-{number}")).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
                if *flood_ends.borrow() {
                    break;
                }
            }
        })
    });
    let flood: Vec<_> = flood.collect();
    let begun = Instant::now();
    while most_in_window(&world, None) < RATE_PER_S as usize && begun.elapsed() < BEGIN_LIMIT {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let before_stops = most_in_window(&world, None);
    for gateway in &world.gateways {
        gateway.signal("TERM").expect("sent");
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    for gateway in &mut world.gateways {
        let status = gateway.wait_for_exit(EXIT_LIMIT).expect("waited");
        assert!(status.is_some_and(|status| status.success()));
        gateway.start().expect("started");
    }
    tokio::time::sleep(FLOOD_AFTER_START - RATE_WINDOW).await;
    let last_window = Instant::now();
    tokio::time::sleep(RATE_WINDOW).await;
    end_flood.send_replace(true);
    for line in flood {
        line.await.expect("no panic");
    }
    let most = most_in_window(&world, None);
    let allowed = (RATE_PER_S * 5 + RATE_PER_S) as usize * 11 / 10 + 20;
    assert!(most <= allowed, "{most} of {allowed}");
    assert!(before_stops >= RATE_PER_S as usize, "before the stops: {before_stops}");
    let after_starts = most_in_window(&world, Some(last_window));
    assert!(after_starts >= RATE_PER_S as usize, "after the starts: {after_starts}");
}

/// The most requests of the flood that ran within the window of the rates, after a time if one is given.
fn most_in_window(world: &World, after: Option<Instant>) -> usize {
    let runs = world.journal.runs();
    let flood = runs.iter().filter(|run| run.request.starts_with("flood"));
    let flood = flood.filter(|run| after.is_none_or(|after| run.at >= after));
    let mut at: Vec<_> = flood.map(|run| run.at).collect();
    at.sort_unstable();
    let in_window = |first: &Instant| {
        at.iter().filter(|at| *at >= first && **at < *first + RATE_WINDOW).count()
    };
    at.iter().map(in_window).max().unwrap_or(0)
}

// Guards against turns refused only after a wait for an owner of their shard: entries that stop own none.
#[tokio::test(flavor = "multi_thread")]
async fn turns_are_refused_at_once_while_all_entries_stop() {
    let world = world(3).await;
    let stopped = stop_all(&world);
    let caller = world.caller.clone();
    let answers = send_to_all(&world, stopped, |entry, id| {
        let caller = caller.clone();
        async move { caller.turn(entry, &turn(&id, &id, None)).await }
    });
    let runs = world.journal.counts();
    for Timed { id, answer, took } in answers.await {
        let has_run = runs.contains_key(&id);
        assert!(answer.status == Some(503) && !has_run, "{id} (ran: {has_run}): {answer:?}");
        assert!(answer.retry_after_ms.is_some(), "{id}: {answer:?}");
        assert!(took < REFUSED_WITHIN, "{id} was refused after {took:?}");
    }
}
