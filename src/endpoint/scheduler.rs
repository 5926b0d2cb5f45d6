use std::collections::HashMap;

use super::crash_suspects::CrashSuspects;
use crate::endpoint::{
    CacheLeases, FinishedAttempts, FinishedLookup, OrderPolicy, QueueOrder, SchedulingKey,
};
use crate::prelude::*;
use crate::programs::{Attempt, AttemptFrame, AttemptReport, AttemptWork, FailureCause};

/// Average bytes of text per token, for cost estimates.
const BYTES_PER_TOKEN: u64 = 4;
/// Estimated cost of a service call, in tokens.
const SERVICE_COST_TOKENS: u64 = 50;

/// Limits of an [`AttemptScheduler`].
#[value]
#[derive(Copy)]
pub struct SchedulerLimits {
    /// Maximum number of attempts that run at once.
    pub concurrency: usize,
    /// Maximum number of queued attempts.
    pub queue: usize,
    /// How long an unused conversation stays in the engine's cache.
    pub cache_lease_ms: u64,
    /// Memory for the results of ended attempts.
    pub finished_bytes: usize,
}

/// Outcome of submitting an attempt.
#[value]
#[derive(Copy)]
pub enum Submission {
    /// The attempt is queued.
    Accepted,
    /// The attempt has not started and never will.
    Rejected,
    /// The attempt was submitted before; its frames go to the first submitter.
    Duplicate,
}

/// An effect that the caller of an [`AttemptScheduler`] must carry out.
#[value]
pub enum SchedulerAction {
    /// Run an attempt on the endpoint.
    Start(Attempt),
    /// Stop a running attempt.
    Stop(AttemptId),
    /// Send the submitter the final frame of an attempt that never started.
    End(AttemptId, AttemptFrame),
    /// Free a conversation in the engine's cache.
    FreeCache(Arc<str>),
}

struct Running {
    program: ProgramId,
    digest: Digest,
    deadline: TimeMs,
    is_model: bool,
    /// Suspected of crashing engines, so that no other attempt may run beside it.
    alone: bool,
    stop_requested: bool,
    /// The engine rejected it before starting it.
    engine_rejected: bool,
}

struct QueuedAttempt {
    attempt: Attempt,
    deadline: TimeMs,
    scheduling_key: SchedulingKey,
}

/// State machine of the process beside an endpoint: accepts, queues and starts attempts, and
/// rejects those of replaced owners. It does no I/O.
pub struct AttemptScheduler {
    this_endpoint: EndpointRef,
    limits: SchedulerLimits,
    /// The lowest epoch that is still accepted for each shard.
    fences: HashMap<ShardId, Epoch>,
    queue: Vec<QueuedAttempt>,
    running: HashMap<AttemptId, Running>,
    finished: FinishedAttempts,
    order: QueueOrder,
    leases: CacheLeases,
    /// Calls that were running when the engine crashed.
    crash_suspects: CrashSuspects,
    draining: bool,
}

impl AttemptScheduler {
    /// Creates the scheduler of the process instance that `this_endpoint` names.
    pub fn new(
        this_endpoint: EndpointRef,
        limits: SchedulerLimits,
        policy: OrderPolicy,
    ) -> AttemptScheduler {
        AttemptScheduler {
            this_endpoint,
            limits,
            fences: HashMap::new(),
            queue: Vec::new(),
            running: HashMap::new(),
            finished: FinishedAttempts::new(limits.finished_bytes),
            order: QueueOrder::new(policy),
            leases: CacheLeases::new(limits.cache_lease_ms),
            crash_suspects: CrashSuspects::default(),
            draining: false,
        }
    }

    /// Number of running attempts.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued attempts.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Stops accepting attempts; those queued or running are finished.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether [`Self::drain`] was called.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Ends the queued attempts as rejected.
    pub fn reject_queued(&mut self) -> Vec<SchedulerAction> {
        let queued = std::mem::take(&mut self.queue);
        let reject =
            |queued: QueuedAttempt| self.end_unstarted(queued.attempt.id, FailureCause::Rejected);
        queued.into_iter().map(reject).collect()
    }

