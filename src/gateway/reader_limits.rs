//! Limits on slow readers: counts what is buffered for callers, disconnects the readers that the
//! limits require, and refuses new requests while the entry's limit is reached.

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;

use hyper::body::Bytes;
use tokio::sync::watch;

use super::{GatewaySettings, Refusal};
use crate::load::{Disconnect, HeldBytes, HeldResponse, Hold, HoldError};
use crate::mechanisms::Mechanism;
use crate::prelude::*;

/// Shorter chunks are copied when they are held. A chunk is a slice of its connection's read buffer
/// (64 KB at most) and would keep all of it allocated.
const MIN_SHARED_CHUNK_BYTES: usize = 16 * 1024;

/// The limits on slow readers of an entry. Exists only where they are switched on.
pub(super) struct ReaderLimits {
    held: HeldBytes<ReaderHandle>,
    disconnected: Cell<u64>,
    refused: Cell<u64>,
    /// Whether the last request found the entry's limit reached.
    was_refusing: Cell<bool>,
}

/// Names a response and disconnects it.
#[derive(Debug)]
pub(super) struct ReaderHandle {
    request: Arc<str>,
    workspace: Arc<str>,
    disconnect: watch::Sender<bool>,
}

/// Nothing more can be sent to the reader: it has disconnected, or was disconnected by the limits.
#[value]
pub(super) struct ReaderGone;

impl ReaderLimits {
    /// The limits that the settings ask for, if any.
    pub(super) fn from_settings(settings: &GatewaySettings) -> Option<Rc<ReaderLimits>> {
        let is_enabled = settings.mechanisms.is_enabled(Mechanism::ReaderLimits);
        let memory_limit_bytes = settings.memory_limit_bytes.filter(|_| is_enabled)?;
        Some(Rc::new(ReaderLimits::open(memory_limit_bytes)))
    }

    pub(super) fn open(memory_limit_bytes: u64) -> ReaderLimits {
        ReaderLimits {
            held: HeldBytes::open(memory_limit_bytes),
            disconnected: Cell::default(),
            refused: Cell::default(),
            was_refusing: Cell::default(),
        }
    }

    /// Registers a response to a request.
    pub(super) fn open_reader(self: &Rc<Self>, request: &Arc<str>, workspace: &Arc<str>) -> Reader {
        let (disconnect, disconnected) = watch::channel(false);
        let (request, workspace) = (request.clone(), workspace.clone());
        let handle = ReaderHandle { request, workspace: workspace.clone(), disconnect };
        let response = self.held.open_response(&workspace, handle);
        Reader { limits: self.clone(), response, disconnected }
    }

    /// Refuses a new request while the entry's limit is reached. Readers that have taken nothing for too
    /// long are disconnected instead.
    pub(super) fn check(&self, now: TimeMs) -> Result<(), Refusal> {
        while self.held.is_refusing()
            && let Some(stuck) = self.held.disconnect_stuck(now)
        {
            self.disconnect(stuck);
        }
        let refusing = self.held.is_refusing();
        if self.was_refusing.replace(refusing) != refusing {
            let held_bytes = self.held.bytes();
            match refusing {
                true => log::warn!(held_bytes;
                    "limit for buffered bytes reached; refusing new requests"),
                false => log::info!(held_bytes, refused = self.refused.get();
                    "buffered bytes below their limit; accepting requests again"),
            }
        }
        if refusing { Err(self.refuse(now)) } else { Ok(()) }
    }

    /// Counts a refused request, and returns the refusal.
    fn refuse(&self, now: TimeMs) -> Refusal {
        self.refused.set(self.refused.get() + 1);
        Refusal::Unavailable { retry_after_ms: self.held.retry_after_ms(now) }
    }

    pub(super) fn held_bytes(&self) -> u64 {
        self.held.bytes()
    }

    /// Number of responses disconnected so far.
    pub(super) fn disconnected(&self) -> u64 {
        self.disconnected.get()
    }

    /// Number of requests refused so far.
    pub(super) fn refused(&self) -> u64 {
        self.refused.get()
    }

    fn disconnect(&self, disconnect: Disconnect<ReaderHandle>) {
        let Disconnect { handle, bytes, held_ms } = disconnect;
        log::warn!(request:% = handle.request, workspace:% = handle.workspace, bytes, held_ms,
            held_bytes = self.held.bytes();
            "limit for buffered bytes reached; disconnecting the response held for the longest");
        self.disconnected.set(self.disconnected.get() + 1);
        handle.disconnect.send_replace(true);
    }
}

/// A response that is subject to the limits, and the signal that disconnects it.
#[derive(Clone)]
pub(super) struct Reader {
    limits: Rc<ReaderLimits>,
    response: HeldResponse<ReaderHandle>,
    disconnected: watch::Receiver<bool>,
}

impl Reader {
    /// Counts a chunk until the returned bytes are dropped, which is after they were written to the
    /// reader's connection.
    pub(super) fn hold(&self, now: TimeMs, chunk: Bytes) -> Result<Bytes, ReaderGone> {
        let hold = self.reserve(now, chunk.len())?;
        let bytes = match chunk.len() < MIN_SHARED_CHUNK_BYTES {
            true => Bytes::copy_from_slice(&chunk),
            false => chunk,
        };
        Ok(Bytes::from_owner(Counted { bytes, _hold: hold }))
    }

    /// Counts `bytes` bytes until the returned guard is dropped. Other responses may be disconnected
    /// for them.
    fn reserve(&self, now: TimeMs, bytes: usize) -> Result<ReaderHold, ReaderGone> {
        self.make_room(|| self.response.try_hold(now, bytes))
    }

    /// Counts `bytes` more bytes under one hold, which the first ones begin.
    pub(super) fn count(
        &self,
        now: TimeMs,
        hold: &mut Option<ReaderHold>,
        bytes: usize,
    ) -> Result<(), ReaderGone> {
        match hold {
            Some(hold) => self.make_room(|| hold.try_grow(now, bytes)),
            None => self.reserve(now, bytes).map(|begun| *hold = Some(begun)),
        }
    }

    fn make_room<T>(
        &self,
        mut try_count: impl FnMut() -> Result<T, HoldError<ReaderHandle>>,
    ) -> Result<T, ReaderGone> {
        loop {
            match try_count() {
                Ok(counted) => return Ok(counted),
                Err(HoldError::Exceeded(disconnect)) => self.limits.disconnect(disconnect),
                Err(HoldError::Disconnected) => return Err(ReaderGone),
            }
        }
    }

    pub(super) fn is_disconnected(&self) -> bool {
        *self.disconnected.borrow()
    }

    /// Completes when the response is to be disconnected.
    pub(super) async fn wait_until_disconnected(&self) {
        let mut disconnected = self.disconnected.clone();
        let is_disconnected = disconnected.wait_for(|disconnected| *disconnected).await.is_ok();
        if !is_disconnected {
            pending::<()>().await;
        }
    }
}

impl std::fmt::Debug for Reader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Reader")
    }
}

/// Counts bytes of a response until dropped.
pub(super) type ReaderHold = Hold<ReaderHandle>;

/// Bytes that are counted until they are dropped.
pub(super) struct Counted<B, H> {
    pub(super) bytes: B,
    pub(super) _hold: H,
}

impl<B: AsRef<[u8]>, H> AsRef<[u8]> for Counted<B, H> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
