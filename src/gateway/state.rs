use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::ask_hub::Questions;
use super::attempt::EndpointRequest;
use super::endpoint_list::EndpointListStatus;
use super::endpoint_polls::EndpointPolls;
use super::hub::AttachedLeaves;
use super::hubs::{Role, Roster};
use super::in_flight::{Progress, RequestsInFlight, Running};
use super::leaf::LeafState;
use super::observe::{count_pace_sample, record_pace_change};
use super::operator_feed::ActiveConfig;
use super::peers::Peers;
use super::rates::RateLimiter;
use super::reachability::StoreReachability;
use super::reader_limits::ReaderLimits;
use super::role::instance_id;
use super::shard_table::ShardTable;
use super::suspects::{CrashKey, Suspects};
use super::{GatewaySettings, Protocol, Store};
use crate::catalog::Regions;
use crate::http::{ConnectionPool, ServerMemory};
use crate::load::{ProgramAdmission, ServiceLoad, TurnSample, Work};
use crate::mechanisms::Mechanism;
use crate::prelude::*;
use crate::replicas::{ChangeLog, Directory, Placement, PlacementRequest, ReplicaKey};
use crate::time::Clock;

/// The state shared by the tasks of a gateway, all of which run on one thread.
pub(super) struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) store: Rc<dyn Store>,
    pub(super) protocol: Rc<dyn Protocol>,
    pub(super) active_config: ActiveConfig,
    pub(super) reachability: StoreReachability,
    pub(super) endpoint_list: EndpointListStatus,
    pub(super) directory: RefCell<Directory>,
    /// What has changed in the directory, for the leaves.
    pub(super) endpoint_changes: RefCell<ChangeLog>,
    pub(super) placement: RefCell<Placement>,
    pub(super) connections: Rc<ConnectionPool>,
    pub(super) rates: RefCell<RateLimiter>,
    /// The admission of programs, by service under load control.
    pub(super) program_admissions: RefCell<HashMap<Arc<str>, ProgramAdmission>>,
    pub(super) suspects: RefCell<Suspects>,
    /// None if slow readers are not limited.
    pub(super) reader_limits: Option<Rc<ReaderLimits>>,
    /// What is held for callers.
    pub(super) caller_memory: ServerMemory,
    pub(super) endpoint_polls: RefCell<EndpointPolls>,
    pub(super) shards: ShardTable,
    pub(super) peers: RefCell<Peers>,
    /// All announced entries.
    pub(super) roster: RefCell<Roster>,
    /// Notified when the list of entries should be read, or this entry announced, at once.
    pub(super) roster_due: Notify,
    /// Whether this leaf is to become a hub.
    pub(super) hub_wanted: Cell<bool>,
    pub(super) role: Cell<Role>,
    /// Notified when this entry becomes a hub.
    pub(super) hub_begun: Notify,
    /// What this entry knows as a leaf.
    pub(super) leaf: LeafState,
    /// The admissions that this entry has asked other hubs for.
    pub(super) questions: Questions,
    /// The leaves attached to this entry as a hub.
    pub(super) leaves: AttachedLeaves,
    /// Notified when the other entries should get a gossip message at once.
    pub(super) gossip_due: Notify,
    /// Notified when the membership in the group of owners should be renewed at once.
    pub(super) renewal_due: Notify,
    /// Whether the process is shutting down. Set on SIGTERM.
    pub(super) draining: Cell<bool>,
    /// Identifies the process instance.
    pub(super) process_instance: u64,
    /// The number from which the batches of each epoch count up; differs between process instances.
    /// Epochs derive from the generation of the assignment: a process that restarts without being
    /// able to deregister at the store may get its shards under the epoch that it had before. If
    /// its batches then had the same numbers too, the store would take them for repeats, and
    /// acknowledge them without storing them. With another first number they are out of sequence
    /// instead, and the shard is taken again under a later epoch.
    pub(super) first_sequence: u64,
    /// The requests from callers and other entries that are being served.
    pub(super) requests: Rc<RequestsInFlight>,
    /// The open connections to this entry. One ends after its last response was written.
    pub(super) served_connections: TaskTracker,
    /// Cancelled when all requests in flight must be answered, since the process is about to exit.
    pub(super) answers_due: CancellationToken,
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
        let placement = Placement::open(settings.topology.clone(), settings.mechanisms)
            .with_endpoint_choice(settings.endpoint_choice, seed);
        let reader_limits = ReaderLimits::from_settings(&settings);
        let clock = Clock::start();
        Rc::new(Gateway {
            first_sequence: clock.unix().0,
            store,
            protocol,
            active_config: ActiveConfig::default(),
            reachability: StoreReachability::default(),
            endpoint_list: EndpointListStatus::default(),
            directory: RefCell::new(Directory::open(seed)),
            endpoint_changes: RefCell::default(),
            process_instance: instance_id(&settings.name, clock.unix()),
            placement: RefCell::new(placement),
            connections: Rc::default(),
            rates: RefCell::new(RateLimiter::open(settings.bounds.rate_window)),
            program_admissions: RefCell::default(),
            suspects: RefCell::default(),
            reader_limits,
            caller_memory: ServerMemory::open(settings.caller_limits),
            endpoint_polls: RefCell::default(),
            shards,
            peers: RefCell::default(),
            roster: RefCell::default(),
            roster_due: Notify::new(),
            hub_wanted: Cell::new(false),
            role: Cell::new(Role::Undecided),
            hub_begun: Notify::new(),
            leaf: LeafState::default(),
            questions: Questions::open(clock.unix()),
            leaves: AttachedLeaves::default(),
            gossip_due: Notify::new(),
            renewal_due: Notify::new(),
            draining: Cell::new(false),
            requests: Rc::default(),
            served_connections: TaskTracker::new(),
            answers_due: CancellationToken::new(),
            clock,
            settings,
        })
    }

    /// The clock of the process.
    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    /// Monotonic time since the process started.
    pub(super) fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// Wall-clock time.
    pub(super) fn unix(&self) -> UnixMs {
        self.clock.unix()
    }

    /// The address and id of an endpoint.
    pub(super) fn endpoint(&self, key: ReplicaKey) -> Option<(SocketAddr, Arc<str>)> {
        let directory = self.directory.borrow();
        directory.get(key).map(|replica| (replica.announcement.address, replica.id.clone()))
    }

    /// Chooses the best endpoint for a request.
    pub(super) fn choose(&self, want: &PlacementRequest) -> Option<ReplicaKey> {
        let now = self.now();
        let connected = |address| self.connections.has_idle(now, address);
        self.placement.borrow_mut().choose(now, &self.directory.borrow(), want, connected)
    }

    /// The capacity of a service and the work in hand at it.
    pub(super) fn service_load(&self, service: &str) -> ServiceLoad {
        let now = self.now();
        let directory = self.directory.borrow();
        let usable = directory
            .of_service(service)
            .filter(|(key, replica)| directory.may_send(now, *key) && replica.is_usable(now));
        let mut load = ServiceLoad {
            share: f64::from(self.shards.serving_count()) / f64::from(self.shards.count().max(1)),
            hears_half: self.peers.borrow().peer_counts(now).hears_half(),
            ..ServiceLoad::default()
        };
        for (_, replica) in usable {
            // Endpoints announce their slots themselves; absurd numbers must not overflow the sum.
            load.slots = load.slots.saturating_add(replica.announcement.slots);
            load.in_flight = load.in_flight.saturating_add(replica.load(now));
            load.own_in_flight = load.own_in_flight.saturating_add(replica.in_flight);
        }
        load
    }

    /// What decides how long an endpoint takes for a request, if its service is under load control
    /// and the endpoint is known.
    pub(super) fn work_to_measure(
        &self,
        request: &EndpointRequest,
        endpoint: ReplicaKey,
    ) -> Option<Work> {
        let (placement, directory) = (self.placement.borrow(), self.directory.borrow());
        let is_measured = placement.learns_paces(&request.routing.service);
        let replica = directory.get(endpoint).filter(|_| is_measured)?;
        Some(placement.work_at(self.now(), endpoint, replica, &request.parts))
    }

    /// Records the measured times of a turn that an endpoint has completed.
    pub(super) fn record_turn_times(&self, endpoint: ReplicaKey, id: &str, sample: &TurnSample) {
        let is_known = self.directory.borrow().get(endpoint).is_some();
        let mut placement = self.placement.borrow_mut();
        if !is_known || !placement.learns_paces(&sample.service) {
            return;
        }
        count_pace_sample(&sample.service);
        if let Some(change) = placement.paces_mut().record(self.now(), endpoint, sample) {
            record_pace_change(id, &sample.service, change);
        }
    }

    pub(super) fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.settings.mechanisms.is_enabled(mechanism)
    }

    /// Records that an endpoint broke a request off or could not be reached.
    pub(super) fn record_endpoint_failure(&self, key: ReplicaKey) {
        if !self.is_enabled(Mechanism::Health) {
            return;
        }
        self.directory.borrow_mut().record_failure(self.now(), key);
        self.gossip_due.notify_one();
    }

    /// Records that an endpoint may have restarted under the same id. It announces the restart only
    /// later; until then every entry would take it for an idle, warm endpoint and send it full
    /// load.
    pub(super) fn assume_cold(&self, key: ReplicaKey) {
        self.directory.borrow_mut().assume_cold(self.now(), key);
    }

    /// Checks whether an endpoint that broke a request off has crashed, and if so counts the crash
    /// against the request, which may have caused it.
    ///
    /// A single lost answer is no evidence of a crash, and counting it would block harmless
    /// requests. An endpoint that has closed its other connections as well, or refuses a new one,
    /// has crashed.
    pub(super) async fn check_for_crash(&self, request: &EndpointRequest, endpoint: ReplicaKey) {
        let Some((address, id)) = self.endpoint(endpoint) else {
            return;
        };
        let crashed = match self.connections.all_closed(address) {
            Some(all_closed) => all_closed,
            None => match self.connections.open(address).await {
                Ok(connection) => {
                    self.connections.put_back(self.now(), connection);
                    false
                }
                Err(_) => true,
            },
        };
        let crashes = match crashed {
            true => self.suspects.borrow_mut().record_crash(self.now(), request.crash_key),
            false => 0,
        };
        log::info!(request:% = request.request, endpoint:% = id, crashes;
            "an endpoint closed the connection of a request in flight");
        if crashed {
            self.assume_cold(endpoint);
            self.gossip_due.notify_one();
        }
    }

    /// Whether a request has crashed too many endpoints to be sent again.
    pub(super) fn is_poison_request(&self, crash_key: CrashKey) -> bool {
        self.suspects.borrow().is_poison(self.now(), crash_key)
    }

    /// Clears the crash count of a request that was answered, here and at the other entries.
    pub(super) fn clear_suspect(&self, crash_key: CrashKey) {
        if self.suspects.borrow_mut().clear_suspect(self.now(), crash_key) {
            self.gossip_due.notify_one();
        }
    }

    /// Merges what another entry has cleared.
    pub(super) fn merge_cleared_suspects(&self, cleared: &[(CrashKey, u32)]) {
        let mut suspects = self.suspects.borrow_mut();
        for (request, crashes) in cleared {
            suspects.merge_cleared(self.now(), *request, *crashes);
        }
    }

    /// Has the membership renewed at once, to get the current assignment of shards.
    pub(super) fn renew_membership(&self) {
        self.renewal_due.notify_one();
    }

    /// Whether the configuration was confirmed recently enough to serve API keys.
    pub(super) fn is_fresh(&self) -> bool {
        self.active_config.is_fresh(self.settings.bounds.revoke_ms)
    }

    /// Whether a request that may run in `regions` may be sent to another entry. The entry must be
    /// in one of them, or in this entry's own region, where the caller is.
    pub(super) fn may_forward_to(&self, entry: SocketAddr, regions: &Regions) -> bool {
        let peers = self.peers.borrow();
        let region = peers.region(entry);
        regions.allow(region) || self.is_local_region(region)
    }

    /// Whether a region is this entry's own. Always true if the site has only one region.
    pub(super) fn is_local_region(&self, region: Option<&str>) -> bool {
        let topology = &self.settings.topology;
        !topology.has_other_regions() || region == Some(&*topology.region)
    }

    /// Whether all entries are shutting down, this one included. A leaf may become a hub and take shards;
    /// whether one stays is not known here.
    pub(super) fn all_entries_leave(&self) -> bool {
        self.peers.borrow().all_leave() && !self.roster.borrow().may_have_leaves(self.hub_limit())
    }

    /// Whether requests wait here until the store is reachable. They do if it is unreachable for
    /// most entries rather than for this one only, so that no other entry could serve the caller
    /// sooner.
    pub(super) fn waits_for_store(&self) -> bool {
        self.is_enabled(Mechanism::StoreWait)
            && self.peers.borrow().store_unreachable_for_most(self.now())
    }

    /// Counts a request that has arrived as being served until the returned guard is dropped.
    pub(super) fn begin_request(&self) -> (Rc<Progress>, Running) {
        let progress = Progress::open(self.now());
        let running = self.requests.begin(progress.clone());
        (progress, running)
    }

    /// Whether the load balancer should send callers here. It should stop well before the
    /// configuration is too old to serve API keys.
    pub(super) fn is_ready(&self) -> bool {
        let takes_part = match self.role.get() {
            Role::Undecided => false,
            Role::Leaf => self.leaf.is_attached(self.now()),
            Role::Hub { .. } => true,
        };
        let is_fresh = self.active_config.is_fresh(self.settings.bounds.revoke_ms * 3 / 5);
        !self.draining.get() && takes_part && is_fresh
    }
}
