//! What callers get of endpoints that break off their answers at any byte, through a real gateway.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use trefoil_soak::{Answer, World};

use common::{ask, turn, world};

/// Number of endpoints of each service. Each fails rarely enough that it stays in use.
const ENDPOINTS: usize = 100;

/// Pause between two attempts to reach the new endpoints.
const PROBE_PAUSE: Duration = Duration::from_millis(20);

/// The body of each answer: three events. Tools answer with the same bytes.
const EVENTS: [&str; 3] = ["id: 0\ndata: a\n\n", "id: 1\ndata: b\n\n", "id: 2\ndata: c\n\n"];

/// How the recipient of an answer can tell where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    /// The body ends with the connection.
    None,
}

/// How the connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Closed,
    Reset,
}

/// An answer of which only the first bytes are sent.
#[derive(Debug, Clone, Copy)]
struct Cut {
    framing: Framing,
    ending: Ending,
    sent: usize,
}

impl Cut {
    /// Whether the answer to a request with this ID may be taken for complete: without a length, it
    /// ends with its connection, unless that is reset.
    fn passes_for_complete(self, id: &str) -> bool {
        self.framing == Framing::None
            && self.ending == Ending::Closed
            && self.sent >= head(id, self.framing, 0).len()
    }
}

/// Endpoints of both services, all at one address. The first answer to each request that is planned is
/// cut, all others are whole.
struct CuttingEndpoints {
    planned: Mutex<HashMap<String, Cut>>,
    /// The requests received.
    received: Mutex<HashMap<String, u32>>,
}

impl CuttingEndpoints {
    /// Replaces all endpoints of a world.
    async fn replace_all(world: &mut World) -> Arc<CuttingEndpoints> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let endpoints = CuttingEndpoints { planned: Mutex::default(), received: Mutex::default() };
        let endpoints = Arc::new(endpoints);
        tokio::spawn(endpoints.clone().accept(listener));
        for endpoint in std::mem::take(&mut world.endpoints) {
            world.store.put("keyed.servers", &endpoint.id, None);
        }
        for service in ["llm", "desk"] {
            (0..ENDPOINTS).for_each(|number| register(world, service, number, address));
        }
        // A probe that one of the new endpoints answers shows that the earlier ones are no longer used.
        for number in 0.. {
            let id = format!("probe-cut-{number}");
            world.caller.look_up(world.entry(0), &id).await;
            if endpoints.times_received(&id) > 0 {
                break;
            }
            tokio::time::sleep(PROBE_PAUSE).await;
        }
        endpoints
    }

    async fn accept(self: Arc<CuttingEndpoints>, listener: TcpListener) {
        loop {
            let (connection, _) = listener.accept().await.expect("accepted");
            tokio::spawn(self.clone().serve(connection));
        }
    }

    /// Answers the requests on a connection until it ends.
    async fn serve(self: Arc<CuttingEndpoints>, mut connection: TcpStream) {
        while let Some(headers) = receive(&mut connection).await {
            let id = headers.get("trefoilproxy-request-id").cloned().unwrap_or_default();
            let times = {
                let mut received = self.received.lock().expect("not poisoned");
                let times = received.entry(id.clone()).or_default();
                *times += 1;
                *times
            };
            let last_event = headers.get("last-event-id").and_then(|id| id.parse::<usize>().ok());
            let from = last_event.map_or(0, |event| event + 1);
            let planned = self.planned.lock().expect("not poisoned").get(&id).copied();
            let cut = planned.filter(|_| times == 1);
            let answer = answer(&id, cut.map_or(Framing::Length, |cut| cut.framing), from);
            let sent = cut.map_or(answer.len(), |cut| cut.sent.min(answer.len()));
            let written = connection.write_all(&answer.as_bytes()[..sent]).await;
            match cut.map(|cut| cut.ending) {
                None if written.is_ok() => {}
                Some(Ending::Reset) => {
                    connection.set_zero_linger().expect("the socket is open");
                    return;
                }
                Some(Ending::Closed) | None => return,
            }
        }
    }

    fn plan(&self, id: &str, cut: Cut) {
        self.planned.lock().expect("not poisoned").insert(id.to_string(), cut);
    }

    fn times_received(&self, id: &str) -> u32 {
        self.received.lock().expect("not poisoned").get(id).copied().unwrap_or(0)
    }
}

