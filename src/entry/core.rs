use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::contracts::ConfigRecord;
use crate::entry::environment::EntryEnvironment;
use crate::entry::state::{Entry, OwnedShard, ShardLocation};
use crate::entry::tasks;
use crate::prelude::*;
use crate::programs::{
    Action, CallId, Event, OwnerLimits, Refusal, RefusalReason, Reply, ShardOwner, TurnRequest,
};

/// Interval at which every shard owner of this entry gets a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Minimum time between two releases of shards for balance.
const REBALANCE_INTERVAL_MS: u64 = 500;

/// A message to the core task.
pub(super) enum Command {
    /// Run a caller's turn. Its program belongs to a shard that this entry should own.
    Turn { request: TurnRequest, replies: mpsc::UnboundedSender<Reply> },
    /// End a program on a caller's behalf.
    End { program: ProgramId, replies: mpsc::UnboundedSender<Reply> },
    /// The result of an action that a shard owner requested. The nonce identifies the owner: an
    /// entry can lose a shard and claim it again, and a result for the earlier owner must not
    /// reach the later one.
    OwnerEvent { shard: ShardId, nonce: u64, event: Event },
    /// Append a record to the configuration stream, which all entries read.
    Publish(ConfigRecord),
    /// Confirm with the log that this entry still owns a shard, or claim the shard if this entry
    /// should own it.
    ConfirmOwnership { shard: ShardId },
    /// Release every shard once no turn of its programs is in flight.
    ReleaseAll,
    /// Release every shard with its turns in flight, and answer their callers.
    HandOverAll,
}

struct RunningOwner {
    owner: ShardOwner,
    nonce: u64,
}

/// The task that drives the owners of this entry's shards. It alone holds them, so they need no
/// lock.
pub(super) struct Core {
    entry: Arc<Entry>,
    owners: HashMap<ShardId, RunningOwner>,
    calls: HashMap<CallId, mpsc::UnboundedSender<Reply>>,
    next_call: u64,
    limits: OwnerLimits,
    last_rebalance: TimeMs,
    /// How shards are released: `Event::Release` or `Event::HandOver`, once this entry stops.
    release: Option<Event>,
}

impl Core {
    pub fn new(entry: Arc<Entry>) -> Core {
        let settings = &entry.settings;
        let limits = OwnerLimits {
            // Snapshots are written at half the retention period, so that the other half remains
            // for a log that is unavailable or slow.
            snapshot_age_ms: settings.log_retention_ms / 2,
            program_idle_ms: settings.program_idle_ms,
            tombstone_ms: settings.log_retention_ms,
            waits_for_log: settings.waits_for_log,
            ..OwnerLimits::default()
        };
        Core {
            entry,
            owners: HashMap::new(),
            calls: HashMap::new(),
            next_call: 0,
            limits,
            last_rebalance: TimeMs(0),
            release: None,
        }
    }

