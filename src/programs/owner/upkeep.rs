use super::{Context, ShardOwner};
use crate::prelude::*;
use crate::programs::{Phase, ProgramState, Refusal, RefusalReason};

/// When to come back after a deadline passed while the turn goes on.
const STILL_RUNNING_RETRY_MS: u64 = 1_000;

impl ShardOwner {
    pub(super) fn tick(&mut self, cx: &mut Context<'_>) {
        self.retry_log(cx);
        self.refuse_unconfirmed_expired(cx);
        self.refuse_expired(cx);
        self.refuse_parked_expired(cx);
        self.go_on(cx);
        if self.ownership.is_owning() {
            self.snapshot_old(cx);
            self.end_idle(cx);
        }
        self.release_if_idle();
    }

    /// Tells callers whose deadline has passed; their turn goes on unless nothing was dispatched.
    fn refuse_expired(&mut self, cx: &mut Context<'_>) {
        let now = cx.now;
        for active in self.active.values_mut() {
            let untouched = active.attempts == 0 && active.phase == Phase::RecordingIntent;
            let (expired, waiting): (Vec<_>, Vec<_>) =
                active.waiters.iter().copied().partition(|waiter| waiter.deadline <= now);
            active.waiters = waiting;
            let refusal = match untouched && active.waiters.is_empty() {
                true => Refusal::not_run(RefusalReason::DeadlinePassed),
                false => Refusal::unknown(RefusalReason::DeadlinePassed),
            };
            let refusal = refusal.retry_after(STILL_RUNNING_RETRY_MS);
            expired.iter().for_each(|waiter| cx.refuse(waiter.call, refusal));
        }
    }

    fn refuse_parked_expired(&mut self, cx: &mut Context<'_>) {
        let now = cx.now;
        let (expired, waiting) = std::mem::take(&mut self.parked)
            .into_iter()
            .partition::<Vec<_>, _>(|(_, request)| request.deadline <= now);
        self.parked = waiting;
        for (call, _) in expired {
            let refusal = Refusal::not_run(RefusalReason::LogUnavailable);
            cx.refuse(call, refusal.retry_after(STILL_RUNNING_RETRY_MS));
        }
    }

    /// Asks again about attempts, and starts attempts whose back-off is over.
    fn go_on(&mut self, cx: &mut Context<'_>) {
        let programs: Vec<ProgramId> = self.active.keys().cloned().collect();
        for program in programs {
            let Some(phase) = self.active.get(&program).map(|active| active.phase) else {
                continue;
            };
            match phase {
                Phase::AwaitingReport { next_query_at, unanswered } if next_query_at <= cx.now => {
                    self.ask(cx, &program, unanswered);
                }
                Phase::BackingOff { until } if until <= cx.now => {
                    self.attempt_again(cx, &program);
                }
                _ => {}
            }
        }
    }

    /// Writes programs anew whose oldest record nears the end of the log's retention.
    fn snapshot_old(&mut self, cx: &mut Context<'_>) {
        if !self.log.in_flight.is_empty() || !self.log.outbox.is_empty() {
            return;
        }
        let age_ms = self.limits.snapshot_age_ms;
        let due = |id: &ProgramId, state: &ProgramState| {
            let over = state.ended.is_some_and(|at| cx.unix.since(at) > self.limits.tombstone_ms);
            !self.active.contains_key(id)
                && !over
                && cx.unix.since(state.oldest_record_time) >= age_ms
        };
        let old: Vec<ProgramId> = self
            .shard_state
            .programs()
            .filter(|(id, state)| due(id, state))
            .map(|(id, _)| id.clone())
            .take(self.limits.snapshots_per_tick)
            .collect();
        let records = old.iter().filter_map(|id| self.snapshot_of(id));
        let records: Vec<_> = records.collect();
        self.log.outbox.extend(records);
    }

    fn end_idle(&mut self, cx: &mut Context<'_>) {
        if !self.log.in_flight.is_empty() || !self.log.outbox.is_empty() {
            return;
        }
        let idle_ms = self.limits.program_idle_ms;
        let idle = |id: &ProgramId, state: &ProgramState| {
            let quiet =
                cx.unix.since(state.newest_record_time) >= idle_ms && !self.active.contains_key(id);
            quiet && state.ended.is_none()
        };
        let over: Vec<ProgramId> = self
            .shard_state
            .programs()
            .filter(|(id, state)| idle(id, state))
            .map(|(id, _)| id.clone())
            .collect();
        over.into_iter().for_each(|id| self.push_end(id));
        let kept_since = UnixMs(cx.unix.0.saturating_sub(self.limits.tombstone_ms));
        self.shard_state.remove_ended(kept_since);
    }
}
