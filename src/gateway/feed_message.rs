//! What a leaf learns from its hub of the operator's configuration and the endpoint list.

use crate::catalog::Configuration;
use crate::prelude::*;
use crate::replicas::EndpointChange;

/// Path at which a hub answers a [`FeedRequest`] of a leaf.
pub(super) const FEEDS_PATH: &str = "/trefoil/feeds";

/// How far a hub has read the operator's configuration and the endpoint list. Part of its answers to
/// an attached leaf.
#[wire]
#[derive(Copy, Default)]
pub(super) struct FeedStatus {
    /// The time at which the leaf sent the message that this answers, by the leaf's clock.
    pub(super) asked_at_ms: u64,
    /// The version of the hub's configuration; zero if it has none.
    pub(super) config_version: u64,
    /// Age of the hub's last confirmation that this version is the newest.
    pub(super) config_age_ms: Option<u64>,
    /// How far the hub has read the endpoint list.
    pub(super) endpoints: ListPosition,
    /// Age of the hub's last read of the endpoint list.
    pub(super) list_age_ms: Option<u64>,
}

/// A position in the changes of the endpoint list that one process instance passes on.
#[wire]
#[derive(Copy, Default)]
pub(super) struct ListPosition {
    /// Identifies the process instance.
    pub(super) instance: u64,
    /// The number of its next change.
    pub(super) next: u64,
}

/// Asks a hub for what a leaf lacks.
#[wire]
#[derive(Copy)]
pub(super) struct FeedRequest {
    /// The version of the leaf's configuration; zero if it has none.
    pub(super) config_version: u64,
    /// How far the leaf has the hub's changes of the endpoint list.
    pub(super) endpoints: ListPosition,
}

/// A hub's answer to a [`FeedRequest`].
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct FeedUpdate {
    /// The hub's configuration, if it is newer than the leaf's.
    pub(super) configuration: Option<Configuration>,
    /// The changes of the endpoint list.
    pub(super) changes: Vec<EndpointChange>,
    /// Whether the changes are all endpoints rather than what has changed.
    pub(super) is_snapshot: bool,
    /// How far the leaf has the endpoint list with them.
    pub(super) endpoints: ListPosition,
}
