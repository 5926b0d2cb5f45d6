//! The channel through which the chunks of a streamed response reach its body.

use std::rc::Rc;

use hyper::body::Bytes;
use tokio::sync::mpsc;

use super::ResponseBody;
use super::reader_limits::{Reader, ReaderGone, ReaderLimits};
use crate::prelude::*;

/// Chunks of a response that are buffered for a slow reader while slow readers are not limited. If
/// more are waiting, nothing is read from the endpoint.
const MAX_BUFFERED_CHUNKS: usize = 32;

/// Creates a channel for the response to a request, and the body that reads from it.
///
/// If slow readers are limited, the channel has no bound of its own. Reading from the endpoint then
/// goes on, so that a slow reader does not occupy a slot there.
pub(super) fn chunk_channel(
    limits: Option<&Rc<ReaderLimits>>,
    request: &Arc<str>,
    workspace: &Arc<str>,
) -> (ChunkSender, ResponseBody) {
    match limits {
        None => {
            let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
            (ChunkSender::Bounded(sender), ResponseBody::streaming(receiver))
        }
        Some(limits) => {
            let reader = limits.open_reader(request, workspace);
            let (sender, receiver) = mpsc::unbounded_channel();
            let body = ResponseBody::streaming_held(receiver).with_reader(reader.clone());
            (ChunkSender::Held(sender, reader), body)
        }
    }
}

/// Sends the chunks of a response to its body. A [`None`] marks the end.
#[derive(Clone)]
pub(super) enum ChunkSender {
    /// Waits while the channel is full.
    Bounded(mpsc::Sender<Option<Bytes>>),
    /// Never waits; its chunks are counted.
    Held(mpsc::UnboundedSender<Option<Bytes>>, Reader),
}

impl ChunkSender {
    /// Counts a chunk that has arrived, if slow readers are limited. Each chunk is counted before
    /// it is sent.
    pub(super) fn hold(&self, now: TimeMs, chunk: Bytes) -> Result<Bytes, ReaderGone> {
        match self {
            ChunkSender::Bounded(_) => Ok(chunk),
            ChunkSender::Held(_, reader) => reader.hold(now, chunk),
        }
    }

    /// The reader, if slow readers are limited.
    pub(super) fn reader(&self) -> Option<&Reader> {
        match self {
            ChunkSender::Bounded(_) => None,
            ChunkSender::Held(_, reader) => Some(reader),
        }
    }

    /// Sends a chunk that was counted.
    pub(super) async fn send(&self, chunk: Option<Bytes>) -> Result<(), ReaderGone> {
        match self {
            ChunkSender::Bounded(sender) => sender.send(chunk).await.map_err(|_| ReaderGone),
            ChunkSender::Held(sender, _) => sender.send(chunk).map_err(|_| ReaderGone),
        }
    }

    /// Completes when the reader has disconnected or is to be disconnected.
    pub(super) async fn closed(&self) {
        match self {
            ChunkSender::Bounded(sender) => sender.closed().await,
            ChunkSender::Held(sender, reader) => tokio::select! {
                () = sender.closed() => {}
                () = reader.wait_until_disconnected() => {}
            },
        }
    }
}
