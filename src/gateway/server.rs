use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::find_turn::{FIND_PATH, search_own};
use super::forward::RELAYED_HEADER;
use super::handoff::{HANDOFF_PATH, accept_handoff};
use super::message::FindTurn;
use super::serve::{serve_caller, serve_forwarded, serve_relayed};
use super::state::Gateway;
use super::{GatewayError, ResponseBody};
use crate::http::tune;
use crate::telemetry::Metrics;

/// How long callers are told that an unused connection is kept. Each holds buffers, and a caller opens
/// one for every call that it makes at once: kept for as long as callers would use them, unused ones
/// took most of an entry's memory.
const KEEP_ALIVE: HeaderValue = HeaderValue::from_static("timeout=3");

/// How long an unused connection is kept: longer than told, since one that closes as a request comes
/// costs its caller a retry.
const CALLERS_IDLE_MOST_MS: u64 = 4_500;

/// Buffer of a connection: the largest head that configurations allow, with room.
const CONNECTION_BUFFER_BYTES: usize = 64 * 1024;

/// Pause after a failed accept, which mostly means that descriptors have run out.
const ACCEPT_RETRY_MS: u64 = 20;

/// Which requests a listener takes.
#[derive(Clone, Copy)]
pub(super) enum ListenerKind {
    /// Callers' requests.
    Callers,
    /// Whether this entry is ready.
    Ready,
    /// The other entries' calls.
    Peers,
    /// The metrics.
    Metrics,
}

/// Listens on an address.
pub(super) async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|fault| GatewayError::Listen { address, fault })
}

/// Takes connections until `closing` is set; from then on, those taken close after the request that
/// they carry.
pub(super) async fn accept(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    listener_kind: ListenerKind,
    metrics: Metrics,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tune(&stream);
                let serving = serve_connection(
                    gateway.clone(),
                    stream,
                    listener_kind,
                    metrics.clone(),
                    closing.clone(),
                );
                tokio::task::spawn_local(serving);
            }
            Err(fault) => {
                log::warn!(fault:display; "a connection could not be accepted");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

async fn serve_connection(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    listener_kind: ListenerKind,
    metrics: Metrics,
    mut closing: watch::Receiver<bool>,
) {
    let service = service_fn(move |request| {
        let (gateway, metrics) = (gateway.clone(), metrics.clone());
        async move { Ok::<_, Infallible>(answer(gateway, listener_kind, &metrics, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(CALLERS_IDLE_MOST_MS))
        .max_buf_size(CONNECTION_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = closing.wait_for(|closing| *closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(fault) = ended {
        log::debug!(fault:display; "a caller's connection ended");
    }
}

async fn answer(
    gateway: Rc<Gateway>,
    listener_kind: ListenerKind,
    metrics: &Metrics,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    match listener_kind {
        ListenerKind::Callers => {
            let draining = gateway.clone();
            let mut response = serve_caller(gateway, request).await;
            response.headers_mut().insert(HeaderName::from_static("keep-alive"), KEEP_ALIVE);
            if draining.draining.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
        ListenerKind::Ready => status_response(match gateway.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        }),
        ListenerKind::Metrics => {
            super::observe::update_gauges(&gateway);
            Response::new(ResponseBody::whole(metrics.render().into()))
        }
        ListenerKind::Peers if request.uri().path() == FIND_PATH => {
            find_turn(&gateway, request).await
        }
        ListenerKind::Peers if request.uri().path() == HANDOFF_PATH => {
            accept_handoff(&gateway, request).await
        }
        ListenerKind::Peers if request.headers().contains_key(RELAYED_HEADER) => {
            serve_relayed(gateway, request).await
        }
        ListenerKind::Peers => serve_forwarded(&gateway, request).await,
    }
}

pub(super) fn status_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

async fn find_turn(gateway: &Gateway, request: Request<Incoming>) -> Response<ResponseBody> {
    let Ok(body) = request.into_body().collect().await else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    let Ok(question) = postcard::from_bytes::<FindTurn>(&body.to_bytes()) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    let found = search_own(gateway, question.turn).await;
    match postcard::to_allocvec(&found) {
        Ok(bytes) => Response::new(ResponseBody::whole(bytes.into())),
        Err(fault) => {
            log::error!(fault:display; "a chain can't be encoded");
            status_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
