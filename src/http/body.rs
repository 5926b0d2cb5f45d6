use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use super::{BodyLimits, CallerContext, collect_body};
use crate::load::NoRoom;
use crate::prelude::*;

/// What is decoded from a body takes about as much again while the request is served.
const DECODED_COPIES: usize = 1;

/// The body of a response, or of a request sent by [`Client`](super::Client).
pub type Body = BoxBody<Bytes, std::io::Error>;

/// The workspace of requests of the system's own processes.
pub const OWN_PROCESSES: &str = "";

/// Why [`read_body`] failed.
#[value]
#[derive(Copy)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive within the timeout.
    TimedOut,
    /// The connection failed before the end of the body.
    Incomplete,
    /// What the process holds for callers has reached a limit.
    NoRoom,
}

/// A body whose bytes are all available.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// An empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// A body sent chunk by chunk. An error in the stream closes the connection, so that the recipient
/// can tell that the body is incomplete.
pub fn streamed<S>(stream: S) -> Body
where
    S: Stream<Item = Result<Bytes, std::io::Error>> + Send + Sync + 'static,
{
    BodyExt::boxed(StreamBody::new(stream.map(|chunk| chunk.map(Frame::data))))
}

/// A response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Serializes a value as one line of JSON, with the line break.
pub fn json_line<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = serde_json::to_vec(value).unwrap_or_default();
    bytes.push(b'\n');
    bytes.into()
}

/// Reads the body of a workspace's request to its end, up to `max_bytes` and within `timeout`. From then
/// on, the request counts as in service until it is answered.
pub async fn read_body(
    request: Request<Incoming>,
    workspace: &str,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let caller = request.extensions().get::<Arc<CallerContext>>().cloned();
    let caller = caller.ok_or(BodyError::NoRoom)?;
    let time_ms = timeout.as_millis() as u64;
    let limits = BodyLimits { max_bytes, time_ms, silence_ms: time_ms };
    let workspace = workspace.into();
    let body = tokio::select! {
        biased;
        () = caller.evicted() => return Err(BodyError::NoRoom),
        body = collect_body(&caller, &workspace, request.into_body(), limits) => body?,
    };
    caller.request.receive_body(caller.now(), DECODED_COPIES * body.len())?;
    caller.request.begin_service(caller.now(), &workspace)?;
    Ok(body.into())
}

impl From<NoRoom> for BodyError {
    fn from(NoRoom: NoRoom) -> BodyError {
        BodyError::NoRoom
    }
}

/// Reads a body like [`read_body`], unless `stop` is cancelled before its end. Then it returns
/// `None`, and the rest is read and discarded: closing a socket with unread bytes resets the
/// connection, and the sender could lose the response.
pub async fn read_body_until(
    stop: &CancellationToken,
    request: Request<Incoming>,
    workspace: &str,
    max_bytes: usize,
    timeout: Duration,
) -> Option<Result<Bytes, BodyError>> {
    let workspace = workspace.to_string();
    let mut reading =
        Box::pin(async move { read_body(request, &workspace, max_bytes, timeout).await });
    let read = stop.run_until_cancelled(&mut reading).await;
    if read.is_none() {
        tokio::spawn(reading);
    }
    read
}