    /// Whether no attempt is queued or running.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    /// Queues an attempt, unless it must be rejected.
    ///
    /// An attempt from a replaced owner is rejected because of its epoch. One meant for an earlier
    /// instance of this process is rejected too: that instance may have started it, and the fences
    /// that it knew were lost with it.
    pub fn submit(&mut self, now: TimeMs, attempt: Attempt) -> Submission {
        let id = attempt.id;
        if attempt.target != self.this_endpoint {
            return Submission::Rejected;
        }
        if self.is_pending(id) || self.finished.lookup(id) != FinishedLookup::NeverSeen {
            return Submission::Duplicate;
        }
        let fence = self.fences.entry(id.shard).or_default();
        let fenced = id.epoch < *fence || self.finished.is_denied(id);
        if fenced || self.draining || self.queue.len() >= self.limits.queue {
            // Must not start even if it is submitted again.
            self.finished.deny(id);
            return Submission::Rejected;
        }
        *fence = id.epoch;
        let scheduling_key = scheduling_key(now, &attempt);
        let deadline = now.plus(attempt.deadline_in_ms);
        self.queue.push(QueuedAttempt { attempt, deadline, scheduling_key });
        Submission::Accepted
    }

    /// Reports the state of an attempt. The epoch of the querying owner fences earlier owners of
    /// the shard. An attempt that was never seen is rejected from now on, so that the report stays
    /// true.
    pub fn query(&mut self, attempt: AttemptId, instance: Instance, epoch: Epoch) -> AttemptReport {
        if instance != self.this_endpoint.instance {
            return AttemptReport::Forgotten;
        }
        let fence = self.fences.entry(attempt.shard).or_default();
        *fence = epoch.max(*fence);
        if self.is_pending(attempt) {
            return AttemptReport::Running;
        }
        match self.finished.lookup(attempt) {
            FinishedLookup::Ended(final_frame) => AttemptReport::Over(final_frame),
            FinishedLookup::Forgotten => AttemptReport::Forgotten,
            FinishedLookup::NeverSeen => {
                self.finished.deny(attempt);
                AttemptReport::NeverSeen
            }
        }
    }

    /// Removes an attempt from the queue, or stops it if it is running on a model engine.
    pub fn cancel(&mut self, attempt: AttemptId) -> Vec<SchedulerAction> {
        if let Some(index) = self.queue.iter().position(|queued| queued.attempt.id == attempt) {
            self.queue.swap_remove(index);
            return vec![self.end_unstarted(attempt, FailureCause::Cancelled)];
        }
        match self.running.get_mut(&attempt) {
            Some(running) if running.is_model && !running.stop_requested => {
                running.stop_requested = true;
                vec![SchedulerAction::Stop(attempt)]
            }
            _ => Vec::new(),
        }
    }

    /// Records that the engine rejected a running attempt. Returns whether the same call is running
    /// there for another program; if so, the caller waits for its end.
    ///
    /// That other call may just have crashed the engine, which is why this one was rejected. If the
    /// owner were told only "rejected", it would not suspect the call, and would run it on the next
    /// engine beside other calls.
    pub fn mark_engine_rejected(&mut self, attempt: AttemptId) -> bool {
        let Some(running) = self.running.get_mut(&attempt) else {
            return false;
        };
        running.engine_rejected = true;
        let (workspace, digest) = (running.program.workspace.clone(), running.digest);
        self.running.values().any(|other| {
            let same = other.digest == digest && other.program.workspace == workspace;
            same && !other.engine_rejected
        })
    }

    /// Records the end of a running attempt. Returns the final frame for its submitter, which
    /// reports a crash if the engine rejected the attempt and the same call crashed it.
    pub fn record_end(
        &mut self,
        now: TimeMs,
        attempt: AttemptId,
        final_frame: AttemptFrame,
    ) -> AttemptFrame {
        let Some(running) = self.running.remove(&attempt) else {
            return final_frame;
        };
        let call = (running.program.workspace.clone(), running.digest);
        let final_frame = match self.crash_suspects.run_ended_by(&call) {
            Some(run) if running.engine_rejected => {
                AttemptFrame::Failed { cause: FailureCause::Crashed { run }, spent_tokens: Some(0) }
            }
            _ => final_frame,
        };
        if !running.engine_rejected {
            self.crash_suspects.update(call, running.alone, &final_frame);
        }
        if running.is_model {
            self.leases.renew(now, &cache_key(&running.program));
        }
        self.finished.insert_result(attempt, final_frame.clone());
        final_frame
    }

    /// Stops the running model calls of a program that has ended and frees its conversation in the
    /// engine's cache.
    pub fn free(&mut self, program: &ProgramId) -> Vec<SchedulerAction> {
        let of_program = |running: &Running| running.program == *program;
        let ids: Vec<AttemptId> =
            self.running.iter().filter(|(_, r)| of_program(r)).map(|(id, _)| *id).collect();
        let mut actions: Vec<SchedulerAction> =
            ids.into_iter().flat_map(|id| self.cancel(id)).collect();
        let key = cache_key(program);
        if self.leases.remove(&key) {
            actions.push(SchedulerAction::FreeCache(key));
        }
        actions
    }

    /// Starts a lease for a conversation found in the engine's cache.
    pub fn adopt_cached(&mut self, now: TimeMs, key: &str) {
        self.leases.adopt(now, key);
    }

