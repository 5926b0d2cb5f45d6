//! What callers get of a gateway that is stopped with SIGTERM while their requests are in flight.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use trefoil_soak::{Answer, EndpointFault, World};

use common::{turn, world};

/// Times after SIGTERM at which requests are sent: within the time in which a stopped gateway takes
/// requests, and too late for their time limit of 3 s to end before its exit.
const SENT_AFTER_MS: [u64; 3] = [900, 1_100, 1_300];

/// Time from a request to SIGTERM.
const BEFORE_STOP: Duration = Duration::from_millis(200);

/// Time after which every gateway that was stopped has exited.
const EXIT_LIMIT: Duration = Duration::from_secs(5);

/// A caller's connection on which a request is sent by hand.
struct KeptConnection(TcpStream);

impl KeptConnection {
    /// Opens a connection, on which a first request is answered.
    async fn open(entry: SocketAddr) -> KeptConnection {
        let stream = TcpStream::connect(entry).await.expect("connected");
        let mut connection = KeptConnection(stream);
        connection.send("GET /lookups/1", "first", "content-length: 0\r\n").await;
        connection.send_body(b"\r\n").await;
        let mut response = [0; 4_096];
        let read = connection.0.read(&mut response).await.expect("answered");
        assert!(response[..read].starts_with(b"HTTP/1.1 200"), "the first request is served");
        connection
    }

    /// Sends the head of a request but for its last line feed.
    async fn send(&mut self, line: &str, id: &str, headers: &str) {
        let head = format!(
            "{line} HTTP/1.1\r\nhost: soak.example\r\nauthorization: Bearer secret-key-in-force\r\n\
             trefoilproxy-request-id: {id}\r\ntrefoilproxy-deadline-ms: 3000\r\n{headers}"
        );
        self.0.write_all(head.as_bytes()).await.expect("sent");
    }

    async fn send_body(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).await.expect("sent");
    }

    /// All that arrives until the connection ends.
    async fn read_to_end(mut self) -> Vec<u8> {
        let mut received = Vec::new();
        if let Err(fault) = self.0.read_to_end(&mut received).await {
            eprintln!("the connection ended with an error: {fault}");
        }
        received
    }
}

/// The status of a response, or none if there was no response.
fn status(response: &[u8]) -> Option<u16> {
    let status = response.strip_prefix(b"HTTP/1.1 ")?.get(..3)?;
    std::str::from_utf8(status).ok()?.parse().ok()
}

async fn sleep_until(started: Instant, after_ms: u64) {
    let left = Duration::from_millis(after_ms).saturating_sub(started.elapsed());
    tokio::time::sleep(left).await;
}

async fn stop(world: &mut World) -> Instant {
    world.gateways[0].signal("TERM").expect("sent");
    Instant::now()
}

async fn wait_for_exit(world: &mut World) {
    let status = world.gateways[0].wait_for_exit(EXIT_LIMIT).expect("waited");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

/// The requests that no line of the stopped gateway's log tells the outcome of.
fn without_outcome(world: &World, requests: &[String]) -> Vec<String> {
    let lines = world.gateways[0].lines();
    let tells = |line: &&String| line.contains("\"refused\"") || line.contains("\"answered\"");
    let is_told = |id: &String| {
        lines.iter().filter(tells).any(|line| line.contains(&format!("\"request\":\"{id}\"")))
    };
    requests.iter().filter(|id| !is_told(id)).cloned().collect()
}

// Guards against a call that ran and was never answered: its endpoint does not answer, and the gateway
// exited before the call's time was over.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_at_a_silent_endpoint_is_answered_before_the_gateway_exits() {
    let mut world = world(2).await;
    let entry = world.entry(0);
    let mut connections = Vec::new();
    for _ in SENT_AFTER_MS {
        connections.push(KeptConnection::open(entry).await);
    }
    world.endpoints.iter().for_each(|endpoint| endpoint.set_fault(EndpointFault::Silent));
    let stopped = stop(&mut world).await;
    let calls = SENT_AFTER_MS.into_iter().zip(connections).map(|(after_ms, mut connection)| {
        tokio::spawn(async move {
            sleep_until(stopped, after_ms).await;
            let id = format!("call-{after_ms}");
            let headers = "transfer-encoding: chunked\r\n\r\n";
            connection.send("POST /actions/1", &id, headers).await;
            connection.send_body(b"4\r\ntext\r\n0\r\n\r\n").await;
            (id, connection.read_to_end().await)
        })
    });
    let mut ids = Vec::new();
    for call in calls.collect::<Vec<_>>() {
        let (id, response) = call.await.expect("no panic");
        assert!(matches!(status(&response), Some(502 | 504)), "{id}: {:?}", status(&response));
        assert_eq!(world.journal.counts().get(&id), Some(&1), "{id} has run");
        ids.push(id);
    }
    wait_for_exit(&mut world).await;
    assert_eq!(without_outcome(&world, &ids), Vec::<String>::new());
}

