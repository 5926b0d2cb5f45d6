//! How a leaf follows the operator's configuration and the endpoint list through its hub. While that
//! hub does not confirm them, the leaf reads the store itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;

use super::endpoint_feed::{apply_changes, record_list_read};
use super::endpoint_list::ListVersion;
use super::feed_message::{FEEDS_PATH, FeedRequest, FeedStatus, FeedUpdate};
use super::hubs::Role;
use super::operator_feed::{apply_configuration, boot_time_ms};
use super::state::Gateway;
use super::{Feed, Position};
use crate::http::RequestBody;
use crate::prelude::*;

/// A leaf whose configuration was not confirmed for this part of the time within which a withdrawn key
/// must stop being served reads the store itself. What a hub confirms is up to two long polls old,
/// each of a fifth of that time.
const MAX_CONFIG_AGE_FRACTION: f64 = 0.55;

/// The same for the endpoint list.
const MAX_LIST_AGE_MS: u64 = 1_200;

/// For how long an entry that starts waits for its role, and a leaf for its first hub, before it
/// reads the store itself.
const START_WAIT_MS: u64 = 1_500;

/// Time limit for a read from the hub.
const FETCH_TIMEOUT_MS: u64 = 800;

/// The largest answer in bytes: tens of thousands of endpoints.
const MAX_UPDATE_BYTES: usize = 16 << 20;

/// Whether the operator's configuration reaches this entry through its hub.
pub(super) fn configuration_comes_from_hub(gateway: &Gateway) -> bool {
    let max_age_ms = gateway.settings.bounds.revoke_ms as f64 * MAX_CONFIG_AGE_FRACTION;
    comes_from_hub(gateway, gateway.active_config.age_ms(), max_age_ms as u64)
}

/// Whether the endpoint list reaches this entry through its hub.
pub(super) fn endpoints_come_from_hub(gateway: &Gateway) -> bool {
    let list_read = gateway.endpoint_list.version();
    let age_ms = list_read.map(|version| gateway.now().since(version.read_at));
    comes_from_hub(gateway, age_ms, MAX_LIST_AGE_MS)
}

fn comes_from_hub(gateway: &Gateway, age_ms: Option<u64>, max_age_ms: u64) -> bool {
    let is_starting = gateway.now().0 < START_WAIT_MS;
    match gateway.role() {
        Role::Undecided => is_starting,
        Role::Leaf => is_starting || age_ms.is_some_and(|age_ms| age_ms < max_age_ms),
        Role::Hub { .. } => false,
    }
}

/// Applies what the leaf's hub has read: what the leaf has is confirmed, what it lacks is fetched.
pub(super) fn apply_status(gateway: &Rc<Gateway>, hub: SocketAddr, status: FeedStatus) {
    let answered_in_ms = boot_time_ms().saturating_sub(status.asked_at_ms);
    let known_version = gateway.active_config.catalog().map_or(0, |catalog| catalog.version());
    let has_configuration = known_version >= status.config_version && known_version > 0;
    if let Some(age_ms) = status.config_age_ms.filter(|_| has_configuration) {
        // Counted from when the leaf asked: the answer may have waited while this VM was suspended.
        gateway.active_config.confirm(status.asked_at_ms.saturating_sub(age_ms));
    }
    let has_endpoints = gateway.leaf.endpoints.get() == status.endpoints;
    if let Some(age_ms) = status.list_age_ms.filter(|_| has_endpoints) {
        let age_ms = age_ms.saturating_add(answered_in_ms);
        let read_at = TimeMs(gateway.now().0.saturating_sub(age_ms));
        let position = Position(status.endpoints.next);
        record_list_read(gateway, ListVersion { position, read_at });
    }
    let lacks_configuration = !has_configuration && status.config_version > 0;
    let lacks_endpoints = !has_endpoints && status.list_age_ms.is_some();
    if (lacks_configuration || lacks_endpoints) && !gateway.leaf.is_fetching.replace(true) {
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move { fetch_from(&gateway, hub).await });
    }
}

async fn fetch_from(gateway: &Rc<Gateway>, hub: SocketAddr) {
    let limit = Duration::from_millis(FETCH_TIMEOUT_MS);
    match timeout(limit, request_update(gateway, hub)).await {
        Ok(Some(update)) => apply_update(gateway, update),
        Ok(None) | Err(_) => log::warn!(hub:display; "reading an update from the hub failed"),
    }
    gateway.leaf.is_fetching.set(false);
    gateway.leaf.attach_due.notify_one();
}

async fn request_update(gateway: &Rc<Gateway>, hub: SocketAddr) -> Option<FeedUpdate> {
    let config_version = gateway.active_config.catalog().map_or(0, |catalog| catalog.version());
    let request = FeedRequest { config_version, endpoints: gateway.leaf.endpoints.get() };
    let body = postcard::to_allocvec(&request).ok()?;
    let request = Request::post(FEEDS_PATH).body(RequestBody::full(body)).ok()?;
    let mut connection = gateway.connections.take(gateway.now(), hub).await.ok()?;
    let response = connection.sender.send_request(request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_UPDATE_BYTES).collect().await.ok()?;
    gateway.connections.put_back(gateway.now(), connection);
    postcard::from_bytes(&body.to_bytes()).ok()
}

pub(super) fn apply_update(gateway: &Gateway, update: FeedUpdate) {
    if let Some(configuration) = update.configuration {
        apply_configuration(gateway, configuration);
    }
    let next = Position(update.endpoints.next);
    let FeedUpdate { changes: items, is_snapshot, .. } = update;
    apply_changes(gateway, Feed { items, is_snapshot, next, end: next });
    gateway.leaf.endpoints.set(update.endpoints);
}
