//! The connections of a server, as [`CallerMemory`] counts them.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio_util::sync::CancellationToken;

use crate::load::{CallerConnection, CallerMemory, CallerRequest, Evict};
use crate::prelude::*;
use crate::time::Clock;

/// Closes a connection for another one.
#[derive(Debug, Clone, Default)]
pub struct Eviction(CancellationToken);

impl Eviction {
    /// Completes when the connection is to be closed.
    pub async fn requested(&self) {
        self.0.cancelled().await;
    }
}

impl Evict for Eviction {
    fn evict(&self) {
        self.0.cancel();
    }
}

/// What a process holds for callers.
pub type ServerMemory = CallerMemory<Eviction>;

/// A connection of a caller, or of another process.
pub type ServedConnection = CallerConnection<Eviction>;

/// A request on its connection.
#[derive(Debug)]
pub struct CallerContext {
    /// What the request holds.
    pub request: CallerRequest<Eviction>,
    eviction: Eviction,
    clock: Clock,
    /// Whether it was refused before its body had been read.
    body_unread: AtomicBool,
}

impl CallerContext {
    /// Begins a request on a connection.
    pub fn open(
        connection: &ServedConnection,
        eviction: &Eviction,
        clock: Clock,
    ) -> Arc<CallerContext> {
        let (request, eviction) = (connection.begin_request(), eviction.clone());
        Arc::new(CallerContext { request, eviction, clock, body_unread: AtomicBool::new(false) })
    }

    /// The time by the clock of the process.
    pub fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// Completes when the connection is to be closed for another one.
    pub async fn evicted(&self) {
        self.eviction.requested().await;
    }

    /// Records whether a part of the body is still to be read.
    pub fn set_body_unread(&self, is_unread: bool) {
        self.body_unread.store(is_unread, Ordering::Relaxed);
    }

    /// Whether a part of the body is still to be read.
    pub fn is_body_unread(&self) -> bool {
        self.body_unread.load(Ordering::Relaxed)
    }
}
