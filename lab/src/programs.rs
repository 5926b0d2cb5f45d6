//! Whole programs against a workspace's rate: who is refused, who comes late, and what is lost, with
//! requests admitted one by one and with programs that begin whole.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep};
use trefoilproxy::prelude::*;
use trefoilproxy::quota::{Claim, PeerCounts, ProgramStats, RateLimit, SharedWindow};

use crate::random::Random;

const WINDOW_MS: u64 = 5_000;
const BEGIN_FOR_MS: u64 = 40_000;
/// Programs drawn to find what one makes on the mean.
const MEAN_OVER: u64 = 4_000;
const SEEDS: std::ops::Range<u64> = 0..40;
const BEGIN_WAIT_MS: u64 = 50;
/// A caller's way to an entry and back.
const WAY_MS: u64 = 2;
const TURN_TRIES: usize = 3;
const ALONE: PeerCounts = PeerCounts { entries: 1, heard: 1 };

/// How long a request waits for the rate at most.
#[derive(Debug, Clone, Copy)]
struct Wait {
    /// As a part of its time.
    part: f64,
    most_ms: u64,
}

const SHORT: Wait = Wait { part: 0.25, most_ms: 600 };
const LONG: Wait = Wait { part: 0.4, most_ms: 1_500 };

/// How requests are admitted.
#[derive(Debug, Clone, Copy)]
struct Policy {
    name: &'static str,
    /// Whether programs begin whole.
    whole: bool,
    wait: Wait,
}

const POLICIES: [Policy; 4] = [
    Policy { name: "one by one, short waits", whole: false, wait: SHORT },
    Policy { name: "one by one, long waits", whole: false, wait: LONG },
    Policy { name: "programs begin whole, short waits", whole: true, wait: SHORT },
    Policy { name: "programs begin whole, long waits", whole: true, wait: LONG },
];

/// A kind of program.
#[derive(Debug, Clone, Copy)]
struct Kind {
    turns: u64,
    think_ms: u64,
    fan: f64,
}

const KINDS: [Kind; 2] =
    [Kind { turns: 4, think_ms: 150, fan: 0.05 }, Kind { turns: 11, think_ms: 60, fan: 0.15 }];

/// A request, and what its caller does for it.
#[derive(Debug, Clone, Copy)]
struct Call {
    run_ms: u64,
    time_ms: u64,
    attempts: u32,
}

/// One turn of a program with what follows it: its calls, then helpers side by side.
struct Step {
    run_ms: u64,
    calls: Vec<Call>,
    think_ms: u64,
    helpers: Vec<Vec<Step>>,
}

fn steps(random: &mut Random, turns: u64, kind: Kind, may_fan: bool) -> Vec<Step> {
    (0..turns)
        .map(|_| {
            let mut calls = Vec::new();
            if random.unit() < 0.7 {
                let lookups = 1 + random.below(5);
                calls.extend((0..lookups).map(|_| {
                    let run_ms = 20 + random.below(80);
                    Call { run_ms, time_ms: 1_500, attempts: 2 }
                }));
            }
            if random.unit() < 0.4 {
                calls.push(Call { run_ms: 80 + random.below(250), time_ms: 6_000, attempts: 2 });
            }
            if random.unit() < 0.2 {
                calls.push(Call { run_ms: 60 + random.below(160), time_ms: 3_000, attempts: 3 });
            }
            let fans = may_fan && random.unit() < kind.fan;
            let helpers = match fans {
                true => (0..3 + random.below(5)).map(|_| steps(random, 2, kind, false)).collect(),
                false => Vec::new(),
            };
            let think_ms = kind.think_ms / 2 + random.below(kind.think_ms);
            Step { run_ms: 100 + random.below(150), calls, think_ms, helpers }
        })
        .collect()
}

/// A program of either kind, one in five of the long one.
fn draw(random: &mut Random) -> Vec<Step> {
    let kind = KINDS[usize::from(random.unit() < 0.2)];
    let turns = (kind.turns / 2 + random.below(kind.turns + 1)).max(1);
    steps(random, turns, kind, true)
}

