use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::bounded::bounded;
use super::hold::hold;
use super::state::Gateway;
use super::{Feed, StoreError};
use crate::prelude::*;
use crate::replicas::Change;

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
pub(super) struct Listing {
    is_read: Cell<bool>,
    was_read: Notify,
}

impl Listing {
    fn mark_read(&self) {
        if !self.is_read.replace(true) {
            self.was_read.notify_waiters();
        }
    }

    /// Waits for the first reading, however long it takes.
    pub(super) async fn until_read(&self) {
        while !self.is_read.get() {
            self.was_read.notified().await;
        }
    }

    /// Waits for the first reading, for a part of a request's time; `false` if it did not come.
    pub(super) async fn hold_until_read(&self, left_ms: u64) -> bool {
        self.is_read.get() || hold(left_ms, &self.was_read, || self.is_read.get()).await
    }
}

/// Follows the endpoints' list for as long as the process lives.
pub(super) async fn follow_endpoints(gateway: Rc<Gateway>) {
    let pause_ms = POLL_MOST_MS.min(gateway.settings.bounds.drain_ms / POLL_PART);
    let mut from = None;
    let mut failing = false;
    loop {
        match bounded(READ_TIMEOUT_MS, gateway.store.endpoints(from)).await {
            Ok(feed) => {
                gateway.reach.found(gateway.now());
                if std::mem::take(&mut failing) {
                    log::info!("the endpoints' list can be read again");
                    gateway.directory.borrow_mut().list_is_back(gateway.now());
                }
                from = Some(feed.next);
                apply(&gateway, feed);
                gateway.listing.mark_read();
            }
            Err(fault) => {
                gateway.reach.lost(gateway.now(), &fault);
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(fault:display; "the endpoints' list can't be read");
                }
                if fault == StoreError::Expired {
                    from = None;
                }
            }
        }
        gateway.directory.borrow_mut().tidy(gateway.now());
        gateway.connections.tidy(gateway.now());
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn apply(gateway: &Gateway, feed: Feed<Change>) {
    let now = gateway.now();
    let mut directory = gateway.directory.borrow_mut();
    if feed.whole {
        let listed: HashSet<Arc<str>> = feed.items.iter().filter_map(listed).collect();
        let known: Vec<Arc<str>> = directory.all().map(|(_, r)| r.id.clone()).collect();
        for id in known.into_iter().filter(|id| !listed.contains(id)) {
            directory.apply(now, Change::Removed(id));
        }
    }
    for change in feed.items {
        log_change(&change);
        directory.apply(now, change);
    }
}

fn listed(change: &Change) -> Option<Arc<str>> {
    match change {
        Change::Announced(id, _) => Some(id.clone()),
        Change::Removed(_) | Change::Unreadable(_) => None,
    }
}

fn log_change(change: &Change) {
    match change {
        Change::Announced(id, announced) if announced.leaving => {
            log::info!(endpoint:% = id; "an endpoint is leaving");
        }
        Change::Announced(..) => {}
        Change::Removed(id) => log::info!(endpoint:% = id; "an endpoint is gone from the list"),
        Change::Unreadable(id) => log::warn!(endpoint:% = id; "an endpoint's entry is unreadable"),
    }
}
