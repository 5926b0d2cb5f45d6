use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::Notify;

use super::attempt::EndpointRequest;
use super::endpoint_feed::EndpointListStatus;
use super::operator_feed::ActiveConfig;
use super::peers::Peers;
use super::rates::RateLimiter;
use super::reachability::StoreReachability;
use super::shard_table::ShardTable;
use super::suspects::Suspects;
use super::{GatewaySettings, Protocol, Store};
use crate::catalog::Regions;
use crate::http::Connections;
use crate::mechanisms::Mechanism;
use crate::prelude::*;
use crate::replicas::{Directory, Placement, PlacementRequest, ReplicaKey};
use crate::time::Clock;

/// All that the tasks of a gateway share. They run on one thread.
pub(super) struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) store: Rc<dyn Store>,
    pub(super) protocol: Rc<dyn Protocol>,
    pub(super) active_config: ActiveConfig,
    pub(super) reachability: StoreReachability,
    pub(super) endpoint_list: EndpointListStatus,
    pub(super) directory: RefCell<Directory>,
    pub(super) placement: RefCell<Placement>,
    pub(super) connections: Rc<Connections>,
    pub(super) rates: RefCell<RateLimiter>,
    pub(super) suspects: RefCell<Suspects>,
    pub(super) shards: ShardTable,
    pub(super) peers: RefCell<Peers>,
    /// Something happened that the other entries should hear at once.
    pub(super) gossip_due: Notify,
    /// The membership should be renewed at once.
    pub(super) renew: Notify,
    /// Set by SIGTERM.
    pub(super) draining: Cell<bool>,
    /// Where the batches of an epoch are numbered from, different in each life of the process. An
    /// epoch is that of the deal: a process that starts again while the store can't be told of it may
    /// be dealt its shards under the epoch that it had. Numbered alike, its batches would be taken for
    /// repeats, acknowledged and not stored; so they are out of sequence, and the shard is taken again
    /// under a later epoch.
    pub(super) first_sequence: u64,
    /// Requests of callers and peers being served.
    pub(super) running: Cell<u32>,
    clock: Clock,
}

impl Gateway {
    pub(super) fn open(
        settings: GatewaySettings,
        store: Rc<dyn Store>,
        protocol: Rc<dyn Protocol>,
    ) -> Rc<Gateway> {
        let shards = ShardTable::open(store.shards());
        let seed = Digest::of(&[settings.name.as_bytes()]).prefix();
        let placement = Placement::open(settings.topology.clone(), settings.mechanisms);
        let clock = Clock::start();
        Rc::new(Gateway {
            first_sequence: clock.unix().0,
            store,
            protocol,
            active_config: ActiveConfig::default(),
            reachability: StoreReachability::default(),
            endpoint_list: EndpointListStatus::default(),
            directory: RefCell::new(Directory::open(seed)),
            placement: RefCell::new(placement),
            connections: Rc::default(),
            rates: RefCell::new(RateLimiter::open(settings.bounds.rate_window_ms)),
            suspects: RefCell::default(),
            shards,
            peers: RefCell::default(),
            gossip_due: Notify::new(),
            renew: Notify::new(),
            draining: Cell::new(false),
            running: Cell::new(0),
            clock,
            settings,
        })
    }

    /// Monotonic time since the start.
    pub(super) fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// Wall-clock time.
    pub(super) fn unix(&self) -> UnixMs {
        self.clock.unix()
    }

    /// Where an endpoint is, and its id.
    pub(super) fn endpoint(&self, key: ReplicaKey) -> Option<(SocketAddr, Arc<str>)> {
        let directory = self.directory.borrow();
        directory.get(key).map(|replica| (replica.announcement.address, replica.id.clone()))
    }

    /// The best endpoint for a request.
    pub(super) fn choose(&self, want: &PlacementRequest) -> Option<ReplicaKey> {
        let now = self.now();
        let connected = |address| self.connections.has_kept(now, address);
        self.placement.borrow_mut().choose(now, &self.directory.borrow(), want, connected)
    }

