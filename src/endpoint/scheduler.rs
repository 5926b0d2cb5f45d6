use std::collections::HashMap;

use crate::endpoint::{CacheLeases, Finished, OrderPolicy, QueueOrder, Recall, SchedulingKey};
use crate::prelude::*;
use crate::programs::{Attempt, AttemptFrame, AttemptReport, AttemptWork, FailureCause};

/// Bytes of text to a token, for guessing costs.
const BYTES_PER_TOKEN: u64 = 4;
/// Calls remembered as crashing the engine.
const MAX_CRASHERS: usize = 10_000;
/// What a service call counts as, in tokens.
const SERVICE_COST_TOKENS: u64 = 50;

/// Bounds of a desk.
#[value]
#[derive(Copy)]
pub struct SchedulerLimits {
    /// Attempts that run at once.
    pub concurrency: usize,
    /// Attempts that wait at once.
    pub queue: usize,
    /// How long an idle conversation stays in the engine's cache.
    pub cache_lease_ms: u64,
    /// Memory for the ends of attempts.
    pub finished_bytes: usize,
}

/// What became of a submitted attempt.
#[value]
#[derive(Copy)]
pub enum Submission {
    /// It waits or runs.
    Accepted,
    /// It did not start, and never will.
    Rejected,
    /// It had come before; its frames go to whoever submitted it first.
    Duplicate,
}

/// What a desk wants done.
#[value]
pub enum SchedulerAction {
    /// Run an attempt on the endpoint.
    Start(Attempt),
    /// Stop a running attempt.
    Stop(AttemptId),
    /// Tell the submitter how an attempt ended that never started.
    End(AttemptId, AttemptFrame),
    /// Free a conversation in the engine's cache.
    FreeCache(Arc<str>),
}

struct Running {
    program: ProgramId,
    digest: Digest,
    deadline: TimeMs,
    is_model: bool,
    alone: bool,
    stopped: bool,
    /// The engine turned it away: it never started there.
    turned_away: bool,
}

/// What is known of a call that ran when the engine crashed.
#[derive(Clone, Copy)]
struct Crasher {
    run: u64,
    alone: bool,
}

struct Queued {
    attempt: Attempt,
    deadline: TimeMs,
    waiting: SchedulingKey,
}

/// The state machine of the process beside an endpoint. It does no I/O.
pub struct AttemptScheduler {
    me: EndpointRef,
    limits: SchedulerLimits,
    fences: HashMap<ShardId, Epoch>,
    queue: Vec<Queued>,
    running: HashMap<AttemptId, Running>,
    finished: Finished,
    order: QueueOrder,
    leases: CacheLeases,
    /// Calls that ran when the engine crashed.
    crashers: HashMap<(WorkspaceId, Digest), Crasher>,
    draining: bool,
}

impl AttemptScheduler {
    /// A desk for one run of the process.
    pub fn new(me: EndpointRef, limits: SchedulerLimits, policy: OrderPolicy) -> AttemptScheduler {
        AttemptScheduler {
            me,
            limits,
            fences: HashMap::new(),
            queue: Vec::new(),
            running: HashMap::new(),
            finished: Finished::new(limits.finished_bytes),
            order: QueueOrder::new(policy),
            leases: CacheLeases::new(limits.cache_lease_ms),
            crashers: HashMap::new(),
            draining: false,
        }
    }

    /// Attempts that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Attempts that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Takes no more attempts; what it has is finished.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether it takes no more attempts.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    /// Takes an attempt.
    ///
    /// An attempt of an owner that has been replaced is rejected by its epoch, and one that is
    /// meant for an earlier run of this process by its instance: that run may have started it,
    /// and what it knew of fences is gone with it.
    pub fn submit(&mut self, now: TimeMs, attempt: Attempt) -> Submission {
        let id = attempt.id;
        if attempt.target != self.me {
            return Submission::Rejected;
        }
        if self.holds(id) || self.finished.recall(id) != Recall::NeverSeen {
            return Submission::Duplicate;
        }
        let fence = self.fences.entry(id.shard).or_default();
        let fenced = id.epoch < *fence || self.finished.is_denied(id);
        if fenced || self.draining || self.queue.len() >= self.limits.queue {
            // Never to be started, also if it should come again.
            self.finished.deny(id);
            return Submission::Rejected;
        }
        *fence = id.epoch;
        let waiting = waiting(now, &attempt);
        let deadline = now.plus(attempt.deadline_in_ms);
        self.queue.push(Queued { attempt, deadline, waiting });
        Submission::Accepted
    }

