//! Forwarding of requests between entries: of turns to the owner of their program's shard, and of
//! any request to an entry with a fresh configuration.

use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use hyper::body::{Bytes, Incoming};
use tokio::sync::oneshot;

use super::buffered::strip_hop_by_hop_headers;
use super::call_store::{STORE_CALL_TIMEOUT_MS, call_store};
use super::chunk_channel::{ChunkSender, chunk_channel};
use super::event_stream::next_data;
use super::in_flight::{Progress, Wait};
use super::owned_shard::{OwnedShard, Stage};
use super::state::Gateway;
use super::turn::until_deadline;
use super::{Refusal, ResponseBody, RoutingDecision};
use crate::http::{BodyGate, BodyLimits, ConnectError, RequestBody};
use crate::mechanisms::Mechanism;
use crate::prelude::*;

/// Carries the [`RoutingDecision`] of a forwarded turn, encoded with postcard and then as hex.
pub(super) const ROUTING_HEADER: &str = "x-trefoil-order";

/// Limit for the body of a request sent between entries: the maximum size of a record in the store.
const MAX_FORWARDED_BYTES: usize = 4 << 20;

/// Longest time in which nothing arrives of a body sent between entries, whose sender has all of it.
const MAX_FORWARDED_SILENCE_MS: u64 = 5_000;

/// Marks a request that was relayed because the sending entry's configuration is stale. The value
/// is the time left until the request's deadline, in milliseconds.
pub(super) const RELAYED_HEADER: &str = "x-trefoil-relayed";

/// Marks a response: the entry does not own the shard and has done nothing.
pub(super) const NOT_OWNER_HEADER: &str = "x-trefoil-moved";

/// Marks a refusal: the turn has not run and never will.
pub(super) const NOT_RUN_HEADER: &str = "x-trefoil-not-run";

/// Upper bound of a turn's wait for its shard to get an owner. An owner that dies is replaced after
/// its membership expires (1.5 s) and its successor has read the shard's records.
const MAX_OWNER_WAIT_MS: u64 = 1_900;

/// Fraction of a request's time that the wait for an owner may use up. After a longer wait, the
/// turn itself could not finish in time.
const OWNER_WAIT_FRACTION: f64 = 0.6;

/// Time within which an owner must accept a turn; otherwise the turn is withdrawn. A VM whose CPU
/// is throttled pauses for up to 100 ms.
const ACCEPT_TIMEOUT_MS: u64 = 250;

/// Pause between two lookups of the owner, unless the shard table changes earlier.
const OWNER_LOOKUP_INTERVAL_MS: u64 = 20;

/// Retry delay if the shard has no owner.
const NO_OWNER_RETRY_MS: u64 = 400;

/// Retry delay if all entries are shutting down. They are started again only after they have drained,
/// which takes seconds; callers accept a delay of at most a third of their timeout.
const ALL_LEAVING_RETRY_MS: u64 = 1_000;

/// Which other entry a request is sent to, and who decides on it.
pub(super) enum ForwardTarget {
    /// The entry owns the program's shard, and serves the request as decided here.
    Owner(RoutingDecision),
    /// The entry has a fresh configuration, and both decides on and serves the request.
    FreshConfig,
}

/// A request to be sent to another entry, as received from its caller.
pub(super) struct ForwardedRequest {
    /// The request's ID.
    pub(super) request: Arc<str>,
    /// The workspace for which the response is buffered; empty if it is not known.
    pub(super) workspace: Arc<str>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) target: ForwardTarget,
    pub(super) deadline: TimeMs,
    pub(super) progress: Rc<Progress>,
}

/// Outcome of the search for the owner of a shard.
pub(super) enum OwnerResult {
    /// This entry owns the shard; the turn is still to be served.
    Local(Rc<OwnedShard>),
    /// Another entry owns the shard and has responded.
    Responded(Response<ResponseBody>),
}

