use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::sync::mpsc;

use super::state::Running;

/// A stream broke off before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyTruncated;

impl fmt::Display for BodyTruncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BodyTruncated {}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    /// Complete only when [`None`] comes: a sender that is gone without it has broken off, and the
    /// connection is cut so that nobody takes it for complete.
    Passing(mpsc::Receiver<Option<Bytes>>),
    Ended,
}

/// The body of an answer: known whole, or passed on as it comes.
#[derive(Debug)]
pub struct ResponseBody {
    content: Content,
    running: Option<Running>,
}

impl ResponseBody {
    /// A body known whole.
    pub fn whole(bytes: Bytes) -> ResponseBody {
        ResponseBody { content: Content::Whole(Some(bytes)), running: None }
    }

    /// A body passed on as it comes; it ends where [`None`] does.
    pub(super) fn passing(pieces: mpsc::Receiver<Option<Bytes>>) -> ResponseBody {
        ResponseBody { content: Content::Passing(pieces), running: None }
    }

    /// Counts its request as running until it is over.
    pub(super) fn counted(self, running: Running) -> ResponseBody {
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
        let next = match &mut self.content {
            Content::Whole(bytes) => return Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            Content::Passing(pieces) => std::task::ready!(pieces.poll_recv(cx)),
            Content::Ended => return Poll::Ready(None),
        };
        Poll::Ready(match next {
            Some(Some(piece)) => Some(Ok(Frame::data(piece))),
            Some(None) => {
                self.content = Content::Ended;
                self.running = None;
                None
            }
            None => Some(Err(BodyTruncated)),
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Ended | Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Passing(_) => SizeHint::default(),
            Content::Ended => SizeHint::with_exact(0),
        }
    }
}
