//! Simulates programs against a workspace's rate limit and counts which finish in time, late or not at
//! all: with requests admitted individually, and with capacity booked for a program when it starts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep};
use trefoilproxy::prelude::*;
use trefoilproxy::quota::{Claim, PeerCounts, ProgramStats, RateLimit, RateWindow, SharedWindow};

use crate::random::Random;

const WINDOW_MS: u64 = 5_000;
const ARRIVALS_UNTIL_MS: u64 = 40_000;
/// Programs generated to estimate the mean number of requests per program.
const MEAN_SAMPLE_PROGRAMS: u64 = 4_000;
const SEEDS: std::ops::Range<u64> = 0..40;
const MAX_START_WAIT_MS: u64 = 50;
/// Round trip from a caller to an entry.
const ROUND_TRIP_MS: u64 = 2;
const MAX_TURN_TRIES: usize = 3;
const SINGLE_ENTRY: PeerCounts = PeerCounts { entries: 1, heard: 1 };

/// Maximum time that a request waits for the rate limit: the lesser of both.
#[derive(Debug, Clone, Copy)]
struct Wait {
    /// Fraction of the time left until the request's deadline.
    fraction: f64,
    max_ms: u64,
}

const SHORT: Wait = Wait { fraction: 0.25, max_ms: 600 };
const LONG: Wait = Wait { fraction: 0.4, max_ms: 1_500 };

/// How requests are admitted.
#[derive(Debug, Clone, Copy)]
struct Policy {
    name: &'static str,
    /// Whether capacity is booked for the whole program with its first request.
    books_program: bool,
    wait: Wait,
}

const POLICIES: [Policy; 4] = [
    Policy { name: "one by one, short waits", books_program: false, wait: SHORT },
    Policy { name: "one by one, long waits", books_program: false, wait: LONG },
    Policy { name: "programs begin whole, short waits", books_program: true, wait: SHORT },
    Policy { name: "programs begin whole, long waits", books_program: true, wait: LONG },
];

/// Parameters of a class of programs.
#[derive(Debug, Clone, Copy)]
struct ProgramClass {
    turns: u64,
    think_ms: u64,
    /// Probability that a turn is followed by parallel sub-agents.
    fan_out_probability: f64,
}

const PROGRAM_CLASSES: [ProgramClass; 2] = [
    ProgramClass { turns: 4, think_ms: 150, fan_out_probability: 0.05 },
    ProgramClass { turns: 11, think_ms: 60, fan_out_probability: 0.15 },
];

/// A request with its caller's time limit and number of attempts.
#[derive(Debug, Clone, Copy)]
struct Call {
    run_ms: u64,
    time_limit_ms: u64,
    attempts: u32,
}

/// One turn of a program, followed by its calls and sub-agents, all in parallel, and a pause.
struct Step {
    run_ms: u64,
    calls: Vec<Call>,
    think_ms: u64,
    sub_agents: Vec<Vec<Step>>,
}

/// Generates the steps of a program, or of a sub-agent, which has no sub-agents itself.
fn generate_steps(
    random: &mut Random,
    turns: u64,
    class: ProgramClass,
    may_fan_out: bool,
) -> Vec<Step> {
    (0..turns)
        .map(|_| {
            let mut calls = Vec::new();
            if random.unit() < 0.7 {
                let lookups = 1 + random.below(5);
                calls.extend((0..lookups).map(|_| {
                    let run_ms = 20 + random.below(80);
                    Call { run_ms, time_limit_ms: 1_500, attempts: 2 }
                }));
            }
            if random.unit() < 0.4 {
                calls.push(Call {
                    run_ms: 80 + random.below(250),
                    time_limit_ms: 6_000,
                    attempts: 2,
                });
            }
            if random.unit() < 0.2 {
                calls.push(Call {
                    run_ms: 60 + random.below(160),
                    time_limit_ms: 3_000,
                    attempts: 3,
                });
            }
            let fans_out = may_fan_out && random.unit() < class.fan_out_probability;
            let sub_agents = match fans_out {
                true => (0..3 + random.below(5))
                    .map(|_| generate_steps(random, 2, class, false))
                    .collect(),
                false => Vec::new(),
            };
            let think_ms = class.think_ms / 2 + random.below(class.think_ms);
            Step { run_ms: 100 + random.below(150), calls, think_ms, sub_agents }
        })
        .collect()
}

