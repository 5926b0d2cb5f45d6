use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::caller::{Caller, Reading, TIMEOUT_MS, Turn, TurnKind};
use crate::endpoint::LONG_INPUT;
use crate::program::{BUDGET, PAUSE, RequestKind, SentRequest};
use crate::world::{LOAD_WORKSPACES, key_of};

/// Number of callers in a surge for each worker on the other routes.
const SURGE_FACTOR: u64 = 4;

/// Maximum number of retries of a refused first turn, as callers make them.
const MAX_RETRIES: usize = 5;

/// Maximum retry delay that callers accept: a third of the time that they have.
const MAX_RETRY_AFTER_MS: u64 = TIMEOUT_MS / 3;

/// One in this many requests of a program is a tool call.
const TOOL_INTERVAL: usize = 3;

/// Size of the input of a long turn, which an endpoint reads in several pieces.
const LONG_INPUT_BYTES: usize = 256 << 10;

/// Time after the last faults until the world is calm: stopped gateways are restarted, shards are
/// reassigned, and ejected endpoints are used again.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Duration of the surge in the calm part of a run.
const LAST_SURGE: Duration = Duration::from_millis(1_500);

/// Time after a surge from which each new program must be served.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Duration of the last part of a run, which begins after the recovery.
const LAST_PART: Duration = Duration::from_millis(1_500);

/// The combinations of a workspace and a route. Each has a rank of its own.
const CLASSES: [LoadClass; 4] = [
    LoadClass { workspace: LOAD_WORKSPACES[0], turns: TurnKind::Urgent },
    LoadClass { workspace: LOAD_WORKSPACES[0], turns: TurnKind::Patient },
    LoadClass { workspace: LOAD_WORKSPACES[1], turns: TurnKind::Urgent },
    LoadClass { workspace: LOAD_WORKSPACES[1], turns: TurnKind::Patient },
];

/// What determines the rank of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LoadClass {
    /// The workspace of its caller.
    pub workspace: &'static str,
    /// The kind of its turns.
    pub turns: TurnKind,
}

/// The parts of a run. Surges occur at random times under faults, and once in the calm part.
#[derive(Debug, Clone, Copy)]
pub struct LoadPhases {
    /// When the last fault ends.
    pub faults_until: Instant,
    /// From then on, no gateway, link, endpoint or store has had a fault for several seconds.
    pub calm_from: Instant,
    /// The end of the surge in the calm part.
    pub surge_until: Instant,
    /// From then on, each new program must be served.
    pub recovered_at: Instant,
    /// The end of the run.
    pub end: Instant,
}

impl LoadPhases {
    /// The parts of a run whose faults end at `faults_until`.
    pub fn after(faults_until: Instant) -> LoadPhases {
        let calm_from = faults_until + SETTLING_TIME;
        let surge_until = calm_from + LAST_SURGE;
        let recovered_at = surge_until + RECOVERY_TIME;
        let end = recovered_at + LAST_PART;
        LoadPhases { faults_until, calm_from, surge_until, recovered_at, end }
    }
}

/// A program under load control.
#[derive(Debug, Clone)]
pub struct LoadProgram {
    /// What determines its rank.
    pub class: LoadClass,
    /// When its first turn was sent for the first time.
    pub begun: Instant,
    /// Its requests in order; the first turn and its retries come first.
    pub requests: Vec<SentRequest>,
}

impl LoadProgram {
    /// Whether an endpoint has begun to answer its first turn.
    pub fn is_admitted(&self) -> bool {
        self.requests.iter().any(|sent| sent.answer.status == Some(200))
    }

    /// Whether its first turn and all retries were refused.
    pub fn is_refused(&self) -> bool {
        self.requests.iter().all(|sent| sent.answer.is_refused())
    }

    /// The requests after a first turn that was served.
    pub fn later_requests(&self) -> &[SentRequest] {
        let first = self.requests.iter().position(|sent| sent.answer.is_served());
        first.map_or(&[], |first| &self.requests[first + 1..])
    }
}

