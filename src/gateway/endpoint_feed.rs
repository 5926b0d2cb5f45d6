use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::call_store::call_store;
use super::state::Gateway;
use super::wait_until::wait_until;
use super::{Feed, StoreError};
use crate::prelude::*;
use crate::replicas::EndpointChange;

/// Maximum pause between two reads of the endpoint list: how late a crashed or new endpoint may be
/// noticed, traded against the cost of a read.
const MAX_POLL_PAUSE_MS: u64 = 400;

/// At least this many pauses fit into `drain_ms`, the time within which a draining endpoint must
/// stop getting new requests. That leaves room for a slow answer, a lost one and the read after it.
const MIN_POLLS_PER_DRAIN: u64 = 5;

/// Timeout of one read of the list.
const READ_TIMEOUT_MS: u64 = 700;

/// Whether this process instance has read the endpoint list. Before the first read no endpoint is
/// known, and every request would be refused although the endpoints are available.
#[derive(Debug, Default)]
pub(super) struct EndpointListStatus {
    is_read: Cell<bool>,
    first_read: Notify,
}

impl EndpointListStatus {
    fn mark_read(&self) {
        if !self.is_read.replace(true) {
            self.first_read.notify_waiters();
        }
    }

    /// Waits for the first read of the list, without a timeout.
    pub(super) async fn wait_until_read(&self) {
        while !self.is_read.get() {
            self.first_read.notified().await;
        }
    }

    /// Waits for the first read of the list, for at most a part of `left_ms`, the time that a
    /// request has left. Returns `false` if the list was not read by then.
    pub(super) async fn try_wait_until_read(&self, left_ms: u64) -> bool {
        self.is_read.get() || wait_until(left_ms, &self.first_read, || self.is_read.get()).await
    }
}

/// Follows the endpoint list until the process exits.
pub(super) async fn follow_endpoint_list(gateway: Rc<Gateway>) {
    let pause_ms = MAX_POLL_PAUSE_MS.min(gateway.settings.bounds.drain_ms / MIN_POLLS_PER_DRAIN);
    let mut from = None;
    let mut failing = false;
    loop {
        match call_store(READ_TIMEOUT_MS, gateway.store.endpoints(from)).await {
            Ok(feed) => {
                gateway.reachability.record_success(gateway.now());
                if std::mem::take(&mut failing) {
                    log::info!("endpoint list readable again");
                    gateway.directory.borrow_mut().record_list_recovery(gateway.now());
                }
                from = Some(feed.next);
                apply(&gateway, feed);
                gateway.endpoint_list.mark_read();
            }
            Err(fault) => {
                gateway.reachability.record_failure(gateway.now(), &fault);
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(fault:display;
                        "cannot read the endpoint list; keeping the known endpoints and retrying");
                }
                if fault == StoreError::Expired {
                    from = None;
                }
            }
        }
        gateway.directory.borrow_mut().remove_expired(gateway.now());
        gateway.connections.remove_expired(gateway.now());
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn apply(gateway: &Gateway, feed: Feed<EndpointChange>) {
    let now = gateway.now();
    let mut directory = gateway.directory.borrow_mut();
    if feed.is_snapshot {
        let listed: HashSet<Arc<str>> = feed.items.iter().filter_map(announced_id).collect();
        let known: Vec<Arc<str>> = directory.all().map(|(_, r)| r.id.clone()).collect();
        for id in known.into_iter().filter(|id| !listed.contains(id)) {
            directory.apply(now, EndpointChange::Removed(id));
        }
    }
    for change in feed.items {
        log_change(&change);
        directory.apply(now, change);
    }
}

/// The endpoint that the change announces; `None` if it removes one.
fn announced_id(change: &EndpointChange) -> Option<Arc<str>> {
    match change {
        EndpointChange::Announcement(id, _) => Some(id.clone()),
        EndpointChange::Removed(_) | EndpointChange::Unreadable(_) => None,
    }
}

fn log_change(change: &EndpointChange) {
    match change {
        EndpointChange::Announcement(id, announcement) if announcement.draining => {
            log::info!(endpoint:% = id; "endpoint is draining; it gets no new requests");
        }
        EndpointChange::Announcement(..) => {}
        EndpointChange::Removed(id) => {
            log::info!(endpoint:% = id; "endpoint removed from the list")
        }
        EndpointChange::Unreadable(id) => log::warn!(endpoint:% = id;
            "unreadable record in the endpoint list; treating the endpoint as removed"),
    }
}