/// Generates a program; one in five is of the long class.
fn generate_program(random: &mut Random) -> Vec<Step> {
    let class = PROGRAM_CLASSES[usize::from(random.unit() < 0.2)];
    let turns = (class.turns / 2 + random.below(class.turns + 1)).max(1);
    generate_steps(random, turns, class, true)
}

/// The number of requests in a program.
fn count_requests(steps: &[Step]) -> u64 {
    let sub_agents =
        |step: &Step| step.sub_agents.iter().map(|steps| count_requests(steps)).sum::<u64>();
    steps.iter().map(|step| 1 + step.calls.len() as u64 + sub_agents(step)).sum()
}

/// The duration of a program without waits for the rate limit, counting the longest call and then the
/// longest sub-agent of each step.
fn ideal_ms(steps: &[Step]) -> u64 {
    let step_ms = |step: &Step| {
        let calls = step.calls.iter().map(|call| call.run_ms).max().unwrap_or(0);
        let sub_agents = step.sub_agents.iter().map(|steps| ideal_ms(steps)).max().unwrap_or(0);
        step.run_ms + calls + sub_agents + step.think_ms
    };
    steps.iter().map(step_ms).sum()
}

/// Sums over programs; the value of a program is its ideal duration in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Score {
    possible_value: f64,
    earned_value: f64,
    programs: f64,
    in_time: f64,
    late: f64,
}

struct Simulation {
    window: RefCell<SharedWindow>,
    policy: Policy,
    started: Instant,
    random: RefCell<Random>,
    score: Cell<Score>,
}

impl Simulation {
    /// The time since the window was opened. The simulation starts one window later, because a window
    /// is assumed to be full when it is opened.
    fn now(&self) -> TimeMs {
        TimeMs(WINDOW_MS + self.started.elapsed().as_millis() as u64)
    }

    /// Waits up to `max_wait_ms` for admission; fails with the time to retry after.
    async fn admit(&self, claim: Claim, max_wait_ms: u64) -> Result<(), u64> {
        let arrived = self.now();
        loop {
            let now = self.now();
            let admitted = self.window.borrow_mut().try_admit(
                now,
                SINGLE_ENTRY,
                claim,
                &ProgramStats::default(),
            );
            let Err(retry_after_ms) = admitted.map(drop) else {
                return Ok(());
            };
            if now.since(arrived) + retry_after_ms > max_wait_ms {
                return Err(retry_after_ms);
            }
            sleep(Duration::from_millis(retry_after_ms)).await;
        }
    }

    /// Makes a request with its caller's retries; returns whether it was served within its time limit.
    async fn request(&self, claim: impl Fn() -> Claim, call: Call) -> bool {
        let deadline = self.now().plus(call.time_limit_ms);
        for _ in 0..call.attempts {
            let left_ms = deadline.since(self.now());
            let Wait { fraction, max_ms } = self.policy.wait;
            let claim = claim();
            let wait_ms = match claim {
                Claim::StartsProgram { .. } => MAX_START_WAIT_MS,
                Claim::ContinuesProgram | Claim::Call => {
                    ((left_ms as f64 * fraction) as u64).min(max_ms)
                }
            };
            match self.admit(claim, wait_ms).await {
                Ok(()) => {
                    sleep(Duration::from_millis(call.run_ms)).await;
                    return self.now() <= deadline;
                }
                Err(retry_after_ms) => {
                    let pause_ms = retry_after_ms.min(deadline.since(self.now()) / 3);
                    sleep(Duration::from_millis(pause_ms + ROUND_TRIP_MS)).await;
                }
            }
        }
        false
    }

    /// Makes the request of a turn; the caller repeats it up to `MAX_TURN_TRIES` times.
    async fn run_turn(&self, run_ms: u64, claim: impl Fn() -> Claim) -> bool {
        for _ in 0..MAX_TURN_TRIES {
            if self.request(&claim, Call { run_ms, time_limit_ms: 3_000, attempts: 2 }).await {
                return true;
            }
            let pause_ms = 100 + self.random.borrow_mut().below(300);
            sleep(Duration::from_millis(pause_ms)).await;
        }
        false
    }

