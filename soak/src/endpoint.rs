use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde_json::json;
use tokio::sync::OwnedSemaphorePermit;
use trefoil_standins::http::{Body, Running, serve};

use crate::journal::{Journal, Run, RunGuard};
use crate::platform_store::PlatformStore;
use crate::slots::Slots;

/// Number of events of each stream.
pub(crate) const EVENTS: u64 = 3;

/// Pause between the events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(4);

/// Interval at which an endpoint renews its record in the endpoint list.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// How long a silent endpoint sends nothing: longer than any caller waits.
const SILENCE: Duration = Duration::from_secs(10);

/// Number of slots that an endpoint without a limit announces.
const UNLIMITED_SLOTS: usize = 8;

/// Number of slots of a limited engine.
const LIMITED_SLOTS: usize = 4;

/// Maximum number of requests that wait for a slot of a limited engine.
const MAX_WAITING: usize = 6;

/// Pause between the events of a limited engine: the slots are taken for long enough that a surge of
/// callers fills them.
const LIMITED_EVENT_PAUSE: Duration = Duration::from_millis(20);

/// Memory of an engine in tokens, as in its reports.
const KV_TOTAL_TOKENS: usize = 50_000;

/// Memory that a running request takes, in tokens.
const KV_TOKENS_PER_REQUEST: usize = 100;

/// A turn whose input begins with this is answered by long events.
pub(crate) const LONG_INPUT: &str = "say at length";

/// Size of the comment in a long event. A stream of such events exceeds the 4 MiB that the system
/// buffers for a reader, so that the gateway holds the rest.
const LONG_EVENT_BYTES: usize = 2 << 20;

/// The kind of requests that an endpoint serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointKind {
    /// Turns, answered with event streams.
    Engine,
    /// Turns, answered with event streams. It has few slots, and refuses requests while its queue is
    /// full.
    LimitedEngine,
    /// Tool calls.
    Tool,
}

impl EndpointKind {
    fn announced_slots(self) -> usize {
        match self {
            EndpointKind::LimitedEngine => LIMITED_SLOTS,
            EndpointKind::Engine | EndpointKind::Tool => UNLIMITED_SLOTS,
        }
    }
}

/// A fault of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointFault {
    /// Nothing.
    None,
    /// Breaks off one in this many responses after running the request.
    BreaksOneIn(u64),
    /// Answers one in this many requests with status 500 after running it.
    FailsOneIn(u64),
    /// Runs requests and does not respond.
    Silent,
    /// Breaks off the first run of each request after this many bytes of its events.
    CutsFirstRunAfter(usize),
    /// Sends nothing after the first event of the first run of each request.
    StallsFirstRun,
    /// Reads the body of each request only after this many milliseconds.
    ReadsSlowly(u64),
    /// Runs each request and responds only after this many milliseconds.
    Slow(u64),
}

/// An endpoint that is registered in the endpoint list. It stops when the handle is dropped.
pub struct PlatformEndpoint {
    /// Its ID.
    pub id: String,
    store: PlatformStore,
    state: Arc<State>,
    running: Running,
    renewal: tokio::task::JoinHandle<()>,
}

struct State {
    /// Its ID, which changes when its address is reused by another endpoint.
    id: Mutex<String>,
    kind: EndpointKind,
    journal: Arc<Journal>,
    fault: Mutex<EndpointFault>,
    slots: Slots,
    answers: AtomicU64,
}

impl PlatformEndpoint {
    /// Starts an endpoint, which registers itself in the endpoint list.
    pub async fn spawn(
        id: &str,
        service: &str,
        kind: EndpointKind,
        store: PlatformStore,
        journal: Arc<Journal>,
    ) -> std::io::Result<PlatformEndpoint> {
        let slots = match kind {
            EndpointKind::LimitedEngine => Slots::limited(LIMITED_SLOTS, MAX_WAITING),
            EndpointKind::Engine | EndpointKind::Tool => Slots::unlimited(),
        };
        let state = Arc::new(State {
            id: Mutex::new(id.to_string()),
            kind,
            journal,
            fault: Mutex::new(EndpointFault::None),
            slots,
            answers: AtomicU64::new(0),
        });
        let running = listen(SocketAddr::from(([127, 0, 0, 1], 0)), &state).await?;
        let renewal =
            keep_registered(store.clone(), kind, id.to_string(), service, running.address, "ready");
        Ok(PlatformEndpoint { id: id.to_string(), store, state, running, renewal })
    }

    /// Announces that the endpoint is draining. It continues to serve the requests that it receives.
    pub fn drain(&mut self, service: &str) {
        self.renewal.abort();
        let (store, kind, address) = (self.store.clone(), self.state.kind, self.running.address);
        self.renewal = keep_registered(store, kind, self.id.clone(), service, address, "draining");
    }

