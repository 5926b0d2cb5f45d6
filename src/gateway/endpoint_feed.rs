use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use super::call_store::{NEXT_PART_PAUSE_MS, call_store};
use super::endpoint_list::ListVersion;
use super::leaf_feed::endpoints_come_from_hub;
use super::state::Gateway;
use super::{Feed, StoreError};
use crate::prelude::*;
use crate::replicas::{ChangeOutcome, Directory, EndpointChange};

/// Maximum pause between two reads of the endpoint list: how late a crashed or new endpoint may be
/// noticed, traded against the cost of a read.
const MAX_POLL_PAUSE_MS: u64 = 400;

/// At least this many pauses fit into `drain_ms`, the time within which a draining endpoint must
/// stop getting new requests.
const MIN_POLLS_PER_DRAIN: u64 = 5;

/// Timeout of one read of the list. A healthy store answers within some milliseconds, a slow one
/// within some hundreds.
const READ_TIMEOUT_MS: u64 = 500;

/// A failed read is repeated after this part of the usual pause, so that two reads in a row may go
/// unanswered, and the next one still comes within a `drain_ms` of two seconds.
const RETRY_PAUSE_DIVISOR: u64 = 2;

/// Follows the endpoint list until the process exits.
pub(super) async fn follow_endpoint_list(gateway: Rc<Gateway>) {
    let pause_ms = MAX_POLL_PAUSE_MS.min(gateway.settings.bounds.drain_ms / MIN_POLLS_PER_DRAIN);
    let mut from = None;
    let mut failed_reads = 0_u32;
    let mut reads_itself = false;
    loop {
        if endpoints_come_from_hub(&gateway) {
            from = None;
            reads_itself = false;
            remove_expired(&gateway);
            tokio::time::sleep(Duration::from_millis(pause_ms / RETRY_PAUSE_DIVISOR)).await;
            continue;
        }
        if gateway.is_leaf() && !std::mem::replace(&mut reads_itself, true) {
            log::info!("no hub confirms the endpoint list; reading the store");
        }
        let read_at = gateway.now();
        let pause_ms = match call_store(READ_TIMEOUT_MS, gateway.store.endpoints(from)).await {
            Ok(feed) => {
                from = Some(feed.next);
                gateway.reachability.record_success(gateway.now());
                if !feed.reaches_end() {
                    apply_part(&gateway, feed, read_at);
                    tokio::time::sleep(Duration::from_millis(NEXT_PART_PAUSE_MS)).await;
                    continue;
                }
                let version = ListVersion { position: feed.next, read_at };
                let previous = record_list_read(&gateway, version);
                log_end_of_failures(previous, read_at, std::mem::take(&mut failed_reads));
                apply_changes(&gateway, feed);
                pause_ms
            }
            Err(StoreError::Expired) if from.take().is_some() => {
                gateway.reachability.record_success(gateway.now());
                log::info!("changes of the endpoint list were dropped unread; reading all of it");
                continue;
            }
            Err(fault) => {
                failed_reads += 1;
                record_failure(&gateway, &fault, failed_reads);
                pause_ms / RETRY_PAUSE_DIVISOR
            }
        };
        remove_expired(&gateway);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Removes endpoints and connections whose time is over.
fn remove_expired(gateway: &Gateway) {
    let removed = gateway.directory.borrow_mut().remove_expired(gateway.now());
    let mut changes = gateway.endpoint_changes.borrow_mut();
    removed.into_iter().for_each(|id| changes.append(EndpointChange::Removed(id)));
    gateway.placement.borrow_mut().forget_removed(&gateway.directory.borrow());
    gateway.connections.remove_expired(gateway.now());
}

/// Applies changes after which there are more. The store can be read again, but what is known of the
/// list is as old as before.
fn apply_part(gateway: &Gateway, feed: Feed<EndpointChange>, read_at: TimeMs) {
    gateway.directory.borrow_mut().record_list_read(gateway.now(), read_at);
    apply_changes(gateway, feed);
}

/// Records a read of the whole list, before its changes are applied. Returns the one before.
pub(super) fn record_list_read(gateway: &Gateway, version: ListVersion) -> Option<ListVersion> {
    gateway.directory.borrow_mut().record_list_read(gateway.now(), version.read_at);
    gateway.endpoint_list.record_read(version)
}

fn log_end_of_failures(previous: Option<ListVersion>, read_at: TimeMs, failed_reads: u32) {
    if failed_reads > 0 {
        let unread_ms = previous.map_or(0, |previous| read_at.since(previous.read_at));
        log::info!(failed_reads, unread_ms; "endpoint list readable again");
    }
}

/// Records the last of `failed_reads` failed reads in a row.
fn record_failure(gateway: &Gateway, fault: &StoreError, failed_reads: u32) {
    gateway.reachability.record_failure(gateway.now(), fault);
    let is_general = gateway.peers.borrow().store_unreachable_for_most(gateway.now());
    gateway.directory.borrow_mut().record_list_failure(is_general);
    if failed_reads == 1 {
        log::warn!(fault:display;
            "cannot read the endpoint list; keeping the known endpoints and retrying");
    }
}

/// Applies changes of the endpoint list, and keeps for the leaves those that they need.
pub(super) fn apply_changes(gateway: &Gateway, feed: Feed<EndpointChange>) {
    let now = gateway.now();
    let mut directory = gateway.directory.borrow_mut();
    let mut changes = feed.items;
    if feed.is_snapshot {
        let listed: HashSet<Arc<str>> = changes.iter().filter_map(announced_id).collect();
        let known = directory.all().map(|(_, replica)| replica.id.clone());
        let unlisted = known.filter(|id| !listed.contains(id)).map(EndpointChange::Removed);
        changes.splice(..0, unlisted.collect::<Vec<_>>());
    }
    for change in changes {
        let is_news = is_news(&directory, &change);
        let outcome = directory.apply(now, change.clone());
        log_change(&change, outcome);
        let mut passed_on = gateway.endpoint_changes.borrow_mut();
        match (outcome, &change) {
            (ChangeOutcome::Reinstated, EndpointChange::Announcement(id, _)) => {
                // The leaves have the known announcement, which outranks this one.
                passed_on.append(EndpointChange::Removed(id.clone()));
                passed_on.append(change);
            }
            (ChangeOutcome::Announced | ChangeOutcome::Removed, _) if is_news => {
                passed_on.append(change)
            }
            _ => {}
        }
    }
}

/// Whether a change says more than that an endpoint is alive.
fn is_news(directory: &Directory, change: &EndpointChange) -> bool {
    let EndpointChange::Announcement(id, announcement) = change else {
        return true;
    };
    let known = directory.find(id).and_then(|key| directory.get(key));
    known.is_none_or(|replica| announcement.differs_from(&replica.announcement))
}

/// The endpoint that the change announces; `None` if it removes one.
fn announced_id(change: &EndpointChange) -> Option<Arc<str>> {
    match change {
        EndpointChange::Announcement(id, _) => Some(id.clone()),
        EndpointChange::Removed(_) | EndpointChange::Unreadable(_) => None,
    }
}

fn log_change(change: &EndpointChange, outcome: ChangeOutcome) {
    match change {
        EndpointChange::Announcement(id, announcement) => {
            let (started_at_ms, sequence) = (announcement.started_at_ms, announcement.sequence);
            if outcome == ChangeOutcome::Outdated {
                log::info!(endpoint:% = id, started_at_ms, sequence;
                    "announcement of an endpoint is older than the known one; ignored");
            } else if outcome == ChangeOutcome::Reinstated {
                log::warn!(endpoint:% = id, started_at_ms, sequence;
                    "endpoint runs, but another writer or instance has announced it with later \
                     numbers; using the endpoint's own announcements again");
            } else if announcement.draining {
                log::info!(endpoint:% = id; "endpoint is draining; it gets no new requests");
            }
        }
        // The store logs the reason. Records of endpoints that are not known change nothing.
        EndpointChange::Unreadable(id) if outcome != ChangeOutcome::Unknown => {
            log::warn!(endpoint:% = id;
                "unreadable record in the endpoint list; treating the endpoint as removed")
        }
        EndpointChange::Unreadable(_) | EndpointChange::Removed(_) => {}
    }
    if let EndpointChange::Removed(id) | EndpointChange::Unreadable(id) = change {
        match outcome {
            ChangeOutcome::Lapsed { keep_ms } => log::info!(endpoint:% = id, keep_ms;
                "endpoint's record is gone, perhaps lapsed in an outage; it stays in use for now"),
            ChangeOutcome::Removed => log::info!(endpoint:% = id; "endpoint removed from the list"),
            _ => {}
        }
    }
}
