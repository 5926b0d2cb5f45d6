use super::{Context, ShardOwner};
use crate::prelude::*;
use crate::programs::{Phase, ProgramState, Refusal, RefusalReason};

/// Retry delay given after a deadline has passed; the turn may still be running.
const STILL_RUNNING_RETRY_MS: u64 = 1_000;

impl ShardOwner {
    pub(super) fn tick(&mut self, cx: &mut Context<'_>) {
        self.retry_log_if_due(cx);
        self.refuse_expired_unconfirmed(cx);
        self.refuse_expired_waiters(cx);
        self.refuse_expired_pending(cx);
        self.advance_turns(cx);
        if self.ownership.is_owning() {
            self.snapshot_aged_programs(cx);
            self.end_idle_programs(cx);
        }
        self.release_if_idle();
    }

    /// Refuses callers whose deadline has passed. Their turn continues if it was dispatched.
    fn refuse_expired_waiters(&mut self, cx: &mut Context<'_>) {
        let now = cx.now;
        for active in self.active_turns.values_mut() {
            let never_dispatched = active.attempts == 0 && active.phase == Phase::RecordingIntent;
            let (expired, waiting): (Vec<_>, Vec<_>) =
                active.waiters.iter().copied().partition(|waiter| waiter.deadline <= now);
            active.waiters = waiting;
            let refusal = match never_dispatched && active.waiters.is_empty() {
                true => Refusal::not_run(RefusalReason::DeadlinePassed),
                false => Refusal::unknown(RefusalReason::DeadlinePassed),
            };
            let refusal = refusal.retry_after(STILL_RUNNING_RETRY_MS);
            expired.iter().for_each(|waiter| cx.refuse(waiter.call, refusal));
        }
    }

    /// Refuses callers whose deadline has passed before the ownership was established.
    fn refuse_expired_pending(&mut self, cx: &mut Context<'_>) {
        let now = cx.now;
        let (expired, waiting) = std::mem::take(&mut self.pending_requests)
            .into_iter()
            .partition::<Vec<_>, _>(|(_, request)| request.deadline <= now);
        self.pending_requests = waiting;
        for (call, _) in expired {
            let refusal = Refusal::not_run(RefusalReason::LogUnavailable);
            cx.refuse(call, refusal.retry_after(STILL_RUNNING_RETRY_MS));
        }
    }

    /// Repeats due queries about attempts and starts attempts whose backoff has elapsed.
    fn advance_turns(&mut self, cx: &mut Context<'_>) {
        let programs: Vec<ProgramId> = self.active_turns.keys().cloned().collect();
        for program in programs {
            let Some(phase) = self.active_turns.get(&program).map(|active| active.phase) else {
                continue;
            };
            match phase {
                Phase::AwaitingReport { next_query_at, unanswered } if next_query_at <= cx.now => {
                    self.query_attempt(cx, &program, unanswered);
                }
                Phase::BackingOff { until } if until <= cx.now => {
                    self.start_next_attempt(cx, &program);
                }
                _ => {}
            }
        }
    }

    /// Writes snapshots of idle programs whose oldest record approaches the log's retention.
    fn snapshot_aged_programs(&mut self, cx: &mut Context<'_>) {
        if !self.log.in_flight.is_empty() || !self.log.outbox.is_empty() {
            return;
        }
        let age_ms = self.limits.snapshot_age_ms;
        let is_due = |id: &ProgramId, state: &ProgramState| {
            let tombstone_expired =
                state.ended.is_some_and(|at| cx.unix_now.since(at) > self.limits.tombstone_ms);
            !self.active_turns.contains_key(id)
                && !tombstone_expired
                && cx.unix_now.since(state.oldest_record_time) >= age_ms
        };
        let due_programs: Vec<ProgramId> = self
            .shard_state
            .programs()
            .filter(|(id, state)| is_due(id, state))
            .map(|(id, _)| id.clone())
            .take(self.limits.snapshots_per_tick)
            .collect();
        let records = due_programs.iter().filter_map(|id| self.snapshot_record(id));
        let records: Vec<_> = records.collect();
        self.log.outbox.extend(records);
    }

    /// Ends programs that have been idle too long, and removes ended ones whose ids need no longer
    /// be reserved.
    fn end_idle_programs(&mut self, cx: &mut Context<'_>) {
        if !self.log.in_flight.is_empty() || !self.log.outbox.is_empty() {
            return;
        }
        let idle_ms = self.limits.program_idle_ms;
        let is_idle = |id: &ProgramId, state: &ProgramState| {
            let is_inactive = cx.unix_now.since(state.last_activity_time) >= idle_ms
                && !self.active_turns.contains_key(id);
            is_inactive && state.ended.is_none()
        };
        let idle_programs: Vec<ProgramId> = self
            .shard_state
            .programs()
            .filter(|(id, state)| is_idle(id, state))
            .map(|(id, _)| id.clone())
            .collect();
        idle_programs.into_iter().for_each(|id| self.queue_end_record(id));
        let kept_since = UnixMs(cx.unix_now.0.saturating_sub(self.limits.tombstone_ms));
        self.shard_state.remove_ended(kept_since);
    }
}
