//! Limits on what a process holds for callers, whatever it waits for: a bulkhead for each kind of thing
//! that is held, with eviction of what is unfinished.
//!
//! Counted are the open connections, the bytes of requests from their first one on, the requests in
//! service, and the histories that are kept. Each has a limit for the process, which the workspaces share
//! by dynamic thresholds.
//!
//! A connection whose request is not in service yet can be closed for another one: the caller has got no
//! promise. The one of which nothing has arrived for the longest is closed first, so that callers that
//! stop short of their end cost nobody else anything. A request in service is not given up for another:
//! one for which there is no room is refused before.

mod guards;
mod limits;
mod state;

pub use guards::{CallerConnection, CallerMemory, CallerRequest, HeldHistory, HeldRequestBytes};
pub use limits::{CallerLimits, CallerUsage};

use crate::prelude::*;

/// There is no room for what a caller sends, even if others are closed for it; or its own connection is
/// to be closed.
#[value]
#[derive(Copy)]
pub struct NoRoom;

/// The owner's handle of a connection.
pub trait Evict {
    /// Has the connection closed. Called once at most, and must not call back.
    fn evict(&self);
}