/// Finds the owner of a shard and, if that is another entry, forwards the turn to it.
///
/// If an owner has certainly not accepted the turn, the owner is looked up again and the turn is
/// sent to the new one. If a connection breaks after the request was sent, the outcome is unknown.
pub(super) async fn forward_to_owner(
    gateway: &Rc<Gateway>,
    shard: u32,
    forwarded: &ForwardedRequest,
) -> Result<OwnerResult, Refusal> {
    forwarded.progress.set_wait(Wait::Entry);
    let arrived = gateway.now();
    let time_ms = forwarded.deadline.since(arrived);
    let wait_ms = ((time_ms as f64 * OWNER_WAIT_FRACTION) as u64).min(MAX_OWNER_WAIT_MS);
    loop {
        if let Some(own) = gateway.shards.owned(shard).filter(|own| own.stage() == Stage::Serving) {
            return Ok(OwnerResult::Local(own));
        }
        if let Some(owner) = gateway.shards.remote_owner(shard) {
            if let ForwardTarget::Owner(routing) = &forwarded.target
                && !gateway.may_forward_to(owner.address, &routing.regions)
            {
                log::info!(request:% = forwarded.request, shard, owner:% = owner.address;
                    "owner of the shard is outside the turn's allowed regions; turn refused");
                return Err(Refusal::Unavailable { retry_after_ms: NO_OWNER_RETRY_MS });
            }
            match send(gateway, owner.address, forwarded).await? {
                SendOutcome::Responded(response) => return Ok(OwnerResult::Responded(response)),
                SendOutcome::NotServed => {
                    gateway.shards.forget_owner(owner.address, Some(shard));
                    gateway.leaf.attach_due.notify_one();
                }
                SendOutcome::NotAccepted => {
                    gateway.shards.forget_owner(owner.address, Some(shard));
                    let out_of_touch =
                        !gateway.peers.borrow().heard_recently(gateway.now(), owner.address);
                    log::info!(request:% = forwarded.request, shard, owner:% = owner.address,
                        out_of_touch;
                        "owner of the shard did not accept a turn; looking for the owner again");
                    if out_of_touch {
                        deregister_dead_entry(gateway, owner.address).await;
                    }
                }
                SendOutcome::ConnectFailed(fault) => {
                    gateway.shards.forget_owner(owner.address, None);
                    if fault == ConnectError::Refused {
                        gateway.peers.borrow_mut().mark_dead(owner.address);
                        deregister_dead_entry(gateway, owner.address).await;
                    }
                }
            }
        }
        if gateway.all_entries_leave() {
            log::info!(request:% = forwarded.request, shard;
                "all entries are shutting down and none takes the shard; turn refused");
            return Err(Refusal::Unavailable { retry_after_ms: ALL_LEAVING_RETRY_MS });
        }
        if gateway.now().since(arrived) >= wait_ms {
            log::info!(request:% = forwarded.request, shard;
                "shard has no reachable owner; turn refused");
            return Err(Refusal::Unavailable { retry_after_ms: NO_OWNER_RETRY_MS });
        }
        tokio::select! {
            () = gateway.shards.changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(OWNER_LOOKUP_INTERVAL_MS)) => {}
        }
    }
}

/// Deregisters an entry that appears to be dead: its VM refuses connections, or it neither responds
/// nor gossips. Its shards are then reassigned at once instead of after its membership expires. If
/// it is alive after all, the later epochs of the new owners fence its writes.
async fn deregister_dead_entry(gateway: &Gateway, address: std::net::SocketAddr) {
    // A leaf hears of the hubs through another one only, and there are many leaves.
    let deregisters = gateway.is_enabled(Mechanism::PeerDeregistration) && gateway.is_hub();
    if deregisters && gateway.peers.borrow_mut().mark_deregistered(address).is_some() {
        deregister(gateway, address).await;
    }
}

/// Removes another entry from the group of shard owners.
pub(super) async fn deregister(gateway: &Gateway, address: std::net::SocketAddr) {
    let Some(name) = gateway.peers.borrow().name(address) else {
        return;
    };
    log::info!(peer:% = name; "deregistering an entry; its shards will be reassigned");
    if let Err(fault) = call_store(STORE_CALL_TIMEOUT_MS, gateway.store.leave(&name)).await {
        log::warn!(peer:% = name, fault:display;
            "deregistering an entry failed; its shards are reassigned when its membership expires");
    }
    gateway.renew_membership();
}

/// Outcome of sending a request to another entry.
pub(super) enum SendOutcome {
    /// The entry responded.
    Responded(Response<ResponseBody>),
    /// The entry does not own the shard, or the connection failed before the request was complete.
    /// The request has not run there and never will.
    NotServed,
    /// The entry did not accept the request in time, although the connection is open. The request
    /// has not run there and never will.
    NotAccepted,
    /// No connection could be opened.
    ConnectFailed(ConnectError),
}

/// Limits on the body of a request of another entry, which has `left_ms` left, and of one to be sent there.
pub(super) fn forwarded_limits(left_ms: u64) -> BodyLimits {
    BodyLimits {
        max_bytes: MAX_FORWARDED_BYTES,
        time_ms: left_ms,
        silence_ms: MAX_FORWARDED_SILENCE_MS,
    }
}

/// Sends a request to another entry: first the head, and the body only after the entry asks for it
/// (`Expect: 100-continue`).
///
/// An entry that is frozen, without power or behind a network partition does not respond, but the
/// bytes sent on a pooled connection are still accepted. If the whole request were sent, it might
/// run whenever that entry wakes up. It could then be sent nowhere else, and the caller would lose
/// it. Without its body it cannot run.
pub(super) async fn send(
    gateway: &Rc<Gateway>,
    address: std::net::SocketAddr,
    forwarded: &ForwardedRequest,
) -> Result<SendOutcome, Refusal> {
    forwarded.progress.set_wait(Wait::Entry);
    let outcome = send_once(gateway, address, forwarded).await?;
    if !matches!(outcome, SendOutcome::Responded(_)) {
        forwarded.progress.end_forward();
    }
    Ok(outcome)
}