    /// Number of conversations with a lease.
    pub fn lease_count(&self) -> usize {
        self.leases.len()
    }

    /// Ends or stops attempts past their deadline, ends queued calls known to crash the engine,
    /// frees conversations whose lease has expired, and starts the queued attempts that can run
    /// now.
    pub fn schedule(&mut self, now: TimeMs) -> Vec<SchedulerAction> {
        let mut actions = self.expire(now);
        while let Some(attempt) = self.pop_next(now) {
            actions.push(SchedulerAction::Start(attempt));
        }
        actions
    }

    fn is_pending(&self, attempt: AttemptId) -> bool {
        let queued = self.queue.iter().any(|queued| queued.attempt.id == attempt);
        queued || self.running.contains_key(&attempt)
    }

    /// Ends or stops attempts past their deadline, ends queued calls known to crash the engine, and
    /// frees conversations whose lease has expired unless an attempt is using them.
    fn expire(&mut self, now: TimeMs) -> Vec<SchedulerAction> {
        let late: Vec<AttemptId> =
            self.queue.iter().filter(|q| q.deadline <= now).map(|q| q.attempt.id).collect();
        self.queue.retain(|queued| queued.deadline > now);
        let mut actions: Vec<SchedulerAction> =
            late.into_iter().map(|id| self.end_unstarted(id, FailureCause::Expired)).collect();
        actions.extend(self.end_crash_suspects());
        for (id, running) in &mut self.running {
            if running.deadline <= now && !running.stop_requested {
                running.stop_requested = true;
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

    /// Ends queued calls that are known to crash the engine, and reports them as crashed. A call
    /// that is only suspected may still run alone.
    fn end_crash_suspects(&mut self) -> Vec<SchedulerAction> {
        let crash_of = |queued: &QueuedAttempt| {
            let attempt = &queued.attempt;
            let call = (attempt.program.workspace.clone(), attempt.digest);
            Some((attempt.id, self.crash_suspects.run_to_report(&call, attempt.alone)?))
        };
        let to_end: Vec<(AttemptId, u64)> = self.queue.iter().filter_map(crash_of).collect();
        self.queue.retain(|queued| to_end.iter().all(|(id, _)| *id != queued.attempt.id));
        to_end
            .into_iter()
            .map(|(id, run)| self.end_unstarted(id, FailureCause::Crashed { run }))
            .collect()
    }

    fn end_unstarted(&mut self, attempt: AttemptId, cause: FailureCause) -> SchedulerAction {
        let final_frame = AttemptFrame::Failed { cause, spent_tokens: Some(0) };
        self.finished.insert_result(attempt, final_frame.clone());
        SchedulerAction::End(attempt, final_frame)
    }

    /// Takes from the queue the next attempt that can start.
    ///
    /// A call suspected of crashing the engine runs alone: it starts only on an idle engine, and
    /// nothing starts beside it. Otherwise a crash would end unrelated calls too, and each of them
    /// would become a suspect.
    fn pop_next(&mut self, now: TimeMs) -> Option<Attempt> {
        let alone_runs = self.running.values().any(|running| running.alone);
        if alone_runs || self.running.len() >= self.limits.concurrency {
            return None;
        }
        let keys: Vec<SchedulingKey> =
            self.queue.iter().map(|q| q.scheduling_key.clone()).collect();
        let index = self.order.next(now, &keys)?;
        if self.queue[index].attempt.alone && !self.running.is_empty() {
            return None;
        }
        let queued = self.queue.remove(index);
        self.order.record_start(&queued.scheduling_key);
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
            stop_requested: false,
            engine_rejected: false,
        };
        self.running.insert(attempt.id, running);
        Some(attempt)
    }
}

/// The key of a program's conversation in the engine's cache.
pub(super) fn cache_key(program: &ProgramId) -> Arc<str> {
    program.to_string().into()
}

/// The properties that decide when an attempt is started. A token of the prompt counts as a
/// quarter of a generated one.
fn scheduling_key(now: TimeMs, attempt: &Attempt) -> SchedulingKey {
    let cost_tokens = match &attempt.work {
        AttemptWork::Model { messages, max_tokens, .. } => {
            let bytes: u64 = messages.iter().map(|message| message.approx_bytes() as u64).sum();
            bytes / BYTES_PER_TOKEN / 4 + u64::from(*max_tokens)
        }
        AttemptWork::Service { .. } => SERVICE_COST_TOKENS,
    };
    SchedulingKey {
        workspace: attempt.program.workspace.clone(),
        queued_at: now,
        attained_tokens: attempt.attained_tokens,
        cost_tokens,
    }
}