/// Runs programs under load control until the end of the run: a few steady ones, one with a caller
/// that reads slowly, one with a caller that stops reading, and surges of several times `workers`.
pub async fn run_load(
    entries: &[SocketAddr],
    seed: u64,
    workers: u64,
    phases: LoadPhases,
) -> Vec<LoadProgram> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut running = JoinSet::new();
    let mut spawn = |number: u64, reading: Reading, until: Instant| {
        let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(number));
        let class = CLASSES[number as usize % CLASSES.len()];
        let (name, entries) = (format!("w{number}"), entries.to_vec());
        let worker = LoadWorker { name, entries, class, reading, until, end: phases.end, random };
        running.spawn(worker.run());
    };
    let mut numbers = 0_u64..;
    for number in numbers.by_ref().take(CLASSES.len()) {
        spawn(number, Reading::AtOnce, phases.end);
    }
    for (reading, number) in [Reading::Slow, Reading::Stops].into_iter().zip(numbers.by_ref()) {
        spawn(number, reading, phases.end);
    }
    let mut surge = |until: Instant| {
        for number in numbers.by_ref().take((SURGE_FACTOR * workers) as usize) {
            spawn(number, Reading::AtOnce, until);
        }
    };
    loop {
        let begins = Instant::now() + Duration::from_millis(random.random_range(300..1_500));
        let until = begins + Duration::from_millis(random.random_range(1_000..2_000));
        if begins >= phases.faults_until {
            break;
        }
        tokio::time::sleep_until(begins.into()).await;
        surge(until);
        tokio::time::sleep_until(until.into()).await;
    }
    tokio::time::sleep_until(phases.calm_from.into()).await;
    surge(phases.surge_until);
    running.join_all().await.into_iter().flatten().collect()
}

/// A caller that runs one program after the other.
struct LoadWorker {
    name: String,
    entries: Vec<SocketAddr>,
    class: LoadClass,
    reading: Reading,
    /// No program begins later.
    until: Instant,
    /// No program continues later.
    end: Instant,
    random: StdRng,
}

impl LoadWorker {
    async fn run(mut self) -> Vec<LoadProgram> {
        let mut programs = Vec::new();
        while Instant::now() < self.until {
            let id = format!("{}-{}", self.name, programs.len());
            programs.push(self.run_program(&id).await);
            tokio::time::sleep(PAUSE).await;
        }
        programs
    }

    async fn run_program(&mut self, id: &str) -> LoadProgram {
        let steps = self.random.random_range(2..8_usize);
        let turn = RequestKind::Turn(self.class.turns);
        let begun = Instant::now();
        let mut program = LoadProgram { class: self.class, begun, requests: Vec::new() };
        for retry in 0..=MAX_RETRIES {
            let sent = self.send(id, &format!("{id}-0.{retry}"), turn).await;
            let refused = sent.answer.is_refused();
            let delay_ms = sent.answer.retry_after_ms.unwrap_or(0).min(MAX_RETRY_AFTER_MS);
            program.requests.push(sent);
            if !refused {
                break;
            }
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        for step in 1..steps {
            tokio::time::sleep(PAUSE).await;
            if !program.is_admitted() || Instant::now() >= self.end {
                break;
            }
            let kind = if step % TOOL_INTERVAL == 0 { RequestKind::Lookup } else { turn };
            let sent = self.send(id, &format!("{id}-{step}"), kind).await;
            program.requests.push(sent);
        }
        program
    }

    async fn send(&mut self, program: &str, request: &str, kind: RequestKind) -> SentRequest {
        let entry = self.entries[self.random.random_range(0..self.entries.len())];
        let caller = Caller { key: key_of(self.class.workspace) };
        let input = match self.reading {
            Reading::AtOnce => format!("say {request};"),
            _ => format!("{LONG_INPUT} {request};{}", " ".repeat(LONG_INPUT_BYTES)),
        };
        let turn = Turn {
            kind: self.class.turns,
            request: request.to_string(),
            program: program.to_string(),
            input: input.clone(),
            budget: BUDGET,
            reading: self.reading,
            ..Turn::default()
        };
        SentRequest::send(&caller, entry, kind, self.class.workspace, input, turn).await
    }
}
