use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::contracts::ConfigRecord;
use crate::entry::state::{Entry, Ownership, Place};
use crate::entry::surroundings::EntrySurroundings;
use crate::entry::tasks;
use crate::prelude::*;
use crate::programs::{
    Action, CallId, Event, OwnerLimits, Refusal, RefusalReason, Reply, ShardOwner, TurnRequest,
};

/// Time between two ticks of the owners.
const TICK: Duration = Duration::from_millis(25);

/// Time between two shards that are given up for balance.
const REBALANCE_MS: u64 = 500;

/// What the core is told.
pub(super) enum Command {
    /// A caller's turn, for a shard of this entry.
    Turn { request: TurnRequest, replies: mpsc::UnboundedSender<Reply> },
    /// A caller ends a program.
    End { program: ProgramId, replies: mpsc::UnboundedSender<Reply> },
    /// Something happened to what an owner asked for. The nonce tells which owner of the shard:
    /// one that was lost must not get the answers meant for its successor, nor the reverse.
    Owner { shard: ShardId, nonce: u64, event: Event },
    /// Something that all entries have to learn of.
    Publish(ConfigRecord),
    /// Make sure that a shard is still this entry's, or claim it if it falls to this entry.
    Confirm { shard: ShardId },
    /// Give up every shard.
    HandOver,
}

struct Owned {
    owner: ShardOwner,
    nonce: u64,
}

/// The one task that holds the owners of this entry's shards.
pub(super) struct Core {
    entry: Arc<Entry>,
    owners: HashMap<ShardId, Owned>,
    calls: HashMap<CallId, mpsc::UnboundedSender<Reply>>,
    next_call: u64,
    limits: OwnerLimits,
    rebalanced: TimeMs,
}

impl Core {
    pub fn new(entry: Arc<Entry>) -> Core {
        let settings = &entry.settings;
        let limits = OwnerLimits {
            // Half the retention leaves the other half for a log that is out or slow.
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
            rebalanced: TimeMs(0),
        }
    }

