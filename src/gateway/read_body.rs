use hyper::body::{Body, Bytes};

use super::held_for_callers::RequestBytes;
use super::reader_limits::Counted;
use super::state::Gateway;
use super::{Refusal, RequestHead};
use crate::http::{BodyError, BodyLimits, CallerContext, collect_body};
use crate::load::NoRoom;
use crate::prelude::*;

/// Workspace name of requests that need no key, or whose key is not known (yet).
pub(super) const NO_WORKSPACE: &str = "";

/// The shortest time that a body may be silent, however soon idle connections are closed.
pub(super) const MIN_SILENCE_MS: u64 = 5_000;

/// The least time that a body has to arrive, however little its caller waits.
const MIN_BODY_TIME_MS: u64 = 60_000;

/// The time that the body of a request has to arrive.
pub(super) fn body_time_ms(request_head: &RequestHead) -> u64 {
    request_head.wait_ms.map_or(MIN_BODY_TIME_MS, |wait_ms| wait_ms.max(MIN_BODY_TIME_MS))
}

/// Reads the body of a workspace's request. Its bytes are counted until the last clone of the body is
/// dropped.
///
/// # Errors
/// If the body is too large, ends early or takes too long, or if there is no room for it.
pub(super) async fn read_body<B>(
    caller: &CallerContext,
    workspace: &Arc<str>,
    body: B,
    limits: BodyLimits,
) -> Result<Bytes, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
{
    let bytes = collect_body(caller, workspace, body, limits).await?;
    let hold = caller.request.end_body()?;
    Ok(Bytes::from_owner(Counted { bytes, _hold: hold }))
}

impl From<BodyError> for Refusal {
    fn from(fault: BodyError) -> Refusal {
        match fault {
            BodyError::TooLarge => Refusal::TooLarge,
            BodyError::TimedOut => Refusal::BodyTimedOut,
            BodyError::Incomplete => Refusal::BadRequest,
            BodyError::NoRoom => NoRoom.into(),
        }
    }
}

/// Counts the bytes of a prompt that is about to be composed here.
///
/// # Errors
/// If the workspace has no room for it.
pub(super) fn hold_prompt(
    gateway: &Gateway,
    workspace: &Arc<str>,
    bytes: usize,
) -> Result<RequestBytes, NoRoom> {
    gateway.caller_memory.hold_request_bytes(gateway.now(), workspace, bytes)
}
