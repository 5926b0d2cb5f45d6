//! Gateways that are stopped with SIGTERM, several at a time, while endpoints and the store have
//! faults.

use std::io;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::endpoint::EndpointFault;
use crate::faults::Faults;
use crate::stop_callers::{StopRequest, spawn_callers};
use crate::world::World;

/// Time from SIGTERM within which a gateway must have exited by itself, as in its settings.
pub(crate) const GRACE: Duration = Duration::from_secs(4);

/// How often the processes are checked, and due restarts and recoveries are carried out.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Pauses between two events, in milliseconds.
const PAUSES_MS: std::ops::Range<u64> = 50..700;

/// Durations of faults, in milliseconds.
const FAULTS_MS: std::ops::Range<u64> = 300..3_500;

/// Times after which a slow endpoint responds, or reads a body, in milliseconds.
const SLOW_MS: std::ops::Range<u64> = 300..2_500;

/// Longest time from the exit of a process until it is started again. Every second one is started at
/// once.
const MAX_DOWN_MS: u64 = 1_500;

/// Number of endpoints of each service.
const ENDPOINTS: usize = 3;

/// The line that a gateway logs once its signal handlers are installed.
const STARTED_LINE: &str = "\"started\"";

/// A SIGTERM, and how the process ended.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    /// The number of the gateway.
    pub gateway: usize,
    /// When it was sent.
    pub term_at: Instant,
    /// When the process was last seen to run.
    pub running_at: Instant,
    /// When it was seen to have exited.
    pub exited_at: Instant,
    /// Whether the process exited by itself and with success.
    pub succeeded: bool,
}

/// What a gateway process does.
#[derive(Debug, Clone, Copy)]
enum Phase {
    Running,
    /// The stop is as far as it is known.
    Draining(Stop),
    Exited {
        restart_at: Instant,
    },
}

/// All that was seen in a run with stops.
#[derive(Debug, Default)]
pub struct StopReport {
    /// The requests of all callers.
    pub requests: Vec<StopRequest>,
    /// All stops.
    pub stops: Vec<Stop>,
    /// From when until when the store, or a link to it, had a fault.
    pub store_faults: Vec<(Instant, Instant)>,
    /// The longest time between two checks of the processes. An overloaded machine that holds up the
    /// soak holds up gateways too.
    pub longest_stall: Duration,
    /// Descriptions of the stops and faults, for failure reports.
    pub injected: Vec<String>,
    /// For each caller's last program, its ID, and the request ID and history of its last complete turn.
    pub last_turns: Vec<(String, String, String)>,
}

/// Stops gateways at random times, and starts them again. The seed determines which, when and how.
struct Stops {
    random: StdRng,
    faults: Faults,
    phases: Vec<Phase>,
    /// How often each gateway was started.
    starts: Vec<usize>,
    report: StopReport,
    begun: Instant,
}

