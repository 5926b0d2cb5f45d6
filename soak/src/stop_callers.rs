//! Callers of gateways that are stopped. They use their connections until these are closed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::caller::{MAX_TURN_TOKENS, Reading, TIMEOUT_MS, TurnKind};
use crate::connection::{Connection, Ending, Received};
use crate::endpoint::{LONG_INPUT, output_of};
use crate::flood::FLOODED;
use crate::program::{BUDGET, RequestKind, SentRequest};
use crate::stops::StopReport;
use crate::world::{LONG_TIMEOUT_MS, key_of};

/// Number of callers for each gateway: so many that there are always some whose last request has ended.
const CALLERS_PER_GATEWAY: usize = 24;

/// Number of callers in which each role occurs.
const ROLES: usize = 12;

/// Time after a request's limit until its caller takes it for lost and closes the connection.
const GIVE_UP_TIME: Duration = Duration::from_millis(1_500);

/// How long a caller whose body stalls waits for a response: longer than a stopped gateway runs.
const STALL_LIMIT: Duration = Duration::from_secs(6);

/// One in this many bodies stalls.
const STALLS_ONE_IN: u32 = 30;

/// Maximum pause of a caller between two requests.
const MAX_PAUSE_MS: u64 = 120;

/// Pause after a refused connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of turns of a program. Some of the longer programs use up their budget.
const MAX_TURNS: usize = 13;

/// Timeouts that callers state on routes with the usual timeout, and on those with a long one.
const TIMEOUTS_MS: [u64; 4] = [500, 1_000, 2_000, TIMEOUT_MS];
const LONG_TIMEOUTS_MS: [u64; 2] = [4_500, LONG_TIMEOUT_MS];

/// Pauses between the pieces of a body.
const BODY_PAUSES_MS: [u64; 3] = [0, 60, 300];

/// Number of pieces of a body that is not sent at once.
const BODY_PIECES: usize = 3;

/// A request to a gateway that may be stopped, and how it ended.
#[derive(Debug, Clone)]
pub struct StopRequest {
    /// The request and its response.
    pub sent: SentRequest,
    /// The number of the gateway.
    pub gateway: usize,
    /// The time that the caller states.
    pub limit: Duration,
    /// When its last byte was sent, if it was sent whole.
    pub whole_at: Option<Instant>,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub ending: Ending,
    /// The request ID that the response names.
    pub named: Option<String>,
}

/// What a caller does apart from sending requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    KeepsConnections,
    OpensConnections,
    /// It is one of many whose workspace is at its rate.
    Flooded,
    /// It reads slowly what is longer than the system's buffers.
    ReadsSlowly,
}

impl Role {
    fn of(number: usize) -> Role {
        match number % ROLES {
            0..6 => Role::KeepsConnections,
            6..9 => Role::OpensConnections,
            9 | 10 => Role::Flooded,
            _ => Role::ReadsSlowly,
        }
    }
}

/// A line of turns, each of which continues the one before if their history is kept.
#[derive(Debug)]
struct Line {
    program: String,
    turns: TurnKind,
    /// Whether its requests use the routes with a long timeout.
    long: bool,
    turns_left: usize,
    previous: Option<String>,
    history: String,
}

/// One caller, which sends one request after the other.
struct StopCaller {
    number: usize,
    role: Role,
    entries: Vec<SocketAddr>,
    gateway: usize,
    random: StdRng,
    line: Line,
    requests: Vec<StopRequest>,
}

/// Starts callers that send requests until `until`.
pub(crate) fn spawn_callers(
    entries: &[SocketAddr],
    seed: u64,
    until: Instant,
) -> JoinSet<StopReport> {
    let callers = entries.len() * CALLERS_PER_GATEWAY;
    (0..callers).map(|number| StopCaller::open(entries, seed, number).run(until)).collect()
}

