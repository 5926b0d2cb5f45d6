use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::admission::{Borrower, MIN_CALLS_TO_PREFETCH};
use crate::contracts::ConfigState;
use crate::entry::calls_in_flight::CallsInFlight;
use crate::entry::config::ConfigStreamStatus;
use crate::entry::core::Command;
use crate::entry::pause_detector::PauseDetector;
use crate::entry::rates::Lenders;
use crate::http::Client;
use crate::link::LinkPool;
use crate::logstore::{LogClient, Pacer};
use crate::membership::{LivenessTimeouts, Peer, PeerTable};
use crate::prelude::*;
use crate::programs::CrashStatus;
use crate::routing::{RetryBudget, Router, RoutingPolicy};
use crate::settings::EntrySettings;
use crate::time::Clock;

/// Engine crashes that this entry observed and that the log may not hold yet, by the call that was
/// running.
type CrashesByCall = HashMap<(WorkspaceId, Digest), Vec<Crash>>;

/// State shared by the tasks of an entry. Each lock is held only briefly and never across an
/// await.
pub(super) struct Entry {
    pub settings: EntrySettings,
    pub instance: Instance,
    pub clock: Clock,
    pub http: Client,
    pub links: LinkPool,
    pub log: LogClient,
    pub commands: mpsc::UnboundedSender<Command>,
    /// The configuration in force.
    pub config_state: watch::Sender<Arc<ConfigState>>,
    config_stream_status: Mutex<ConfigStreamStatus>,
    peers: Mutex<PeerTable>,
    pause_detector: Mutex<PauseDetector>,
    router: Mutex<Router>,
    retry_budget: Mutex<RetryBudget>,
    pacer: Mutex<Pacer>,
    owned_shards: Mutex<HashMap<ShardId, OwnedShard>>,
    local_crashes: Mutex<CrashesByCall>,
    borrower: Mutex<Borrower>,
    lenders: Mutex<Lenders>,
    ready: AtomicBool,
    log_failing: AtomicBool,
    /// Number of crash records that are still to be appended to the log.
    pending_crash_records: AtomicUsize,
    leaving: watch::Sender<bool>,
    pub calls: Arc<CallsInFlight>,
    /// Cancelled when this entry is about to exit: every call in flight is answered then.
    pub answers_due: CancellationToken,
}

/// A shard that this entry owns.
#[value]
#[derive(Copy)]
pub(super) struct OwnedShard {
    pub epoch: Epoch,
    /// When the newest request to the log was sent whose answer showed that this entry still owns
    /// the shard.
    pub confirmed_at: TimeMs,
}

/// The entry that a shard's calls go to.
#[value]
pub(super) enum ShardLocation {
    /// This entry.
    Local,
    /// Another entry: its VM and the address for peer requests.
    Remote(VmName, SocketAddr),
}

