use super::{Context, ShardOwner};
use crate::prelude::*;
use crate::programs::owner::{Action, AppendedAt, LogCallError, Predecessor, ReadPage};
use crate::programs::ownership::OwnershipEvent;
use crate::programs::{
    ActiveTurn, ApplyOutcome, OutcomeRecord, Phase, Record, Refusal, RefusalReason, Reply,
    ShardState, StoredRecord,
};

impl ShardOwner {
    /// Sends what has gathered as one batch. While one append is under way the next batch grows:
    /// the busier the shard, the more turns share an append.
    ///
    /// The batch is closed only when its append may be sent, so that what comes while it waits
    /// for its part of the log's rate goes along.
    pub(super) fn flush(&mut self, cx: &mut Context<'_>) {
        let log = &mut self.log;
        let busy = log.appending || log.reading || !log.in_flight.is_empty();
        if busy || log.outbox.is_empty() || log.retry_at.is_some() {
            return;
        }
        let wait_ms = match log.slot {
            Some(slot) => slot.since(cx.now),
            None => cx.env.reserve_append(),
        };
        if wait_ms > 0 {
            if log.slot.is_none() {
                log.slot = Some(cx.now.plus(wait_ms));
                cx.out.push(Action::Wake { in_ms: wait_ms });
            }
            return;
        }
        log.slot = None;
        let batch = std::mem::take(&mut log.outbox);
        log.in_flight = batch.iter().cloned().collect();
        log.appending = true;
        log.append_asked = cx.now;
        cx.out.push(Action::Append(batch));
    }

    pub(super) fn appended(
        &mut self,
        cx: &mut Context<'_>,
        result: Result<AppendedAt, LogCallError>,
    ) {
        self.log.appending = false;
        if self.ownership.is_lost() {
            return;
        }
        match result {
            Ok(at) => self.append_taken(cx, at),
            Err(_) => self.log_failed(cx),
        }
    }

    /// A batch counts as recorded once everything before it was read. Where it stands right
    /// behind what was read, nothing lies between, and no read is needed.
    fn append_taken(&mut self, cx: &mut Context<'_>, at: AppendedAt) {
        self.log.failing = false;
        if self.ownership.is_starting() || at.first != self.shard_state.next_offset() {
            self.start_read(cx);
            return;
        }
        self.confirmed = self.confirmed.max(Some(self.log.append_asked));
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
        self.log.read_asked = cx.now;
        cx.out.push(Action::Read(self.read_from()));
    }

    fn read_from(&self) -> Option<Offset> {
        match self.ownership.is_starting() {
            true => self.log.recovered.last().map(|last| last.offset.plus(1)),
            false => Some(self.shard_state.next_offset()),
        }
    }

    pub(super) fn read(&mut self, cx: &mut Context<'_>, result: Result<ReadPage, LogCallError>) {
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
            // Records expired before they were read: what they held can't be known any more.
            return self.lose(cx);
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
        self.confirmed = self.confirmed.max(Some(self.log.read_asked));
        self.confirm_refusals(cx);
        self.append_again(cx);
    }

    /// An append without an answer was looked for up to the end of the log. What isn't there is
    /// sent again; should the first call still take effect, the second copy is void by the fold.
    fn append_again(&mut self, cx: &mut Context<'_>) {
        if self.log.appending || self.log.in_flight.is_empty() {
            return;
        }
        let batch: Vec<Record> = self.log.in_flight.iter().cloned().collect();
        self.log.appending = true;
        self.log.append_asked = cx.now;
        cx.out.push(Action::Append(batch));
    }

    fn confirm_refusals(&mut self, cx: &mut Context<'_>) {
        for waiting in std::mem::take(&mut self.unconfirmed) {
            cx.refuse(waiting.call, waiting.refusal);
        }
    }

    fn recover(&mut self, cx: &mut Context<'_>, page: ReadPage, more: bool) {
        let earliest = page.earliest;
        self.log.recovered.extend(page.records);
        if more {
            return self.start_read(cx);
        }
        let recovered = std::mem::take(&mut self.log.recovered);
        let Some(claimed_at) = recovered.iter().find(|stored| self.is_own_claim(&stored.data))
        else {
            return self.append_again(cx);
        };
        let epoch = Epoch(claimed_at.offset.0);
        let before: Vec<_> = recovered.iter().filter(|r| r.offset < claimed_at.offset).collect();
        self.predecessor = predecessor(earliest, &before);
        self.confirmed = Some(self.log.read_asked);
        let first = recovered.first().map_or(earliest, |first| first.offset);
        self.shard_state = ShardState::from_records(first, &recovered);
        self.log.in_flight.clear();
        self.ownership.handle(OwnershipEvent::ClaimRead(epoch));
        if self.shard_state.epoch() != epoch {
            return self.lose(cx);
        }
        self.ownership.handle(OwnershipEvent::CaughtUp);
        self.take_over(cx);
    }