    /// Runs the steps of a program or sub-agent; returns whether all were served. With `finish_target`,
    /// the first request books capacity until then if the policy books programs.
    async fn run_steps(
        self: Rc<Simulation>,
        steps: Vec<Step>,
        finish_target: Option<TimeMs>,
    ) -> bool {
        for (index, step) in steps.into_iter().enumerate() {
            let finish_target = finish_target.filter(|_| index == 0 && self.policy.books_program);
            let claim = || match finish_target {
                Some(finish) => Claim::StartsProgram { duration_ms: finish.since(self.now()) },
                None => Claim::ContinuesProgram,
            };
            if !self.run_turn(step.run_ms, claim).await {
                return false;
            }
            let mut parallel = JoinSet::new();
            for call in step.calls {
                let simulation = self.clone();
                parallel.spawn_local(async move { simulation.request(|| Claim::Call, call).await });
            }
            for sub_agent in step.sub_agents {
                parallel.spawn_local(Box::pin(self.clone().run_steps(sub_agent, None)));
            }
            if parallel.join_all().await.contains(&false) {
                return false;
            }
            sleep(Duration::from_millis(step.think_ms)).await;
        }
        true
    }

    /// Runs a program and scores it by its ideal duration: full value when it ends in time, 0.3 of
    /// it within twice the time, otherwise none.
    async fn run_program(self: Rc<Simulation>, steps: Vec<Step>) {
        let ideal_ms = ideal_ms(&steps);
        let started_at = self.now();
        let target_ms = ideal_ms * 6 / 5 + 200;
        let completed = self.clone().run_steps(steps, Some(started_at.plus(target_ms))).await;
        let took_ms = self.now().since(started_at);
        let mut score = self.score.get();
        let value = ideal_ms as f64;
        score.possible_value += value;
        score.programs += 1.0;
        if completed && took_ms <= target_ms {
            score.earned_value += value;
            score.in_time += 1.0;
        } else if completed && took_ms <= 2 * target_ms {
            score.earned_value += 0.3 * value;
            score.late += 1.0;
        }
        self.score.set(score);
    }
}

/// Simulates a workspace with a limit of requests per window whose programs request `load` times that
/// limit; `mean_requests` is the mean number of requests per program.
async fn simulate(policy: Policy, limit: f64, load: f64, mean_requests: f64, seed: u64) -> Score {
    let mut random = Random::new(seed);
    // The limit of a window is five seconds of the rate plus a burst of one second.
    let rate_per_s = limit / 6.0;
    let window = RateWindow { length_ms: WINDOW_MS, overrun: 0.1, slack: 20.0 };
    let rate_limit = RateLimit { rate_per_s, burst: rate_per_s, window };
    let simulation = Rc::new(Simulation {
        window: RefCell::new(SharedWindow::open(TimeMs(0), rate_limit)),
        policy,
        started: Instant::now(),
        random: RefCell::new(Random::new(seed + 1_000)),
        score: Cell::default(),
    });
    let mut programs = JoinSet::new();
    let requests_per_ms = load * limit / WINDOW_MS as f64;
    let mut starts_at_ms = 0.0;
    while starts_at_ms < ARRIVALS_UNTIL_MS as f64 {
        let steps = generate_program(&mut random);
        starts_at_ms += -random.unit().max(1e-9).ln() * mean_requests / requests_per_ms;
        let simulation = simulation.clone();
        let start = simulation.started + Duration::from_millis(starts_at_ms as u64);
        programs.spawn_local(async move {
            tokio::time::sleep_until(start).await;
            simulation.run_program(steps).await;
        });
    }
    programs.join_all().await;
    simulation.score.get()
}

/// Compares the policies at several limits and loads.
pub fn run() {
    let mut random = Random::new(1);
    let total_requests: u64 =
        (0..MEAN_SAMPLE_PROGRAMS).map(|_| count_requests(&generate_program(&mut random))).sum();
    let mean_requests = total_requests as f64 / MEAN_SAMPLE_PROGRAMS as f64;
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
                let run = simulate(policy, limit, load, mean_requests, seed);
                let score = LocalSet::new().block_on(&runtime, run);
                sum.possible_value += score.possible_value;
                sum.earned_value += score.earned_value;
                sum.programs += score.programs;
                sum.in_time += score.in_time;
                sum.late += score.late;
            }
            let lost = 1.0 - (sum.in_time + sum.late) / sum.programs;
            // The last column is the negative decimal logarithm of the lost share, at most 3.
            println!(
                "| {limit}, {load} | {} | {:.3} | {:.1} | {:.1} | {:.1} | {:.2} |",
                policy.name,
                sum.earned_value / sum.possible_value,
                100.0 * sum.in_time / sum.programs,
                100.0 * sum.late / sum.programs,
                100.0 * lost,
                -lost.max(1e-3).log10(),
            );
        }
    }
}