    /// Says what became of an attempt. The asker's epoch fences the owners before it; an attempt
    /// that was never seen is denied from now on, so that the answer stays true.
    pub fn query(&mut self, attempt: AttemptId, instance: Instance, epoch: Epoch) -> AttemptReport {
        if instance != self.me.instance {
            return AttemptReport::Forgotten;
        }
        let fence = self.fences.entry(attempt.shard).or_default();
        *fence = epoch.max(*fence);
        if self.holds(attempt) {
            return AttemptReport::Running;
        }
        match self.finished.recall(attempt) {
            Recall::Over(end) => AttemptReport::Over(end),
            Recall::Forgotten => AttemptReport::Forgotten,
            Recall::NeverSeen => {
                self.finished.deny(attempt);
                AttemptReport::NeverSeen
            }
        }
    }

    /// Stops an attempt.
    pub fn cancel(&mut self, attempt: AttemptId) -> Vec<SchedulerAction> {
        if let Some(index) = self.queue.iter().position(|queued| queued.attempt.id == attempt) {
            self.queue.swap_remove(index);
            return vec![self.end_unstarted(attempt, FailureCause::Cancelled)];
        }
        match self.running.get_mut(&attempt) {
            Some(running) if running.is_model && !running.stopped => {
                running.stopped = true;
                vec![SchedulerAction::Stop(attempt)]
            }
            _ => Vec::new(),
        }
    }

    /// Takes note that the engine turned a running attempt away. Returns whether the same call
    /// runs there for another program, so that its end must be waited for.
    ///
    /// That call may just have crashed the engine, which is why this one was turned away. Told
    /// only "rejected", its owner would send it to the next engine as if it were innocent.
    pub fn turned_away(&mut self, attempt: AttemptId) -> bool {
        let Some(running) = self.running.get_mut(&attempt) else {
            return false;
        };
        running.turned_away = true;
        let (workspace, digest) = (running.program.workspace.clone(), running.digest);
        self.running.values().any(|other| {
            let same = other.digest == digest && other.program.workspace == workspace;
            same && !other.turned_away
        })
    }

    /// Takes note of the end of a running attempt; returns how it ended, by all that is known.
    pub fn record_end(
        &mut self,
        now: TimeMs,
        attempt: AttemptId,
        end: AttemptFrame,
    ) -> AttemptFrame {
        let Some(running) = self.running.remove(&attempt) else {
            return end;
        };
        let key = (running.program.workspace.clone(), running.digest);
        let end = match self.crashers.get(&key) {
            Some(known) if running.turned_away => AttemptFrame::Failed {
                cause: FailureCause::Crashed { run: known.run },
                spent_tokens: Some(0),
            },
            _ => end,
        };
        if !running.turned_away {
            self.note_end(&running, &end);
        }
        if running.is_model {
            self.leases.renew(now, &cache_key(&running.program));
        }
        self.finished.remember(attempt, end.clone());
        end
    }

    /// The same call may wait here for other callers, or come yet: it would crash the engine once
    /// more before the owners have told each other. One that ends well alone is cleared.
    fn note_end(&mut self, running: &Running, end: &AttemptFrame) {
        let key = (running.program.workspace.clone(), running.digest);
        let alone = running.alone;
        match end {
            AttemptFrame::Failed { cause: FailureCause::Crashed { run }, .. } => {
                if self.crashers.len() >= MAX_CRASHERS {
                    self.crashers.clear();
                }
                let known_alone = self.crashers.get(&key).is_some_and(|known| known.alone);
                self.crashers.insert(key, Crasher { run: *run, alone: alone || known_alone });
            }
            AttemptFrame::Done { .. } if alone => {
                self.crashers.remove(&key);
            }
            _ => {}
        }
    }

    /// Frees what the engine holds for a program that has ended.
    pub fn free(&mut self, program: &ProgramId) -> Vec<SchedulerAction> {
        let of_program = |running: &Running| running.program == *program;
        let ids: Vec<AttemptId> =
            self.running.iter().filter(|(_, r)| of_program(r)).map(|(id, _)| *id).collect();
        let mut actions: Vec<SchedulerAction> =
            ids.into_iter().flat_map(|id| self.cancel(id)).collect();
        let key = cache_key(program);
        if self.leases.end(&key) {
            actions.push(SchedulerAction::FreeCache(key));
        }
        actions
    }

    /// Takes note of a conversation that the engine was found to hold.
    pub fn found_cached(&mut self, now: TimeMs, key: &str) {
        self.leases.found(now, key);
    }

    /// Conversations with a lease.
    pub fn leases(&self) -> usize {
        self.leases.len()
    }