    /// Replaces the endpoint, without notice, by one of another service at the same address. The new
    /// one registers itself; the old record stays in the list.
    pub fn replace(&mut self, id: &str, service: &str) {
        self.renewal.abort();
        *self.state.id.lock().expect("not poisoned") = id.to_string();
        self.id = id.to_string();
        let (store, kind, address) = (self.store.clone(), self.state.kind, self.running.address);
        self.renewal = keep_registered(store, kind, id.to_string(), service, address, "ready");
    }

    /// Breaks off all requests and closes all connections, as a crash does. Its record stays in the
    /// list.
    pub async fn crash(&mut self) {
        self.running.stop().await;
    }

    /// Starts again at the same address.
    pub async fn restart(&mut self) -> std::io::Result<()> {
        self.running = listen(self.running.address, &self.state).await?;
        Ok(())
    }

    /// Sets the endpoint's fault.
    pub fn set_fault(&self, fault: EndpointFault) {
        *self.state.fault.lock().expect("not poisoned") = fault;
    }
}

async fn listen(address: SocketAddr, state: &Arc<State>) -> std::io::Result<Running> {
    let state = state.clone();
    serve(address, move |request| {
        let state = state.clone();
        async move { state.answer(request).await }
    })
    .await
}

impl Drop for PlatformEndpoint {
    fn drop(&mut self) {
        self.renewal.abort();
    }
}

impl State {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == "/v1/report" {
            return self.report();
        }
        let (head, body) = request.into_parts();
        let text = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let id = self.id.lock().expect("not poisoned").clone();
        if text("trefoilproxy-expect-instance") != id {
            return answer(StatusCode::MISDIRECTED_REQUEST, &HeaderMap::new(), whole("other"));
        }
        if let EndpointFault::ReadsSlowly(ms) = self.fault() {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        let Ok(body) = body.collect().await else {
            return answer(StatusCode::BAD_REQUEST, &HeaderMap::new(), whole("cut"));
        };
        let body = body.to_bytes();
        let long = body.starts_with(LONG_INPUT.as_bytes());
        let Some(slot) = self.slots.acquire().await else {
            return refusal();
        };
        let request = text("trefoilproxy-request-id");
        let fault = self.fault();
        let work = self.journal.record(Run {
            request: request.clone(),
            endpoint: id,
            workspace: text("trefoilproxy-tenant"),
            body: body.to_vec(),
            had_key: head.headers.contains_key("authorization"),
            left_ms: text("trefoilproxy-deadline-ms").parse().ok(),
            fault,
            at: std::time::Instant::now(),
            ended_at: None,
        });
        let mut headers = HeaderMap::new();
        let id = request.parse().expect("came as a header");
        headers.insert("trefoilproxy-request-id", id);
        headers.insert("trefoilproxy-server-stamp", "stamp".parse().expect("ASCII"));
        let count = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let breaks = match fault {
            EndpointFault::BreaksOneIn(one_in) => count.is_multiple_of(one_in),
            EndpointFault::FailsOneIn(one_in) if count.is_multiple_of(one_in) => {
                return answer(StatusCode::INTERNAL_SERVER_ERROR, &headers, whole("fault"));
            }
            EndpointFault::Silent => {
                tokio::time::sleep(SILENCE).await;
                true
            }
            EndpointFault::Slow(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                false
            }
            EndpointFault::None
            | EndpointFault::FailsOneIn(_)
            | EndpointFault::CutsFirstRunAfter(_)
            | EndpointFault::StallsFirstRun
            | EndpointFault::ReadsSlowly(_) => false,
        };
        let first_run = self.journal.counts().get(&request) == Some(&1);
        let ending = match fault {
            EndpointFault::CutsFirstRunAfter(bytes) if first_run => Ending::CutAfter(bytes),
            EndpointFault::StallsFirstRun if first_run => Ending::StalledAfterOne,
            _ if breaks => Ending::CutAfter(event_text(&request, 0).len()),
            _ => Ending::Whole,
        };
        match self.kind {
            EndpointKind::Engine | EndpointKind::LimitedEngine => {
                let last_event = text("last-event-id").parse::<u64>().ok();
                let from = last_event.map_or(0, |event| event + 1);
                let pause = match self.kind {
                    EndpointKind::LimitedEngine => LIMITED_EVENT_PAUSE,
                    _ => EVENT_PAUSE,
                };
                let stream = events(event_texts(&request, from, long), ending, pause, (slot, work));
                answer(StatusCode::OK, &headers, stream)
            }
            EndpointKind::Tool if breaks => answer(StatusCode::OK, &headers, broken()),
            EndpointKind::Tool => {
                answer(StatusCode::OK, &headers, whole(&format!("ran {request}")))
            }
        }
    }

