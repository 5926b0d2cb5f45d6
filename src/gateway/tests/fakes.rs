use std::cell::Cell;
use std::rc::Rc;

use futures_util::future::{FutureExt, pending, ready};
use http::{HeaderMap, Response, request, response};
use hyper::body::Bytes;

use crate::catalog::Instruction;
use crate::gateway::state::Gateway;
use crate::gateway::{
    Addressed, Append, Bounds, Call, Deal, Feed, GatewaySettings, Later, Page, PeerRecord,
    Position, Protocol, Refusal, Reply, Store, StoreError,
};
use crate::mechanisms::Mechanisms;
use crate::replicas::{Change, Places};

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

    fn answer<'a, T: 'a>(&self, before: &Cell<bool>, answer: T) -> Later<'a, T> {
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

    fn append<'a>(&'a self, _: &'a Append) -> Later<'a, ()> {
        ready(Ok(())).boxed_local()
    }

    fn newest(&self, _: u32, _: Option<String>) -> Later<'_, Page> {
        ready(Ok(Page { items: vec![], next: None })).boxed_local()
    }

    /// Deals the shard at the second call, as one does whose earlier owner has just shown that it has
    /// let go.
    fn join<'a>(&'a self, _: &'a str, _: u64) -> Later<'a, Deal> {
        self.joins.set(self.joins.get() + 1);
        let shards = if self.joins.get() > 1 { vec![0] } else { vec![] };
        ready(Ok(Deal { generation: 1, shards })).boxed_local()
    }

    fn leave<'a>(&'a self, _: &'a str) -> Later<'a, ()> {
        ready(Ok(())).boxed_local()
    }

    fn instructions(&self, _: Option<Position>, _: u64) -> Later<'_, Feed<Instruction>> {
        ready(Err(StoreError::Refused(503))).boxed_local()
    }

    fn endpoints(&self, _: Option<Position>) -> Later<'_, Feed<Change>> {
        let read = match self.hides_endpoints {
            true => Err(StoreError::Refused(503)),
            false => Ok(Feed { items: vec![], whole: true, next: Position(0) }),
        };
        ready(read).boxed_local()
    }

    fn announce<'a>(&'a self, _: &'a PeerRecord) -> Later<'a, ()> {
        self.answer(&self.announced, ())
    }

    fn peers(&self) -> Later<'_, Vec<PeerRecord>> {
        let other =
            PeerRecord { name: "other".into(), address: ([127, 0, 0, 2], 1).into(), region: None };
        self.answer(&self.peers_read, vec![other])
    }
}

/// A protocol that nobody speaks.
pub(super) struct Silence;

impl Protocol for Silence {
    fn read(&self, _: &request::Parts) -> Option<Call> {
        None
    }

    fn strip(&self, _: &mut HeaderMap) {}

    fn address(&self, _: &mut HeaderMap, _: &Addressed<'_>) {}

    fn judge(&self, _: &response::Parts, _: &str) -> Reply {
        Reply::Foreign
    }

    fn refuse(&self, _: Option<&str>, _: Refusal) -> Response<Bytes> {
        Response::new(Bytes::new())
    }
}

pub(super) fn gateway(store: FakeStore) -> Rc<Gateway> {
    gateway_at(store, Places { domain: "d".into(), ..Places::default() })
}

pub(super) fn gateway_at(store: FakeStore, places: Places) -> Rc<Gateway> {
    let anywhere = ([127, 0, 0, 1], 0).into();
    let bounds = Bounds {
        revoke_ms: 5_000,
        grace_ms: 8_000,
        rate_window_ms: 5_000,
        drain_ms: 2_000,
        cold_over: 1.5,
        cold_slack: 5.0,
    };
    let settings = GatewaySettings {
        name: "entry".into(),
        places,
        callers: anywhere,
        ready: anywhere,
        peers: anywhere,
        metrics: None,
        bounds,
        mechanisms: Mechanisms::default(),
    };
    Gateway::open(settings, Rc::new(store), Rc::new(Silence))
}
