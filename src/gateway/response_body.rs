use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::sync::mpsc;

use super::in_flight::Running;
use super::reader_limits::Reader;
use crate::http::CallerContext;
use crate::prelude::*;

/// Error of a response body that ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyTruncated;

impl fmt::Display for BodyTruncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response body ended before it was complete")
    }
}

impl std::error::Error for BodyTruncated {}

#[derive(Debug)]
enum Content {
    Buffered(Option<Bytes>),
    /// A stream of chunks that is complete only after a [`None`]. If the sender is dropped without
    /// sending it, the body fails, and the connection is closed so that the reader does not take
    /// the response for complete.
    Streaming(mpsc::Receiver<Option<Bytes>>),
    /// The same with limits on slow readers: the chunks are counted, and their number has no bound.
    StreamingHeld(mpsc::UnboundedReceiver<Option<Bytes>>),
    Ended,
}

/// The body of a response: complete in memory, or streamed.
#[derive(Debug)]
pub struct ResponseBody {
    content: Content,
    running: Option<Running>,
    /// Set if slow readers are limited.
    reader: Option<Box<Reader>>,
    /// The request that it answers, until the body has been sent or is dropped.
    caller: Option<Arc<CallerContext>>,
}

impl ResponseBody {
    /// A body that is complete in memory.
    pub fn buffered(bytes: Bytes) -> ResponseBody {
        ResponseBody::new(Content::Buffered(Some(bytes)))
    }

    /// A streamed body. A [`None`] marks its end.
    pub(super) fn streaming(chunks: mpsc::Receiver<Option<Bytes>>) -> ResponseBody {
        ResponseBody::new(Content::Streaming(chunks))
    }

    /// A streamed body whose chunks are counted. A [`None`] marks its end.
    pub(super) fn streaming_held(chunks: mpsc::UnboundedReceiver<Option<Bytes>>) -> ResponseBody {
        ResponseBody::new(Content::StreamingHeld(chunks))
    }

    fn new(content: Content) -> ResponseBody {
        ResponseBody { content, running: None, reader: None, caller: None }
    }

    /// Makes the body subject to the limits on slow readers.
    pub(super) fn with_reader(self, reader: Reader) -> ResponseBody {
        ResponseBody { reader: Some(Box::new(reader)), ..self }
    }

    /// The reader, if the body is subject to the limits on slow readers.
    pub(super) fn reader(&self) -> Option<&Reader> {
        self.reader.as_deref()
    }

    /// Counts what the request holds until the body has been sent or is dropped.
    pub(super) fn with_caller(self, caller: Arc<CallerContext>) -> ResponseBody {
        ResponseBody { caller: Some(caller), ..self }
    }

    /// Counts the request as running until the body has been sent or is dropped.
    pub(super) fn with_running_guard(self, running: Running) -> ResponseBody {
        ResponseBody { running: Some(running), ..self }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        if self.reader().is_some_and(Reader::is_disconnected) {
            return Poll::Ready(Some(Err(BodyTruncated)));
        }
        let next = match &mut self.content {
            Content::Buffered(bytes) => return Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            Content::Streaming(chunks) => std::task::ready!(chunks.poll_recv(cx)),
            Content::StreamingHeld(chunks) => std::task::ready!(chunks.poll_recv(cx)),
            Content::Ended => return Poll::Ready(None),
        };
        Poll::Ready(match next {
            Some(Some(chunk)) => Some(Ok(Frame::data(chunk))),
            Some(None) => {
                self.content = Content::Ended;
                self.running = None;
                self.caller = None;
                None
            }
            None => Some(Err(BodyTruncated)),
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Ended | Content::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Streaming(_) | Content::StreamingHeld(_) => SizeHint::default(),
            Content::Ended => SizeHint::with_exact(0),
        }
    }
}