fn requests(steps: &[Step]) -> u64 {
    let helpers = |step: &Step| step.helpers.iter().map(|line| requests(line)).sum::<u64>();
    steps.iter().map(|step| 1 + step.calls.len() as u64 + helpers(step)).sum()
}

fn ideal_ms(steps: &[Step]) -> u64 {
    let step_ms = |step: &Step| {
        let calls = step.calls.iter().map(|call| call.run_ms).max().unwrap_or(0);
        let helpers = step.helpers.iter().map(|line| ideal_ms(line)).max().unwrap_or(0);
        step.run_ms + calls + helpers + step.think_ms
    };
    steps.iter().map(step_ms).sum()
}

#[derive(Debug, Clone, Copy, Default)]
struct Score {
    owed: f64,
    earned: f64,
    programs: f64,
    in_time: f64,
    late: f64,
}

struct World {
    window: RefCell<SharedWindow>,
    policy: Policy,
    started: Instant,
    random: RefCell<Random>,
    score: Cell<Score>,
}

impl World {
    fn now(&self) -> TimeMs {
        TimeMs(WINDOW_MS + self.started.elapsed().as_millis() as u64)
    }

    async fn admit(&self, claim: Claim, wait_most_ms: u64) -> Result<(), u64> {
        let arrived = self.now();
        loop {
            let now = self.now();
            let taken =
                self.window.borrow_mut().try_admit(now, ALONE, claim, &ProgramStats::default());
            let Err(retry_after_ms) = taken.map(drop) else {
                return Ok(());
            };
            if now.since(arrived) + retry_after_ms > wait_most_ms {
                return Err(retry_after_ms);
            }
            sleep(Duration::from_millis(retry_after_ms)).await;
        }
    }

    /// A request with its caller's attempts; whether it was served.
    async fn request(&self, claim: impl Fn() -> Claim, call: Call) -> bool {
        let ends_at = self.now().plus(call.time_ms);
        for _ in 0..call.attempts {
            let left_ms = ends_at.since(self.now());
            let Wait { part, most_ms } = self.policy.wait;
            let claim = claim();
            let wait_ms = match claim {
                Claim::StartsProgram { .. } => BEGIN_WAIT_MS,
                Claim::Continues => ((left_ms as f64 * part) as u64).min(most_ms),
            };
            match self.admit(claim, wait_ms).await {
                Ok(()) => {
                    sleep(Duration::from_millis(call.run_ms)).await;
                    return self.now() <= ends_at;
                }
                Err(retry_after_ms) => {
                    let pause_ms = retry_after_ms.min(ends_at.since(self.now()) / 3);
                    sleep(Duration::from_millis(pause_ms + WAY_MS)).await;
                }
            }
        }
        false
    }

    async fn turn(&self, run_ms: u64, claim: impl Fn() -> Claim) -> bool {
        for _ in 0..TURN_TRIES {
            if self.request(&claim, Call { run_ms, time_ms: 3_000, attempts: 2 }).await {
                return true;
            }
            let pause_ms = 100 + self.random.borrow_mut().below(300);
            sleep(Duration::from_millis(pause_ms)).await;
        }
        false
    }

    /// A line of turns; whether it ended.
    async fn line(self: Rc<World>, steps: Vec<Step>, begins: Option<TimeMs>) -> bool {
        for (at, step) in steps.into_iter().enumerate() {
            let begins = begins.filter(|_| at == 0 && self.policy.whole);
            let claim = || match begins {
                Some(finish) => Claim::StartsProgram { duration_ms: finish.since(self.now()) },
                None => Claim::Continues,
            };
            if !self.turn(step.run_ms, claim).await {
                return false;
            }
            let mut beside = JoinSet::new();
            for call in step.calls {
                let world = self.clone();
                beside.spawn_local(async move { world.request(|| Claim::Continues, call).await });
            }
            for helper in step.helpers {
                beside.spawn_local(Box::pin(self.clone().line(helper, None)));
            }
            if beside.join_all().await.contains(&false) {
                return false;
            }
            sleep(Duration::from_millis(step.think_ms)).await;
        }
        true
    }

