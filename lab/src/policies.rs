//! Simulates programs on engines with trefoilproxy's own router and queue order. The seeded traces
//! have bursts, pauses, sub-agents, optionally a flooding workspace, an engine that dies, a slow engine,
//! a draining engine, and load reports that lag.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use trefoilproxy::endpoint::OrderPolicy;
use trefoilproxy::prelude::*;
use trefoilproxy::programs::PlaceRequest;
use trefoilproxy::routing::{EndpointView, Router, RoutingPolicy, SheddingPolicy};

use crate::engines::{Engine, Job, Outcome, REPORT_INTERVAL_MS};
use crate::random::Random;

const STEP_MS: u64 = 5;
const RUN_MS: u64 = 240_000;
/// Programs that start before `WARM_UP_MS` or from `COUNTED_UNTIL_MS` on are run, but not counted.
pub const WARM_UP_MS: u64 = 20_000;
pub const COUNTED_UNTIL_MS: u64 = 180_000;
const ENTRIES: usize = 3;
const TURN_DEADLINE_MS: u64 = 20_000;
const WORKSPACES: u64 = 8;
/// Contract weights of the workspaces, in proportion to their usual load.
const WEIGHTS: [u32; WORKSPACES as usize] = [37, 27, 7, 7, 7, 7, 7, 7];
/// Index of the workspace that starts the programs of [`Deployment::flood`] and no others.
const FLOODING_WORKSPACE: u64 = 7;
const RETRY_AFTER_MS: u64 = 1_000;
const MAX_REFUSALS: u32 = 5;

/// The engines of a deployment and the load of its programs.
#[derive(Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub engines: usize,
    pub programs_per_s: f64,
    pub max_turns: u64,
    pub pause_ms: u64,
    /// Programs that the flooding workspace starts for each program of the others from 80 s to 160 s.
    pub flood: u64,
}

pub const ICE_WATCH: Deployment = Deployment {
    name: "Ice Watch",
    engines: 9,
    programs_per_s: 3.0,
    max_turns: 12,
    pause_ms: 1_500,
    flood: 0,
};
pub const BIOGAS_LEDGER: Deployment = Deployment {
    name: "Biogas Ledger",
    engines: 9,
    programs_per_s: 2.0,
    max_turns: 18,
    pause_ms: 800,
    flood: 0,
};

struct Program {
    id: ProgramId,
    workspace: u64,
    entry: usize,
    turns_left: u64,
    turn: u64,
    /// Tokens of the conversation so far.
    history: u64,
    /// Completion tokens so far.
    attained: u64,
    started: u64,
    /// Total of the pauses between turns, which do not count as latency.
    paused: u64,
    refusals: u32,
    /// Index of the program that waits for this sub-agent.
    parent: Option<usize>,
    finished: Option<u64>,
    failed: bool,
}

#[derive(Clone, Copy)]
enum Event {
    Start(usize),
    Turn(usize),
}

/// Results of a run.
#[derive(Default, Clone)]
pub struct Score {
    pub latency_ms: Vec<u64>,
    /// Mean latency per turn of the slowest workspace that does not flood, relative to all workspaces.
    pub worst_relative_latency: f64,
    /// Share of history tokens that were recomputed because they were not cached.
    pub recomputed_share: f64,
    pub finished: usize,
    pub failed: usize,
    /// Percentage of failed programs in the worst served workspace that does not flood.
    pub worst_failed_percent: f64,
}

pub struct Run {
    random: Random,
    programs: Vec<Program>,
    /// Time, sequence number, program, and whether the program starts; the earliest first.
    events: BinaryHeap<Reverse<(u64, u64, usize, bool)>>,
    sequence: u64,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    deployment: Deployment,
}

fn workspace(index: u64) -> WorkspaceId {
    WorkspaceId::parse(&format!("w{index}")).expect("a valid name")
}

impl Run {
    pub fn new(
        deployment: Deployment,
        load: f64,
        routing: RoutingPolicy,
        order: OrderPolicy,
        shedding: SheddingPolicy,
        seed: u64,
    ) -> Run {
        let engines = (0..deployment.engines).map(|index| Engine::new(index, order));
        let routers = (0..ENTRIES)
            .map(|index| Router::new(routing, seed * 100 + index as u64).with_shedding(shedding));
        let mut run = Run {
            random: Random::new(seed),
            programs: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            engines: engines.collect(),
            routers: routers.collect(),
            deployment,
        };
        run.generate_arrivals(load);
        run
    }