    /// Whether a mechanism is on.
    pub(super) fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.settings.mechanisms.is_enabled(mechanism)
    }

    /// An endpoint broke off or can't be reached.
    pub(super) fn record_endpoint_failure(&self, key: ReplicaKey) {
        if !self.is_enabled(Mechanism::Health) {
            return;
        }
        self.directory.borrow_mut().record_failure(self.now(), key);
        self.gossip_due.notify_one();
    }

    /// An endpoint may have started anew under the name that it had. It says so only later, and by then
    /// every entry takes it for an idle one that bears all they have.
    pub(super) fn assume_cold(&self, key: ReplicaKey) {
        self.directory.borrow_mut().assume_cold(self.now(), key);
    }

    /// A request broke off at an endpoint: if the endpoint is down, the request may have done it.
    ///
    /// A lost answer alone proves nothing, and counting it would condemn sound requests; an endpoint
    /// that has closed its other connections too, or refuses a new one, has crashed.
    pub(super) async fn check_for_crash(&self, job: &EndpointRequest, endpoint: ReplicaKey) {
        let Some((address, id)) = self.endpoint(endpoint) else {
            return;
        };
        let crashed = match self.connections.all_closed(address) {
            Some(all_closed) => all_closed,
            None => match self.connections.open(address).await {
                Ok(connection) => {
                    self.connections.keep(self.now(), connection);
                    false
                }
                Err(_) => true,
            },
        };
        let crashes = match crashed {
            true => self.suspects.borrow_mut().record_crash(self.now(), job.crash_key),
            false => 0,
        };
        log::info!(request:% = job.request, endpoint:% = id, crashes; "broke off at an endpoint");
        if crashed {
            self.assume_cold(endpoint);
            self.gossip_due.notify_one();
        }
    }

    /// Whether a request has crashed too many endpoints.
    pub(super) fn is_poison_request(&self, crash_key: u64) -> bool {
        self.suspects.borrow().is_poison(self.now(), crash_key)
    }

    /// A request was answered.
    pub(super) fn clear_suspect(&self, crash_key: u64) {
        self.suspects.borrow_mut().clear_suspect(crash_key);
    }

    /// Asks the group of owners for the deal in force.
    pub(super) fn renew_membership(&self) {
        self.renew.notify_one();
    }

    /// Whether the configuration was confirmed of late, so that keys may be served.
    pub(super) fn is_fresh(&self) -> bool {
        self.active_config.is_fresh(self.settings.bounds.revoke_ms)
    }

    /// Whether a request that may run in these regions may be sent to another entry: one in such a region, or
    /// in this entry's own, where its caller is.
    pub(super) fn may_forward_to(&self, entry: SocketAddr, regions: &Regions) -> bool {
        let peers = self.peers.borrow();
        let region = peers.region(entry);
        regions.allow(region) || self.is_local_region(region)
    }

    /// Whether another entry is in this one's region.
    pub(super) fn is_local_region(&self, region: Option<&str>) -> bool {
        let topology = &self.settings.topology;
        !topology.has_other_regions() || region == Some(&*topology.region)
    }

    /// Whether requests wait here for the store: it is away for all, and not only for this entry, so that
    /// no other entry would serve a caller any better.
    pub(super) fn waits_for_store(&self) -> bool {
        self.is_enabled(Mechanism::StoreWait)
            && self.peers.borrow().store_unreachable_for_most(self.now())
    }

    /// Counts a request as running until the guard is dropped.
    pub(super) fn begin_request(self: &Rc<Self>) -> Running {
        self.running.set(self.running.get() + 1);
        Running(self.clone())
    }

    /// Whether callers should come here.
    pub(super) fn is_ready(&self) -> bool {
        !self.draining.get() && self.active_config.is_fresh(self.settings.bounds.revoke_ms * 3 / 5)
    }
}

/// A request being served.
pub(super) struct Running(Rc<Gateway>);

impl std::fmt::Debug for Running {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Running")
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}
