use super::{Context, ShardOwner};
use crate::prelude::*;
use crate::programs::owner::{Action, AppendedAt, LogCallError, Predecessor, ReadPage};
use crate::programs::ownership::OwnershipEvent;
use crate::programs::{
    ActiveTurn, ApplyOutcome, OutcomeRecord, Phase, Record, Refusal, RefusalReason, Reply,
    ShardState, StoredRecord,
};

impl ShardOwner {
    /// Appends all queued records as one batch. While an append is in flight, the next batch grows:
    /// the busier the shard, the more turns share an append.
    ///
    /// The batch is closed only when its append may be sent. Records that arrive while it waits
    /// for this entry's share of the log's append rate are included.
    pub(super) fn flush(&mut self, cx: &mut Context<'_>) {
        let log = &mut self.log;
        let busy = log.appending || log.reading || !log.in_flight.is_empty();
        if busy || log.outbox.is_empty() || log.retry_at.is_some() {
            return;
        }
        let wait_ms = match log.append_at {
            Some(append_at) => append_at.since(cx.now),
            None => cx.env.reserve_append(),
        };
        if wait_ms > 0 {
            if log.append_at.is_none() {
                log.append_at = Some(cx.now.plus(wait_ms));
                cx.out.push(Action::Wake { in_ms: wait_ms });
            }
            return;
        }
        log.append_at = None;
        let batch = std::mem::take(&mut log.outbox);
        log.in_flight = batch.iter().cloned().collect();
        log.appending = true;
        log.append_sent_at = cx.now;
        cx.out.push(Action::Append(batch));
    }

    pub(super) fn handle_appended(
        &mut self,
        cx: &mut Context<'_>,
        result: Result<AppendedAt, LogCallError>,
    ) {
        self.log.appending = false;
        if self.ownership.is_lost() {
            return;
        }
        match result {
            Ok(at) => self.append_succeeded(cx, at),
            Err(_) => self.log_failed(cx),
        }
    }

    /// A batch is applied once every record before it has been applied. If it directly follows the
    /// last applied record, no read is needed.
    fn append_succeeded(&mut self, cx: &mut Context<'_>, at: AppendedAt) {
        self.log.failing = false;
        if self.ownership.is_starting() || at.first != self.shard_state.next_offset() {
            self.start_read(cx);
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(self.log.append_sent_at));
        let batch: Vec<Record> = self.log.in_flight.drain(..).collect();
        for (offset, record) in (at.first.0..).map(Offset).zip(batch) {
            self.apply(cx, offset, at.time_ms, &record);
        }
    }

    fn log_failed(&mut self, cx: &mut Context<'_>) {
        self.log.failing = true;
        self.log.retry_at = Some(cx.now.plus(self.limits.log_retry_ms));
    }

    pub(super) fn start_read(&mut self, cx: &mut Context<'_>) {
        if self.log.reading {
            self.log.read_again = true;
            return;
        }
        if self.log.retry_at.is_some() {
            return;
        }
        self.log.reading = true;
        self.log.read_sent_at = cx.now;
        cx.out.push(Action::Read(self.next_read_offset()));
    }

    fn next_read_offset(&self) -> Option<Offset> {
        match self.ownership.is_starting() {
            true => self.log.recovered.last().map(|last| last.offset.plus(1)),
            false => Some(self.shard_state.next_offset()),
        }
    }

    pub(super) fn handle_read(
        &mut self,
        cx: &mut Context<'_>,
        result: Result<ReadPage, LogCallError>,
    ) {
        self.log.reading = false;
        if self.ownership.is_lost() {
            return;
        }
        let page = match result {
            Ok(page) => page,
            Err(_) => return self.log_failed(cx),
        };
        self.log.failing = false;
        let more = !page.at_end || std::mem::take(&mut self.log.read_again);
        if self.ownership.is_starting() {
            self.recover(cx, page, more);
        } else {
            self.catch_up(cx, page, more);
        }
    }

    fn catch_up(&mut self, cx: &mut Context<'_>, page: ReadPage, more: bool) {
        if page.earliest > self.shard_state.next_offset() {
            // Records expired before this owner read them, so its state can't be completed.
            return self.lose_ownership(cx);
        }
        for stored in page.records {
            self.apply(cx, stored.offset, stored.time_ms, &stored.data);
        }
        if self.ownership.is_lost() {
            return;
        }
        if more {
            return self.start_read(cx);
        }
        self.confirmed_at = self.confirmed_at.max(Some(self.log.read_sent_at));
        self.send_confirmed_refusals(cx);
        self.resend_in_flight(cx);
    }