    /// Runs until every command sender is dropped.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Turn { request, replies } => self.turn(request, replies),
            Command::End { program, replies } => self.end(program, replies),
            Command::OwnerEvent { shard, nonce, event } => {
                self.handle_owner_event(shard, nonce, event)
            }
            Command::Publish(record) => {
                tokio::spawn(tasks::publish(self.entry.clone(), record));
            }
            Command::ConfirmOwnership { shard } => {
                if self.ensure_owner(shard) {
                    self.handle(shard, Event::ConfirmOwnership);
                }
            }
            Command::ReleaseAll => self.release_all(Event::Release),
            Command::HandOverAll => self.hand_over_all(),
        }
    }

    fn turn(&mut self, request: TurnRequest, replies: mpsc::UnboundedSender<Reply>) {
        let shard = request.program.shard(self.entry.settings.shards);
        self.handle_call(shard, replies, |call| Event::Request { call, request });
    }

    fn end(&mut self, program: ProgramId, replies: mpsc::UnboundedSender<Reply>) {
        let shard = program.shard(self.entry.settings.shards);
        self.handle_call(shard, replies, |call| Event::End { call, program });
    }

    fn handle_call(
        &mut self,
        shard: ShardId,
        replies: mpsc::UnboundedSender<Reply>,
        event: impl FnOnce(CallId) -> Event,
    ) {
        if !self.ensure_owner(shard) {
            let refusal = Refusal::not_run(RefusalReason::NotOwner).retry_after(0);
            let _ = replies.send(Reply::Refused(refusal));
            return;
        }
        let call = self.register_call(replies);
        self.handle(shard, event(call));
    }

    fn register_call(&mut self, replies: mpsc::UnboundedSender<Reply>) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.calls.insert(call, replies);
        call
    }

    /// Creates an owner that claims the shard, unless there is one already. Returns `false` if
    /// another entry should own the shard, or this one is not ready or releases its shards. While
    /// an entry that leaves serves its callers, it claims shards if all other entries leave too.
    fn ensure_owner(&mut self, shard: ShardId) -> bool {
        if self.owners.contains_key(&shard) {
            return true;
        }
        if !self.entry.is_ready()
            || self.release.is_some()
            || self.entry.locate(shard) != ShardLocation::Local
        {
            return false;
        }
        let nonce = rand::random();
        let vm = self.entry.vm().clone();
        let owner = ShardOwner::new(shard, vm, self.entry.instance, nonce, self.limits);
        self.owners.insert(shard, RunningOwner { owner, nonce });
        log::info!(shard = shard.0; "claiming the shard");
        self.handle(shard, Event::Claim);
        true
    }

    fn handle_owner_event(&mut self, shard: ShardId, nonce: u64, event: Event) {
        let is_current = self.owners.get(&shard).is_some_and(|running| running.nonce == nonce);
        if is_current {
            self.handle(shard, event);
        }
    }

    fn handle(&mut self, shard: ShardId, event: Event) {
        let Some(running) = self.owners.get_mut(&shard) else {
            return;
        };
        let clock = self.entry.clock;
        let mut env = EntryEnvironment(&self.entry);
        let actions = running.owner.handle(clock.now(), clock.unix(), event, &mut env);
        let nonce = running.nonce;
        self.update_owned_shard(shard);
        actions.into_iter().for_each(|action| self.execute(shard, nonce, action));
    }

    /// Updates the table of owned shards, which heartbeats and lenders read, after the owner
    /// handled an event. Removes an owner that has lost its shard.
    fn update_owned_shard(&mut self, shard: ShardId) {
        let Some(running) = self.owners.get(&shard) else {
            return;
        };
        let ownership = running.owner.ownership();
        if ownership.is_lost() {
            log::info!(shard = shard.0; "no longer owns the shard");
            self.owners.remove(&shard);
            self.entry.owned_shards().remove(&shard);
            self.entry.lenders().remove(shard);
            return;
        }
        let confirmed_at = running.owner.confirmed_at();
        if let Some((epoch, confirmed_at)) = ownership.epoch().zip(confirmed_at) {
            let before =
                self.entry.owned_shards().insert(shard, OwnedShard { epoch, confirmed_at });
            if before.is_none() {
                log::info!(shard = shard.0, epoch = epoch.0; "now owns the shard");
                let now = self.entry.clock.now();
                self.entry.lenders().add(now, shard, running.owner.predecessor());
            }
        }
        if ownership.is_releasing() {
            self.entry.lenders().remove(shard);
        }
    }

    fn execute(&mut self, shard: ShardId, nonce: u64, action: Action) {
        let owner = tasks::OwnerHandle { entry: self.entry.clone(), shard, nonce };
        match action {
            Action::Append(records) => drop(tokio::spawn(tasks::append(owner, records))),
            Action::Wake { in_ms } => drop(tokio::spawn(tasks::wake(owner, in_ms))),
            Action::Read(from) => drop(tokio::spawn(tasks::read(owner, from))),
            Action::Dispatch(attempt) => drop(tokio::spawn(tasks::dispatch(owner, attempt))),
            Action::QueryAttempt { attempt, endpoint, epoch } => {
                tokio::spawn(tasks::query_attempt(owner, attempt, endpoint, epoch));
            }
            Action::Cancel { attempt, endpoint } => {
                tokio::spawn(tasks::cancel(owner, attempt, endpoint));
            }
            Action::FreeCache { program } => {
                if let Some(endpoint) = self.entry.router().remove_program(&program) {
                    tokio::spawn(tasks::free(owner, program, endpoint));
                }
            }
            Action::Reply { call, reply } => self.reply(call, reply),
        }
    }

    fn reply(&mut self, call: CallId, reply: Reply) {
        let is_final = reply.is_final();
        let Some(replies) = self.calls.get(&call) else {
            return;
        };
        let is_crash_refusal = matches!(
            reply,
            Reply::Refused(Refusal { reason: RefusalReason::CrashesEndpoints, .. })
        );
        match is_crash_refusal {
            true => {
                let entry = self.entry.clone();
                tokio::spawn(tasks::reply_once_crashes_recorded(entry, replies.clone(), reply));
            }
            false => drop(replies.send(reply)),
        }
        if is_final {
            self.calls.remove(&call);
        }
    }

    fn tick(&mut self) {
        self.remove_disconnected_callers();
        self.handle_all(&Event::Tick);
        // An owner whose claim is not recorded yet can't release its shard. It does so at a later
        // tick; else this entry would own the shard until its exit and after.
        if let Some(release) = self.release.clone() {
            self.handle_all(&release);
        }
        self.rebalance();
    }

    /// Releases one idle shard if this entry owns more than one and a half times its equal share
    /// and another entry is preferred for that shard. Shards move otherwise only when their owner
    /// dies or leaves, so an entry that joins late would own none.
    fn rebalance(&mut self) {
        let now = self.entry.clock.now();
        if now.since(self.last_rebalance) < REBALANCE_INTERVAL_MS || self.entry.is_leaving() {
            return;
        }
        self.last_rebalance = now;
        let entries = 1 + self.entry.peers().live_entries().count();
        let equal_share = usize::from(self.entry.settings.shards).div_ceil(entries);
        if self.owners.len() <= equal_share + equal_share / 2 {
            return;
        }
        let is_idle = |running: &RunningOwner| {
            running.owner.ownership().is_owning() && running.owner.active_turns().next().is_none()
        };
        let idle =
            self.owners.iter().filter(|(_, running)| is_idle(running)).map(|(shard, _)| *shard);
        let shard_to_release = idle
            .into_iter()
            .find(|shard| self.entry.preferred_owner(*shard) != ShardLocation::Local);
        if let Some(shard) = shard_to_release {
            self.handle(shard, Event::Release);
        }
    }

    fn remove_disconnected_callers(&mut self) {
        let disconnected: Vec<CallId> =
            self.calls.iter().filter(|(_, r)| r.is_closed()).map(|(call, _)| *call).collect();
        let shards: Vec<ShardId> = self.owners.keys().copied().collect();
        for call in disconnected {
            self.calls.remove(&call);
            for shard in &shards {
                self.handle(*shard, Event::CallerGone { call });
            }
        }
    }

    fn handle_all(&mut self, event: &Event) {
        let shards: Vec<ShardId> = self.owners.keys().copied().collect();
        shards.into_iter().for_each(|shard| self.handle(shard, event.clone()));
    }

    fn hand_over_all(&mut self) {
        let owners = self.owners.values();
        for (program, turn) in owners.flat_map(|running| running.owner.active_turns()) {
            log::warn!(
                program = program.to_string(), turn = turn.turn.0,
                attempt = turn.attempt.to_string(), endpoint = turn.endpoint.vm.as_str(),
                phase:? = turn.phase;
                "turn in flight at shutdown; leaving it to the shard's next owner"
            );
        }
        self.release_all(Event::HandOver);
    }

    /// Releases every shard. Once turns are handed over, later ones are not waited for either.
    fn release_all(&mut self, release: Event) {
        self.handle_all(&release);
        if self.release != Some(Event::HandOver) {
            self.release = Some(release);
        }
    }
}
