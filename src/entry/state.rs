use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use crate::admission::{Borrower, MIN_CALLS_TO_PREFETCH};
use crate::contracts::Book;
use crate::entry::config::Confirmation;
use crate::entry::core::Command;
use crate::entry::rates::Lenders;
use crate::entry::standstill::Standstill;
use crate::http::Client;
use crate::link::LinkPool;
use crate::logstore::{LogClient, Pacer};
use crate::membership::{LivenessTimeouts, Peer, PeerTable};
use crate::prelude::*;
use crate::programs::CrashStatus;
use crate::routing::{RetryBudget, Router, RoutingPolicy};
use crate::settings::EntrySettings;
use crate::time::Clock;

/// Crashes of calls that this entry knows of and the log may not have yet.
type Suspects = HashMap<(WorkspaceId, Digest), Vec<Crash>>;

/// What the tasks of an entry share. Each lock is held for a few steps and never over an await.
pub(super) struct Entry {
    pub settings: EntrySettings,
    pub instance: Instance,
    pub clock: Clock,
    pub http: Client,
    pub links: LinkPool,
    pub log: LogClient,
    pub commands: mpsc::UnboundedSender<Command>,
    pub book: watch::Sender<Arc<Book>>,
    confirmation: Mutex<Confirmation>,
    peers: Mutex<PeerTable>,
    standstill: Mutex<Standstill>,
    router: Mutex<Router>,
    retries: Mutex<RetryBudget>,
    pacer: Mutex<Pacer>,
    owned: Mutex<HashMap<ShardId, Ownership>>,
    suspects: Mutex<Suspects>,
    borrower: Mutex<Borrower>,
    lenders: Mutex<Lenders>,
    ready: AtomicBool,
    log_failing: AtomicBool,
    /// Crashes that the log has not taken yet.
    crashes_to_record: AtomicUsize,
    leaving: watch::Sender<bool>,
}

/// A shard that this entry owns.
#[value]
#[derive(Copy)]
pub(super) struct Ownership {
    pub epoch: Epoch,
    /// The last moment at which the log was asked and then showed that it is still ours.
    pub confirmed: TimeMs,
}

/// Where a shard's calls go.
#[value]
pub(super) enum Place {
    /// To this entry.
    Here,
    /// To another.
    There(VmName, SocketAddr),
}

fn peer_status(peer: &Peer) -> serde_json::Value {
    serde_json::json!({
        "vm": peer.heartbeat.vm,
        "instance": peer.heartbeat.instance,
        "live": peer.is_live(),
        "dead": peer.is_dead(),
    })
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}

impl Entry {
    pub fn new(settings: EntrySettings, commands: mpsc::UnboundedSender<Command>) -> Entry {
        let clock = Clock::start();
        let http = Client::open();
        let log_timeout = Duration::from_millis(settings.log_timeout_ms);
        let log = LogClient::open(http.clone(), settings.log, log_timeout);
        let timings = LivenessTimeouts::for_heartbeat(settings.process.heartbeat_ms);
        let instance = Instance::random();
        Entry {
            instance,
            clock,
            http,
            links: LinkPool::default(),
            log,
            commands,
            book: watch::Sender::new(Arc::new(Book::default())),
            confirmation: Mutex::default(),
            peers: Mutex::new(PeerTable::new(timings)),
            standstill: Mutex::new(Standstill::open(settings.process.heartbeat_ms)),
            router: Mutex::new(Router::new(RoutingPolicy::CacheAffinity, instance.0)),
            retries: Mutex::default(),
            pacer: Mutex::new(Pacer::new(settings.appends_per_s)),
            owned: Mutex::default(),
            suspects: Mutex::default(),
            borrower: Mutex::new(Borrower::new(instance, MIN_CALLS_TO_PREFETCH)),
            lenders: Mutex::default(),
            ready: AtomicBool::new(false),
            log_failing: AtomicBool::new(false),
            crashes_to_record: AtomicUsize::new(0),
            leaving: watch::Sender::new(false),
            settings,
        }
    }

    pub fn vm(&self) -> &VmName {
        &self.settings.process.vm
    }

