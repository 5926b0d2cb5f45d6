use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::Notify;

use super::attempt::Job;
use super::endpoint_feed::Listing;
use super::operator_feed::InForce;
use super::peers::Peers;
use super::rates::Rates;
use super::reach::Reach;
use super::shard_table::ShardTable;
use super::suspects::Suspects;
use super::{GatewaySettings, Protocol, Store};
use crate::catalog::Regions;
use crate::http::Connections;
use crate::mechanisms::Mechanism;
use crate::prelude::*;
use crate::replicas::{Directory, Placement, ReplicaKey, Want};
use crate::time::Clock;

/// All that the tasks of a gateway share. They run on one thread.
pub(super) struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) store: Rc<dyn Store>,
    pub(super) protocol: Rc<dyn Protocol>,
    pub(super) in_force: InForce,
    pub(super) reach: Reach,
    pub(super) listing: Listing,
    pub(super) directory: RefCell<Directory>,
    pub(super) placement: RefCell<Placement>,
    pub(super) connections: Rc<Connections>,
    pub(super) rates: RefCell<Rates>,
    pub(super) suspects: RefCell<Suspects>,
    pub(super) shards: ShardTable,
    pub(super) peers: RefCell<Peers>,
    /// Something happened that the other entries should hear at once.
    pub(super) news: Notify,
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
        let placement = Placement::open(settings.places.clone(), settings.mechanisms);
        let clock = Clock::start();
        Rc::new(Gateway {
            first_sequence: clock.unix().0,
            store,
            protocol,
            in_force: InForce::default(),
            reach: Reach::default(),
            listing: Listing::default(),
            directory: RefCell::new(Directory::open(seed)),
            placement: RefCell::new(placement),
            connections: Rc::default(),
            rates: RefCell::new(Rates::open(settings.bounds.rate_window_ms)),
            suspects: RefCell::default(),
            shards,
            peers: RefCell::default(),
            news: Notify::new(),
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
        directory.get(key).map(|replica| (replica.announced.address, replica.id.clone()))
    }

    /// The best endpoint for a request.
    pub(super) fn choose(&self, want: &Want) -> Option<ReplicaKey> {
        let now = self.now();
        let connected = |address| self.connections.has_kept(now, address);
        self.placement.borrow_mut().choose(now, &self.directory.borrow(), want, connected)
    }

    /// Whether a mechanism is on.
    pub(super) fn has(&self, mechanism: Mechanism) -> bool {
        self.settings.mechanisms.has(mechanism)
    }

    /// An endpoint broke off or can't be reached.
    pub(super) fn endpoint_failed(&self, key: ReplicaKey) {
        if !self.has(Mechanism::Health) {
            return;
        }
        self.directory.borrow_mut().failed(self.now(), key);
        self.news.notify_one();
    }

    /// An endpoint may have started anew under the name that it had. It says so only later, and by then
    /// every entry takes it for an idle one that bears all they have.
    pub(super) fn may_be_cold(&self, key: ReplicaKey) {
        self.directory.borrow_mut().may_be_cold(self.now(), key);
    }

    /// A request broke off at an endpoint: if the endpoint is down, the request may have done it.
    ///
    /// A lost answer alone proves nothing, and counting it would condemn sound requests; an endpoint
    /// that has closed its other connections too, or refuses a new one, has crashed.
    pub(super) async fn suspect(&self, job: &Job, endpoint: ReplicaKey) {
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
            true => self.suspects.borrow_mut().crashed(self.now(), job.suspect),
            false => 0,
        };
        log::info!(request:% = job.request, endpoint:% = id, crashes; "broke off at an endpoint");
        if crashed {
            self.may_be_cold(endpoint);
            self.news.notify_one();
        }
    }

    /// Whether a request has crashed too many endpoints.
    pub(super) fn is_guilty(&self, suspect: u64) -> bool {
        self.suspects.borrow().guilty(self.now(), suspect)
    }

    /// A request was answered.
    pub(super) fn cleared(&self, suspect: u64) {
        self.suspects.borrow_mut().cleared(suspect);
    }

    /// Asks the group of owners for the deal in force.
    pub(super) fn renew_membership(&self) {
        self.renew.notify_one();
    }

    /// Whether the configuration was confirmed of late, so that keys may be served.
    pub(super) fn is_fresh(&self) -> bool {
        self.in_force.is_fresh(self.settings.bounds.revoke_ms)
    }

    /// Whether a request that may run in these regions may be sent to another entry: one in such a region, or
    /// in this entry's own, where its caller is.
    pub(super) fn may_carry(&self, entry: SocketAddr, regions: &Regions) -> bool {
        let peers = self.peers.borrow();
        let region = peers.region(entry);
        regions.allow(region) || self.is_near(region)
    }

    /// Whether another entry is in this one's region.
    pub(super) fn is_near(&self, region: Option<&str>) -> bool {
        let places = &self.settings.places;
        !places.has_other_regions() || region == Some(&*places.region)
    }

    /// Whether requests wait here for the store: it is away for all, and not only for this entry, so that
    /// no other entry would serve a caller any better.
    pub(super) fn waits_for_store(&self) -> bool {
        self.has(Mechanism::Waiting) && self.peers.borrow().miss_store(self.now())
    }

    /// Counts a request as running until the guard is dropped.
    pub(super) fn enter(self: &Rc<Self>) -> Running {
        self.running.set(self.running.get() + 1);
        Running(self.clone())
    }

    /// Whether callers should come here.
    pub(super) fn is_ready(&self) -> bool {
        !self.draining.get() && self.in_force.is_fresh(self.settings.bounds.revoke_ms * 3 / 5)
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
