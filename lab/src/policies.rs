//! Programs on engines, by the real routing and order of service: seeded traces with bursts,
//! pauses, sub-agents, one workspace at several times its share, an engine that dies, a slow one,
//! one that leaves, and reports that lag.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use trefoilproxy::endpoint::OrderPolicy;
use trefoilproxy::prelude::*;
use trefoilproxy::programs::PlaceRequest;
use trefoilproxy::routing::{EndpointView, Router, RoutingPolicy, SheddingPolicy};

use crate::engines::{End, Engine, Job, REPORT_MS};
use crate::random::Random;

const STEP_MS: u64 = 5;
const RUN_MS: u64 = 240_000;
/// Programs that start so early or late are run, but not counted.
pub const WARM_UP_MS: u64 = 20_000;
pub const COUNTED_UNTIL_MS: u64 = 180_000;
const ENTRIES: usize = 3;
const TURN_DEADLINE_MS: u64 = 20_000;
const WORKSPACES: u64 = 8;
/// What the contracts give each, by what it usually sends.
const WEIGHTS: [u32; WORKSPACES as usize] = [37, 27, 7, 7, 7, 7, 7, 7];
/// The workspace that sends several times its share.
const FLOODING: u64 = 7;
const RETRY_MS: u64 = 1_000;
const MAX_REFUSALS: u32 = 5;

/// A deployment: its engines, and how its programs look.
#[derive(Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub engines: usize,
    pub programs_per_s: f64,
    pub max_turns: u64,
    pub pause_ms: u64,
    /// Programs that one workspace adds to each of the others' in the middle third.
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
    history: u64,
    attained: u64,
    started: u64,
    paused: u64,
    refusals: u32,
    /// The program that waits for this sub-agent.
    parent: Option<usize>,
    finished: Option<u64>,
    failed: bool,
}

#[derive(Clone, Copy)]
enum Due {
    Start(usize),
    Turn(usize),
}

/// What a run is judged by.
#[derive(Default, Clone)]
pub struct Score {
    pub latency_ms: Vec<u64>,
    pub worst_workspace: f64,
    pub wasted: f64,
    pub finished: usize,
    pub failed: usize,
    /// Failed programs of the worst served workspace that does not flood, in percent.
    pub worst_failed: f64,
}

