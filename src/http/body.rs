use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::prelude::*;

/// A body that is sent.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// Why a body could not be read.
#[value]
#[derive(Copy)]
pub enum BodyFault {
    /// Larger than allowed.
    TooLarge,
    /// Not sent in time.
    TooSlow,
    /// Cut off.
    Cut,
}

/// A body that is known at once.
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// No body.
pub fn empty() -> Body {
    whole(Bytes::new())
}

/// A body sent as it comes. An error in the stream cuts the connection, so that the reader sees
/// that the body is not whole.
pub fn streamed<S>(stream: S) -> Body
where
    S: Stream<Item = Result<Bytes, std::io::Error>> + Send + Sync + 'static,
{
    BodyExt::boxed(StreamBody::new(stream.map(|part| part.map(Frame::data))))
}

/// A JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(whole(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// A value as one line of JSON.
pub fn lines<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = serde_json::to_vec(value).unwrap_or_default();
    bytes.push(b'\n');
    bytes.into()
}

/// Reads a whole body, no larger and no slower than allowed.
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyFault> {
    let collected = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(timeout, collected).await {
        Err(_) => Err(BodyFault::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(fault)) if fault.is::<LengthLimitError>() => Err(BodyFault::TooLarge),
        Ok(Err(_)) => Err(BodyFault::Cut),
    }
}
