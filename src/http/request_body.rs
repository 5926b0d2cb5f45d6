use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use futures_util::task::AtomicWaker;
use hyper::body::{Body, Bytes, Frame, SizeHint};

const UNDECIDED: u8 = 0;
const OPEN: u8 = 1;
const CLOSED: u8 = 2;

/// Decides whether a [gated](RequestBody::gated) request body is sent. The first decision is final.
#[derive(Debug, Default)]
pub struct BodyGate {
    state: AtomicU8,
    waker: AtomicWaker,
}

impl BodyGate {
    /// Allows the body to be sent, unless the gate was closed before.
    pub fn open(&self) {
        self.decide(OPEN);
    }

    /// Prevents the body from being sent. Returns `false` if the gate was opened or closed before.
    pub fn close(&self) -> bool {
        self.decide(CLOSED)
    }

    fn decide(&self, state: u8) -> bool {
        let decided =
            self.state.compare_exchange(UNDECIDED, state, Ordering::AcqRel, Ordering::Acquire);
        self.waker.wake();
        decided.is_ok()
    }
}

/// The request body is not sent because its [`BodyGate`] was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyGateClosed;

impl fmt::Display for BodyGateClosed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("request body not sent: its gate was closed")
    }
}

impl std::error::Error for BodyGateClosed {}

/// The body of a request, sent immediately or once a [`BodyGate`] opens.
#[derive(Debug, Default)]
pub struct RequestBody {
    bytes: Option<Bytes>,
    gate: Option<Arc<BodyGate>>,
}

impl RequestBody {
    /// A body that is sent immediately.
    pub fn full(bytes: impl Into<Bytes>) -> RequestBody {
        let bytes = Some(bytes.into()).filter(|bytes| !bytes.is_empty());
        RequestBody { bytes, gate: None }
    }

    /// A body that is sent once `gate` opens. The gate has no effect on an empty body.
    pub fn gated(bytes: Bytes, gate: Arc<BodyGate>) -> RequestBody {
        RequestBody { gate: Some(gate), ..RequestBody::full(bytes) }
    }

    /// The length in bytes.
    pub fn len(&self) -> usize {
        self.bytes.as_ref().map_or(0, Bytes::len)
    }

    /// Whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_none()
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyGateClosed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyGateClosed>>> {
        if let Some(gate) = &self.gate {
            gate.waker.register(cx.waker());
            match gate.state.load(Ordering::Acquire) {
                OPEN => {}
                CLOSED => return Poll::Ready(Some(Err(BodyGateClosed))),
                _ => return Poll::Pending,
            }
        }
        Poll::Ready(self.bytes.take().map(Frame::data).map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len() as u64)
    }
}
