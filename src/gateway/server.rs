use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Weak;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::FutureExt;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use super::current_response::CurrentResponse;
use super::feed_message::FEEDS_PATH;
use super::find_turn::{FIND_TURN_PATH, search_owned_shards};
use super::forward::RELAYED_HEADER;
use super::handoff::{HANDOFF_PATH, accept_handoff};
use super::hub_feed::answer_feed_request;
use super::message::FindTurn;
use super::read_body::{NO_WORKSPACE, read_body};
use super::serve::{refusal_response, serve_caller, serve_relayed};
use super::serve_forwarded::serve_forwarded;
use super::state::Gateway;
use super::{GatewayError, GatewayStatus, ResponseBody, STATUS_PATH};
use crate::http::{
    BodyLimits, CallerContext, CallerStream, Eviction, ServedConnection, limit_receive_buffer,
    set_socket_options,
};
use crate::load::NoRoom;
use crate::prelude::*;
use crate::telemetry::Metrics;

/// Idle timeout announced to callers. Each connection holds buffers, and a caller opens one for
/// every concurrent request. When idle connections were kept for as long as callers would reuse
/// them, they took most of an entry's memory.
const KEEP_ALIVE: HeaderValue = HeaderValue::from_static("timeout=3");

/// Idle timeout of callers' connections. It is longer than the announced one, since a connection
/// that closes just as a request arrives costs the caller a retry.
const IDLE_TIMEOUT_MS: u64 = 4_500;

/// Buffer size of a connection: fits the largest request head that configurations allow, with room
/// to spare.
const CONNECTION_BUFFER_BYTES: usize = 64 * 1024;

/// Pause after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_RETRY_MS: u64 = 20;

/// The most connections that are accepted, as they are established already, once the listener closes.
const MAX_LAST_CONNECTIONS: usize = 1_024;

/// How long a connection that is closed for another one may take to send a refusal.
const EVICTED_MS: u64 = 500;

/// Time limit for a message of another entry to arrive.
const MAX_MESSAGE_MS: u64 = 5_000;

/// The largest lookup of a turn.
const MAX_LOOKUP_BYTES: usize = 1_024;

/// What a listener serves.
#[derive(Clone, Copy)]
pub(super) enum ListenerKind {
    /// Requests of callers.
    Callers,
    /// Readiness checks.
    Ready,
    /// Requests of other entries.
    Peers,
    /// Scrapes of the metrics, and reads of the status.
    Metrics,
}

pub(super) async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|fault| GatewayError::Listen { address, fault })
}

