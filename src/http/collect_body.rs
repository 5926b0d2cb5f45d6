use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes};
use tokio::time::{Instant, timeout_at};

use super::{BodyError, CallerContext};
use crate::prelude::*;

/// By what part a buffer grows at least. Its unused part counts like the rest.
const GROWTH_FRACTION: usize = 4;

/// Limits on a body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Its size.
    pub max_bytes: usize,
    /// The time until it is whole.
    pub time_ms: u64,
    /// The time in which nothing of it arrives.
    pub silence_ms: u64,
}

/// Reads the body of a workspace's request, and joins its frames as they arrive: kept one by one, small ones would
/// take many times their size. Room for them is counted before it is used.
///
/// # Errors
/// If the body is too large, ends early or takes too long, or if there is no room for it.
pub async fn collect_body<B>(
    caller: &CallerContext,
    workspace: &Arc<str>,
    mut body: B,
    limits: BodyLimits,
) -> Result<Vec<u8>, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    caller.set_body_unread(true);
    if body.size_hint().lower() > limits.max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    caller.request.set_workspace(caller.now(), workspace)?;
    let whole_by = Instant::now().checked_add(Duration::from_millis(limits.time_ms));
    let silence = Duration::from_millis(limits.silence_ms);
    let mut bytes = Vec::new();
    loop {
        let silent_at = Instant::now() + silence;
        let next_by = whole_by.map_or(silent_at, |whole_by| whole_by.min(silent_at));
        let frame = timeout_at(next_by, body.frame()).await.map_err(|_| BodyError::TimedOut)?;
        let Some(frame) = frame else {
            caller.set_body_unread(false);
            return Ok(bytes);
        };
        let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else {
            continue;
        };
        let needed = bytes.len() + data.len();
        if needed > limits.max_bytes {
            return Err(BodyError::TooLarge);
        }
        if needed > bytes.capacity() {
            let grown = needed.max(bytes.capacity() + bytes.capacity() / GROWTH_FRACTION);
            caller.request.receive_body(caller.now(), grown - bytes.capacity())?;
            bytes.reserve_exact(grown - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
}
