use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{FutureExt, pending, ready};
use http::{HeaderMap, Request, Response, request, response};
use hyper::body::Bytes;

use crate::catalog::tests::{configuration, route};
use crate::catalog::{Instruction, Regions, RepeatPolicy, Route};
use crate::gateway::operator_feed::apply_configuration;
use crate::gateway::state::Gateway;
use crate::gateway::{
    Append, Assignment, Bounds, Feed, GatewaySettings, Page, PeerRecord, Position, Protocol,
    Refusal, RequestContext, RequestHead, ResponseKind, RoutingDecision, Store, StoreError,
    StoreFuture,
};
use crate::load::CallerLimits;
use crate::load::EndpointReport;
use crate::mechanisms::Mechanisms;
use crate::prelude::*;
use crate::quota::RateWindow;
use crate::replicas::tests::announcement;
use crate::replicas::{EndpointChange, EndpointChoice, ReplicaKey, Topology};

/// The window of the workspaces' rates.
pub(super) const RATE_WINDOW: RateWindow =
    RateWindow { length_ms: 5_000, overrun: 0.1, slack: 20.0 };

/// What a read of the endpoint list meets instead of an answer.
#[derive(Debug, Clone, Copy)]
pub(super) enum ReadFault {
    /// No answer, on a connection that stays open.
    Unanswered,
    /// A refusal with this status.
    Refused(u16),
}

/// The endpoint list as a log, as the platform keeps it.
#[derive(Debug, Default)]
pub(super) struct FakeList {
    changes: RefCell<Vec<EndpointChange>>,
    /// The most changes that one read returns; none if there is no limit.
    max_read: Cell<Option<usize>>,
    /// The oldest position that can still be read.
    first_retained: Cell<u64>,
    /// The faults that the next reads meet, one each.
    next_faults: RefCell<VecDeque<ReadFault>>,
    /// The fault that all reads meet, if any.
    outage: Cell<Option<ReadFault>>,
}

impl FakeList {
    pub(super) fn append(&self, change: EndpointChange) {
        self.changes.borrow_mut().push(change);
    }

    /// Drops all records but the newest of each endpoint.
    pub(super) fn drop_history(&self) {
        self.first_retained.set(self.changes.borrow().len() as u64);
    }

    /// Limits how many changes one read returns.
    pub(super) fn limit_reads(&self, max_read: usize) {
        self.max_read.set(Some(max_read));
    }

    pub(super) fn fail_next_reads(&self, faults: &[ReadFault]) {
        self.next_faults.borrow_mut().extend(faults);
    }

    pub(super) fn set_outage(&self, fault: Option<ReadFault>) {
        self.outage.set(fault);
    }

    fn read(&self, from: Option<Position>) -> StoreFuture<'_, Feed<EndpointChange>> {
        match self.outage.get().or_else(|| self.next_faults.borrow_mut().pop_front()) {
            Some(ReadFault::Unanswered) => pending().boxed_local(),
            Some(ReadFault::Refused(status)) => {
                ready(Err(StoreError::Refused(status))).boxed_local()
            }
            None => ready(self.answer(from)).boxed_local(),
        }
    }

    fn answer(&self, from: Option<Position>) -> Result<Feed<EndpointChange>, StoreError> {
        let changes = self.changes.borrow();
        let end = Position(changes.len() as u64);
        match from {
            Some(Position(from)) if from < self.first_retained.get() => Err(StoreError::Expired),
            Some(Position(from)) => {
                let read = &changes[from as usize..];
                let read = &read[..read.len().min(self.max_read.get().unwrap_or(usize::MAX))];
                let (items, next) = (read.to_vec(), Position(from + read.len() as u64));
                Ok(Feed { items, is_snapshot: false, next, end })
            }
            None => {
                let mut newest = BTreeMap::new();
                for change in changes.iter() {
                    match change {
                        EndpointChange::Announcement(id, _) => newest.insert(id, change.clone()),
                        EndpointChange::Removed(id) | EndpointChange::Unreadable(id) => {
                            newest.remove(id)
                        }
                    };
                }
                let items = newest.into_values().collect();
                Ok(Feed::snapshot(items, end))
            }
        }
    }
}

