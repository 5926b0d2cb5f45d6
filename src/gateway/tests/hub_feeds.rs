//! How a leaf follows the configuration and the endpoint list through its hub.

use std::rc::Rc;
use std::time::Duration;

use super::fakes::{self, FakeStore};
use crate::catalog::tests::{configuration, route};
use crate::gateway::Feed;
use crate::gateway::Position;
use crate::gateway::endpoint_feed::{apply_changes, record_list_read};
use crate::gateway::endpoint_list::ListVersion;
use crate::gateway::feed_message::{FeedRequest, FeedStatus, ListPosition};
use crate::gateway::hub_feed::{feed_status, feed_update};
use crate::gateway::leaf_feed::{
    apply_status, apply_update, configuration_comes_from_hub, endpoints_come_from_hub,
};
use crate::gateway::operator_feed::{apply_configuration, boot_time_ms};
use crate::gateway::state::Gateway;
use crate::replicas::tests::announcement;
use crate::replicas::{Announcement, EndpointChange};

fn announce(gateway: &Gateway, id: &str, sequence: u64) {
    let change = EndpointChange::Announcement(id.into(), announcement("s", 1, 1, sequence));
    apply(gateway, vec![change]);
}

fn apply(gateway: &Gateway, items: Vec<EndpointChange>) {
    let next = Position(0);
    apply_changes(gateway, Feed { items, is_snapshot: false, next, end: next });
}

fn leaf() -> Rc<Gateway> {
    let leaf = fakes::gateway(FakeStore::default());
    leaf.become_leaf();
    leaf
}

fn request(leaf: &Gateway) -> FeedRequest {
    let config_version = leaf.active_config.catalog().map_or(0, |catalog| catalog.version());
    FeedRequest { config_version, endpoints: leaf.leaf.endpoints.get() }
}

fn known(gateway: &Gateway, id: &str) -> bool {
    gateway.directory.borrow().find(id).is_some()
}

// Each endpoint says every few seconds that it is alive. Passed on, that made what a leaf receives
// grow with the number of endpoints.
#[test]
fn a_leaf_gets_what_has_changed_and_not_that_endpoints_are_alive() {
    let (hub, leaf) = (fakes::gateway(FakeStore::default()), leaf());
    announce(&hub, "a", 1);
    announce(&hub, "b", 1);
    let first = feed_update(&hub, request(&leaf));
    assert!(first.is_snapshot);
    apply_update(&leaf, first);
    assert!(known(&leaf, "a") && known(&leaf, "b"));
    (2..500).for_each(|sequence| announce(&hub, "a", sequence));
    assert_eq!(feed_update(&hub, request(&leaf)).changes, vec![]);
    apply(&hub, vec![EndpointChange::Removed("b".into())]);
    announce(&hub, "c", 1);
    let next = feed_update(&hub, request(&leaf));
    assert_eq!((next.is_snapshot, next.changes.len()), (false, 2));
    apply_update(&leaf, next);
    assert!(known(&leaf, "a") && !known(&leaf, "b") && known(&leaf, "c"));
}

// After a leaf has attached to another hub, or missed much, the numbers of changes that it knows mean
// nothing there. Endpoints that had left meanwhile stayed in use.
#[test]
fn a_leaf_gets_all_endpoints_from_another_hub_and_drops_those_that_left() {
    let (first, second, leaf) =
        (fakes::gateway(FakeStore::default()), fakes::gateway(FakeStore::default()), leaf());
    announce(&first, "left", 1);
    apply_update(&leaf, feed_update(&first, request(&leaf)));
    announce(&second, "a", 1);
    let other_instance = ListPosition { instance: 77, ..leaf.leaf.endpoints.get() };
    leaf.leaf.endpoints.set(other_instance);
    let update = feed_update(&second, request(&leaf));
    assert!(update.is_snapshot);
    apply_update(&leaf, update);
    assert!(!known(&leaf, "left") && known(&leaf, "a"));
    (0..3_000).for_each(|number| announce(&second, &format!("e{number}"), 1));
    assert!(feed_update(&second, request(&leaf)).is_snapshot, "more than the hub keeps");
}