    /// Generates the programs, which arrive in bursts. Two workspaces are large; the flooding one
    /// starts `flood` programs for each program of the others from 80 s to 160 s.
    fn generate_arrivals(&mut self, load: f64) {
        let mut arrival_ms = 0.0;
        while arrival_ms < RUN_MS as f64 {
            let burst = 1 + self.random.below(5);
            for _ in 0..burst {
                let is_flooding = (80_000.0..160_000.0).contains(&arrival_ms);
                for _ in 0..if is_flooding { self.deployment.flood } else { 0 } {
                    let turns = 2 + self.random.below(self.deployment.max_turns - 1);
                    let program =
                        self.add_program(FLOODING_WORKSPACE, turns, arrival_ms as u64, None);
                    self.schedule(arrival_ms as u64, Event::Start(program));
                }
                let workspace = match self.random.below(10) {
                    0..=2 => 0,
                    3..=4 => 1,
                    _ => self.random.below(WORKSPACES - 1),
                };
                let turns = 2 + self.random.below(self.deployment.max_turns - 1);
                let program = self.add_program(workspace, turns, arrival_ms as u64, None);
                self.schedule(arrival_ms as u64, Event::Start(program));
            }
            let gap_ms = 1_000.0 * burst as f64 / (self.deployment.programs_per_s * load);
            arrival_ms += gap_ms * (0.5 + self.random.unit());
        }
    }

    fn add_program(
        &mut self,
        workspace_index: u64,
        turns: u64,
        arrival_ms: u64,
        parent: Option<usize>,
    ) -> usize {
        let index = self.programs.len();
        let id = ProgramId::parse(workspace(workspace_index), &format!("p{index}"))
            .expect("a valid name");
        self.programs.push(Program {
            id,
            workspace: workspace_index,
            entry: index % ENTRIES,
            turns_left: turns,
            turn: 0,
            history: 0,
            attained: 0,
            started: arrival_ms,
            paused: 0,
            refusals: 0,
            parent,
            finished: None,
            failed: false,
        });
        index
    }

    fn schedule(&mut self, due_ms: u64, event: Event) {
        self.sequence += 1;
        let (program, is_start) = match event {
            Event::Start(program) => (program, true),
            Event::Turn(program) => (program, false),
        };
        self.events.push(Reverse((due_ms, self.sequence, program, is_start)));
    }

    pub fn run(mut self) -> Score {
        let mut now = 0;
        while now < RUN_MS {
            self.inject_faults(now);
            while let Some(Reverse((due_ms, _, program, _))) = self.events.peek().copied() {
                if due_ms > now {
                    break;
                }
                self.events.pop();
                self.start_turn(now, program);
            }
            for index in 0..self.engines.len() {
                let outcomes = self.engines[index].advance(now, STEP_MS);
                outcomes.into_iter().for_each(|outcome| self.record_outcome(now, outcome));
                let engine = &mut self.engines[index];
                if now.saturating_sub(engine.reported.0) >= REPORT_INTERVAL_MS {
                    engine.reported = (now, engine.load());
                }
            }
            now += STEP_MS;
        }
        self.score()
    }

    /// Engine 1 is slow for 30 s, engine 2 dies and is back after 15 s, engine 3 drains for 20 s.
    fn inject_faults(&mut self, now: u64) {
        match now {
            60_000 => self.engines[1].slowdown = 3.0,
            90_000 => self.engines[1].slowdown = 1.0,
            100_000 => {
                let outcomes = self.engines[2].kill();
                outcomes.into_iter().for_each(|outcome| self.record_outcome(now, outcome));
            }
            115_000 => self.engines[2].alive = true,
            130_000 => self.engines[3].draining = true,
            150_000 => self.engines[3].draining = false,
            _ => {}
        }
    }

    fn start_turn(&mut self, now: u64, index: usize) {
        let new_tokens = 60 + self.random.below(400);
        let answer = 20 + self.random.below(120);
        let program = &self.programs[index];
        let job = Job {
            id: index as u64,
            program: program.id.clone(),
            prompt: program.history + new_tokens,
            history: program.history,
            answer,
            attained: program.attained,
            deadline_ms: now + TURN_DEADLINE_MS,
        };
        self.place(now, index, job);
    }

    fn place(&mut self, now: u64, index: usize, job: Job) {
        let program = &self.programs[index];
        let available = self.engines.iter().filter(|engine| engine.alive && !engine.draining);
        let views: Vec<EndpointView> = available
            .map(|engine| EndpointView {
                endpoint: engine.endpoint.clone(),
                reported_load: engine.reported.1,
                concurrency: Engine::concurrency(),
                reported_at: TimeMs(engine.reported.0),
                in_same_domain: false,
                vm_hash: EndpointView::vm_hash(&engine.endpoint.vm),
            })
            .collect();
        let digest = Digest::of(&[program.id.name.as_bytes(), &program.turn.to_le_bytes()]);
        let target = ModelName::parse("small").expect("a valid name");
        let request = PlaceRequest {
            program: &program.id,
            target: &target,
            digest: &digest,
            weight: WEIGHTS[program.workspace as usize],
            is_first: program.turn == 0,
            is_suspect: false,
            avoid: None,
        };
        let chosen = self.routers[program.entry].place(TimeMs(now), &request, &views);
        let engine = chosen
            .ok()
            .and_then(|chosen| self.engines.iter_mut().find(|engine| engine.endpoint == chosen));
        match engine.map(|engine| engine.submit(now, job)) {
            Some(Ok(())) => {}
            _ => self.record_refusal(now, index),
        }
    }

