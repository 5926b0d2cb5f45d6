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

/// The longest pause between two reads of the endpoints' list: an endpoint that crashed or came
/// is known soon enough, against the price of a read.
const POLL_MOST_MS: u64 = 400;

/// The pause is one part in so many of the time after which a leaving endpoint must get nothing new:
/// leaves room for a slow answer, a lost one and the read after it.
const POLL_PART: u64 = 5;

/// The longest that a read may take.
const READ_TIMEOUT_MS: u64 = 700;

/// Whether the endpoints' list was read in this life of the process. A request that came before would be
/// refused for want of endpoints that are all there.
#[derive(Debug, Default)]
pub(super) struct EndpointListStatus {
    is_read: Cell<bool>,
    was_read: Notify,
}

impl EndpointListStatus {
    fn mark_read(&self) {
        if !self.is_read.replace(true) {
            self.was_read.notify_waiters();
        }
    }

    /// Waits for the first reading, however long it takes.
    pub(super) async fn wait_until_read(&self) {
        while !self.is_read.get() {
            self.was_read.notified().await;
        }
    }

    /// Waits for the first reading, for a part of a request's time; `false` if it did not come.
    pub(super) async fn try_wait_until_read(&self, left_ms: u64) -> bool {
        self.is_read.get() || wait_until(left_ms, &self.was_read, || self.is_read.get()).await
    }
}

/// Follows the endpoints' list for as long as the process lives.
pub(super) async fn follow_endpoints(gateway: Rc<Gateway>) {
    let pause_ms = POLL_MOST_MS.min(gateway.settings.bounds.drain_ms / POLL_PART);
    let mut from = None;
    let mut failing = false;
    loop {
        match call_store(READ_TIMEOUT_MS, gateway.store.endpoints(from)).await {
            Ok(feed) => {
                gateway.reachability.record_success(gateway.now());
                if std::mem::take(&mut failing) {
                    log::info!("the endpoints' list can be read again");
                    gateway.directory.borrow_mut().record_list_recovery(gateway.now());
                }
                from = Some(feed.next);
                apply(&gateway, feed);
                gateway.endpoint_list.mark_read();
            }
            Err(fault) => {
                gateway.reachability.record_failure(gateway.now(), &fault);
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(fault:display; "the endpoints' list can't be read");
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
        let listed: HashSet<Arc<str>> = feed.items.iter().filter_map(listed).collect();
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

fn listed(change: &EndpointChange) -> Option<Arc<str>> {
    match change {
        EndpointChange::Announcement(id, _) => Some(id.clone()),
        EndpointChange::Removed(_) | EndpointChange::Unreadable(_) => None,
    }
}

fn log_change(change: &EndpointChange) {
    match change {
        EndpointChange::Announcement(id, announcement) if announcement.draining => {
            log::info!(endpoint:% = id; "an endpoint is leaving");
        }
        EndpointChange::Announcement(..) => {}
        EndpointChange::Removed(id) => {
            log::info!(endpoint:% = id; "an endpoint is gone from the list")
        }
        EndpointChange::Unreadable(id) => {
            log::warn!(endpoint:% = id; "an endpoint's entry is unreadable")
        }
    }
}