fn peer_status(peer: &Peer) -> serde_json::Value {
    serde_json::json!({
        "vm": peer.heartbeat.vm,
        "instance": peer.heartbeat.instance,
        "live": peer.is_live(),
        "dead": peer.is_dead(),
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("lock poisoned: a holder panicked")
}

impl Entry {
    pub fn new(settings: EntrySettings, commands: mpsc::UnboundedSender<Command>) -> Entry {
        let clock = Clock::start();
        let http = Client::open();
        let log_timeout = Duration::from_millis(settings.log_timeout_ms);
        let log = LogClient::open(http.clone(), settings.log, log_timeout);
        let timeouts = LivenessTimeouts::for_heartbeat(settings.process.heartbeat_ms);
        let instance = Instance::random();
        Entry {
            instance,
            clock,
            http,
            links: LinkPool::default(),
            log,
            commands,
            config_state: watch::Sender::new(Arc::new(ConfigState::default())),
            config_stream_status: Mutex::default(),
            peers: Mutex::new(PeerTable::new(timeouts)),
            pause_detector: Mutex::new(PauseDetector::new(settings.process.heartbeat_ms)),
            router: Mutex::new(Router::new(RoutingPolicy::CacheAffinity, instance.0)),
            retry_budget: Mutex::default(),
            pacer: Mutex::new(Pacer::new(settings.appends_per_s)),
            owned_shards: Mutex::default(),
            local_crashes: Mutex::default(),
            borrower: Mutex::new(Borrower::new(instance, MIN_CALLS_TO_PREFETCH)),
            lenders: Mutex::default(),
            ready: AtomicBool::new(false),
            log_failing: AtomicBool::new(false),
            pending_crash_records: AtomicUsize::new(0),
            leaving: watch::Sender::new(false),
            calls: Arc::default(),
            answers_due: CancellationToken::new(),
            settings,
        }
    }

    pub fn vm(&self) -> &VmName {
        &self.settings.process.vm
    }

    pub fn peers(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }

    pub fn pause_detector(&self) -> MutexGuard<'_, PauseDetector> {
        lock(&self.pause_detector)
    }

    pub fn router(&self) -> MutexGuard<'_, Router> {
        lock(&self.router)
    }

    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    pub fn owned_shards(&self) -> MutexGuard<'_, HashMap<ShardId, OwnedShard>> {
        lock(&self.owned_shards)
    }

    pub fn borrower(&self) -> MutexGuard<'_, Borrower> {
        lock(&self.borrower)
    }

    pub fn lenders(&self) -> MutexGuard<'_, Lenders> {
        lock(&self.lenders)
    }

    pub fn config_stream_status(&self) -> MutexGuard<'_, ConfigStreamStatus> {
        lock(&self.config_stream_status)
    }

    pub fn current_config_state(&self) -> Arc<ConfigState> {
        self.config_state.borrow().clone()
    }

    /// Allows shards to be claimed and callers to be admitted.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Relaxed);
    }

    /// Whether shards may be claimed and callers admitted.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Records whether the last request to the log succeeded.
    pub fn record_log_result(&self, succeeded: bool) {
        self.log_failing.store(!succeeded, Ordering::Relaxed);
    }

    /// Whether the last request to the log failed.
    pub fn is_log_failing(&self) -> bool {
        self.log_failing.load(Ordering::Relaxed)
    }

    /// The status report that operators get from `/status`.
    pub fn status(&self) -> serde_json::Value {
        let shards: Vec<u16> = self.owned_shards().keys().map(|shard| shard.0).collect();
        let peers: Vec<serde_json::Value> = self.peers().all().map(peer_status).collect();
        serde_json::json!({
            "role": "entry",
            "vm": self.vm(),
            "ready": self.is_ready() && !self.is_leaving(),
            "config": self.current_config_state().through(),
            "config_age_ms": self.config_age_ms(),
            "log_failing": self.is_log_failing(),
            "shards": shards,
            "peers": peers,
        })
    }

    /// Marks this entry as leaving: its heartbeats say so, and it claims a shard only if no other
    /// entry can own it.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }

    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Reserves one append of this entry's share of the fleet's append rate. Returns how long to
    /// wait before sending it, in milliseconds.
    pub fn reserve_append(&self) -> u64 {
        let entries = 1 + self.peers().live_entries().count();
        let mut pacer = lock(&self.pacer);
        pacer.share_between(entries);
        pacer.reserve(self.clock.now())
    }

    /// Whether a call is suspected or known to crash engines, by the crashes in the log and by
    /// those that only this entry knows of yet.
    pub fn crash_status(&self, workspace: &WorkspaceId, digest: &Digest) -> CrashStatus {
        let local_crashes = lock(&self.local_crashes);
        let crashes =
            local_crashes.get(&(workspace.clone(), *digest)).map_or(&[][..], Vec::as_slice);
        self.config_state.borrow().crash_status(workspace, digest, crashes)
    }

    /// Counts a crash record that is to be appended.
    pub fn add_pending_crash_record(&self) {
        self.pending_crash_records.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a crash record as appended or given up.
    pub fn remove_pending_crash_record(&self) {
        self.pending_crash_records.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether no crash record is left to append.
    pub fn crashes_are_recorded(&self) -> bool {
        self.pending_crash_records.load(Ordering::Relaxed) == 0
    }

    /// VMs whose engine crashed while it ran the call.
    pub fn crashed_vms(&self, workspace: &WorkspaceId, digest: &Digest) -> Vec<VmName> {
        let local_crashes = lock(&self.local_crashes);
        let local = local_crashes.get(&(workspace.clone(), *digest)).into_iter().flatten();
        let config_state = self.config_state.borrow();
        let recorded = config_state.crashes(workspace, digest).iter();
        recorded.chain(local).map(|crash| crash.vm.clone()).collect()
    }

    /// Stores a crash locally, so that it counts before the log holds it.
    pub fn add_local_crash(&self, workspace: &WorkspaceId, digest: &Digest, crash: Crash) {
        let mut local_crashes = lock(&self.local_crashes);
        let crashes = local_crashes.entry((workspace.clone(), *digest)).or_default();
        if !crashes.contains(&crash) {
            crashes.push(crash);
        }
    }

    /// Whether the entry on `vm` may still own a shard: it is not considered dead, and no other
    /// entry is known to own the shard.
    pub fn may_own(&self, shard: ShardId, vm: &VmName) -> bool {
        if self.owned_shards().contains_key(&shard) {
            return false;
        }
        let peers = self.peers();
        let alive = peers.peer_on(vm).is_some_and(|peer| !peer.is_dead());
        let replaced = peers.owner_of(shard).is_some_and(|(owner, _)| owner.heartbeat.vm != *vm);
        alive && !replaced
    }

    /// Removes the local crashes of a call: the log holds them by now, or the call was cleared
    /// of the suspicion that it crashes engines.
    pub fn remove_local_crashes(&self, workspace: &WorkspaceId, digest: &Digest) {
        lock(&self.local_crashes).remove(&(workspace.clone(), *digest));
    }

    /// The entry that a shard's calls go to: its owner if one is known, else the preferred one.
    pub fn locate(&self, shard: ShardId) -> ShardLocation {
        if self.owned_shards().contains_key(&shard) {
            return ShardLocation::Local;
        }
        let peers = self.peers();
        if let Some((owner, _)) = peers.owner_of(shard) {
            return ShardLocation::Remote(owner.heartbeat.vm.clone(), owner.heartbeat.address);
        }
        drop(peers);
        self.preferred_owner(shard)
    }

    /// The entry that should own a shard if nobody does, by rendezvous hashing: entries that see
    /// the same live peers agree on it. A leaving entry prefers any other; if all leave, they agree
    /// on one of themselves.
    pub fn preferred_owner(&self, shard: ShardId) -> ShardLocation {
        let peers = self.peers();
        let rank =
            |vm: &VmName| Digest::of(&[&shard.0.to_le_bytes(), vm.as_str().as_bytes()]).prefix();
        let peer_rank = |peer: &&Peer| rank(&peer.heartbeat.vm);
        let live = peers.live_entries().max_by_key(peer_rank);
        let prefers_others = self.is_leaving() && live.is_some();
        let best = match live {
            None if self.is_leaving() => peers.entries_not_dead().max_by_key(peer_rank),
            live => live,
        };
        match best {
            Some(peer) if prefers_others || peer_rank(&peer) > rank(self.vm()) => {
                ShardLocation::Remote(peer.heartbeat.vm.clone(), peer.heartbeat.address)
            }
            _ => ShardLocation::Local,
        }
    }
}