async fn send_once(
    gateway: &Rc<Gateway>,
    address: std::net::SocketAddr,
    forwarded: &ForwardedRequest,
) -> Result<SendOutcome, Refusal> {
    let mut connection = match gateway.connections.take(gateway.now(), address).await {
        Ok(connection) => connection,
        Err(fault) => return Ok(SendOutcome::ConnectFailed(fault)),
    };
    let gate = Arc::new(BodyGate::default());
    if !forwarded.progress.begin_forward(&gate) {
        return Ok(SendOutcome::NotServed);
    }
    if forwarded.body.is_empty() {
        gate.open();
    }
    let (accept_sender, mut accepted) = oneshot::channel();
    let Some(request) = build_request(gateway, forwarded, gate.clone(), accept_sender) else {
        return Err(Refusal::TimedOut);
    };
    let response = connection.sender.try_send_request(request);
    let mut response = std::pin::pin!(until_deadline(gateway, forwarded.deadline, response));
    let early_response = tokio::select! {
        biased;
        response = response.as_mut() => Some(response),
        _ = &mut accepted => None,
        () = tokio::time::sleep(Duration::from_millis(ACCEPT_TIMEOUT_MS)) => {
            if gate.close() {
                return Ok(SendOutcome::NotAccepted);
            }
            None
        }
    };
    let response = match early_response {
        Some(response) => response,
        None => response.await,
    };
    let response = match response? {
        Ok(response) => response,
        Err(mut fault) => {
            return match fault.take_message().is_some() || gate.close() {
                true => Ok(SendOutcome::NotServed),
                false => Err(Refusal::OutcomeUnknown),
            };
        }
    };
    let (head, body) = response.into_parts();
    if head.headers.contains_key(NOT_OWNER_HEADER) {
        gate.close();
        return Ok(SendOutcome::NotServed);
    }
    let (chunk_sender, body_to_caller) =
        chunk_channel(gateway.reader_limits.as_ref(), &forwarded.request, &forwarded.workspace);
    let deadline = forwarded.deadline;
    let copy = copy_body(gateway.clone(), deadline, body, chunk_sender);
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        if copy.await {
            gateway.connections.put_back(gateway.now(), connection);
        }
    });
    let mut response = Response::new(body_to_caller);
    *response.status_mut() = head.status;
    *response.headers_mut() = strip_hop_by_hop_headers(head.headers);
    Ok(SendOutcome::Responded(response))
}

/// Passes a body on. Returns whether it was passed on completely.
async fn copy_body(
    gateway: Rc<Gateway>,
    deadline: TimeMs,
    mut body: Incoming,
    chunk_sender: ChunkSender,
) -> bool {
    loop {
        let next = tokio::select! {
            next = until_deadline(&gateway, deadline, next_data(&mut body)) => next,
            () = chunk_sender.closed() => return false,
        };
        let Ok(Ok(chunk)) = next else {
            return false;
        };
        let ended = chunk.is_none();
        let Ok(chunk) = chunk.map(|chunk| chunk_sender.hold(gateway.now(), chunk)).transpose()
        else {
            return false;
        };
        if chunk_sender.send(chunk).await.is_err() {
            return false;
        }
        if ended {
            return true;
        }
    }
}

fn build_request(
    gateway: &Gateway,
    forwarded: &ForwardedRequest,
    gate: Arc<BodyGate>,
    accept_sender: oneshot::Sender<()>,
) -> Option<Request<RequestBody>> {
    let left_ms = forwarded.deadline.since(gateway.now());
    let mut request = Request::new(RequestBody::gated(forwarded.body.clone(), gate.clone()));
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    let mut headers = forwarded.headers.clone();
    match &forwarded.target {
        ForwardTarget::Owner(routing) => {
            let routing = RoutingDecision { left_ms, ..routing.clone() };
            let routing = hex::encode(postcard::to_allocvec(&routing).ok()?);
            headers.remove(http::header::AUTHORIZATION);
            headers.insert(ROUTING_HEADER, HeaderValue::from_str(&routing).ok()?);
        }
        ForwardTarget::FreshConfig => {
            headers.insert(RELAYED_HEADER, HeaderValue::from(left_ms));
        }
    }
    *request.headers_mut() = strip_hop_by_hop_headers(headers);
    let expect_continue = HeaderValue::from_static("100-continue");
    request.headers_mut().insert(http::header::EXPECT, expect_continue);
    let accept_sender = Mutex::new(Some(accept_sender));
    hyper::ext::on_informational(&mut request, move |_| {
        gate.open();
        if let Some(accept_sender) =
            accept_sender.lock().ok().and_then(|mut accept_sender| accept_sender.take())
        {
            accept_sender.send(()).unwrap_or_default();
        }
    });
    (left_ms > 0).then_some(request)
}

/// The response of an entry that does not own the shard.
pub(super) fn not_owner_response() -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
    *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
    response.headers_mut().insert(NOT_OWNER_HEADER, HeaderValue::from_static("1"));
    response
}
