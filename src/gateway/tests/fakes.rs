use std::cell::Cell;
use std::rc::Rc;

use futures_util::future::{FutureExt, pending, ready};
use http::{HeaderMap, Response, request, response};
use hyper::body::Bytes;

use crate::catalog::Instruction;
use crate::gateway::state::Gateway;
use crate::gateway::{
    Append, Assignment, Bounds, Feed, GatewaySettings, Page, PeerRecord, Position, Protocol,
    Refusal, RequestContext, RequestHead, ResponseKind, Store, StoreError, StoreFuture,
};
use crate::mechanisms::Mechanisms;
use crate::replicas::{EndpointChange, Topology};

/// A store that is sound, unless it is made otherwise.
#[derive(Default)]
pub(super) struct FakeStore {
    hides_endpoints: bool,
    silent_at_first: bool,
    joins: Cell<u32>,
    announced: Cell<bool>,
    peers_read: Cell<bool>,
}

impl FakeStore {
    /// The endpoints' list can't be read.
    pub(super) fn hiding_endpoints() -> FakeStore {
        FakeStore { hides_endpoints: true, ..FakeStore::default() }
    }

    /// The first call about entries of each kind is never answered, with its connection standing.
    pub(super) fn silent_at_first() -> FakeStore {
        FakeStore { silent_at_first: true, ..FakeStore::default() }
    }

    fn answer<'a, T: 'a>(&self, before: &Cell<bool>, answer: T) -> StoreFuture<'a, T> {
        match self.silent_at_first && !before.replace(true) {
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

    /// Deals the shard at the second call, as one does whose earlier owner has just shown that it has
    /// let go.
    fn join<'a>(&'a self, _: &'a str, _: u64) -> StoreFuture<'a, Assignment> {
        self.joins.set(self.joins.get() + 1);
        let shards = if self.joins.get() > 1 { vec![0] } else { vec![] };
        ready(Ok(Assignment { generation: 1, shards })).boxed_local()
    }

    fn leave<'a>(&'a self, _: &'a str) -> StoreFuture<'a, ()> {
        ready(Ok(())).boxed_local()
    }

    fn instructions(&self, _: Option<Position>, _: u64) -> StoreFuture<'_, Feed<Instruction>> {
        ready(Err(StoreError::Refused(503))).boxed_local()
    }

    fn endpoints(&self, _: Option<Position>) -> StoreFuture<'_, Feed<EndpointChange>> {
        let read = match self.hides_endpoints {
            true => Err(StoreError::Refused(503)),
            false => Ok(Feed { items: vec![], is_snapshot: true, next: Position(0) }),
        };
        ready(read).boxed_local()
    }

    fn announce<'a>(&'a self, _: &'a PeerRecord) -> StoreFuture<'a, ()> {
        self.answer(&self.announced, ())
    }

    fn peers(&self) -> StoreFuture<'_, Vec<PeerRecord>> {
        let other =
            PeerRecord { name: "other".into(), address: ([127, 0, 0, 2], 1).into(), region: None };
        self.answer(&self.peers_read, vec![other])
    }
}

/// A protocol that nobody speaks.
pub(super) struct Silence;

impl Protocol for Silence {
    fn parse_request(&self, _: &request::Parts) -> Option<RequestHead> {
        None
    }

    fn strip_caller_headers(&self, _: &mut HeaderMap) {}

    fn set_endpoint_headers(&self, _: &mut HeaderMap, _: &RequestContext<'_>) {}

    fn classify_reply(&self, _: &response::Parts, _: &str) -> ResponseKind {
        ResponseKind::Untrusted
    }

    fn refuse(&self, _: Option<&str>, _: Refusal) -> Response<Bytes> {
        Response::new(Bytes::new())
    }
}

pub(super) fn gateway(store: FakeStore) -> Rc<Gateway> {
    gateway_at(store, Topology { domain: "d".into(), ..Topology::default() })
}

pub(super) fn gateway_at(store: FakeStore, topology: Topology) -> Rc<Gateway> {
    let anywhere = ([127, 0, 0, 1], 0).into();
    let bounds = Bounds {
        revoke_ms: 5_000,
        grace_ms: 8_000,
        rate_window_ms: 5_000,
        drain_ms: 2_000,
        cold_rate_factor: 1.5,
        cold_rate_slack: 5.0,
    };
    let settings = GatewaySettings {
        name: "entry".into(),
        topology,
        callers: anywhere,
        ready: anywhere,
        peers: anywhere,
        metrics: None,
        bounds,
        mechanisms: Mechanisms::default(),
    };
    Gateway::open(settings, Rc::new(store), Rc::new(Silence))
}
