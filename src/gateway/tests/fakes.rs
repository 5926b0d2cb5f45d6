use std::cell::Cell;
use std::rc::Rc;

use futures_util::future::{FutureExt, pending, ready};
use http::{HeaderMap, Response, request, response};
use hyper::body::Bytes;

use crate::catalog::Declared;
use crate::gateway::state::Gateway;
use crate::gateway::{
    Addressed, Append, Bounds, Call, Deal, Feed, GatewaySettings, Later, Page, PeerRecord,
    Position, Protocol, Refusal, Reply, Store, StoreError,
};
use crate::mechanisms::Mechanisms;
use crate::replicas::Change;

/// A store that deals one shard anew at the second call to join, as one does whose earlier owner has
/// just shown that it has let go.
#[derive(Default)]
pub(super) struct DealingStore {
    pub(super) lists_endpoints: bool,
    pub(super) joins: Cell<u32>,
}

impl Store for DealingStore {
    fn shards(&self) -> u32 {
        1
    }

    fn append<'a>(&'a self, _: &'a Append) -> Later<'a, ()> {
        ready(Ok(())).boxed_local()
    }

    fn newest(&self, _: u32, _: Option<String>) -> Later<'_, Page> {
        ready(Ok(Page { items: vec![], next: None })).boxed_local()
    }

    fn join<'a>(&'a self, _: &'a str, _: u64) -> Later<'a, Deal> {
        self.joins.set(self.joins.get() + 1);
        let shards = if self.joins.get() > 1 { vec![0] } else { vec![] };
        ready(Ok(Deal { generation: 1, shards })).boxed_local()
    }

    fn leave<'a>(&'a self, _: &'a str) -> Later<'a, ()> {
        ready(Ok(())).boxed_local()
    }

    fn configurations(&self, _: Option<Position>, _: u64) -> Later<'_, Feed<Declared>> {
        ready(Err(StoreError::Refused(503))).boxed_local()
    }

    fn endpoints(&self, _: Option<Position>) -> Later<'_, Feed<Change>> {
        let feed = Feed { items: vec![], whole: true, next: Position(0) };
        let read = match self.lists_endpoints {
            true => Ok(feed),
            false => Err(StoreError::Refused(503)),
        };
        ready(read).boxed_local()
    }

    fn announce<'a>(&'a self, _: &'a PeerRecord) -> Later<'a, ()> {
        ready(Ok(())).boxed_local()
    }

    fn peers(&self) -> Later<'_, Vec<PeerRecord>> {
        ready(Ok(vec![])).boxed_local()
    }
}

/// A store that never answers the first call of each kind, and knows of one other entry.
#[derive(Default)]
pub(super) struct FirstSilentStore {
    announced: Cell<bool>,
    listed: Cell<bool>,
}

impl Store for FirstSilentStore {
    fn shards(&self) -> u32 {
        1
    }

    fn append<'a>(&'a self, _: &'a Append) -> Later<'a, ()> {
        pending().boxed_local()
    }

    fn newest(&self, _: u32, _: Option<String>) -> Later<'_, Page> {
        pending().boxed_local()
    }

    fn join<'a>(&'a self, _: &'a str, _: u64) -> Later<'a, Deal> {
        pending().boxed_local()
    }

    fn leave<'a>(&'a self, _: &'a str) -> Later<'a, ()> {
        pending().boxed_local()
    }

    fn configurations(&self, _: Option<Position>, _: u64) -> Later<'_, Feed<Declared>> {
        pending().boxed_local()
    }

    fn endpoints(&self, _: Option<Position>) -> Later<'_, Feed<Change>> {
        pending().boxed_local()
    }

    fn announce<'a>(&'a self, _: &'a PeerRecord) -> Later<'a, ()> {
        match self.announced.replace(true) {
            true => ready(Ok(())).boxed_local(),
            false => pending().boxed_local(),
        }
    }

    fn peers(&self) -> Later<'_, Vec<PeerRecord>> {
        let other = PeerRecord { name: "other".into(), address: ([127, 0, 0, 2], 1).into() };
        match self.listed.replace(true) {
            true => ready(Ok(vec![other])).boxed_local(),
            false => pending().boxed_local(),
        }
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

pub(super) fn gateway(store: Rc<dyn Store>) -> Rc<Gateway> {
    let anywhere = ([127, 0, 0, 1], 0).into();
    let bounds =
        Bounds { revoke_ms: 5_000, grace_ms: 8_000, rate_window_ms: 5_000, drain_ms: 2_000 };
    let settings = GatewaySettings {
        name: "entry".into(),
        failure_domain: "d".into(),
        callers: anywhere,
        ready: anywhere,
        peers: anywhere,
        metrics: None,
        bounds,
        mechanisms: Mechanisms::default(),
    };
    Gateway::open(settings, store, Rc::new(Silence))
}