    async fn program(self: Rc<World>, steps: Vec<Step>) {
        let ideal_ms = ideal_ms(&steps);
        let began = self.now();
        let aim_ms = ideal_ms * 6 / 5 + 200;
        let ended = self.clone().line(steps, Some(began.plus(aim_ms))).await;
        let took_ms = self.now().since(began);
        let mut score = self.score.get();
        let worth = ideal_ms as f64;
        score.owed += worth;
        score.programs += 1.0;
        if ended && took_ms <= aim_ms {
            score.earned += worth;
            score.in_time += 1.0;
        } else if ended && took_ms <= 2 * aim_ms {
            score.earned += 0.3 * worth;
            score.late += 1.0;
        }
        self.score.set(score);
    }
}

/// One workspace with a limit in the window, of which its programs ask `load`; `mean_requests` is what
/// a program makes.
async fn play(policy: Policy, limit: f64, load: f64, mean_requests: f64, seed: u64) -> Score {
    let mut random = Random::new(seed);
    let rate_per_s = limit / 6.0;
    let rate_limit = RateLimit { rate_per_s, burst: rate_per_s, window_ms: WINDOW_MS };
    let world = Rc::new(World {
        window: RefCell::new(SharedWindow::open(TimeMs(0), rate_limit)),
        policy,
        started: Instant::now(),
        random: RefCell::new(Random::new(seed + 1_000)),
        score: Cell::default(),
    });
    let mut programs = JoinSet::new();
    let asked_per_ms = load * limit / WINDOW_MS as f64;
    let mut begins_at_ms = 0.0;
    while begins_at_ms < BEGIN_FOR_MS as f64 {
        let steps = draw(&mut random);
        begins_at_ms += -random.unit().max(1e-9).ln() * mean_requests / asked_per_ms;
        let world = world.clone();
        let at = world.started + Duration::from_millis(begins_at_ms as u64);
        programs.spawn_local(async move {
            tokio::time::sleep_until(at).await;
            world.program(steps).await;
        });
    }
    programs.join_all().await;
    world.score.get()
}

/// Prints the table.
pub fn run() {
    let mut random = Random::new(1);
    let drawn: u64 = (0..MEAN_OVER).map(|_| requests(&draw(&mut random))).sum();
    let mean_requests = drawn as f64 / MEAN_OVER as f64;
    println!("requests a program: {mean_requests:.1}");
    println!("| limit, load | policy | worth | in time % | late % | lost % | nines |");
    for (limit, load) in [
        (42.0, 0.4),
        (42.0, 0.8),
        (84.0, 0.8),
        (84.0, 1.3),
        (240.0, 0.7),
        (240.0, 1.0),
        (240.0, 1.5),
        (240.0, 2.2),
    ] {
        for policy in POLICIES {
            let mut sum = Score::default();
            for seed in SEEDS {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_time()
                    .start_paused(true)
                    .build()
                    .expect("a runtime");
                let playing = play(policy, limit, load, mean_requests, seed);
                let score = LocalSet::new().block_on(&runtime, playing);
                sum.owed += score.owed;
                sum.earned += score.earned;
                sum.programs += score.programs;
                sum.in_time += score.in_time;
                sum.late += score.late;
            }
            let lost = 1.0 - (sum.in_time + sum.late) / sum.programs;
            println!(
                "| {limit}, {load} | {} | {:.3} | {:.1} | {:.1} | {:.1} | {:.2} |",
                policy.name,
                sum.earned / sum.owed,
                100.0 * sum.in_time / sum.programs,
                100.0 * sum.late / sum.programs,
                100.0 * lost,
                -lost.max(1e-3).log10(),
            );
        }
    }
}
