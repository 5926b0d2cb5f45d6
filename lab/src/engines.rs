//! A simulated engine: continuous batching, prefill of the prompt tokens that are not cached, a
//! bounded LRU cache of whole conversations, and load reports at intervals.

use std::collections::{HashMap, VecDeque};

use trefoilproxy::endpoint::{OrderPolicy, QueueOrder, SchedulingKey};
use trefoilproxy::prelude::*;

/// Base time between two tokens of a stream.
const BASE_TOKEN_MS: f64 = 10.0;
/// Added to the time between two tokens for each running stream.
const TOKEN_MS_PER_RUNNING: f64 = 1.0;
/// Time to prefill a prompt token that is not cached.
const PREFILL_MS_PER_TOKEN: f64 = 0.25;
const CONCURRENCY: usize = 16;
const MAX_QUEUED: usize = 256;
/// Capacity of an engine's cache, in tokens.
const CACHE_TOKENS: u64 = 60_000;
/// Interval of an engine's load reports: routers see a load that is up to this old.
pub const REPORT_INTERVAL_MS: u64 = 250;

/// A call submitted to an engine.
#[derive(Clone)]
pub struct Job {
    /// Index of the program in the simulation.
    pub id: u64,
    pub program: ProgramId,
    /// Prompt tokens; the first `history` of them were computed in earlier turns, on any engine.
    pub prompt: u64,
    pub history: u64,
    /// Completion tokens.
    pub answer: u64,
    /// Completion tokens of the program's earlier turns.
    pub attained: u64,
    pub deadline_ms: u64,
}

struct Running {
    job: Job,
    prefill_left_ms: f64,
    tokens_left: f64,
}

/// An engine with the queue of the process beside it.
pub struct Engine {
    pub endpoint: EndpointRef,
    pub alive: bool,
    pub draining: bool,
    /// Factor on all its times.
    pub slowdown: f64,
    /// Time and value of the last load report.
    pub reported: (u64, u32),
    queue: Vec<(Job, SchedulingKey)>,
    running: Vec<Running>,
    order: QueueOrder,
    cache: HashMap<ProgramId, u64>,
    lru: VecDeque<ProgramId>,
    /// Of `history`, the tokens that were not cached.
    pub recomputed: u64,
    /// History tokens of all calls started.
    pub history: u64,
}

/// How a call ended.
pub enum Outcome {
    Completed(Job),
    Failed(Job),
    Expired(Job),
}

impl Engine {
    pub fn new(index: usize, order: OrderPolicy) -> Engine {
        let vm = VmName::parse(&format!("m{index}")).expect("a valid name");
        Engine {
            endpoint: EndpointRef { vm, instance: Instance(index as u64) },
            alive: true,
            draining: false,
            slowdown: 1.0,
            reported: (0, 0),
            queue: Vec::new(),
            running: Vec::new(),
            order: QueueOrder::new(order),
            cache: HashMap::new(),
            lru: VecDeque::new(),
            recomputed: 0,
            history: 0,
        }
    }

    /// Calls queued and running.
    pub fn load(&self) -> u32 {
        (self.queue.len() + self.running.len()) as u32
    }

    pub fn concurrency() -> u32 {
        CONCURRENCY as u32
    }

    /// Queues a call; returns it if the engine is dead or its queue is full.
    pub fn submit(&mut self, now: u64, job: Job) -> Result<(), Job> {
        if !self.alive || self.queue.len() >= MAX_QUEUED {
            return Err(job);
        }
        let key = SchedulingKey {
            workspace: job.program.workspace.clone(),
            queued_at: TimeMs(now),
            attained_tokens: job.attained,
            cost_tokens: job.prompt / 4 + job.answer,
        };
        self.queue.push((job, key));
        Ok(())
    }

    /// Kills the engine: its calls fail, and its cache is lost.
    pub fn kill(&mut self) -> Vec<Outcome> {
        self.alive = false;
        self.cache.clear();
        self.lru.clear();
        let queued = self.queue.drain(..).map(|(job, _)| Outcome::Failed(job));
        let running = self.running.drain(..).map(|running| Outcome::Failed(running.job));
        queued.chain(running).collect()
    }

    /// Simulates `ms` milliseconds; returns the calls that ended.
    pub fn advance(&mut self, now: u64, ms: u64) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        self.queue.retain(|(job, _)| {
            let expired = job.deadline_ms <= now;
            if expired {
                outcomes.push(Outcome::Expired(job.clone()));
            }
            !expired
        });
        self.start_queued(now);
        let token_ms =
            (BASE_TOKEN_MS + TOKEN_MS_PER_RUNNING * self.running.len() as f64) * self.slowdown;
        for running in &mut self.running {
            let prefill = running.prefill_left_ms.min(ms as f64);
            running.prefill_left_ms -= prefill;
            running.tokens_left -= (ms as f64 - prefill) / token_ms;
        }
        let (completed, unfinished): (Vec<Running>, Vec<Running>) =
            std::mem::take(&mut self.running).into_iter().partition(|call| call.tokens_left <= 0.0);
        self.running = unfinished;
        outcomes.extend(completed.into_iter().map(|running| Outcome::Completed(running.job)));
        outcomes
    }

    fn start_queued(&mut self, now: u64) {
        while self.running.len() < CONCURRENCY && !self.queue.is_empty() {
            let keys: Vec<SchedulingKey> = self.queue.iter().map(|(_, key)| key.clone()).collect();
            let Some(index) = self.order.next(TimeMs(now), &keys) else {
                return;
            };
            let (job, key) = self.queue.remove(index);
            self.order.record_start(&key);
            let cached =
                self.cache_conversation(&job.program, job.prompt + job.answer).min(job.history);
            self.history += job.history;
            self.recomputed += job.history - cached;
            let prefill_left_ms =
                (job.prompt - cached) as f64 * PREFILL_MS_PER_TOKEN * self.slowdown;
            let tokens_left = job.answer as f64;
            self.running.push(Running { job, prefill_left_ms, tokens_left });
        }
    }

    /// Caches a conversation and evicts the least recently used ones beyond the capacity. Returns the
    /// tokens of the conversation that were cached before.
    fn cache_conversation(&mut self, program: &ProgramId, tokens: u64) -> u64 {
        let cached_before = self.cache.insert(program.clone(), tokens).unwrap_or(0);
        self.lru.retain(|known| known != program);
        self.lru.push_back(program.clone());
        while self.cache.values().sum::<u64>() > CACHE_TOKENS && self.lru.len() > 1 {
            if let Some(oldest) = self.lru.pop_front() {
                self.cache.remove(&oldest);
            }
        }
        cached_before
    }

    /// Frees the cache of a program that has ended.
    pub fn free_cache(&mut self, program: &ProgramId) {
        self.cache.remove(program);
        self.lru.retain(|known| known != program);
    }
}