    /// A refused caller retries after the retry time with jitter; the program fails after too many
    /// refusals.
    fn record_refusal(&mut self, now: u64, index: usize) {
        let program = &mut self.programs[index];
        program.refusals += 1;
        match program.refusals > MAX_REFUSALS {
            true => self.fail_program(index),
            false => {
                let jitter = self.random.below(RETRY_AFTER_MS);
                self.schedule(now + RETRY_AFTER_MS + jitter, Event::Turn(index));
            }
        }
    }

    /// Fails a program and the programs that wait for it.
    fn fail_program(&mut self, index: usize) {
        self.programs[index].failed = true;
        if let Some(parent) = self.programs[index].parent {
            self.fail_program(parent);
        }
    }

    fn record_outcome(&mut self, now: u64, outcome: Outcome) {
        match outcome {
            Outcome::Completed(job) => self.complete_turn(now, &job),
            Outcome::Failed(job) => self.schedule(now + 100, Event::Turn(job.id as usize)),
            Outcome::Expired(job) => self.fail_program(job.id as usize),
        }
    }

    fn complete_turn(&mut self, now: u64, job: &Job) {
        let index = job.id as usize;
        let program = &mut self.programs[index];
        program.turn += 1;
        program.turns_left -= 1;
        program.history = job.prompt + job.answer;
        program.attained += job.answer;
        if program.turns_left == 0 {
            program.finished = Some(now);
            let (id, parent, entry) = (program.id.clone(), program.parent, program.entry);
            self.engines.iter_mut().for_each(|engine| engine.free_cache(&id));
            self.routers[entry].remove_program(&id);
            if let Some(parent) = parent {
                self.schedule(now, Event::Turn(parent));
            }
            return;
        }
        let (workspace_index, is_root) = (program.workspace, program.parent.is_none());
        if is_root && self.random.below(6) == 0 {
            let turns = 1 + self.random.below(3);
            let child = self.add_program(workspace_index, turns, now, Some(index));
            self.schedule(now, Event::Start(child));
            return;
        }
        let pause_ms = 50 + self.random.below(2 * self.deployment.pause_ms);
        self.programs[index].paused += pause_ms;
        self.schedule(now + pause_ms, Event::Turn(index));
    }

    fn score(self) -> Score {
        let is_counted = |program: &&Program| {
            program.parent.is_none() && (WARM_UP_MS..COUNTED_UNTIL_MS).contains(&program.started)
        };
        let mut score = Score::default();
        // Finished and failed programs of each workspace.
        let mut program_counts = vec![(0.0_f64, 0.0_f64); WORKSPACES as usize];
        // Latency and turns of the finished programs of each workspace.
        let mut per_workspace = vec![(0.0, 0.0); WORKSPACES as usize];
        for program in self.programs.iter().filter(is_counted) {
            let counts = &mut program_counts[program.workspace as usize];
            let Some(finished) = program.finished.filter(|_| !program.failed) else {
                score.failed += 1;
                counts.1 += 1.0;
                continue;
            };
            counts.0 += 1.0;
            score.finished += 1;
            let latency = (finished - program.started).saturating_sub(program.paused);
            score.latency_ms.push(latency);
            let sum = &mut per_workspace[program.workspace as usize];
            // Latency per turn, so that workspaces with longer programs can be compared.
            sum.0 += latency as f64;
            sum.1 += program.turn as f64;
        }
        score.latency_ms.sort_unstable();
        let total: (f64, f64) =
            per_workspace.iter().fold((0.0, 0.0), |sum, w| (sum.0 + w.0, sum.1 + w.1));
        let mean = total.0 / total.1.max(1.0);
        // The flooding workspace is left out: the others must not suffer from it.
        let others = per_workspace.iter().take(7).filter(|sum| sum.1 > 0.0);
        score.worst_relative_latency = others.map(|sum| sum.0 / sum.1 / mean).fold(0.0, f64::max);
        let failed = program_counts
            .iter()
            .take(7)
            .map(|(finished, failed)| 100.0 * failed / (finished + failed).max(1.0));
        score.worst_failed_percent = failed.fold(0.0, f64::max);
        let recomputed: u64 = self.engines.iter().map(|engine| engine.recomputed).sum();
        let history: u64 = self.engines.iter().map(|engine| engine.history).sum();
        score.recomputed_share = recomputed as f64 / history.max(1) as f64;
        score
    }
}