    pub fn peers(&self) -> MutexGuard<'_, PeerTable> {
        locked(&self.peers)
    }

    pub fn standstill(&self) -> MutexGuard<'_, Standstill> {
        locked(&self.standstill)
    }

    pub fn router(&self) -> MutexGuard<'_, Router> {
        locked(&self.router)
    }

    pub fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        locked(&self.retries)
    }

    pub fn owned(&self) -> MutexGuard<'_, HashMap<ShardId, Ownership>> {
        locked(&self.owned)
    }

    pub fn borrower(&self) -> MutexGuard<'_, Borrower> {
        locked(&self.borrower)
    }

    pub fn lenders(&self) -> MutexGuard<'_, Lenders> {
        locked(&self.lenders)
    }

    pub fn confirmation(&self) -> MutexGuard<'_, Confirmation> {
        locked(&self.confirmation)
    }

    pub fn current_book(&self) -> Arc<Book> {
        self.book.borrow().clone()
    }

    /// From now on shards may be claimed.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Relaxed);
    }

    /// Whether shards may be claimed and callers be let in.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Takes note of whether the log answered.
    pub fn note_log(&self, answered: bool) {
        self.log_failing.store(!answered, Ordering::Relaxed);
    }

    /// Whether the log did not answer when last asked.
    pub fn is_log_failing(&self) -> bool {
        self.log_failing.load(Ordering::Relaxed)
    }

    /// How this entry does, for operators.
    pub fn status(&self) -> serde_json::Value {
        let shards: Vec<u16> = self.owned().keys().map(|shard| shard.0).collect();
        let peers: Vec<serde_json::Value> = self.peers().all().map(peer_status).collect();
        serde_json::json!({
            "role": "entry",
            "vm": self.vm(),
            "ready": self.is_ready() && !self.is_leaving(),
            "config": self.current_book().through(),
            "config_age_ms": self.config_age_ms(),
            "log_failing": self.is_log_failing(),
            "shards": shards,
            "peers": peers,
        })
    }

    /// Stops taking new work.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }

    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Reserves one append of this entry's part; returns how long to wait for it.
    pub fn reserve_append(&self) -> u64 {
        let entries = 1 + self.peers().live_entries().count();
        let mut pacer = locked(&self.pacer);
        pacer.share_between(entries);
        pacer.reserve(self.clock.now())
    }

    /// What is known of a call that may crash engines, by the log and by this entry.
    pub fn crash_status(&self, workspace: &WorkspaceId, digest: &Digest) -> CrashStatus {
        let own = locked(&self.suspects);
        let crashes = own.get(&(workspace.clone(), *digest)).map_or(&[][..], Vec::as_slice);
        self.book.borrow().crash_status(workspace, digest, crashes)
    }

    /// Counts a crash that has to be recorded.
    pub fn owe_crash_record(&self) {
        self.crashes_to_record.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes note that the log has taken one, or that it was given up.
    pub fn settle_crash_record(&self) {
        self.crashes_to_record.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether every crash is recorded.
    pub fn crashes_are_recorded(&self) -> bool {
        self.crashes_to_record.load(Ordering::Relaxed) == 0
    }

    /// The VMs on which engines crashed under a call.
    pub fn crashed_vms(&self, workspace: &WorkspaceId, digest: &Digest) -> Vec<VmName> {
        let own = locked(&self.suspects);
        let unrecorded = own.get(&(workspace.clone(), *digest)).into_iter().flatten();
        let book = self.book.borrow();
        let recorded = book.crashes(workspace, digest).iter();
        recorded.chain(unrecorded).map(|crash| crash.vm.clone()).collect()
    }

    /// Counts a crash at once; the log learns of it meanwhile.
    pub fn note_crash(&self, workspace: &WorkspaceId, digest: &Digest, crash: Crash) {
        let mut own = locked(&self.suspects);
        let crashes = own.entry((workspace.clone(), *digest)).or_default();
        if !crashes.contains(&crash) {
            crashes.push(crash);
        }
    }

    /// Whether another entry may still own a shard: it is not dead, and nobody else owns it.
    pub fn may_own(&self, shard: ShardId, vm: &VmName) -> bool {
        if self.owned().contains_key(&shard) {
            return false;
        }
        let peers = self.peers();
        let alive = peers.peer_on(vm).is_some_and(|peer| !peer.is_dead());
        let replaced = peers.owner_of(shard).is_some_and(|(owner, _)| owner.heartbeat.vm != *vm);
        alive && !replaced
    }

    /// Forgets crashes that the log holds by now, or that proved to be another call's.
    pub fn forget_crashes(&self, workspace: &WorkspaceId, digest: &Digest) {
        locked(&self.suspects).remove(&(workspace.clone(), *digest));
    }

    /// Where the calls of a shard go: to its owner, or else to the entry that all would pick.
    pub fn locate(&self, shard: ShardId) -> Place {
        if self.owned().contains_key(&shard) {
            return Place::Here;
        }
        let peers = self.peers();
        if let Some((owner, _)) = peers.owner_of(shard) {
            return Place::There(owner.heartbeat.vm.clone(), owner.heartbeat.address);
        }
        drop(peers);
        self.preferred(shard)
    }

    /// The entry that all would pick to own a shard.
    pub fn preferred(&self, shard: ShardId) -> Place {
        let peers = self.peers();
        let rank =
            |vm: &VmName| Digest::of(&[&shard.0.to_le_bytes(), vm.as_str().as_bytes()]).prefix();
        let others = peers.live_entries();
        let best = others.max_by_key(|peer| rank(&peer.heartbeat.vm));
        match best {
            Some(peer) if self.is_leaving() || rank(&peer.heartbeat.vm) > rank(self.vm()) => {
                Place::There(peer.heartbeat.vm.clone(), peer.heartbeat.address)
            }
            _ => Place::Here,
        }
    }
}
