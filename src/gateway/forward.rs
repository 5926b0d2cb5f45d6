//! Turns on their way from the entry that took them to the owner of their program's shard.

use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use hyper::body::{Bytes, Incoming};
use tokio::sync::{mpsc, oneshot};

use super::buffered::end_to_end;
use super::call_store::{STORE_CALL_TIMEOUT_MS, call_store};
use super::event_stream::next_frame;
use super::owned_shard::{OwnedShard, Stage};
use super::state::Gateway;
use super::turn::within;
use super::{Refusal, ResponseBody, RoutingDecision};
use crate::http::{ConnectFault, Gate, Outgoing};
use crate::mechanisms::Mechanism;
use crate::prelude::*;

/// Carries the [`Order`] of a forwarded turn.
pub(super) const ORDER_HEADER: &str = "x-trefoil-order";

/// The most bytes of a request on its way between entries: what a record of the store holds.
pub(super) const FORWARDED_MOST_BYTES: usize = 4 << 20;

/// Marks a request that another entry could not decide on, with what is left of its time in milliseconds.
pub(super) const RELAYED_HEADER: &str = "x-trefoil-relayed";

/// Marks an answer: this entry does not own the shard, and nothing was done.
pub(super) const MOVED_HEADER: &str = "x-trefoil-moved";

/// Marks a refusal: the turn has not run and never will.
pub(super) const NOT_RUN_HEADER: &str = "x-trefoil-not-run";

/// How long a turn may wait for its shard to find an owner: an owner that dies is replaced
/// once its membership lapses, after one and a half seconds, and its records are read.
const OWNER_WAIT_MOST_MS: u64 = 1_900;

/// Part of a request's time that the wait for an owner may use up: beyond, the turn itself could
/// not end in time.
const OWNER_WAIT_PART: f64 = 0.6;

/// An owner takes a turn within this time or does not get it: a machine whose processor is
/// held back stands still for up to a tenth of a second.
const TAKEN_WITHIN_MS: u64 = 250;

/// Pause between two looks for an owner.
const LOOK_AGAIN_MS: u64 = 20;

/// When to return if a shard has no owner.
const NO_OWNER_RETRY_MS: u64 = 400;

/// Pieces that wait for a slow caller.
const PIECES_WAITING_MOST: usize = 32;

/// Why a request goes to another entry.
pub(super) enum Towards {
    /// The owner of its program's shard serves it as was decided here.
    Owner(RoutingDecision),
    /// An entry with a fresh configuration decides all of it.
    Fresh,
}

/// A request as its caller sent it.
pub(super) struct Forwarded {
    pub(super) request: Arc<str>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) towards: Towards,
    pub(super) ends_at: TimeMs,
}

/// Where a shard's turns are served.
pub(super) enum Served {
    /// Here.
    Here(Rc<OwnedShard>),
    /// At another entry, which has answered.
    There(Response<ResponseBody>),
}

/// Finds the owner of a shard; if that is another entry, has it serve the turn.
///
/// A turn goes to another owner only while it is certain that the last one has not taken it: after
/// a connection that broke behind the request, its outcome is unknown.
pub(super) async fn find_owner(
    gateway: &Rc<Gateway>,
    shard: u32,
    turn: &Forwarded,
) -> Result<Served, Refusal> {
    let arrived = gateway.now();
    let time_ms = turn.ends_at.since(arrived);
    let wait_ms = ((time_ms as f64 * OWNER_WAIT_PART) as u64).min(OWNER_WAIT_MOST_MS);
    loop {
        if let Some(own) = gateway.shards.owned(shard).filter(|own| own.stage() == Stage::Serving) {
            return Ok(Served::Here(own));
        }
        if let Some(owner) = gateway.shards.remote_owner(shard) {
            if let Towards::Owner(order) = &turn.towards
                && !gateway.may_forward_to(owner.address, &order.regions)
            {
                log::info!(request:% = turn.request, shard, owner:% = owner.address;
                    "the owner of a shard lies outside a turn's regions");
                return Err(Refusal::Unavailable { retry_after_ms: NO_OWNER_RETRY_MS });
            }
            match send(gateway, owner.address, turn).await? {
                Sent::Answered(response) => return Ok(Served::There(response)),
                Sent::Moved => gateway.shards.forget_owner(owner.address, Some(shard)),
                Sent::Silent => {
                    gateway.shards.forget_owner(owner.address, Some(shard));
                    let out_of_touch =
                        !gateway.peers.borrow().heard_recently(gateway.now(), owner.address);
                    log::info!(request:% = turn.request, shard, owner:% = owner.address, out_of_touch;
                        "the owner of a shard does not take a turn");
                    if out_of_touch {
                        sign_off_gone(gateway, owner.address).await;
                    }
                }
                Sent::Unreached(fault) => {
                    gateway.shards.forget_owner(owner.address, None);
                    if fault == ConnectFault::Refused {
                        sign_off_gone(gateway, owner.address).await;
                    }
                }
            }
        }
        if gateway.now().since(arrived) >= wait_ms {
            log::info!(request:% = turn.request, shard; "a turn found no owner of its shard");
            return Err(Refusal::Unavailable { retry_after_ms: NO_OWNER_RETRY_MS });
        }
        tokio::select! {
            () = gateway.shards.changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(LOOK_AGAIN_MS)) => {}
        }
    }
}

/// Signs off an entry whose process is gone while its VM lives, so that its shards are dealt anew at
/// once instead of after its membership lapses. If it lives after all, the epochs keep it harmless.
async fn sign_off_gone(gateway: &Gateway, address: std::net::SocketAddr) {
    let relieves = gateway.is_enabled(Mechanism::PeerDeregistration);
    if relieves && gateway.peers.borrow_mut().deregister(address).is_some() {
        deregister(gateway, address).await;
    }
}