    /// Starts to own: asks about what earlier owners left open, then serves who has waited.
    fn take_over(&mut self, cx: &mut Context<'_>) {
        let left_open = self.shard_state.programs().filter_map(|(id, state)| {
            let open = state.open_intent.as_ref()?;
            Some((id.clone(), ActiveTurn::from_open_intent(open, cx.now)))
        });
        self.active = left_open.collect();
        let programs: Vec<ProgramId> = self.active.keys().cloned().collect();
        for program in programs {
            self.ask(cx, &program, 0);
        }
        for (call, request) in std::mem::take(&mut self.parked) {
            self.request(cx, call, request);
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
        let own = self.ownership.epoch().is_some() && record.epoch() == self.ownership.epoch();
        let applied = self.shard_state.apply(offset, time, record);
        if matches!(record, Record::Claim { .. }) {
            return self.lose(cx);
        }
        if own {
            self.log.in_flight.retain(|sent| sent != record);
            self.recorded(cx, record, applied);
        }
    }

    /// Goes on with what waited for a record of ours.
    fn recorded(&mut self, cx: &mut Context<'_>, record: &Record, applied: ApplyOutcome) {
        match record {
            Record::Intent(intent) if applied == ApplyOutcome::Accepted => {
                self.intent_recorded(cx, &intent.program, intent.attempt);
            }
            Record::Outcome(outcome) if applied == ApplyOutcome::Accepted => {
                self.outcome_recorded(cx, outcome);
            }
            Record::Ended { program, .. } => self.ended(cx, program),
            Record::Release { .. } => {
                self.ownership.handle(OwnershipEvent::ReleaseRead);
                self.lose(cx);
            }
            _ => {}
        }
    }

    fn intent_recorded(&mut self, cx: &mut Context<'_>, program: &ProgramId, attempt: AttemptId) {
        let Some(active) = self.active.get(program) else {
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

    /// Nobody waits any more and nothing was dispatched: the reservation is given back.
    fn withdraw_intent(&mut self, program: &ProgramId, attempt: AttemptId) {
        self.active.remove(program);
        if let Some(epoch) = self.ownership.epoch() {
            let program = program.clone();
            self.log.outbox.push(Record::Settled { program, epoch, attempt, charge_tokens: 0 });
        }
    }

    fn outcome_recorded(&mut self, cx: &mut Context<'_>, outcome: &OutcomeRecord) {
        let Some(active) = self.active.remove(&outcome.program) else {
            return;
        };
        let turn = outcome.turn;
        for waiter in active.waiters {
            let result = outcome.result.clone();
            cx.reply(waiter.call, Reply::Answer { turn, result, replayed: false });
        }
        self.release_if_idle();
    }

    fn ended(&mut self, cx: &mut Context<'_>, program: &ProgramId) {
        let below = |id: &ProgramId| {
            id == program || (program.root() == &*program.name && id.account() == *program)
        };
        let over: Vec<ProgramId> =
            self.shard_state.programs().map(|(id, _)| id).filter(|id| below(id)).cloned().collect();
        over.iter().for_each(|id| self.free(cx, id));
        let (told, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.ending).into_iter().partition(|(_, id)| id == program);
        self.ending = waiting;
        told.into_iter().for_each(|(call, _)| cx.reply(call, Reply::Ended));
    }

    pub(super) fn release_if_idle(&mut self) {
        let log = &self.log;
        let idle = self.active.is_empty() && log.outbox.is_empty() && log.in_flight.is_empty();
        if self.ownership.is_releasing()
            && idle
            && let Some(epoch) = self.ownership.epoch()
        {
            self.log.outbox.push(Record::Release { epoch });
        }
    }

    /// The log is tried again: first read, to find what took effect without an answer.
    pub(super) fn retry_log(&mut self, cx: &mut Context<'_>) {
        if self.log.retry_at.is_some_and(|at| at <= cx.now) {
            self.log.retry_at = None;
            self.start_read(cx);
        }
    }

    pub(super) fn refuse_unconfirmed_expired(&mut self, cx: &mut Context<'_>) {
        let now = cx.now;
        let (expired, waiting) = std::mem::take(&mut self.unconfirmed)
            .into_iter()
            .partition::<Vec<_>, _>(|waiting| waiting.deadline <= now);
        self.unconfirmed = waiting;
        for waiting in expired {
            // Whether another owner ran it meanwhile could not be asked.
            cx.refuse(waiting.call, Refusal::unknown(RefusalReason::LogUnavailable));
        }
    }

    /// The snapshot record of a program without an attempt under way.
    pub(super) fn snapshot_of(&self, program: &ProgramId) -> Option<Record> {
        let epoch = self.ownership.epoch()?;
        let snapshot = self.shard_state.program(program)?.snapshot(program);
        Some(Record::Snapshot { epoch, snapshot })
    }
}

/// Who owned the shard before a claim, by the records in front of it.
fn predecessor(earliest: Offset, before: &[&StoredRecord<Record>]) -> Predecessor {
    let of_tenure = |record: &&&StoredRecord<Record>| {
        matches!(record.data, Record::Claim { .. } | Record::Release { .. })
    };
    match before.iter().rfind(of_tenure).map(|stored| &stored.data) {
        Some(Record::Release { .. }) => Predecessor::Released,
        None if earliest <= Offset(1) && before.is_empty() => Predecessor::None,
        _ => Predecessor::Unknown,
    }
}
