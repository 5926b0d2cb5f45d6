use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::caller::{Answer, Caller, Turn, TurnKind};
use crate::load::LoadProgram;

/// Pause between two requests of a program.
pub(crate) const PAUSE: Duration = Duration::from_millis(30);

/// Token budget of a program. Some of the longer programs use it up.
pub(crate) const BUDGET: u64 = 600;

/// One in this many workers runs programs whose history is not kept.
const RESUMABLE_WORKER_INTERVAL: u64 = 3;

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A turn of a program.
    Turn(TurnKind),
    /// An idempotent tool call.
    Lookup,
    /// A tool call that must run at most once.
    Action,
}

impl RequestKind {
    /// Whether it is a turn.
    pub fn is_turn(self) -> bool {
        matches!(self, RequestKind::Turn(_))
    }

    /// Whether it must run at most once.
    pub fn runs_once(self) -> bool {
        !matches!(self, RequestKind::Lookup | RequestKind::Turn(TurnKind::Resumable))
    }
}

/// A request and its response.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Its ID.
    pub request: String,
    /// Its kind.
    pub kind: RequestKind,
    /// The ID of its program.
    pub program: String,
    /// The workspace of its caller.
    pub workspace: &'static str,
    /// The prompt that the endpoint must receive, including the history.
    pub prompt: String,
    /// Whether it continues a turn whose end its caller has received.
    pub continues: bool,
    /// When it was sent.
    pub sent: Instant,
    /// The response.
    pub answer: Answer,
}

impl SentRequest {
    /// Sends a request and waits for its response. A tool call has no use for `turn` but the IDs.
    pub(crate) async fn send(
        caller: &Caller,
        entry: SocketAddr,
        kind: RequestKind,
        workspace: &'static str,
        prompt: String,
        turn: Turn,
    ) -> SentRequest {
        let sent = Instant::now();
        let answer = match kind {
            RequestKind::Lookup => caller.look_up(entry, &turn.request).await,
            RequestKind::Action => caller.act(entry, &turn.request).await,
            RequestKind::Turn(_) => caller.turn(entry, &turn).await,
        };
        let Turn { request, program, previous, .. } = turn;
        let continues = previous.is_some();
        SentRequest { request, kind, program, workspace, prompt, continues, sent, answer }
    }
}

/// All requests of the programs of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// The requests; those of one program are in order.
    pub requests: Vec<SentRequest>,
    /// The token budget of each program.
    pub budget: u64,
    /// For each program, its ID, and the request ID and history of its last complete turn.
    pub last_turns: Vec<(String, String, String)>,
    /// The programs under load control.
    pub programs: Vec<LoadProgram>,
}

impl Report {
    /// All requests, also those of programs under load control.
    pub fn all_requests(&self) -> impl Iterator<Item = &SentRequest> {
        let under_load = self.programs.iter().flat_map(|program| &program.requests);
        self.requests.iter().chain(under_load)
    }
}

/// Runs programs until `until`: several workers at once, each with one program after the other.
pub async fn run_programs(
    caller: &Caller,
    entries: &[SocketAddr],
    seed: u64,
    workers: u64,
    until: Instant,
) -> Report {
    let running = (0..workers).map(|worker| {
        let (caller, entries) = (caller.clone(), entries.to_vec());
        let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(worker));
        tokio::spawn(run_worker(caller, entries, random, worker, until))
    });
    let mut total = Report { budget: BUDGET, ..Report::default() };
    for worker in running.collect::<Vec<_>>() {
        let report = worker.await.expect("a worker does not panic");
        total.requests.extend(report.requests);
        total.last_turns.extend(report.last_turns);
    }
    total
}

async fn run_worker(
    caller: Caller,
    entries: Vec<SocketAddr>,
    mut random: StdRng,
    worker: u64,
    until: Instant,
) -> Report {
    let mut report = Report::default();
    for number in 0_u64.. {
        if Instant::now() >= until {
            break;
        }
        let program = format!("p{worker}-{number}");
        let turns = match worker % RESUMABLE_WORKER_INTERVAL {
            0 => TurnKind::Resumable,
            _ => TurnKind::Kept,
        };
        let worker_settings = WorkerSettings { caller: &caller, entries: &entries, turns, until };
        run_program(worker_settings, &mut random, &program, &mut report).await;
    }
    report
}

/// What the programs of a worker have in common.
struct WorkerSettings<'a> {
    caller: &'a Caller,
    entries: &'a [SocketAddr],
    /// The kind of their turns.
    turns: TurnKind,
    until: Instant,
}

async fn run_program(
    settings: WorkerSettings<'_>,
    random: &mut StdRng,
    program: &str,
    report: &mut Report,
) {
    let WorkerSettings { caller, entries, turns, until } = settings;
    let (mut previous, mut history): (Option<String>, String) = (None, String::new());
    for step in 0..random.random_range(2..14_u32) {
        if Instant::now() >= until {
            break;
        }
        let entry = entries[random.random_range(0..entries.len())];
        let request = format!("{program}-{step}");
        let kind = match random.random_range(0..4_u32) {
            0 => RequestKind::Lookup,
            1 => RequestKind::Action,
            _ => RequestKind::Turn(turns),
        };
        let input = format!("say {request};");
        let prompt = format!("{history}{input}");
        let turn = Turn {
            kind: turns,
            request,
            program: program.to_string(),
            previous: previous.clone(),
            input,
            budget: BUDGET,
            ..Turn::default()
        };
        let sent = SentRequest::send(caller, entry, kind, "ours", prompt, turn).await;
        if kind == RequestKind::Turn(TurnKind::Kept) && sent.answer.is_served() {
            history = format!("{}{}", sent.prompt, crate::endpoint::output_of(&sent.request));
            previous = Some(sent.request.clone());
        }
        report.requests.push(sent);
        tokio::time::sleep(PAUSE).await;
    }
    if let Some(previous) = previous {
        report.last_turns.push((program.to_string(), previous, history));
    }
}
