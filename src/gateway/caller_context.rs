//! What a request knows of the connection on which it came, and of the room that it takes.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio_util::sync::CancellationToken;

use super::Refusal;
use crate::load::{CallerConnection, CallerMemory, CallerRequest, Evict, HeldHistory, NoRoom};
use crate::load::{CallerLimits, HeldRequestBytes};
use crate::prelude::*;

/// Retry delay of a request for which there is no room. Whoever stops short of the end of a request gives
/// way to others at once, so there is room again soon.
const NO_ROOM_RETRY_MS: u64 = 300;

/// Closes a connection for another one.
#[derive(Debug, Clone, Default)]
pub(super) struct Eviction(CancellationToken);

impl Eviction {
    /// Completes when the connection is to be closed.
    pub(super) async fn requested(&self) {
        self.0.cancelled().await;
    }
}

impl Evict for Eviction {
    fn evict(&self) {
        self.0.cancel();
    }
}

/// What this process holds for callers.
pub(super) type Memory = CallerMemory<Eviction>;

/// A connection of a caller, or of another process.
pub(super) type Connection = CallerConnection<Eviction>;

/// Counted bytes of a request.
pub(super) type RequestBytes = HeldRequestBytes<Eviction>;

/// A counted history.
pub(super) type History = HeldHistory<Eviction>;

/// Creates the counts of a process.
pub(super) fn open_memory(limits: CallerLimits) -> Memory {
    Memory::open(limits)
}

impl From<NoRoom> for Refusal {
    fn from(NoRoom: NoRoom) -> Refusal {
        Refusal::NoRoom { retry_after_ms: NO_ROOM_RETRY_MS }
    }
}

/// A request on its connection.
#[derive(Debug)]
pub(super) struct CallerContext {
    /// What the request holds.
    pub(super) request: CallerRequest<Eviction>,
    /// Whether it was refused before its body had been read.
    body_unread: AtomicBool,
}

impl CallerContext {
    pub(super) fn open(connection: &Connection) -> Arc<CallerContext> {
        let request = connection.begin_request();
        Arc::new(CallerContext { request, body_unread: AtomicBool::new(false) })
    }

    pub(super) fn set_body_unread(&self, is_unread: bool) {
        self.body_unread.store(is_unread, Ordering::Relaxed);
    }

    pub(super) fn is_body_unread(&self) -> bool {
        self.body_unread.load(Ordering::Relaxed)
    }
}