/// A store that answers at once, except for the faults that it is created with. The operator's
/// instructions can be read only if the test sets the answers.
#[derive(Default)]
pub(super) struct FakeStore {
    pub(super) endpoint_list: FakeList,
    /// The answers to the next reads of the operator's instructions.
    pub(super) instructions: RefCell<VecDeque<Feed<Instruction>>>,
    ignores_first_calls: bool,
    joins: Cell<u32>,
    /// How long a call to join takes, at whose end it is executed.
    join_takes_ms: u64,
    /// Whether the entry has joined and not left since.
    pub(super) is_member: Cell<bool>,
    announced: Cell<bool>,
    /// Announcements of earlier epochs are rejected.
    first_valid_epoch: u64,
    peers_read: Cell<bool>,
}

impl FakeStore {
    /// A store whose endpoint list can't be read.
    pub(super) fn with_unreadable_endpoint_list() -> FakeStore {
        let store = FakeStore::default();
        store.endpoint_list.set_outage(Some(ReadFault::Refused(503)));
        store
    }

    /// A store that never answers the first call to announce an entry nor the first read of the
    /// list of entries, as if the connection stayed open.
    pub(super) fn ignoring_first_calls() -> FakeStore {
        FakeStore { ignores_first_calls: true, ..FakeStore::default() }
    }

    /// A store that executes each call to join this late.
    pub(super) fn with_slow_joins(join_takes_ms: u64) -> FakeStore {
        FakeStore { join_takes_ms, ..FakeStore::default() }
    }

    /// A store that rejects announcements of epochs before this one.
    pub(super) fn rejecting_epochs_before(first_valid_epoch: u64) -> FakeStore {
        FakeStore { first_valid_epoch, ..FakeStore::default() }
    }

    fn answer<'a, T: 'a>(&self, was_called: &Cell<bool>, answer: T) -> StoreFuture<'a, T> {
        match self.ignores_first_calls && !was_called.replace(true) {
            true => pending().boxed_local(),
            false => ready(Ok(answer)).boxed_local(),
        }
    }
}

impl Store for FakeStore {
    fn shards(&self) -> u32 {
        1
    }

    fn append<'a>(&'a self, _: &'a Append) -> StoreFuture<'a, ()> {
        ready(Ok(())).boxed_local()
    }

    fn newest_records(&self, _: u32, _: Option<String>) -> StoreFuture<'_, Page> {
        ready(Ok(Page { items: vec![], next: None })).boxed_local()
    }

    /// Assigns the shard on the second call, as if its previous owner had just confirmed that it
    /// has released the shard.
    fn join<'a>(&'a self, _: &'a str, _: u64) -> StoreFuture<'a, Assignment> {
        let join = async {
            if self.join_takes_ms > 0 {
                tokio::time::sleep(Duration::from_millis(self.join_takes_ms)).await;
            }
            self.is_member.set(true);
            self.joins.set(self.joins.get() + 1);
            let shards = if self.joins.get() > 1 { vec![0] } else { vec![] };
            Ok(Assignment { generation: 1, shards })
        };
        join.boxed_local()
    }

    fn leave<'a>(&'a self, _: &'a str) -> StoreFuture<'a, ()> {
        self.is_member.set(false);
        ready(Ok(())).boxed_local()
    }

    fn instructions(&self, _: Option<Position>, _: u64) -> StoreFuture<'_, Feed<Instruction>> {
        match self.instructions.borrow_mut().pop_front() {
            Some(feed) => ready(Ok(feed)).boxed_local(),
            None => ready(Err(StoreError::Refused(503))).boxed_local(),
        }
    }

    fn endpoints(&self, from: Option<Position>) -> StoreFuture<'_, Feed<EndpointChange>> {
        self.endpoint_list.read(from)
    }

    fn announce<'a>(&'a self, peer: &'a PeerRecord, _: u64) -> StoreFuture<'a, ()> {
        if peer.epoch < self.first_valid_epoch {
            return ready(Err(StoreError::Fenced)).boxed_local();
        }
        self.answer(&self.announced, ())
    }

    fn peers(&self, from: Option<Position>) -> StoreFuture<'_, Feed<PeerRecord>> {
        let other = PeerRecord {
            name: "other".into(),
            address: ([127, 0, 0, 2], 1).into(),
            region: None,
            domain: None,
            cpu_millicores: 500,
            is_hub: true,
            surges: vec![],
            epoch: 0,
        };
        let items = if from.is_none() { vec![other] } else { vec![] };
        self.answer(
            &self.peers_read,
            Feed { items, is_snapshot: from.is_none(), next: Position(1), end: Position(1) },
        )
    }
}