/// Accepts connections until `closing` is set. From then on, open connections close after the
/// request in flight.
pub(super) async fn accept(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    listener_kind: ListenerKind,
    metrics: Metrics,
    mut closing: watch::Receiver<bool>,
) {
    let closes = closing.clone();
    let serve_stream = |stream: TcpStream| {
        let eviction = Eviction::default();
        // A connection for which there is no room closes before a request was read from it.
        let Ok(connection) = gateway.caller_memory.open_connection(gateway.now(), eviction.clone())
        else {
            return;
        };
        set_socket_options(&stream);
        if let ListenerKind::Callers = listener_kind {
            limit_receive_buffer(&stream);
        }
        let served = ConnectionServer {
            gateway: gateway.clone(),
            connection: Arc::new(connection),
            eviction,
            listener_kind,
            metrics: metrics.clone(),
        };
        let tasks = &gateway.served_connections;
        tasks.spawn_local(served.serve(stream, closes.clone()));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => break,
        };
        match accepted {
            Ok((stream, _)) => serve_stream(stream),
            Err(fault) => {
                log::warn!(fault:display; "accepting a connection failed; trying again");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
    // These callers are connected, and may have sent their request before the close.
    for _ in 0..MAX_LAST_CONNECTIONS {
        match listener.accept().now_or_never() {
            Some(Ok((stream, _))) => serve_stream(stream),
            Some(Err(_)) | None => return,
        }
    }
}

/// A connection that was accepted, and what serves it.
struct ConnectionServer {
    gateway: Rc<Gateway>,
    connection: Arc<ServedConnection>,
    eviction: Eviction,
    listener_kind: ListenerKind,
    metrics: Metrics,
}

impl ConnectionServer {
    /// Serves requests until the connection ends or is closed for another one.
    async fn serve(self, stream: TcpStream, closing: watch::Receiver<bool>) {
        let current_response = Rc::new(CurrentResponse::default());
        let (lingers, last_request) =
            (Arc::<AtomicBool>::default(), Rc::new(RefCell::new(Weak::new())));
        let clock = self.gateway.clock();
        let stream = CallerStream::new(stream, self.connection.clone(), clock, lingers.clone());
        let (current, last) = (current_response.clone(), last_request.clone());
        let eviction = self.eviction.clone();
        let served = Rc::new(self);
        let service = service_fn(move |request| {
            let caller = CallerContext::open(&served.connection, &served.eviction, clock);
            last.replace(Arc::downgrade(&caller));
            let (served, current, lingers) = (served.clone(), current.clone(), lingers.clone());
            // On the heap: an idle connection takes no room for it.
            Box::pin(async move {
                let response = served.respond(&caller, request).await;
                current.set(response.body().reader().cloned());
                lingers.store(caller.is_body_unread(), Ordering::Relaxed);
                Ok::<_, Infallible>(response.map(|body| body.with_caller(caller)))
            })
        });
        let mut driven =
            std::pin::pin!(drive_connection(stream, service, &current_response, closing));
        tokio::select! {
            () = driven.as_mut() => return,
            () = eviction.requested() => {}
        }
        let is_answering = last_request.borrow().upgrade().is_some();
        if is_answering {
            drop(timeout(Duration::from_millis(EVICTED_MS), driven).await);
        }
    }

    /// Answers a request. It is refused if the connection is to be closed for another one, which is not
    /// done while the request is in service.
    async fn respond(
        &self,
        caller: &CallerContext,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let gateway = &self.gateway;
        let response = handle_request(gateway, self.listener_kind, &self.metrics, caller, request);
        tokio::select! {
            biased;
            response = response => response,
            () = caller.evicted() => refusal_response(gateway, None, NoRoom.into()),
        }
    }
}

/// Serves the requests on a connection until it ends, or until its current response is to be
/// disconnected. The connection is then closed within the response, so that its reader does not
/// take the response for complete.
pub(super) async fn drive_connection<I, S>(
    stream: I,
    service: S,
    current_response: &CurrentResponse,
    mut closing: watch::Receiver<bool>,
) where
    I: AsyncRead + AsyncWrite + Unpin,
    S: HttpService<Incoming, ResBody = ResponseBody, Error = Infallible>,
{
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .max_buf_size(CONNECTION_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closes = async {
        closing.wait_for(|closing| *closing).await.map(drop).unwrap_or_default();
        // Lets the runtime look for bytes that have arrived on the connection, but were not read yet.
        tokio::task::yield_now().await;
    };
    // A request that has arrived is read before the connection closes as idle.
    let ended = async {
        tokio::select! {
            biased;
            ended = connection.as_mut() => ended,
            () = closes => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let ended = tokio::select! {
        ended = ended => ended,
        () = current_response.wait_until_disconnected() => return,
    };
    if let Err(fault) = ended {
        log::debug!(fault:display; "connection ended with an error");
    }
}

async fn handle_request(
    gateway: &Rc<Gateway>,
    listener_kind: ListenerKind,
    metrics: &Metrics,
    caller: &CallerContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    match listener_kind {
        ListenerKind::Callers => {
            let mut response = serve_caller(gateway.clone(), caller, request).await;
            response.headers_mut().insert(HeaderName::from_static("keep-alive"), KEEP_ALIVE);
            if gateway.draining.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
        ListenerKind::Ready => status_response(match gateway.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        }),
        ListenerKind::Metrics if request.uri().path() == STATUS_PATH => status_page(gateway),
        ListenerKind::Metrics => {
            super::observe::update_gauges(gateway);
            Response::new(ResponseBody::buffered(metrics.render().into()))
        }
        ListenerKind::Peers if request.uri().path() == FIND_TURN_PATH => {
            find_turn(gateway, caller, request).await
        }
        ListenerKind::Peers if request.uri().path() == FEEDS_PATH => {
            answer_feed_request(gateway, caller, request).await
        }
        ListenerKind::Peers if request.uri().path() == HANDOFF_PATH => {
            accept_handoff(gateway, caller, request).await
        }
        ListenerKind::Peers if request.headers().contains_key(RELAYED_HEADER) => {
            serve_relayed(gateway.clone(), caller, request).await
        }
        ListenerKind::Peers => serve_forwarded(gateway, caller, request).await,
    }
}

/// An empty response with the given status.
pub(super) fn status_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// The state of load control at this entry, as JSON.
fn status_page(gateway: &Gateway) -> Response<ResponseBody> {
    match serde_json::to_vec(&GatewayStatus::from(gateway)) {
        Ok(bytes) => {
            let mut response = Response::new(ResponseBody::buffered(bytes.into()));
            let content_type = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, content_type);
            response
        }
        Err(fault) => {
            log::error!(fault:display; "encoding of the status failed; answered with 500");
            status_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Reads a message of another entry, or returns what to answer.
pub(super) async fn read_message<T: DeserializeOwned>(
    gateway: &Gateway,
    caller: &CallerContext,
    request: Request<Incoming>,
    max_bytes: usize,
) -> Result<T, Response<ResponseBody>> {
    let limits = BodyLimits { max_bytes, time_ms: MAX_MESSAGE_MS, silence_ms: MAX_MESSAGE_MS };
    let body = read_body(caller, &NO_WORKSPACE.into(), request.into_body(), limits).await;
    let body = body.map_err(|refusal| refusal_response(gateway, None, refusal))?;
    postcard::from_bytes(&body).map_err(|_| status_response(StatusCode::BAD_REQUEST))
}

/// Answers a turn lookup of another entry.
async fn find_turn(
    gateway: &Gateway,
    caller: &CallerContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let lookup: FindTurn = match read_message(gateway, caller, request, MAX_LOOKUP_BYTES).await {
        Ok(lookup) => lookup,
        Err(refused) => return refused,
    };
    let found = search_owned_shards(gateway, lookup.turn).await;
    match postcard::to_allocvec(&found) {
        Ok(bytes) => Response::new(ResponseBody::buffered(bytes.into())),
        Err(fault) => {
            log::error!(fault:display; "encoding of a turn chain failed; lookup answered with 500");
            status_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
