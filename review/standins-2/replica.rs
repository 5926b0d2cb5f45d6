//! Stand-ins of model and application replicas. They register themselves in the store, echo the
//! request's id, stamp their answers, and run only what names them.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Next, Request, answer, serve};
use crate::record::{Record, unix_ms};
use crate::store::Store;

/// Tokens in one event of a stream.
pub const STRIDE: u64 = 14;
const BEAT_MS: u64 = 1_200;
/// The pause before each event of a stream.
const EVENT_MS: u64 = 2;
/// The same for turns whose input is [`LONG_INPUT`].
const LONG_EVENT_MS: u64 = 60;
pub const LONG_INPUT: &str = "continue";
/// How long a replica is away after a request has crashed it.
const CRASHED_MS: u64 = 2_000;
/// A request with this path crashes the replica that begins to run it.
pub const CRASHING_PATH: &str = "/look/crash";

/// One run of a request at a replica.
#[derive(Clone)]
pub struct Run {
    pub request: String,
    /// The id of the replica.
    pub replica: String,
    pub at_ms: u64,
    pub body_hash: u64,
}

/// All runs at all replicas.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }

    pub fn of(&self, request: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap();
        runs.iter().filter(|run| run.request == request).cloned().collect()
    }
}

/// FNV-1a.
pub fn hash(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// The data of a turn's events, each followed by a line feed.
pub fn output_of(request: &str, tokens: u64) -> String {
    (0..events_of(tokens)).map(|event| format!("{request}-{event}\n")).collect()
}

pub fn events_of(tokens: u64) -> u64 {
    tokens / STRIDE
}

struct State {
    name: String,
    service: &'static str,
    zone: String,
    slots: u32,
    address: SocketAddr,
    store: Store,
    record: Record,
    runs: Runs,
    /// The lifetime that runs now; its number is part of the id.
    lifetime: AtomicU64,
    channels: Mutex<Vec<TcpStream>>,
    /// The id of the lifetime that runs now, and what ends it.
    current: Mutex<(String, Arc<AtomicBool>)>,
}

/// A replica that runs.
#[derive(Clone)]
pub struct Replica(Arc<State>);

impl Replica {
    /// Ends the lifetime that runs now with all its channels. The next one begins `away` later.
    pub fn crash(&self, away: Duration) {
        let (id, stop) = self.0.current.lock().unwrap().clone();
        self.0.crash(&id, &stop, away);
    }

    pub fn is(&self, id: &str) -> bool {
        self.0.current.lock().unwrap().0 == id
    }
}

pub fn start(
    (name, service, zone, slots): (&str, &'static str, &str, u32),
    address: SocketAddr,
    store: &Store,
    record: &Record,
    runs: &Runs,
) -> io::Result<Replica> {
    let state = Arc::new(State {
        name: name.to_string(),
        service,
        zone: zone.to_string(),
        slots,
        address,
        store: store.clone(),
        record: record.clone(),
        runs: runs.clone(),
        lifetime: AtomicU64::new(0),
        channels: Mutex::default(),
        current: Mutex::default(),
    });
    begin_lifetime(&state)?;
    Ok(Replica(state))
}

fn begin_lifetime(state: &Arc<State>) -> io::Result<()> {
    let lifetime = state.lifetime.fetch_add(1, Ordering::SeqCst) + 1;
    let id = format!("i-{}-{lifetime}", state.name);
    let stop = Arc::new(AtomicBool::new(false));
    let (serving, opened) = (state.clone(), state.clone());
    let (serving_id, serving_stop) = (id.clone(), stop.clone());
    serve(
        state.address,
        stop.clone(),
        move |channel| opened.channels.lock().unwrap().push(channel),
        move |request, to| serving.serve(&serving_id, &serving_stop, request, to),
    )?;
    *state.current.lock().unwrap() = (id.clone(), stop.clone());
    let (state, born) = (state.clone(), unix_ms());
    std::thread::spawn(move || {
        for sequence in 1_u64.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"ready\",\"coldLeftMs\":0,\"seqNo\":{sequence},\
                 \"born\":{born}}}",
                state.service, state.address, state.zone, state.slots
            );
            state.store.put("keyed.servers", &id, &entry);
            std::thread::sleep(Duration::from_millis(BEAT_MS));
        }
        // The store drops the entry after three intervals of silence.
        std::thread::sleep(Duration::from_millis(2 * BEAT_MS));
        state.store.put("keyed.servers", &id, "");
    });
    Ok(())
}