impl StopCaller {
    fn open(entries: &[SocketAddr], seed: u64, number: usize) -> StopCaller {
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(1_009) + number as u64);
        let role = Role::of(number);
        let line = Line::open(&format!("s{number}-0"), role, &mut random);
        let gateway = number / CALLERS_PER_GATEWAY;
        let entries = entries.to_vec();
        StopCaller { number, role, entries, gateway, random, line, requests: Vec::new() }
    }

    async fn run(mut self, until: Instant) -> StopReport {
        let mut connection = None;
        while Instant::now() < until {
            connection = self.send_next(connection.take()).await;
            let pause = Duration::from_millis(self.random.random_range(0..MAX_PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
        let Line { program, previous, history, .. } = self.line;
        let last_turns = Vec::from_iter(previous.map(|previous| (program, previous, history)));
        StopReport { requests: self.requests, last_turns, ..StopReport::default() }
    }

    /// Sends a request on a connection, or on a new one. Returns the connection if it can be reused.
    async fn send_next(&mut self, connection: Option<Connection>) -> Option<Connection> {
        let sent = self.prepare();
        let long = self.line.long && sent.kind != RequestKind::Lookup;
        let timeouts: &[u64] = if long { &LONG_TIMEOUTS_MS } else { &TIMEOUTS_MS };
        let limit_ms = timeouts[self.random.random_range(0..timeouts.len())];
        let limit = Duration::from_millis(limit_ms);
        let (pieces, pause, stalls) = self.pieces(&sent, limit_ms);
        let mut connection = match connection {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let written = connection.send(&pieces, pause).await;
        let whole_at = written.ok().filter(|_| !stalls);
        let patience = if stalls { STALL_LIMIT } else { limit + GIVE_UP_TIME };
        let mut received = Received::default();
        let ending = tokio::time::timeout(patience, connection.receive(&mut received)).await;
        let Received { mut answer, request: named, reusable } = received;
        answer.body = without_comments(answer.body);
        let ended_at = Instant::now();
        let ending = ending.unwrap_or(Ending::GaveUp);
        let sent = SentRequest { answer, ..sent };
        self.line.take(&sent);
        let gateway = self.gateway;
        self.requests.push(StopRequest { sent, gateway, limit, whole_at, ended_at, ending, named });
        let keeps = self.role != Role::OpensConnections && whole_at.is_some() && reusable;
        keeps.then_some(connection)
    }

    /// Connects to its gateway. If that takes no connection, it goes to another one.
    async fn connect(&mut self) -> Option<Connection> {
        let slow = self.role == Role::ReadsSlowly;
        let reading = if slow { Reading::Slow } else { Reading::AtOnce };
        let opened = Connection::open(self.entries[self.gateway], reading).await;
        if opened.is_err() {
            self.gateway = self.random.random_range(0..self.entries.len());
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
        opened.ok()
    }

    fn choose_kind(&mut self) -> RequestKind {
        match (self.role, self.random.random_range(0..6_u32)) {
            (Role::ReadsSlowly, _) => RequestKind::Turn(self.line.turns),
            (_, 0) => RequestKind::Lookup,
            (Role::Flooded, _) | (_, 1 | 2) => RequestKind::Action,
            _ => RequestKind::Turn(self.line.turns),
        }
    }

    /// The next request, which has no response yet.
    fn prepare(&mut self) -> SentRequest {
        let request = format!("s{}-{}", self.number, self.requests.len());
        if self.line.turns_left == 0 {
            self.line = Line::open(&request, self.role, &mut self.random);
        }
        let kind = self.choose_kind();
        self.line.turns_left -= usize::from(kind.is_turn());
        let input = match self.role {
            Role::ReadsSlowly => format!("{LONG_INPUT} {request};"),
            _ => format!("say {request};"),
        };
        SentRequest {
            request,
            kind,
            program: self.line.program.clone(),
            workspace: if self.role == Role::Flooded { FLOODED } else { "ours" },
            prompt: format!("{}{input}", self.line.history),
            continues: kind.is_turn() && self.line.previous.is_some(),
            sent: Instant::now(),
            answer: Default::default(),
        }
    }

    /// The bytes of a request in the pieces in which they are sent, the pause between these, and
    /// whether its last piece is never sent.
    fn pieces(&mut self, sent: &SentRequest, limit_ms: u64) -> (Vec<Vec<u8>>, Duration, bool) {
        let pause_ms = BODY_PAUSES_MS[self.random.random_range(0..BODY_PAUSES_MS.len())];
        let (chunked, at_once) = (self.random.random(), self.random.random());
        let stalls = self.random.random_range(0..STALLS_ONE_IN) == 0;
        let body = &sent.prompt.as_bytes()[self.line.history.len()..];
        let mut pieces = match (chunked, at_once) {
            (true, _) => chunks(body),
            (false, true) if !stalls => vec![body.to_vec()],
            (false, _) => parts(body).map(<[u8]>::to_vec).collect(),
        };
        let head = self.head(sent, limit_ms, (!chunked).then_some(body.len()));
        pieces[0].splice(0..0, head.into_bytes());
        if stalls {
            pieces.pop();
        }
        (pieces, Duration::from_millis(pause_ms), stalls)
    }

    /// The head of a request whose body has this length, or is sent in chunks.
    fn head(&self, sent: &SentRequest, limit_ms: u64, length: Option<usize>) -> String {
        let Line { long, turns, previous, .. } = &self.line;
        let path = match (sent.kind, turns) {
            (RequestKind::Lookup, _) => "lookups",
            (RequestKind::Action, _) if *long => "long-actions",
            (RequestKind::Action, _) => "actions",
            (_, TurnKind::Kept) if *long => "long-turns",
            (_, TurnKind::Kept) => "turns",
            _ => "asks",
        };
        let key = match self.role {
            Role::Flooded => key_of(FLOODED),
            _ => "secret-key-in-force".to_string(),
        };
        let framing = match length {
            Some(length) => format!("content-length: {length}"),
            None => "transfer-encoding: chunked".to_string(),
        };
        let mut head = format!(
            "POST /{path}/1 HTTP/1.1\r\nhost: soak.example\r\nauthorization: Bearer {key}\r\n\
             trefoilproxy-request-id: {}\r\ntrefoilproxy-deadline-ms: {limit_ms}\r\n{framing}\r\n",
            sent.request
        );
        if sent.kind.is_turn() {
            head += &format!(
                "trefoilproxy-program-id: {}\r\ntrefoilproxy-token-budget: {BUDGET}\r\n\
                 trefoilproxy-token-count: 10,{MAX_TURN_TOKENS}\r\n",
                sent.program
            );
            let named = previous.iter().map(|id| format!("trefoilproxy-previous-turn: {id}\r\n"));
            head.extend(named);
        }
        head + "\r\n"
    }
}

impl Line {
    fn open(program: &str, role: Role, random: &mut StdRng) -> Line {
        let (turns, turns_left) = match role {
            Role::ReadsSlowly => (TurnKind::Resumable, 1),
            _ if random.random_range(0..3_u32) == 0 => (TurnKind::Resumable, MAX_TURNS),
            _ => (TurnKind::Kept, random.random_range(1..=MAX_TURNS)),
        };
        Line {
            program: format!("program-{program}"),
            turns,
            long: role != Role::ReadsSlowly && turns == TurnKind::Kept && random.random(),
            turns_left,
            previous: None,
            history: String::new(),
        }
    }

    /// Continues after a turn whose history is kept.
    fn take(&mut self, sent: &SentRequest) {
        if sent.kind == RequestKind::Turn(TurnKind::Kept) && sent.answer.is_served() {
            self.history = format!("{}{}", sent.prompt, output_of(&sent.request));
            self.previous = Some(sent.request.clone());
        }
    }
}

/// A body in parts of about the same size.
fn parts(body: &[u8]) -> impl Iterator<Item = &[u8]> {
    body.chunks(body.len().div_ceil(BODY_PIECES))
}

/// A body in chunks; the last piece ends it.
fn chunks(body: &[u8]) -> Vec<Vec<u8>> {
    let chunk = |part: &[u8]| {
        [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n".as_slice()].concat()
    };
    parts(body).map(chunk).chain([b"0\r\n\r\n".to_vec()]).collect()
}

/// The lines of an event stream that are no comments.
fn without_comments(body: Vec<u8>) -> Vec<u8> {
    if !body.starts_with(b":") {
        return body;
    }
    let lines = body.split_inclusive(|byte| *byte == b'\n').filter(|line| !line.starts_with(b":"));
    lines.flatten().copied().collect()
}