fn register(world: &World, service: &str, number: usize, address: SocketAddr) {
    let entry = json!({"service": service, "address": address, "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "coldLeftMs": 0, "seqNo": 0, "born": 1});
    world.store.put("keyed.servers", &format!("cutting-{service}-{number}"), Some(entry));
}

/// The headers of the next request, which is received with its body; none at the end of the connection.
async fn receive(connection: &mut TcpStream) -> Option<HashMap<String, String>> {
    let mut received = Vec::new();
    loop {
        let head_end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(head_end) = head_end {
            let head = String::from_utf8_lossy(&received[..head_end]);
            let lines = head.lines().filter_map(|line| line.split_once(": "));
            let headers: HashMap<_, _> =
                lines.map(|(name, value)| (name.to_lowercase(), value.to_string())).collect();
            let length = headers.get("content-length").and_then(|text| text.parse().ok());
            if received.len() >= head_end + 4 + length.unwrap_or(0) {
                return Some(headers);
            }
        }
        match connection.read_buf(&mut received).await {
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}

fn head(id: &str, framing: Framing, from: usize) -> String {
    let framing = match framing {
        Framing::Length => format!("content-length: {}\r\n", EVENTS[from..].concat().len()),
        Framing::Chunked => "transfer-encoding: chunked\r\n".to_string(),
        Framing::None => "connection: close\r\n".to_string(),
    };
    format!(
        "HTTP/1.1 200 OK\r\ntrefoilproxy-request-id: {id}\r\ntrefoilproxy-server-stamp: s\r\n{framing}\r\n"
    )
}

fn answer(id: &str, framing: Framing, from: usize) -> String {
    let events = &EVENTS[from..];
    let body = match framing {
        Framing::Length | Framing::None => events.concat(),
        Framing::Chunked => {
            let chunks = events.iter().map(|event| format!("{:x}\r\n{event}\r\n", event.len()));
            format!("{}0\r\n\r\n", chunks.collect::<String>())
        }
    };
    head(id, framing, from) + &body
}

/// Cuts at every byte of an answer with a length, closed and reset in turn, and within the bodies of the
/// other framings. Each answer lacks a byte at least.
fn cuts() -> Vec<Cut> {
    // All IDs have the same length, and so have the answers.
    let id = id("kind", 0);
    let length = (0..answer(&id, Framing::Length, 0).len()).map(|sent| Cut {
        framing: Framing::Length,
        ending: if sent % 2 == 0 { Ending::Closed } else { Ending::Reset },
        sent,
    });
    let others = [Framing::Chunked, Framing::None].into_iter().flat_map(|framing| {
        let id = id.clone();
        [Ending::Closed, Ending::Reset].into_iter().flat_map(move |ending| {
            let head = head(&id, framing, 0).len();
            let whole = answer(&id, framing, 0).len();
            let sent = [head - 2, head, head + 4, whole / 2 + head / 2, whole - 2, whole - 1];
            sent.map(|sent| Cut { framing, ending, sent })
        })
    });
    length.chain(others).collect()
}

/// The ID of a request; `kind` has four letters.
fn id(kind: &str, number: usize) -> String {
    format!("{kind}-{number:04}")
}

/// Whether an answer tells its caller truthfully that the outcome is not known.
fn is_unknown_outcome(answer: &Answer) -> bool {
    answer.status == Some(502)
}

/// Whether a stream has visibly broken off. If it breaks off right after its beginning, the connection
/// closes before the head was written.
fn is_broken_off(answer: &Answer) -> bool {
    answer.status.is_none_or(|status| status == 200) && !answer.whole
}

// An endpoint broke off its answer. A call that may run once must not run again, and its caller must not
// get a part of the answer as the whole; a lookup gets the whole answer of another endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_to_a_call_does_not_pass_for_a_whole_one() {
    let mut world = world(1).await;
    let endpoints = CuttingEndpoints::replace_all(&mut world).await;
    for (number, cut) in cuts().into_iter().enumerate() {
        let action = id("acts", number);
        endpoints.plan(&action, cut);
        let acted = world.caller.act(world.entry(0), &action).await;
        let complete = cut.passes_for_complete(&action);
        let expected = if complete { acted.is_served() } else { is_unknown_outcome(&acted) };
        assert!(expected, "{cut:?}: {acted:?}");
        assert_eq!(endpoints.times_received(&action), 1, "{cut:?}");
        let lookup = id("look", number);
        endpoints.plan(&lookup, cut);
        let looked_up = world.caller.look_up(world.entry(0), &lookup).await;
        assert!(looked_up.is_served(), "{cut:?}: {looked_up:?}");
        let complete = cut.passes_for_complete(&lookup);
        assert!(complete || looked_up.body == EVENTS.concat().as_bytes(), "{cut:?}: {looked_up:?}");
        assert_eq!(endpoints.times_received(&lookup), 2 - u32::from(complete), "{cut:?}");
    }
}

// The same for turns: one whose history is kept must not end as complete, nor run again; a resumable one
// goes on at another endpoint, with no event missing and none twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_to_a_turn_does_not_pass_for_a_whole_one() {
    let mut world = world(1).await;
    let endpoints = CuttingEndpoints::replace_all(&mut world).await;
    for (number, cut) in cuts().into_iter().enumerate() {
        let kept = id("turn", number);
        endpoints.plan(&kept, cut);
        let answered = world.caller.turn(world.entry(0), &turn(&kept, &kept, None)).await;
        // No cut lies between two events, where a stream without a length may end.
        let has_begun = cut.sent > head(&kept, cut.framing, 0).len();
        let broken_off = has_begun && is_broken_off(&answered);
        assert!(is_unknown_outcome(&answered) || broken_off, "{cut:?}: {answered:?}");
        let is_part = EVENTS.concat().as_bytes().starts_with(&answered.body);
        assert!(is_part || answered.status == Some(502), "{cut:?}: {answered:?}");
        assert_eq!(endpoints.times_received(&kept), 1, "{cut:?}");
        let resumable = id("asks", number);
        endpoints.plan(&resumable, cut);
        let answered = world.caller.turn(world.entry(0), &ask(&resumable, &resumable)).await;
        assert!(answered.is_served(), "{cut:?}: {answered:?}");
        assert_eq!(answered.body, EVENTS.concat().as_bytes(), "{cut:?}");
        assert_eq!(endpoints.times_received(&resumable), 2, "{cut:?}");
    }
}
