use std::cell::Cell;

use tokio::sync::Notify;

use super::Position;
use super::wait_until::wait_until;
use crate::prelude::*;

/// The last read that reached the end of the endpoint list.
#[value]
#[derive(Copy)]
pub(super) struct ListVersion {
    /// The position up to which the list's changes are known.
    pub(super) position: Position,
    /// When the read began: all changes before this time are known.
    pub(super) read_at: TimeMs,
}

/// Whether and when this process instance has read the endpoint list. Before the first read no
/// endpoint is known, and every request would be refused although the endpoints are available.
#[derive(Debug, Default)]
pub(super) struct EndpointListStatus {
    version: Cell<Option<ListVersion>>,
    first_read: Notify,
}

impl EndpointListStatus {
    /// Records a successful read. Returns the one before, if there is one.
    pub(super) fn record_read(&self, version: ListVersion) -> Option<ListVersion> {
        let previous = self.version.replace(Some(version));
        if previous.is_none() {
            self.first_read.notify_waiters();
        }
        previous
    }

    /// The last successful read.
    pub(super) fn version(&self) -> Option<ListVersion> {
        self.version.get()
    }

    /// Waits for the first read of the list, without a timeout.
    pub(super) async fn wait_until_read(&self) {
        while self.version.get().is_none() {
            self.first_read.notified().await;
        }
    }

    /// Waits for the first read of the list, for at most a part of `left_ms`, the time that a
    /// request has left. Returns `false` if the list was not read by then.
    pub(super) async fn try_wait_until_read(&self, left_ms: u64) -> bool {
        let is_read = || self.version.get().is_some();
        is_read() || wait_until(left_ms, &self.first_read, is_read).await
    }
}