    /// Starts what may start, and ends what has run out of time.
    pub fn schedule(&mut self, now: TimeMs) -> Vec<SchedulerAction> {
        let mut actions = self.expire(now);
        while let Some(attempt) = self.next_to_start(now) {
            actions.push(SchedulerAction::Start(attempt));
        }
        actions
    }

    fn holds(&self, attempt: AttemptId) -> bool {
        let queued = self.queue.iter().any(|queued| queued.attempt.id == attempt);
        queued || self.running.contains_key(&attempt)
    }

    fn expire(&mut self, now: TimeMs) -> Vec<SchedulerAction> {
        let late: Vec<AttemptId> =
            self.queue.iter().filter(|q| q.deadline <= now).map(|q| q.attempt.id).collect();
        self.queue.retain(|queued| queued.deadline > now);
        let mut actions: Vec<SchedulerAction> =
            late.into_iter().map(|id| self.end_unstarted(id, FailureCause::Expired)).collect();
        actions.extend(self.end_crashers());
        for (id, running) in &mut self.running {
            if running.deadline <= now && !running.stopped {
                running.stopped = true;
                actions.push(SchedulerAction::Stop(*id));
            }
        }
        let in_use = |key: &Arc<str>| self.running.values().any(|r| cache_key(&r.program) == *key);
        for key in self.leases.expired(now) {
            match in_use(&key) {
                true => self.leases.renew(now, &key),
                false => actions.push(SchedulerAction::FreeCache(key)),
            }
        }
        actions
    }

    /// Ends waiting calls that are known to crash the engine, as if they had done it again. One
    /// that is only suspected may still run alone.
    fn end_crashers(&mut self) -> Vec<SchedulerAction> {
        let crash_of = |queued: &Queued| {
            let attempt = &queued.attempt;
            let key = (attempt.program.workspace.clone(), attempt.digest);
            let known = self.crashers.get(&key)?;
            (known.alone || !attempt.alone).then_some((attempt.id, known.run))
        };
        let known: Vec<(AttemptId, u64)> = self.queue.iter().filter_map(crash_of).collect();
        self.queue.retain(|queued| known.iter().all(|(id, _)| *id != queued.attempt.id));
        known
            .into_iter()
            .map(|(id, run)| self.end_unstarted(id, FailureCause::Crashed { run }))
            .collect()
    }

    fn end_unstarted(&mut self, attempt: AttemptId, cause: FailureCause) -> SchedulerAction {
        let end = AttemptFrame::Failed { cause, spent_tokens: Some(0) };
        self.finished.remember(attempt, end.clone());
        SchedulerAction::End(attempt, end)
    }

    /// An attempt suspected of crashing the engine starts on an empty one, and nothing starts
    /// beside it: else its crash would take innocent calls along, and each of those would look
    /// like the culprit.
    fn next_to_start(&mut self, now: TimeMs) -> Option<Attempt> {
        let alone_runs = self.running.values().any(|running| running.alone);
        if alone_runs || self.running.len() >= self.limits.concurrency {
            return None;
        }
        let waiting: Vec<SchedulingKey> = self.queue.iter().map(|q| q.waiting.clone()).collect();
        let index = self.order.next(now, &waiting)?;
        if self.queue[index].attempt.alone && !self.running.is_empty() {
            return None;
        }
        let queued = self.queue.remove(index);
        self.order.started(&queued.waiting);
        let attempt = queued.attempt;
        let is_model = matches!(attempt.work, AttemptWork::Model { .. });
        if is_model {
            self.leases.renew(now, &cache_key(&attempt.program));
        }
        let running = Running {
            program: attempt.program.clone(),
            digest: attempt.digest,
            deadline: queued.deadline,
            is_model,
            alone: attempt.alone,
            stopped: false,
            turned_away: false,
        };
        self.running.insert(attempt.id, running);
        Some(attempt)
    }
}

/// Under which name the engine caches a program's conversation.
pub(super) fn cache_key(program: &ProgramId) -> Arc<str> {
    program.to_string().into()
}

fn waiting(now: TimeMs, attempt: &Attempt) -> SchedulingKey {
    let cost_tokens = match &attempt.work {
        AttemptWork::Model { messages, max_tokens, .. } => {
            let bytes: u64 = messages.iter().map(|message| message.approx_bytes() as u64).sum();
            bytes / BYTES_PER_TOKEN / 4 + u64::from(*max_tokens)
        }
        AttemptWork::Service { .. } => SERVICE_COST_TOKENS,
    };
    SchedulingKey {
        workspace: attempt.program.workspace.clone(),
        since: now,
        attained_tokens: attempt.attained_tokens,
        cost_tokens,
    }
}