/// Takes another entry out of the group of owners.
pub(super) async fn deregister(gateway: &Gateway, address: std::net::SocketAddr) {
    let Some(name) = gateway.peers.borrow().name(address) else {
        return;
    };
    log::info!(peer:% = name; "an entry is signed off; its shards are dealt anew");
    if let Err(fault) = call_store(STORE_CALL_TIMEOUT_MS, gateway.store.leave(&name)).await {
        log::warn!(peer:% = name, fault:display; "an entry could not be signed off");
    }
    gateway.renew_membership();
}

pub(super) enum Sent {
    Answered(Response<ResponseBody>),
    Moved,
    /// It has not taken the turn and never will, though the connection stands.
    Silent,
    Unreached(ConnectFault),
}

/// Sends a turn to its owner: the head first, and the body only once the owner asks for it.
///
/// A frozen owner, one without power or one behind a cut takes the bytes of a kept connection and
/// says nothing. Sent whole, the turn might run whenever that owner wakes, so that it could go
/// nowhere else and its caller lost it. Without its body it can't run.
pub(super) async fn send(
    gateway: &Rc<Gateway>,
    address: std::net::SocketAddr,
    turn: &Forwarded,
) -> Result<Sent, Refusal> {
    let mut connection = match gateway.connections.take(gateway.now(), address).await {
        Ok(connection) => connection,
        Err(fault) => return Ok(Sent::Unreached(fault)),
    };
    let gate = Arc::new(Gate::default());
    if turn.body.is_empty() {
        gate.open();
    }
    let (taken, mut is_taken) = oneshot::channel();
    let Some(request) = compose(gateway, turn, gate.clone(), taken) else {
        return Err(Refusal::TimedOut);
    };
    let answer = connection.sender.try_send_request(request);
    let mut answer = std::pin::pin!(within(gateway, turn.ends_at, answer));
    let early = tokio::select! {
        biased;
        answer = answer.as_mut() => Some(answer),
        _ = &mut is_taken => None,
        () = tokio::time::sleep(Duration::from_millis(TAKEN_WITHIN_MS)) => {
            if gate.shut() {
                return Ok(Sent::Silent);
            }
            None
        }
    };
    let answer = match early {
        Some(answer) => answer,
        None => answer.await,
    };
    let response = match answer? {
        Ok(response) => response,
        Err(mut fault) => {
            return match fault.take_message().is_some() || gate.shut() {
                true => Ok(Sent::Moved),
                false => Err(Refusal::OutcomeUnknown),
            };
        }
    };
    let (head, body) = response.into_parts();
    if head.headers.contains_key(MOVED_HEADER) {
        gate.shut();
        return Ok(Sent::Moved);
    }
    let (pieces, passing) = mpsc::channel(PIECES_WAITING_MOST);
    let ends_at = turn.ends_at;
    let pass = pass_on(gateway.clone(), ends_at, body, pieces);
    let keeper = gateway.clone();
    tokio::task::spawn_local(async move {
        if pass.await {
            keeper.connections.keep(keeper.now(), connection);
        }
    });
    let mut response = Response::new(ResponseBody::passing(passing));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(head.headers);
    Ok(Sent::Answered(response))
}

/// Passes a body on; `true` once it has ended whole.
async fn pass_on(
    gateway: Rc<Gateway>,
    ends_at: TimeMs,
    mut body: Incoming,
    pieces: mpsc::Sender<Option<Bytes>>,
) -> bool {
    loop {
        let next = tokio::select! {
            next = within(&gateway, ends_at, next_frame(&mut body)) => next,
            () = pieces.closed() => return false,
        };
        let Ok(Ok(piece)) = next else {
            return false;
        };
        let ended = piece.is_none();
        if pieces.send(piece).await.is_err() {
            return false;
        }
        if ended {
            return true;
        }
    }
}

fn compose(
    gateway: &Gateway,
    turn: &Forwarded,
    gate: Arc<Gate>,
    taken: oneshot::Sender<()>,
) -> Option<Request<Outgoing>> {
    let left_ms = turn.ends_at.since(gateway.now());
    let mut request = Request::new(Outgoing::held(turn.body.clone(), gate.clone()));
    *request.method_mut() = turn.method.clone();
    *request.uri_mut() = turn.uri.clone();
    let mut headers = turn.headers.clone();
    match &turn.towards {
        Towards::Owner(order) => {
            let order = RoutingDecision { left_ms, ..order.clone() };
            let order = hex::encode(postcard::to_allocvec(&order).ok()?);
            headers.remove(http::header::AUTHORIZATION);
            headers.insert(ORDER_HEADER, HeaderValue::from_str(&order).ok()?);
        }
        Towards::Fresh => {
            headers.insert(RELAYED_HEADER, HeaderValue::from(left_ms));
        }
    }
    *request.headers_mut() = end_to_end(headers);
    let asks_first = HeaderValue::from_static("100-continue");
    request.headers_mut().insert(http::header::EXPECT, asks_first);
    let taken = Mutex::new(Some(taken));
    hyper::ext::on_informational(&mut request, move |_| {
        gate.open();
        if let Some(taken) = taken.lock().ok().and_then(|mut taken| taken.take()) {
            taken.send(()).unwrap_or_default();
        }
    });
    (left_ms > 0).then_some(request)
}

/// The answer of an entry that does not own the shard.
pub(super) fn moved() -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::new()));
    *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
    response.headers_mut().insert(MOVED_HEADER, HeaderValue::from_static("1"));
    response
}