// Guards against a turn that ran and was never answered: as above, for turns whose history is kept, at
// the owner of their shard and through another gateway.
#[tokio::test(flavor = "multi_thread")]
async fn a_turn_at_a_silent_engine_is_answered_before_the_gateway_exits() {
    let mut world = world(2).await;
    world.endpoints.iter().for_each(|endpoint| endpoint.set_fault(EndpointFault::Silent));
    let entries = [world.entry(0), world.entry(1)];
    let stopped = stop(&mut world).await;
    let caller = world.caller.clone();
    let asked = SENT_AFTER_MS.into_iter().flat_map(|after_ms| {
        let caller = caller.clone();
        entries.into_iter().enumerate().map(move |(number, entry)| {
            let caller = caller.clone();
            tokio::spawn(async move {
                sleep_until(stopped, after_ms).await;
                let id = format!("turn-{after_ms}-{number}");
                let answer = caller.turn(entry, &turn(&id, &id, None)).await;
                (id, answer)
            })
        })
    });
    for asked in asked.collect::<Vec<_>>() {
        let (id, Answer { status, .. }) = asked.await.expect("no panic");
        let ran = world.journal.counts().contains_key(&id);
        let allowed = if ran { matches!(status, Some(502 | 504)) } else { status == Some(503) };
        assert!(allowed, "{id} (ran: {ran}): {status:?}");
    }
    wait_for_exit(&mut world).await;
}

// Guards against a call whose body is still arriving when the gateway exits, and that gets no answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_body_is_arriving_is_refused_before_the_gateway_exits() {
    let mut world = world(2).await;
    let mut connection = KeptConnection::open(world.entry(0)).await;
    connection.send("POST /actions/1", "slow", "transfer-encoding: chunked\r\n\r\n").await;
    connection.send_body(b"4\r\ntext\r\n").await;
    stop(&mut world).await;
    let response = connection.read_to_end().await;
    assert_eq!(status(&response), Some(503));
    assert_eq!(world.journal.counts().get("slow"), None, "it has not run");
    wait_for_exit(&mut world).await;
}

// Guards against an answer that is lost to the reset of a connection that closes with unread bytes: the
// caller is still sending its body when the gateway answers and exits.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_is_still_sending_gets_its_answer() {
    let mut world = world(2).await;
    let mut connection = KeptConnection::open(world.entry(0)).await;
    connection.send("POST /actions/1", "upload", "transfer-encoding: chunked\r\n\r\n").await;
    stop(&mut world).await;
    let (mut reader, mut writer) = connection.0.into_split();
    while writer.write_all(b"4\r\ntext\r\n").await.is_ok() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let mut response = Vec::new();
    reader.read_to_end(&mut response).await.expect("the response has an end");
    assert_eq!(status(&response), Some(503));
    wait_for_exit(&mut world).await;
}

// Guards against a turn that its engine has finished, and whose end its caller does not get because its
// owner has given the shard up while all gateways are stopped and none can take it.
#[tokio::test(flavor = "multi_thread")]
async fn a_turn_that_ends_while_all_gateways_stop_is_whole() {
    let mut world = world(2).await;
    world.endpoints.iter().for_each(|endpoint| endpoint.set_fault(EndpointFault::Slow(2_000)));
    let asked = (0..4).map(|number| {
        let (caller, entry) = (world.caller.clone(), world.entry(number));
        let id = format!("late-{number}");
        tokio::spawn(async move { (caller.turn(entry, &turn(&id, &id, None)).await, id) })
    });
    let asked: Vec<_> = asked.collect();
    tokio::time::sleep(BEFORE_STOP).await;
    world.gateways.iter().for_each(|gateway| gateway.signal("TERM").expect("sent"));
    for asked in asked {
        let (answer, id) = asked.await.expect("no panic");
        assert!(answer.is_served(), "{id}: {answer:?}; {:#?}", world.gateways[0].lines());
    }
    wait_for_exit(&mut world).await;
}
