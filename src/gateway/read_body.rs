use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes};
use tokio::time::timeout_at;

use super::Refusal;
use super::caller_context::{CallerContext, RequestBytes};
use super::reader_limits::Counted;
use super::state::Gateway;
use crate::load::NoRoom;
use crate::prelude::*;

/// Workspace name of requests that need no key, or whose key is not known (yet).
pub(super) const NO_WORKSPACE: &str = "";

/// The shortest time that a body may be silent, however soon idle connections are closed.
pub(super) const MIN_SILENCE_MS: u64 = 5_000;

/// By what part a buffer grows at least. Its unused part counts like the rest.
const GROWTH_FRACTION: usize = 4;

/// Limits on a body.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyLimits {
    /// Its size.
    pub(super) max_bytes: usize,
    /// The time until it is whole.
    pub(super) time_ms: u64,
    /// The time in which nothing of it arrives.
    pub(super) silence_ms: u64,
}

/// Reads the body of a workspace's request. Its bytes are counted until the last clone of the body is
/// dropped.
///
/// # Errors
/// If the body is too large, ends early or takes too long, or if there is no room for it.
pub(super) async fn read_body<B>(
    gateway: &Gateway,
    caller: &CallerContext,
    workspace: &Arc<str>,
    body: B,
    limits: BodyLimits,
) -> Result<Bytes, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
{
    caller.set_body_unread(true);
    if body.size_hint().lower() > limits.max_bytes as u64 {
        return Err(Refusal::TooLarge);
    }
    caller.request.set_workspace(gateway.now(), workspace)?;
    let bytes = collect(|| gateway.now(), caller, body, limits).await?;
    let hold = caller.request.end_body()?;
    caller.set_body_unread(false);
    Ok(Bytes::from_owner(Counted { bytes, _hold: hold }))
}

/// Joins the frames of a body as they arrive: kept one by one, small ones would take many times their
/// size. Room for them is counted before it is used.
async fn collect<B>(
    now: impl Fn() -> TimeMs,
    caller: &CallerContext,
    mut body: B,
    limits: BodyLimits,
) -> Result<Vec<u8>, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
{
    let started = tokio::time::Instant::now();
    let whole_by = started.checked_add(Duration::from_millis(limits.time_ms));
    let silence = Duration::from_millis(limits.silence_ms);
    let mut bytes = Vec::new();
    loop {
        let silent_at = tokio::time::Instant::now() + silence;
        let next_by = whole_by.map_or(silent_at, |whole_by| whole_by.min(silent_at));
        let frame = timeout_at(next_by, body.frame()).await;
        let Some(frame) = frame.map_err(|_| Refusal::BodyTimedOut)? else {
            return Ok(bytes);
        };
        let Ok(data) = frame.map_err(|_| Refusal::BadRequest)?.into_data() else {
            continue;
        };
        let needed = bytes.len() + data.len();
        if needed > limits.max_bytes {
            return Err(Refusal::TooLarge);
        }
        if needed > bytes.capacity() {
            let grown = needed.max(bytes.capacity() + bytes.capacity() / GROWTH_FRACTION);
            caller.request.receive_body(now(), grown - bytes.capacity())?;
            bytes.reserve_exact(grown - bytes.len());
        }
        bytes.extend_from_slice(&data);
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