// A hub used an endpoint again after a record of another writer with later numbers; its leaves kept that
// record, which outranks what the hub passes on.
#[tokio::test(start_paused = true)]
async fn a_leaf_uses_an_endpoint_again_with_its_hub() {
    let (hub, leaf) = (fakes::gateway(FakeStore::default()), leaf());
    let odd = Announcement { draining: true, ..announcement("s", 2, 1, u64::MAX) };
    apply(&hub, vec![EndpointChange::Announcement("a".into(), odd)]);
    apply_update(&leaf, feed_update(&hub, request(&leaf)));
    for sequence in 0..=11 {
        announce(&hub, "a", sequence);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    apply_update(&leaf, feed_update(&hub, request(&leaf)));
    for gateway in [&hub, &leaf] {
        let directory = gateway.directory.borrow();
        let replica = directory.find("a").and_then(|key| directory.get(key)).expect("known");
        assert!(!replica.announcement.draining);
    }
}

/// What a hub answers that has just confirmed version `config_version`.
fn status(leaf: &Gateway, config_version: u64) -> FeedStatus {
    FeedStatus {
        asked_at_ms: boot_time_ms(),
        config_version,
        config_age_ms: Some(0),
        endpoints: leaf.leaf.endpoints.get(),
        list_age_ms: Some(0),
    }
}

// A hub that is frozen, or answers a leaf that was, says how old its configuration was when it
// answered. Counted from when the answer is read, a withdrawn key would be served for that much longer.
#[tokio::test]
async fn freshness_counts_from_when_the_leaf_asked() {
    let leaf = leaf();
    apply_configuration(&leaf, configuration(3, vec![route("h", "/", "s")]));
    let late = FeedStatus { asked_at_ms: boot_time_ms() - 4_000, ..status(&leaf, 3) };
    apply_status(&leaf, leaf.settings.peers, FeedStatus { config_age_ms: Some(900), ..late });
    assert!(leaf.active_config.age_ms().expect("confirmed") >= 4_900);
    apply_status(&leaf, leaf.settings.peers, status(&leaf, 3));
    assert!(leaf.is_fresh());
    apply_status(&leaf, leaf.settings.peers, late);
    assert!(leaf.is_fresh(), "an answer that comes late takes nothing back");
}

// A leaf that took the confirmation of a newer version for one of its own would serve withdrawn keys;
// one that took an older configuration from its hub would serve them again.
#[tokio::test]
async fn a_hub_neither_confirms_an_older_configuration_nor_rolls_it_back() {
    let leaf = leaf();
    apply_configuration(&leaf, configuration(3, vec![route("h", "/", "s")]));
    leaf.leaf.is_fetching.set(true);
    apply_status(&leaf, leaf.settings.peers, status(&leaf, 4));
    assert_eq!(leaf.active_config.age_ms(), None);
    let hub = fakes::gateway(FakeStore::default());
    apply_configuration(&hub, configuration(2, vec![]));
    assert_eq!(feed_update(&hub, request(&leaf)).configuration, None);
    let newcomer = FeedRequest { config_version: 0, ..request(&leaf) };
    apply_update(&leaf, feed_update(&hub, newcomer));
    assert_eq!(leaf.active_config.catalog().map(|catalog| catalog.version()), Some(3));
    apply_configuration(&hub, configuration(5, vec![]));
    apply_update(&leaf, feed_update(&hub, request(&leaf)));
    assert_eq!(leaf.active_config.catalog().map(|catalog| catalog.version()), Some(5));
}

// A leaf whose hub is silent, or has itself lost the store, would refuse its callers although the store
// answers.
#[tokio::test(start_paused = true)]
async fn a_leaf_reads_the_store_itself_once_its_hub_confirms_nothing() {
    let leaf = leaf();
    assert!(configuration_comes_from_hub(&leaf), "it has just started");
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    assert!(!configuration_comes_from_hub(&leaf) && !endpoints_come_from_hub(&leaf));
    let version = ListVersion { position: Position(0), read_at: leaf.now() };
    record_list_read(&leaf, version);
    assert!(endpoints_come_from_hub(&leaf));
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    assert!(!endpoints_come_from_hub(&leaf));
    let hub = fakes::gateway(FakeStore::default());
    assert!(!endpoints_come_from_hub(&hub), "a hub always reads the store");
    assert_eq!(feed_status(&hub, 5).asked_at_ms, 5);
}
