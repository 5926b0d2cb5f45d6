use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};

use super::Refusal;
use super::reader_limits::{Counted, ReaderLimits};
use super::state::Gateway;
use crate::load::LimitReached;
use crate::prelude::*;

/// Workspace name of requests that need no key, or whose key is not known (yet).
pub(super) const NO_WORKSPACE: &str = "";

/// Reads a request's body of up to `max_bytes` bytes. If slow readers are limited, its bytes are
/// counted until the last clone of the body is dropped.
pub(super) async fn read_body(
    gateway: &Gateway,
    workspace: &Arc<str>,
    body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    let body = Limited::new(body, max_bytes);
    match &gateway.reader_limits {
        None => Ok(body.collect().await.map_err(refusal)?.to_bytes()),
        Some(limits) => read_counted(limits, || gateway.now(), workspace, body).await,
    }
}

/// Reads a body and counts each of its chunks before the next one is read.
pub(super) async fn read_counted<B>(
    limits: &ReaderLimits,
    now: impl Fn() -> TimeMs,
    workspace: &Arc<str>,
    mut body: B,
) -> Result<Bytes, Refusal>
where
    B: Body<Data = Bytes, Error = Box<dyn std::error::Error + Send + Sync>> + Unpin,
{
    let mut hold = limits.open_request_body(workspace);
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(chunk) = frame.map_err(refusal)?.into_data() {
            hold.try_grow(chunk.len()).map_err(|LimitReached| limits.refuse(now()))?;
            bytes.extend_from_slice(&chunk);
        }
    }
    Ok(Bytes::from_owner(Counted { bytes, _hold: hold }))
}

fn refusal(fault: Box<dyn std::error::Error + Send + Sync>) -> Refusal {
    match fault.is::<LengthLimitError>() {
        true => Refusal::TooLarge,
        false => Refusal::BadRequest,
    }
}

/// Counts the bytes of a prompt that was composed here, if slow readers are limited. The request
/// was accepted before, so it is not refused.
pub(super) fn count_prompt(gateway: &Gateway, workspace: &Arc<str>, prompt: Vec<u8>) -> Bytes {
    let Some(limits) = &gateway.reader_limits else {
        return prompt.into();
    };
    let mut hold = limits.open_request_body(workspace);
    hold.grow(prompt.len());
    Bytes::from_owner(Counted { bytes: prompt, _hold: hold })
}

/// The bytes of a body, to be kept as history. They are copied if the body is counted, as history
/// is not buffered for anyone.
pub(super) fn uncounted(gateway: &Gateway, body: &Bytes) -> Bytes {
    match gateway.reader_limits {
        Some(_) => Bytes::copy_from_slice(body),
        None => body.clone(),
    }
}