pub struct Run {
    random: Random,
    programs: Vec<Program>,
    agenda: BinaryHeap<Reverse<(u64, u64, usize, bool)>>,
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
            agenda: BinaryHeap::new(),
            sequence: 0,
            engines: engines.collect(),
            routers: routers.collect(),
            deployment,
        };
        run.arrivals(load);
        run
    }

    /// Programs arrive in bursts. Two workspaces are large; one sends four times its share in
    /// the middle third.
    fn arrivals(&mut self, load: f64) {
        let mut at = 0.0;
        while at < RUN_MS as f64 {
            let burst = 1 + self.random.below(5);
            for _ in 0..burst {
                let floods = (80_000.0..160_000.0).contains(&at);
                for _ in 0..if floods { self.deployment.flood } else { 0 } {
                    let turns = 2 + self.random.below(self.deployment.max_turns - 1);
                    let program = self.add(FLOODING, turns, at as u64, None);
                    self.due(at as u64, Due::Start(program));
                }
                let workspace = match self.random.below(10) {
                    0..=2 => 0,
                    3..=4 => 1,
                    _ => self.random.below(WORKSPACES - 1),
                };
                let turns = 2 + self.random.below(self.deployment.max_turns - 1);
                let program = self.add(workspace, turns, at as u64, None);
                self.due(at as u64, Due::Start(program));
            }
            let gap_ms = 1_000.0 * burst as f64 / (self.deployment.programs_per_s * load);
            at += gap_ms * (0.5 + self.random.unit());
        }
    }

    fn add(&mut self, owner: u64, turns: u64, at: u64, parent: Option<usize>) -> usize {
        let index = self.programs.len();
        let id = ProgramId::parse(workspace(owner), &format!("p{index}")).expect("a valid name");
        self.programs.push(Program {
            id,
            workspace: owner,
            entry: index % ENTRIES,
            turns_left: turns,
            turn: 0,
            history: 0,
            attained: 0,
            started: at,
            paused: 0,
            refusals: 0,
            parent,
            finished: None,
            failed: false,
        });
        index
    }

    fn due(&mut self, at: u64, due: Due) {
        self.sequence += 1;
        let (program, is_start) = match due {
            Due::Start(program) => (program, true),
            Due::Turn(program) => (program, false),
        };
        self.agenda.push(Reverse((at, self.sequence, program, is_start)));
    }

    pub fn run(mut self) -> Score {
        let mut now = 0;
        while now < RUN_MS {
            self.faults(now);
            while let Some(Reverse((at, _, program, _))) = self.agenda.peek().copied() {
                if at > now {
                    break;
                }
                self.agenda.pop();
                self.call(now, program);
            }
            for index in 0..self.engines.len() {
                let ends = self.engines[index].advance(now, STEP_MS);
                ends.into_iter().for_each(|end| self.ended(now, end));
                let engine = &mut self.engines[index];
                if now.saturating_sub(engine.reported.0) >= REPORT_MS {
                    engine.reported = (now, engine.load());
                }
            }
            now += STEP_MS;
        }
        self.score()
    }

    /// One engine is slow for a while, one dies and comes back, one leaves.
    fn faults(&mut self, now: u64) {
        match now {
            60_000 => self.engines[1].slowness = 3.0,
            90_000 => self.engines[1].slowness = 1.0,
            100_000 => {
                let ends = self.engines[2].die();
                ends.into_iter().for_each(|end| self.ended(now, end));
            }
            115_000 => self.engines[2].alive = true,
            130_000 => self.engines[3].leaving = true,
            150_000 => self.engines[3].leaving = false,
            _ => {}
        }
    }

    fn call(&mut self, now: u64, index: usize) {
        let fresh = 60 + self.random.below(400);
        let answer = 20 + self.random.below(120);
        let program = &self.programs[index];
        let job = Job {
            id: index as u64,
            program: program.id.clone(),
            prompt: program.history + fresh,
            history: program.history,
            answer,
            attained: program.attained,
            deadline_ms: now + TURN_DEADLINE_MS,
        };
        self.place(now, index, job);
    }

    fn place(&mut self, now: u64, index: usize, job: Job) {
        let program = &self.programs[index];
        let live = self.engines.iter().filter(|engine| engine.alive && !engine.leaving);
        let views: Vec<EndpointView> = live
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
            _ => self.refused(now, index),
        }
    }

    /// A refused caller comes back after the time that it was told, a few times.
    fn refused(&mut self, now: u64, index: usize) {
        let program = &mut self.programs[index];
        program.refusals += 1;
        match program.refusals > MAX_REFUSALS {
            true => self.fail(index),
            false => {
                let jitter = self.random.below(RETRY_MS);
                self.due(now + RETRY_MS + jitter, Due::Turn(index));
            }
        }
    }

    fn fail(&mut self, index: usize) {
        self.programs[index].failed = true;
        if let Some(parent) = self.programs[index].parent {
            self.fail(parent);
        }
    }

    fn ended(&mut self, now: u64, end: End) {
        match end {
            End::Done(job) => self.turn_done(now, &job),
            End::Failed(job) => self.due(now + 100, Due::Turn(job.id as usize)),
            End::Expired(job) => self.fail(job.id as usize),
        }
    }

    fn turn_done(&mut self, now: u64, job: &Job) {
        let index = job.id as usize;
        let program = &mut self.programs[index];
        program.turn += 1;
        program.turns_left -= 1;
        program.history = job.prompt + job.answer;
        program.attained += job.answer;
        if program.turns_left == 0 {
            program.finished = Some(now);
            let (id, parent, entry) = (program.id.clone(), program.parent, program.entry);
            self.engines.iter_mut().for_each(|engine| engine.free(&id));
            self.routers[entry].remove_program(&id);
            if let Some(parent) = parent {
                self.due(now, Due::Turn(parent));
            }
            return;
        }
        let (owner, is_root) = (program.workspace, program.parent.is_none());
        if is_root && self.random.below(6) == 0 {
            let turns = 1 + self.random.below(3);
            let child = self.add(owner, turns, now, Some(index));
            self.due(now, Due::Start(child));
            return;
        }
        let pause_ms = 50 + self.random.below(2 * self.deployment.pause_ms);
        self.programs[index].paused += pause_ms;
        self.due(now + pause_ms, Due::Turn(index));
    }

    fn score(self) -> Score {
        let counted = |program: &&Program| {
            program.parent.is_none() && (WARM_UP_MS..COUNTED_UNTIL_MS).contains(&program.started)
        };
        let mut score = Score::default();
        let mut outcomes = vec![(0.0_f64, 0.0_f64); WORKSPACES as usize];
        let mut per_workspace = vec![(0.0, 0.0); WORKSPACES as usize];
        for program in self.programs.iter().filter(counted) {
            let counts = &mut outcomes[program.workspace as usize];
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
            // A turn's latency, so that workspaces with longer programs compare.
            sum.0 += latency as f64;
            sum.1 += program.turn as f64;
        }
        score.latency_ms.sort_unstable();
        let all: (f64, f64) =
            per_workspace.iter().fold((0.0, 0.0), |sum, w| (sum.0 + w.0, sum.1 + w.1));
        let mean = all.0 / all.1.max(1.0);
        // The one that floods is left out: it is the others that must not suffer.
        let others = per_workspace.iter().take(7).filter(|sum| sum.1 > 0.0);
        score.worst_workspace = others.map(|sum| sum.0 / sum.1 / mean).fold(0.0, f64::max);
        let failed = outcomes.iter().take(7).map(|(well, ill)| 100.0 * ill / (well + ill).max(1.0));
        score.worst_failed = failed.fold(0.0, f64::max);
        let recomputed: u64 = self.engines.iter().map(|engine| engine.recomputed).sum();
        let history: u64 = self.engines.iter().map(|engine| engine.history).sum();
        score.wasted = recomputed as f64 / history.max(1) as f64;
        score
    }
}
