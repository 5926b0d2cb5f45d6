//! Reading of a response that is passed on only when it is complete.

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Bytes};

use super::reader_limits::{Counted, Reader, ReaderGone};
use crate::prelude::*;

/// Limit for the body of a buffered response, and for what is kept of a stream.
pub(super) const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Why a response is not complete.
#[value]
#[derive(Copy)]
pub(super) enum CollectError {
    /// The endpoint broke the response off, or it is too long.
    Broken,
    /// The endpoint sent nothing of the body for too long.
    Silent,
    /// The response was disconnected by the limits on slow readers.
    ReaderGone,
}

/// Reads a response's body. If slow readers are limited, its bytes are counted until they were
/// written to the reader's connection.
pub(super) async fn collect_response<B>(
    body: B,
    now: impl Fn() -> TimeMs,
    reader: Option<&Reader>,
) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + Unpin,
{
    let body = Limited::new(body, MAX_RESPONSE_BYTES);
    let collected = collect(body, now, reader);
    let Some(reader) = reader else {
        return collected.await;
    };
    tokio::select! {
        collected = collected => collected,
        () = reader.wait_until_disconnected() => Err(CollectError::ReaderGone),
    }
}

/// Joins the chunks as they arrive, under one hold: kept one by one, small ones would take many times
/// their size.
async fn collect<B>(
    mut body: B,
    now: impl Fn() -> TimeMs,
    reader: Option<&Reader>,
) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let (mut bytes, mut hold) = (Vec::new(), None);
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(|_| CollectError::Broken)?.into_data() else {
            continue;
        };
        if let Some(reader) = reader {
            let counted = reader.count(now(), &mut hold, chunk.len());
            counted.map_err(|ReaderGone| CollectError::ReaderGone)?;
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(Bytes::from_owner(Counted { bytes, _hold: hold }))
}