    /// Runs until every sender of commands is gone.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Turn { request, replies } => self.turn(request, replies),
            Command::End { program, replies } => self.end(program, replies),
            Command::Owner { shard, nonce, event } => self.event(shard, nonce, event),
            Command::Publish(record) => {
                tokio::spawn(tasks::publish(self.entry.clone(), record));
            }
            Command::Confirm { shard } => {
                if self.take_shard(shard) {
                    self.handle(shard, Event::ConfirmOwnership);
                }
            }
            Command::HandOver => self.hand_over(),
        }
    }

    fn turn(&mut self, request: TurnRequest, replies: mpsc::UnboundedSender<Reply>) {
        let shard = request.program.shard(self.entry.settings.shards);
        self.take_call(shard, replies, |call| Event::Request { call, request });
    }

    fn end(&mut self, program: ProgramId, replies: mpsc::UnboundedSender<Reply>) {
        let shard = program.shard(self.entry.settings.shards);
        self.take_call(shard, replies, |call| Event::End { call, program });
    }

    fn take_call(
        &mut self,
        shard: ShardId,
        replies: mpsc::UnboundedSender<Reply>,
        event: impl FnOnce(CallId) -> Event,
    ) {
        if !self.take_shard(shard) {
            let refusal = Refusal::not_run(RefusalReason::NotOwner).retry_after(0);
            let _ = replies.send(Reply::Refused(refusal));
            return;
        }
        let call = self.register(replies);
        self.handle(shard, event(call));
    }

    fn register(&mut self, replies: mpsc::UnboundedSender<Reply>) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.calls.insert(call, replies);
        call
    }

    /// Makes sure that this entry has an owner for the shard, if it is the one to own it.
    fn take_shard(&mut self, shard: ShardId) -> bool {
        if self.owners.contains_key(&shard) {
            return true;
        }
        if !self.entry.is_ready()
            || self.entry.is_leaving()
            || self.entry.locate(shard) != Place::Here
        {
            return false;
        }
        let nonce = rand::random();
        let vm = self.entry.vm().clone();
        let owner = ShardOwner::new(shard, vm, self.entry.instance, nonce, self.limits);
        self.owners.insert(shard, Owned { owner, nonce });
        log::info!(shard = shard.0; "claiming a shard");
        self.handle(shard, Event::Claim);
        true
    }

    fn event(&mut self, shard: ShardId, nonce: u64, event: Event) {
        let meant = self.owners.get(&shard).is_some_and(|owned| owned.nonce == nonce);
        if meant {
            self.handle(shard, event);
        }
    }

    fn handle(&mut self, shard: ShardId, event: Event) {
        let Some(owned) = self.owners.get_mut(&shard) else {
            return;
        };
        let clock = self.entry.clock;
        let mut surroundings = EntrySurroundings(&self.entry);
        let actions = owned.owner.handle(clock.now(), clock.unix(), event, &mut surroundings);
        let nonce = owned.nonce;
        self.note_tenure(shard);
        actions.into_iter().for_each(|action| self.carry_out(shard, nonce, action));
    }

    /// Shows others which shards this entry owns, and drops owners that have lost theirs.
    fn note_tenure(&mut self, shard: ShardId) {
        let Some(owned) = self.owners.get(&shard) else {
            return;
        };
        let ownership = owned.owner.ownership();
        if ownership.is_lost() {
            log::info!(shard = shard.0; "lost a shard");
            self.owners.remove(&shard);
            self.entry.owned().remove(&shard);
            self.entry.lenders().close(shard);
            return;
        }
        let confirmed = owned.owner.confirmed_at();
        if let Some((epoch, confirmed)) = ownership.epoch().zip(confirmed) {
            let before = self.entry.owned().insert(shard, Ownership { epoch, confirmed });
            if before.is_none() {
                log::info!(shard = shard.0, epoch = epoch.0; "owning a shard");
                let now = self.entry.clock.now();
                self.entry.lenders().open(now, shard, owned.owner.predecessor());
            }
        }
        if ownership.is_releasing() {
            self.entry.lenders().close(shard);
        }
    }

    fn carry_out(&mut self, shard: ShardId, nonce: u64, action: Action) {
        let back = tasks::Back { entry: self.entry.clone(), shard, nonce };
        match action {
            Action::Append(records) => drop(tokio::spawn(tasks::append(back, records))),
            Action::Wake { in_ms } => drop(tokio::spawn(tasks::wake(back, in_ms))),
            Action::Read(from) => drop(tokio::spawn(tasks::read(back, from))),
            Action::Dispatch(attempt) => drop(tokio::spawn(tasks::dispatch(back, attempt))),
            Action::QueryAttempt { attempt, endpoint, epoch } => {
                tokio::spawn(tasks::ask(back, attempt, endpoint, epoch));
            }
            Action::Cancel { attempt, endpoint } => {
                tokio::spawn(tasks::cancel(back, attempt, endpoint));
            }
            Action::FreeCache { program } => {
                if let Some(endpoint) = self.entry.router().remove_program(&program) {
                    tokio::spawn(tasks::free(back, program, endpoint));
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
        let gives_up = matches!(
            reply,
            Reply::Refused(Refusal { reason: RefusalReason::CrashesEndpoints, .. })
        );
        match gives_up {
            true => {
                let entry = self.entry.clone();
                tokio::spawn(tasks::reply_when_recorded(entry, replies.clone(), reply));
            }
            false => drop(replies.send(reply)),
        }
        if is_final {
            self.calls.remove(&call);
        }
    }

    fn tick(&mut self) {
        self.drop_gone_callers();
        let shards: Vec<ShardId> = self.owners.keys().copied().collect();
        shards.into_iter().for_each(|shard| self.handle(shard, Event::Tick));
        self.rebalance();
    }

    /// Gives an idle shard up when this entry owns far more than its part and another would be
    /// picked for it. Entries that join late own nothing otherwise: shards move only at a death.
    fn rebalance(&mut self) {
        let now = self.entry.clock.now();
        if now.since(self.rebalanced) < REBALANCE_MS || self.entry.is_leaving() {
            return;
        }
        self.rebalanced = now;
        let entries = 1 + self.entry.peers().live_entries().count();
        let part = usize::from(self.entry.settings.shards).div_ceil(entries);
        if self.owners.len() <= part + part / 2 {
            return;
        }
        let is_idle = |owned: &Owned| {
            owned.owner.ownership().is_owning() && owned.owner.active_turns().next().is_none()
        };
        let idle = self.owners.iter().filter(|(_, owned)| is_idle(owned)).map(|(shard, _)| *shard);
        let elsewhere = idle.into_iter().find(|shard| self.entry.preferred(*shard) != Place::Here);
        if let Some(shard) = elsewhere {
            self.handle(shard, Event::Release);
        }
    }

    fn drop_gone_callers(&mut self) {
        let gone: Vec<CallId> =
            self.calls.iter().filter(|(_, r)| r.is_closed()).map(|(call, _)| *call).collect();
        let shards: Vec<ShardId> = self.owners.keys().copied().collect();
        for call in gone {
            self.calls.remove(&call);
            for shard in &shards {
                self.handle(*shard, Event::CallerGone { call });
            }
        }
    }

    fn hand_over(&mut self) {
        let shards: Vec<ShardId> = self.owners.keys().copied().collect();
        shards.into_iter().for_each(|shard| self.handle(shard, Event::Release));
    }
}
