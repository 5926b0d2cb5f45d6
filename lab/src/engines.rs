//! A model of engines: continuous batching, a prompt's cost by what the cache lacks, a bounded
//! cache of whole conversations, and reports that lag.

use std::collections::{HashMap, VecDeque};

use trefoilproxy::endpoint::{OrderPolicy, QueueOrder, SchedulingKey};
use trefoilproxy::prelude::*;

/// Time between two tokens of a stream that runs by itself.
const TOKEN_MS: f64 = 10.0;
/// Further time for each other stream.
const TOKEN_MS_PER_RUNNING: f64 = 1.0;
/// Time to read a prompt token that the cache lacks.
const PREFILL_MS: f64 = 0.25;
const CONCURRENCY: usize = 16;
const QUEUE: usize = 256;
/// Tokens that an engine's cache holds.
const CACHE_TOKENS: u64 = 60_000;
/// How late a report is.
pub const REPORT_MS: u64 = 250;

/// A call at an engine.
#[derive(Clone)]
pub struct Job {
    pub id: u64,
    pub program: ProgramId,
    /// Prompt tokens, of which the first `history` were computed before somewhere.
    pub prompt: u64,
    pub history: u64,
    pub answer: u64,
    pub attained: u64,
    pub deadline_ms: u64,
}

struct Running {
    job: Job,
    prefill_left_ms: f64,
    tokens_left: f64,
}

/// One engine and the queue of the process beside it.
pub struct Engine {
    pub endpoint: EndpointRef,
    pub alive: bool,
    pub leaving: bool,
    /// Everything takes so many times as long.
    pub slowness: f64,
    pub reported: (u64, u32),
    queue: Vec<(Job, SchedulingKey)>,
    running: Vec<Running>,
    order: QueueOrder,
    cache: HashMap<ProgramId, u64>,
    recent: VecDeque<ProgramId>,
    pub recomputed: u64,
    pub history: u64,
}

/// How a call ended.
pub enum End {
    Done(Job),
    Failed(Job),
    Expired(Job),
}

impl Engine {
    pub fn new(index: usize, order: OrderPolicy) -> Engine {
        let vm = VmName::parse(&format!("m{index}")).expect("a valid name");
        Engine {
            endpoint: EndpointRef { vm, instance: Instance(index as u64) },
            alive: true,
            leaving: false,
            slowness: 1.0,
            reported: (0, 0),
            queue: Vec::new(),
            running: Vec::new(),
            order: QueueOrder::new(order),
            cache: HashMap::new(),
            recent: VecDeque::new(),
            recomputed: 0,
            history: 0,
        }
    }

    pub fn load(&self) -> u32 {
        (self.queue.len() + self.running.len()) as u32
    }

    pub fn concurrency() -> u32 {
        CONCURRENCY as u32
    }

    /// Takes a call, unless the queue is full.
    pub fn submit(&mut self, now: u64, job: Job) -> Result<(), Job> {
        if !self.alive || self.queue.len() >= QUEUE {
            return Err(job);
        }
        let waiting = SchedulingKey {
            workspace: job.program.workspace.clone(),
            queued_at: TimeMs(now),
            attained_tokens: job.attained,
            cost_tokens: job.prompt / 4 + job.answer,
        };
        self.queue.push((job, waiting));
        Ok(())
    }

    /// The engine dies: everything that it holds fails, and its cache is gone.
    pub fn die(&mut self) -> Vec<End> {
        self.alive = false;
        self.cache.clear();
        self.recent.clear();
        let queued = self.queue.drain(..).map(|(job, _)| End::Failed(job));
        let running = self.running.drain(..).map(|running| End::Failed(running.job));
        queued.chain(running).collect()
    }

    /// Lets `ms` pass.
    pub fn advance(&mut self, now: u64, ms: u64) -> Vec<End> {
        let mut ends = Vec::new();
        self.queue.retain(|(job, _)| {
            let expired = job.deadline_ms <= now;
            if expired {
                ends.push(End::Expired(job.clone()));
            }
            !expired
        });
        self.start(now);
        let token_ms =
            (TOKEN_MS + TOKEN_MS_PER_RUNNING * self.running.len() as f64) * self.slowness;
        for running in &mut self.running {
            let prefill = running.prefill_left_ms.min(ms as f64);
            running.prefill_left_ms -= prefill;
            running.tokens_left -= (ms as f64 - prefill) / token_ms;
        }
        let (over, going): (Vec<Running>, Vec<Running>) =
            std::mem::take(&mut self.running).into_iter().partition(|r| r.tokens_left <= 0.0);
        self.running = going;
        ends.extend(over.into_iter().map(|running| End::Done(running.job)));
        ends
    }

    fn start(&mut self, now: u64) {
        while self.running.len() < CONCURRENCY && !self.queue.is_empty() {
            let waiting: Vec<SchedulingKey> = self.queue.iter().map(|(_, w)| w.clone()).collect();
            let Some(index) = self.order.next(TimeMs(now), &waiting) else {
                return;
            };
            let (job, waiting) = self.queue.remove(index);
            self.order.record_start(&waiting);
            let cached = self.hold(&job.program, job.prompt + job.answer).min(job.history);
            self.history += job.history;
            self.recomputed += job.history - cached;
            let prefill_left_ms = (job.prompt - cached) as f64 * PREFILL_MS * self.slowness;
            let tokens_left = job.answer as f64;
            self.running.push(Running { job, prefill_left_ms, tokens_left });
        }
    }

    /// Holds a conversation in the cache; returns how much of it was there.
    fn hold(&mut self, program: &ProgramId, tokens: u64) -> u64 {
        let held = self.cache.insert(program.clone(), tokens).unwrap_or(0);
        self.recent.retain(|known| known != program);
        self.recent.push_back(program.clone());
        while self.cache.values().sum::<u64>() > CACHE_TOKENS && self.recent.len() > 1 {
            if let Some(oldest) = self.recent.pop_front() {
                self.cache.remove(&oldest);
            }
        }
        held
    }

    /// Frees a program that has ended.
    pub fn free(&mut self, program: &ProgramId) {
        self.cache.remove(program);
        self.recent.retain(|known| known != program);
    }
}