    fn fault(&self) -> EndpointFault {
        *self.fault.lock().expect("not poisoned")
    }

    fn report(&self) -> Response<Body> {
        let running = self.slots.running();
        let report = json!({"waiting": self.slots.waiting(), "running": running, "born": 1,
            "kvUsed": running * KV_TOKENS_PER_REQUEST, "kvTotal": KV_TOTAL_TOKENS});
        answer(StatusCode::OK, &HeaderMap::new(), whole(&report.to_string()))
    }
}

/// The third endpoint of each service is in a failure domain of its own.
fn failure_domain(id: &str) -> &'static str {
    if id.ends_with("-2") { "b" } else { "a" }
}

/// Registers an endpoint in the list, and renews the record.
fn keep_registered(
    store: PlatformStore,
    kind: EndpointKind,
    id: String,
    service: &str,
    address: SocketAddr,
    state: &'static str,
) -> tokio::task::JoinHandle<()> {
    let service = service.to_string();
    tokio::spawn(async move {
        // Within one process instance, later states have higher sequence numbers.
        let first = if state == "ready" { 0_u64 } else { 1 << 32 };
        for sequence in first.. {
            let entry = json!({"service": service, "address": address, "zone": failure_domain(&id),
                "version": "v1", "slots": kind.announced_slots(), "state": state, "coldLeftMs": 0,
                "seqNo": sequence, "born": 1});
            store.put("keyed.servers", &id, Some(entry));
            tokio::time::sleep(RENEWAL_INTERVAL).await;
        }
    })
}

/// The data of a turn's events, as they appear in the prompt of the next turn.
pub(crate) fn output_of(request: &str) -> String {
    (0..EVENTS).map(|event| format!("{request}-{event}\n")).collect()
}

/// How an event stream ends.
#[derive(Debug, Clone, Copy)]
enum Ending {
    Whole,
    /// The connection breaks after this many bytes.
    CutAfter(usize),
    /// Nothing is sent after the first event.
    StalledAfterOne,
}

/// An event in wire format.
pub(crate) fn event_text(request: &str, event: u64) -> String {
    format!("id: {event}\ndata: {request}-{event}\n\n")
}

/// The events of a request from number `from` on. Long events begin with a comment.
fn event_texts(request: &str, from: u64, long: bool) -> Vec<String> {
    let comment = if long { format!(":{}\n", "-".repeat(LONG_EVENT_BYTES)) } else { String::new() };
    (from..EVENTS).map(|event| format!("{comment}{}", event_text(request, event))).collect()
}

/// A stream of these events, which is `work` until its end.
fn events(
    mut pieces: Vec<String>,
    ending: Ending,
    pause: Duration,
    work: (OwnedSemaphorePermit, RunGuard),
) -> Body {
    if let Ending::CutAfter(bytes) = ending {
        let mut left = bytes;
        for piece in &mut pieces {
            piece.truncate(left);
            left -= piece.len();
        }
    }
    let pieces = pieces.into_iter().filter(|piece| !piece.is_empty());
    let pieces = pieces.map(|piece| Some(Ok(Frame::data(Bytes::from(piece)))));
    let last = match ending {
        Ending::Whole => None,
        _ => Some(Err(std::io::Error::other("broken off"))),
    };
    let stream = futures_util::stream::iter(pieces.chain([last]).enumerate());
    let stream = stream.then(move |(at, piece)| {
        let _taken = &work;
        async move {
            let stalls = matches!(ending, Ending::StalledAfterOne) && at > 0;
            tokio::time::sleep(if stalls { SILENCE } else { pause }).await;
            piece
        }
    });
    BodyExt::boxed(StreamBody::new(stream.filter_map(std::future::ready)))
}

fn broken() -> Body {
    let fault = futures_util::stream::iter([Err(std::io::Error::other("broken off"))]);
    BodyExt::boxed(StreamBody::new(fault))
}

fn whole(text: &str) -> Body {
    Full::new(Bytes::from(text.to_string())).map_err(|never| match never {}).boxed()
}

/// The response to a request that has not run and never will.
fn refusal() -> Response<Body> {
    let mut headers = HeaderMap::new();
    headers.insert("trefoilproxy-not-executed", "1".parse().expect("ASCII"));
    answer(StatusCode::SERVICE_UNAVAILABLE, &headers, whole("queue full"))
}

fn answer(status: StatusCode, headers: &HeaderMap, body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers.clone();
    answer
}