/// Runs callers and stops until `until`, then waits for all requests and starts all gateways again.
pub async fn run_stops(world: &mut World, seed: u64, until: Instant) -> io::Result<StopReport> {
    let entries: Vec<_> = world.gateways.iter().map(|gateway| gateway.callers).collect();
    let mut callers = spawn_callers(&entries, seed, until);
    let mut stops = Stops::open(seed, entries.len());
    let mut next_event = Instant::now();
    while !callers.is_empty() {
        let round_from = Instant::now();
        if next_event <= Instant::now().min(until) {
            stops.inject_next(world)?;
            next_event += stops.choose_ms(PAUSES_MS);
        }
        stops.poll(world).await?;
        while let Some(caller) = callers.try_join_next() {
            let seen = caller.map_err(io::Error::other)?;
            stops.report.requests.extend(seen.requests);
            stops.report.last_turns.extend(seen.last_turns);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        let longest = &mut stops.report.longest_stall;
        *longest = round_from.elapsed().max(*longest);
    }
    stops.finish(world).await?;
    Ok(stops.report)
}

impl Stops {
    fn open(seed: u64, gateways: usize) -> Stops {
        Stops {
            random: StdRng::seed_from_u64(seed),
            faults: Faults::open(seed, false),
            phases: vec![Phase::Running; gateways],
            starts: vec![1; gateways],
            report: StopReport::default(),
            begun: Instant::now(),
        }
    }

    fn choose_ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn note(&mut self, event: &str) {
        self.report.injected.push(format!("{} ms: {event}", self.begun.elapsed().as_millis()));
    }

    fn inject_next(&mut self, world: &mut World) -> io::Result<()> {
        let all = self.phases.len();
        let lasts = self.choose_ms(FAULTS_MS);
        let ends_at = Instant::now() + lasts;
        match self.random.random_range(0..20_u32) {
            0..4 => self.stop_some(world, 1)?,
            4..6 => self.stop_some(world, 2)?,
            6 => self.stop_some(world, all)?,
            7 | 8 => self.stop_again(world)?,
            9..16 => self.harm_endpoints(world, ends_at),
            16..18 => {
                self.note(&format!("the store for {} ms", lasts.as_millis()));
                self.faults.harm_store(world, ends_at);
                self.report.store_faults.push((Instant::now(), ends_at));
            }
            _ => {
                let at = self.random.random_range(0..all);
                self.note(&format!("the link of entry-{at} for {} ms", lasts.as_millis()));
                self.faults.harm_link(world, at, ends_at);
                self.report.store_faults.push((Instant::now(), ends_at));
            }
        }
        Ok(())
    }

    /// Sends SIGTERM to some of the gateways that run.
    fn stop_some(&mut self, world: &World, count: usize) -> io::Result<()> {
        let first = self.random.random_range(0..self.phases.len());
        let order = (0..self.phases.len()).map(|number| (first + number) % self.phases.len());
        let order: Vec<usize> = order.filter(|at| self.can_stop(world, *at)).take(count).collect();
        if !order.is_empty() {
            self.note(&format!("SIGTERM to {order:?}"));
        }
        for at in order {
            world.gateways[at].signal("TERM")?;
            let now = Instant::now();
            let (term_at, running_at, exited_at) = (now, now, now);
            let stop = Stop { gateway: at, term_at, running_at, exited_at, succeeded: false };
            self.phases[at] = Phase::Draining(stop);
        }
        Ok(())
    }

    /// Whether a gateway runs and handles signals. Before that, SIGTERM ends a process like a kill.
    fn can_stop(&self, world: &World, at: usize) -> bool {
        let lines = world.gateways[at].lines();
        let started = lines.iter().filter(|line| line.contains(STARTED_LINE)).count();
        matches!(self.phases[at], Phase::Running) && started == self.starts[at]
    }

    /// Sends a second SIGTERM to one of the gateways that drain.
    fn stop_again(&mut self, world: &World) -> io::Result<()> {
        let drains = |phase: &Phase| matches!(phase, Phase::Draining(_));
        let Some(at) = self.phases.iter().position(drains) else {
            return Ok(());
        };
        self.note(&format!("second SIGTERM to {at}"));
        world.gateways[at].signal("TERM")
    }

    /// Gives one endpoint, or all of a service, a fault.
    fn harm_endpoints(&mut self, world: &World, ends_at: Instant) {
        let (reads_ms, answers_ms) =
            (self.random.random_range(SLOW_MS), self.random.random_range(SLOW_MS));
        let faults = [
            EndpointFault::Silent,
            EndpointFault::Silent,
            EndpointFault::Slow(answers_ms),
            EndpointFault::ReadsSlowly(reads_ms),
            EndpointFault::BreaksOneIn(3),
            EndpointFault::StallsFirstRun,
        ];
        let fault = faults[self.random.random_range(0..faults.len())];
        let one = self.random.random_range(0..world.endpoints.len());
        let service = one / ENDPOINTS * ENDPOINTS;
        let endpoints =
            if self.random.random() { service..service + ENDPOINTS } else { one..one + 1 };
        let lasts_ms = ends_at.duration_since(Instant::now()).as_millis();
        self.note(&format!("{fault:?} at endpoints {endpoints:?} for {lasts_ms} ms"));
        self.faults.harm_endpoints(world, endpoints, fault, ends_at);
    }

    /// Notes processes that have exited, starts those that are due, and ends faults.
    async fn poll(&mut self, world: &mut World) -> io::Result<()> {
        for at in 0..self.phases.len() {
            match self.phases[at] {
                Phase::Running => {}
                Phase::Draining(stop) => self.poll_exit(world, stop)?,
                Phase::Exited { restart_at } if Instant::now() < restart_at => {}
                Phase::Exited { .. } => {
                    world.gateways[at].start()?;
                    self.starts[at] += 1;
                    self.phases[at] = Phase::Running;
                }
            }
        }
        self.faults.end_expired(world, Instant::now()).await
    }

    fn poll_exit(&mut self, world: &mut World, mut stop: Stop) -> io::Result<()> {
        let (at, now) = (stop.gateway, Instant::now());
        let status = world.gateways[at].wait_for_exit(Duration::ZERO)?;
        if status.is_none() {
            stop.running_at = now;
            self.phases[at] = Phase::Draining(stop);
            if now < stop.term_at + GRACE {
                return Ok(());
            }
            world.gateways[at].kill()?;
        }
        let exited_at = Instant::now();
        let succeeded = status.is_some_and(|status| status.success());
        self.report.stops.push(Stop { exited_at, succeeded, ..stop });
        let down_ms =
            self.random.random_range(1..MAX_DOWN_MS) * u64::from(self.random.random::<bool>());
        let restart_at = exited_at + Duration::from_millis(down_ms);
        self.phases[at] = Phase::Exited { restart_at };
        Ok(())
    }

    /// Ends all faults, and waits until all gateways run again.
    async fn finish(&mut self, world: &mut World) -> io::Result<()> {
        let all = Instant::now() + Duration::from_millis(FAULTS_MS.end);
        self.faults.end_expired(world, all).await?;
        while self.phases.iter().any(|phase| !matches!(phase, Phase::Running)) {
            self.poll(world).await?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        world.wait_serving().await
    }
}