/// A protocol that accepts no request and any answer. Reports are JSON objects.
pub(super) struct NullProtocol;

impl Protocol for NullProtocol {
    fn parse_request(&self, _: &request::Parts) -> Option<RequestHead> {
        None
    }

    fn strip_caller_headers(&self, _: &mut HeaderMap) {}

    fn set_endpoint_headers(&self, _: &mut HeaderMap, _: &RequestContext<'_>) {}

    fn classify_reply(&self, _: &response::Parts, _: &str) -> ResponseKind {
        ResponseKind::Own
    }

    fn refuse(&self, _: Option<&str>, _: Refusal) -> Response<Bytes> {
        Response::new(Bytes::new())
    }

    fn report_request(&self, _: &str, _: SocketAddr) -> Request<()> {
        Request::new(())
    }

    fn parse_report(&self, body: &[u8]) -> Option<EndpointReport> {
        serde_json::from_slice(body).ok()
    }
}

pub(super) fn gateway(store: FakeStore) -> Rc<Gateway> {
    gateway_on(Rc::new(store))
}

/// A gateway on a store that the test goes on to change.
pub(super) fn gateway_on(store: Rc<FakeStore>) -> Rc<Gateway> {
    gateway_in(store, Topology { domain: "d".into(), ..Topology::default() })
}

pub(super) fn gateway_in(store: Rc<FakeStore>, topology: Topology) -> Rc<Gateway> {
    open(store, topology, None)
}

/// A gateway that limits slow readers.
pub(super) fn gateway_with_memory(memory_limit_bytes: u64) -> Rc<Gateway> {
    let topology = Topology { domain: "d".into(), ..Topology::default() };
    open(Rc::default(), topology, Some(memory_limit_bytes))
}

/// A gateway whose only route is a stream with `attempts` attempts to the service `s`, and that
/// service's only endpoint, `e`, which has `in_flight` requests.
pub(super) fn gateway_with_endpoint(attempts: u32, in_flight: u32) -> (Rc<Gateway>, ReplicaKey) {
    let gateway = gateway(FakeStore::default());
    let route = Route { repeat: RepeatPolicy::Stream, attempts, ..route("h", "/", "s") };
    apply_configuration(&gateway, configuration(1, vec![route]));
    let change = EndpointChange::Announcement("e".into(), announcement("s", 1, 1, 1));
    gateway.directory.borrow_mut().apply(TimeMs(0), change);
    let key = gateway.directory.borrow().find("e").expect("known");
    (0..in_flight).for_each(|_| gateway.directory.borrow_mut().record_sent(TimeMs(0), key));
    (gateway, key)
}

fn open(store: Rc<FakeStore>, topology: Topology, memory_limit_bytes: Option<u64>) -> Rc<Gateway> {
    let any_port = ([127, 0, 0, 1], 0).into();
    let bounds = Bounds {
        revoke_ms: 5_000,
        grace_ms: 8_000,
        rate_window: RATE_WINDOW,
        drain_ms: 2_000,
        cold_rate_factor: 1.5,
        cold_rate_slack: 5.0,
    };
    let settings = GatewaySettings {
        name: "entry".into(),
        topology,
        callers: any_port,
        ready: any_port,
        peers: any_port,
        metrics: None,
        bounds,
        cpu_millicores: 500,
        max_hubs: 48,
        memory_limit_bytes,
        caller_limits: CallerLimits::of_process(1 << 30, 8_192),
        mechanisms: Mechanisms::default(),
        endpoint_choice: EndpointChoice::default(),
        polls_endpoints: false,
    };
    let gateway = Gateway::open(settings, store, Rc::new(NullProtocol));
    gateway.become_hub();
    gateway
}

/// A decision for a request of the workspace `w` to the service `s`, which may run once.
pub(super) fn routing_decision() -> RoutingDecision {
    RoutingDecision {
        workspace: "w".into(),
        service: "s".into(),
        left_ms: 60_000,
        attempts: 1,
        target_ms: 60_000,
        repeat: RepeatPolicy::AtMostOnce,
        keeps_history: false,
        retention_ms: 0,
        tokens_per_event: 1,
        priority: 0,
        regions: Regions::default(),
        object: None,
    }
}