    /// Sends again those records of an unacknowledged append that a read up to the end of the log
    /// did not find. If the first append still takes effect later, the replay ignores the second
    /// copy.
    fn resend_in_flight(&mut self, cx: &mut Context<'_>) {
        if self.log.appending || self.log.in_flight.is_empty() {
            return;
        }
        let batch: Vec<Record> = self.log.in_flight.iter().cloned().collect();
        self.log.appending = true;
        self.log.append_sent_at = cx.now;
        cx.out.push(Action::Append(batch));
    }

    fn send_confirmed_refusals(&mut self, cx: &mut Context<'_>) {
        for unconfirmed in std::mem::take(&mut self.unconfirmed_refusals) {
            cx.refuse(unconfirmed.call, unconfirmed.refusal);
        }
    }

    fn recover(&mut self, cx: &mut Context<'_>, page: ReadPage, more: bool) {
        let earliest = page.earliest;
        self.log.recovered.extend(page.records);
        if more {
            return self.start_read(cx);
        }
        let recovered = std::mem::take(&mut self.log.recovered);
        let Some(own_claim) = recovered.iter().find(|stored| self.is_own_claim(&stored.data))
        else {
            return self.resend_in_flight(cx);
        };
        let epoch = Epoch(own_claim.offset.0);
        let before: Vec<_> = recovered.iter().filter(|r| r.offset < own_claim.offset).collect();
        self.predecessor = predecessor(earliest, &before);
        self.confirmed_at = Some(self.log.read_sent_at);
        let first = recovered.first().map_or(earliest, |first| first.offset);
        self.shard_state = ShardState::from_records(first, &recovered);
        self.log.in_flight.clear();
        self.ownership.handle(OwnershipEvent::ClaimRead(epoch));
        if self.shard_state.epoch() != epoch {
            return self.lose_ownership(cx);
        }
        self.ownership.handle(OwnershipEvent::CaughtUp);
        self.start_serving(cx);
    }

    /// Starts serving the shard: queries the attempts that earlier owners left open, then handles
    /// the calls that arrived during recovery.
    fn start_serving(&mut self, cx: &mut Context<'_>) {
        let open_turns = self.shard_state.programs().filter_map(|(id, state)| {
            let open = state.open_intent.as_ref()?;
            Some((id.clone(), ActiveTurn::from_open_intent(open, cx.now)))
        });
        self.active_turns = open_turns.collect();
        let programs: Vec<ProgramId> = self.active_turns.keys().cloned().collect();
        for program in programs {
            self.query_attempt(cx, &program, 0);
        }
        for (call, request) in std::mem::take(&mut self.pending_requests) {
            self.handle_request(cx, call, request);
        }
    }

    fn is_own_claim(&self, record: &Record) -> bool {
        matches!(record, Record::Claim { instance, nonce, .. }
            if *instance == self.instance && *nonce == self.nonce)
    }

    fn apply(&mut self, cx: &mut Context<'_>, offset: Offset, time: UnixMs, record: &Record) {
        if offset < self.shard_state.next_offset() || self.ownership.is_lost() {
            return;
        }
        let is_own = self.ownership.epoch().is_some() && record.epoch() == self.ownership.epoch();
        let applied = self.shard_state.apply(offset, time, record);
        if matches!(record, Record::Claim { .. }) {
            return self.lose_ownership(cx);
        }
        if is_own {
            self.log.in_flight.retain(|sent| sent != record);
            self.handle_recorded(cx, record, applied);
        }
    }

    /// Continues the work that waited for one of this owner's records.
    fn handle_recorded(&mut self, cx: &mut Context<'_>, record: &Record, applied: ApplyOutcome) {
        match record {
            Record::Intent(intent) if applied == ApplyOutcome::Accepted => {
                self.intent_recorded(cx, &intent.program, intent.attempt);
            }
            Record::Outcome(outcome) if applied == ApplyOutcome::Accepted => {
                self.outcome_recorded(cx, outcome);
            }
            Record::Ended { program, .. } => self.handle_program_ended(cx, program),
            Record::Release { .. } => {
                self.ownership.handle(OwnershipEvent::ReleaseRead);
                self.lose_ownership(cx);
            }
            _ => {}
        }
    }

