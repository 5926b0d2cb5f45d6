use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Response, StatusCode};
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use crate::prelude::*;

/// The body of a response, or of a request sent by [`Client`](super::Client).
pub type Body = BoxBody<Bytes, std::io::Error>;

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

/// Reads a body to its end, up to `max_bytes` and within `timeout`.
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let collected = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(timeout, collected).await {
        Err(_) => Err(BodyError::TimedOut),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(fault)) if fault.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Incomplete),
    }
}

/// Reads a body like [`read_body`], unless `stop` is cancelled before its end. Then it returns
/// `None`, and the rest is read and discarded: closing a socket with unread bytes resets the
/// connection, and the sender could lose the response.
pub async fn read_body_until(
    stop: &CancellationToken,
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Option<Result<Bytes, BodyError>> {
    let mut reading = Box::pin(read_body(body, max_bytes, timeout));
    let read = stop.run_until_cancelled(&mut reading).await;
    if read.is_none() {
        tokio::spawn(reading);
    }
    read
}
