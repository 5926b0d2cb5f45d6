use std::net::SocketAddr;

use super::outdated_run::Version;
use crate::prelude::*;

/// The state that an endpoint publishes in the platform's endpoint list.
#[wire]
pub struct Announcement {
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Address on which it accepts connections.
    pub address: SocketAddr,
    /// The failure domain it runs in.
    pub failure_domain: Arc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining and must not receive new requests.
    pub draining: bool,
    /// Time for which it remains cold: slow, and able to serve only a few requests per second.
    pub cold_left_ms: u64,
    /// Unix time of its start in milliseconds, or 0 if it does not publish one. A higher value
    /// denotes a newer process instance.
    pub started_at_ms: u64,
    /// Sequence number of the announcement within one process instance.
    pub sequence: u64,
}

impl Announcement {
    /// Orders the announcements of one endpoint.
    pub(super) fn version(&self) -> Version {
        (self.started_at_ms, self.sequence)
    }
}

/// A change in the platform's endpoint list.
#[wire]
pub enum EndpointChange {
    /// An endpoint published a new or updated announcement.
    Announcement(Arc<str>, Announcement),
    /// The endpoint's record was removed from the list.
    Removed(Arc<str>),
    /// The endpoint's record could not be decoded; it is treated like a removed one.
    Unreadable(Arc<str>),
}

/// What a change of the endpoint list came to.
#[value]
#[derive(Copy)]
pub enum ChangeOutcome {
    /// The announcement is the endpoint's latest one.
    Announced,
    /// The announcement is older than the known one, which is kept.
    Outdated,
    /// The announcement is older than the known one, but shows that this was not the endpoint's own. It
    /// replaces the known one.
    Reinstated,
    /// The endpoint was removed.
    Removed,
    /// The endpoint's record is gone, but may have lapsed during an outage of the list. The
    /// endpoint stays in use for this long unless it is listed again.
    Lapsed {
        /// Milliseconds until it is removed.
        keep_ms: u64,
    },
    /// The endpoint to be removed is not known.
    Unknown,
}
