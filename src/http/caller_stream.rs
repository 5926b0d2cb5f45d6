use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

use super::ServedConnection;
use crate::prelude::*;
use crate::time::Clock;

/// How long the rest of a refused request is read. A connection that closes with unread bytes is reset,
/// and the caller could lose the refusal.
const LINGER_MS: u64 = 500;

/// The most that is read of the rest of a refused request.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Size of the pieces in which the rest of a refused request is read.
const LINGER_BUFFER_BYTES: usize = 8 * 1024;

/// The stream of a connection that counts what it reads of heads, and tells when its caller does not
/// take what is written.
pub struct CallerStream<S> {
    stream: S,
    connection: Arc<ServedConnection>,
    clock: Clock,
    is_blocked: bool,
    /// Whether a request was refused before all of it was read.
    lingers: Arc<AtomicBool>,
    linger: Option<Linger>,
}

/// The reading of the rest of a refused request.
struct Linger {
    ends: Pin<Box<Sleep>>,
    left_bytes: usize,
}

impl<S: AsyncRead + AsyncWrite + Unpin> CallerStream<S> {
    /// Counts what is read of a connection's stream. `lingers` tells whether its last request was refused
    /// before all of it was read.
    pub fn new(
        stream: S,
        connection: Arc<ServedConnection>,
        clock: Clock,
        lingers: Arc<AtomicBool>,
    ) -> CallerStream<S> {
        CallerStream { stream, connection, clock, is_blocked: false, lingers, linger: None }
    }

    fn set_blocked(&mut self, is_blocked: bool) {
        if self.is_blocked != is_blocked {
            self.is_blocked = is_blocked;
            self.connection.set_blocked(is_blocked.then(|| self.clock.now()));
        }
    }

    /// Reads and drops the rest of a refused request, up to its limits.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let linger = self.linger.get_or_insert_with(|| Linger {
            ends: Box::pin(sleep(Duration::from_millis(LINGER_MS))),
            left_bytes: MAX_LINGER_BYTES,
        });
        let mut bytes = [0; LINGER_BUFFER_BYTES];
        while linger.left_bytes > 0 && linger.ends.as_mut().poll(cx).is_pending() {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
            linger.left_bytes = linger.left_bytes.saturating_sub(buffer.filled().len());
        }
        Poll::Ready(())
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let bytes = buffer.filled().len() - before;
        let counted = self.connection.receive_outside_body(self.clock.now(), bytes);
        Poll::Ready(counted.map_err(|_| io::Error::other("no room for the head of a request")))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for CallerStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.set_blocked(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.set_blocked(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if self.lingers.load(Ordering::Relaxed) {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }
}