impl State {
    fn serve(
        self: &Arc<State>,
        id: &str,
        stop: &Arc<AtomicBool>,
        request: &Request,
        to: &mut TcpStream,
    ) -> io::Result<Next> {
        if stop.load(Ordering::SeqCst) {
            return Ok(Next::Close);
        }
        if request.path == "/healthz" {
            return answer(to, 200, &[("Trefoilproxy-Instance-Id", id)], b"");
        }
        if request.path == "/v1/report" {
            let report = b"{\"busy\":false,\"seqNo\":1,\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90416}";
            return answer(to, 200, &[("Content-Type", "application/json")], report);
        }
        let expected = request.header("trefoilproxy-expect-instance");
        if !expected.is_empty() && expected != id {
            return answer(to, 421, &[("Trefoilproxy-Instance-Id", id)], b"");
        }
        let name = request.header("trefoilproxy-request-id").to_string();
        if name.is_empty() {
            return answer(to, 400, &[("Trefoilproxy-Not-Executed", "1")], b"");
        }
        let run = Run {
            request: name.clone(),
            replica: id.to_string(),
            at_ms: self.record.now_ms(),
            body_hash: hash(&request.body),
        };
        self.runs.0.lock().unwrap().push(run);
        let bytes = request.body.len();
        self.record.add(&format!("run    {name} at {id}, {bytes} bytes"));
        if request.path == CRASHING_PATH {
            self.crash(id, stop, Duration::from_millis(CRASHED_MS));
            return Ok(Next::Close);
        }
        match self.service {
            "engines" => self.stream(&name, request, to),
            _ => {
                let body = format!("ran {name}\n");
                let headers =
                    [("Trefoilproxy-Request-Id", name.as_str()), ("Trefoilproxy-Server-Stamp", id)];
                answer(to, 200, &headers, body.as_bytes())
            }
        }
    }

    /// Answers with a stream that holds as many tokens as the turn may generate.
    fn stream(&self, name: &str, request: &Request, to: &mut TcpStream) -> io::Result<Next> {
        let tokens = request.header("trefoilproxy-token-count").split(',').nth(1);
        let tokens = tokens.and_then(|tokens| tokens.trim().parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\
             Trefoilproxy-Request-Id: {name}\r\nTrefoilproxy-Server-Stamp: {}\r\n\
             Trefoilproxy-Weight-Versions: 1\r\n\r\n",
            self.name
        );
        to.write_all(head.as_bytes())?;
        let is_long = request.body.ends_with(LONG_INPUT.as_bytes());
        let pause_ms = if is_long { LONG_EVENT_MS } else { EVENT_MS };
        for event in 0..events_of(tokens) {
            std::thread::sleep(Duration::from_millis(pause_ms));
            let text = format!("id: {event}\ndata: {name}-{event}\n\n");
            to.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        to.write_all(b"0\r\n\r\n")?;
        Ok(Next::Keep)
    }

    /// Ends this lifetime with all its channels; the next one begins some seconds later.
    fn crash(self: &Arc<State>, id: &str, stop: &Arc<AtomicBool>, away: Duration) {
        if stop.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.add(&format!("crash  {id}"));
        // The listener ends within some milliseconds, and before the channels do.
        std::thread::sleep(Duration::from_millis(10));
        for channel in std::mem::take(&mut *self.channels.lock().unwrap()) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        let state = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(away);
            while begin_lifetime(&state).is_err() {
                std::thread::sleep(Duration::from_millis(50));
            }
        });
    }
}
