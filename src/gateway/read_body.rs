use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};

use super::Refusal;

/// Reads a request's body, if it has no more than so many bytes.
pub(super) async fn read_body(body: Incoming, most_bytes: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, most_bytes).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(fault) if fault.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Err(_) => Err(Refusal::BadRequest),
    }
}
