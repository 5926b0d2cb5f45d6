use std::net::SocketAddr;

use crate::prelude::*;

/// What an endpoint says of itself.
#[value]
pub struct Announcement {
    /// The service it is an endpoint of.
    pub service: Arc<str>,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// The failure domain it runs in.
    pub failure_domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// How long it stays cold: slow, and bearing few requests.
    pub cold_left_ms: u64,
    /// Unix milliseconds of its start, if it says so. A higher one is a later life.
    pub started_at_ms: u64,
    /// Counts what it announced within one life.
    pub sequence: u64,
}

/// A change of the platform's list of endpoints.
#[value]
pub enum EndpointChange {
    /// An endpoint announced itself.
    Announcement(Arc<str>, Announcement),
    /// Its entry was removed.
    Removed(Arc<str>),
    /// Its entry can't be read: it names no endpoint to use.
    Unreadable(Arc<str>),
}