    fn intent_recorded(&mut self, cx: &mut Context<'_>, program: &ProgramId, attempt: AttemptId) {
        let Some(active) = self.active_turns.get(program) else {
            return;
        };
        if active.attempt != attempt || active.phase != Phase::RecordingIntent {
            return;
        }
        match active.waiters.is_empty() {
            true => self.withdraw_intent(program, attempt),
            false => self.dispatch(cx, program),
        }
    }

    /// Drops a turn that no caller waits for and that was not dispatched, and releases its
    /// reservation.
    fn withdraw_intent(&mut self, program: &ProgramId, attempt: AttemptId) {
        self.active_turns.remove(program);
        if let Some(epoch) = self.ownership.epoch() {
            let program = program.clone();
            self.log.outbox.push(Record::Settled { program, epoch, attempt, charge_tokens: 0 });
        }
    }

    fn outcome_recorded(&mut self, cx: &mut Context<'_>, outcome: &OutcomeRecord) {
        let Some(active) = self.active_turns.remove(&outcome.program) else {
            return;
        };
        let turn = outcome.turn;
        for waiter in active.waiters {
            let result = outcome.result.clone();
            cx.reply(waiter.call, Reply::Answer { turn, result, replayed: false });
        }
        self.release_if_idle();
    }

    fn handle_program_ended(&mut self, cx: &mut Context<'_>, program: &ProgramId) {
        let ends_with_program = |id: &ProgramId| {
            id == program || (program.root() == &*program.name && id.account() == *program)
        };
        let ended_programs: Vec<ProgramId> = self
            .shard_state
            .programs()
            .map(|(id, _)| id)
            .filter(|id| ends_with_program(id))
            .cloned()
            .collect();
        ended_programs.iter().for_each(|id| self.end_turn_and_free_cache(cx, id));
        let (answered, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending_ends).into_iter().partition(|(_, id)| id == program);
        self.pending_ends = others;
        answered.into_iter().for_each(|(call, _)| cx.reply(call, Reply::Ended));
    }

    pub(super) fn release_if_idle(&mut self) {
        let log = &self.log;
        let idle =
            self.active_turns.is_empty() && log.outbox.is_empty() && log.in_flight.is_empty();
        if self.ownership.is_releasing()
            && idle
            && let Some(epoch) = self.ownership.epoch()
        {
            self.log.outbox.push(Record::Release { epoch });
        }
    }

    /// Tries the log again after a failure. It reads first, to find appends that took effect
    /// without an answer.
    pub(super) fn retry_log_if_due(&mut self, cx: &mut Context<'_>) {
        if self.log.retry_at.is_some_and(|at| at <= cx.now) {
            self.log.retry_at = None;
            self.start_read(cx);
        }
    }

    pub(super) fn refuse_expired_unconfirmed(&mut self, cx: &mut Context<'_>) {
        let now = cx.now;
        let (expired, waiting) = std::mem::take(&mut self.unconfirmed_refusals)
            .into_iter()
            .partition::<Vec<_>, _>(|unconfirmed| unconfirmed.deadline <= now);
        self.unconfirmed_refusals = waiting;
        for unconfirmed in expired {
            // Without the log it is not known whether another owner has run the call meanwhile.
            cx.refuse(unconfirmed.call, Refusal::unknown(RefusalReason::LogUnavailable));
        }
    }

    /// The snapshot record of a program without an attempt in flight.
    pub(super) fn snapshot_record(&self, program: &ProgramId) -> Option<Record> {
        let epoch = self.ownership.epoch()?;
        let snapshot = self.shard_state.program(program)?.snapshot(program);
        Some(Record::Snapshot { epoch, snapshot })
    }
}

/// How the previous ownership ended, by the records before a claim.
fn predecessor(earliest: Offset, before: &[&StoredRecord<Record>]) -> Predecessor {
    let is_claim_or_release = |record: &&&StoredRecord<Record>| {
        matches!(record.data, Record::Claim { .. } | Record::Release { .. })
    };
    match before.iter().rfind(is_claim_or_release).map(|stored| &stored.data) {
        Some(Record::Release { .. }) => Predecessor::Released,
        None if earliest <= Offset(1) && before.is_empty() => Predecessor::None,
        _ => Predecessor::Unknown,
    }
}
