use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use futures_util::task::AtomicWaker;
use hyper::body::{Body, Bytes, Frame, SizeHint};

const WAITING: u8 = 0;
const OPEN: u8 = 1;
const SHUT: u8 = 2;

/// Decides, once, whether a body that is held back is sent or never will be.
#[derive(Debug, Default)]
pub struct Gate {
    state: AtomicU8,
    waker: AtomicWaker,
}

impl Gate {
    /// Lets the body pass, unless the gate was shut before.
    pub fn open(&self) {
        self.decide(OPEN);
    }

    /// The body will never be sent; `false` if it was let pass before.
    pub fn shut(&self) -> bool {
        self.decide(SHUT)
    }

    fn decide(&self, state: u8) -> bool {
        let decided =
            self.state.compare_exchange(WAITING, state, Ordering::AcqRel, Ordering::Acquire);
        self.waker.wake();
        decided.is_ok()
    }
}

/// The gate before a body was shut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldBack;

impl fmt::Display for HeldBack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body was held back")
    }
}

impl std::error::Error for HeldBack {}

/// The body of a request: sent at once, or once a gate opens.
#[derive(Debug, Default)]
pub struct Outgoing {
    bytes: Option<Bytes>,
    gate: Option<Arc<Gate>>,
}

impl Outgoing {
    /// A body that is sent at once.
    pub fn whole(bytes: impl Into<Bytes>) -> Outgoing {
        let bytes = Some(bytes.into()).filter(|bytes| !bytes.is_empty());
        Outgoing { bytes, gate: None }
    }

    /// A body that is sent once `gate` opens. An empty body can't be held back.
    pub fn held(bytes: Bytes, gate: Arc<Gate>) -> Outgoing {
        Outgoing { gate: Some(gate), ..Outgoing::whole(bytes) }
    }

    /// Its length.
    pub fn len(&self) -> usize {
        self.bytes.as_ref().map_or(0, Bytes::len)
    }

    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_none()
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = HeldBack;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, HeldBack>>> {
        if let Some(gate) = &self.gate {
            gate.waker.register(cx.waker());
            match gate.state.load(Ordering::Acquire) {
                OPEN => {}
                SHUT => return Poll::Ready(Some(Err(HeldBack))),
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
