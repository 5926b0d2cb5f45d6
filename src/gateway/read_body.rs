use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};

use super::Refusal;

/// Reads a request's body of up to `max_bytes` bytes.
pub(super) async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(fault) if fault.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Err(_) => Err(Refusal::BadRequest),
    }
}
