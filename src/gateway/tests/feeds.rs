//! What is known after a read that does not reach the end of a feed.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::LocalSet;

use super::fakes::{FakeStore, gateway_on};
use crate::catalog::Instruction;
use crate::catalog::tests::configuration;
use crate::gateway::endpoint_feed::follow_endpoint_list;
use crate::gateway::operator_feed::follow_operator_record;
use crate::gateway::{Feed, Position};
use crate::replicas::EndpointChange;
use crate::replicas::tests::announcement;

/// A read of one configuration, after which the feed has `more` changes.
fn read_of(version: u64, more: u64) -> Feed<Instruction> {
    let items = vec![Instruction::Configuration(configuration(version, vec![]))];
    let next = Position(version);
    Feed { items, is_snapshot: false, next, end: Position(version + more) }
}

// After an outage the first read returned the oldest configurations only, in which a withdrawn key was
// still in force. It counted as a confirmation, and requests with the key ran.
#[tokio::test(start_paused = true)]
async fn a_read_of_a_part_of_the_operators_record_confirms_no_configuration() {
    let store = Rc::new(FakeStore::default());
    *store.instructions.borrow_mut() = VecDeque::from([read_of(1, 2), read_of(2, 1)]);
    let gateway = gateway_on(store.clone());
    let tasks = LocalSet::new();
    tasks.spawn_local(follow_operator_record(gateway.clone()));
    tasks.run_until(tokio::time::sleep(Duration::from_millis(50))).await;
    assert_eq!(gateway.active_config.catalog().map(|catalog| catalog.version()), Some(2));
    assert!(!gateway.is_fresh());
    store.instructions.borrow_mut().push_back(read_of(3, 0));
    tasks.run_until(tokio::time::sleep(Duration::from_millis(150))).await;
    assert!(gateway.is_fresh());
}

// The endpoint list counted as known although a part of its changes had been read, and the next part came
// only with the next poll.
#[tokio::test(start_paused = true)]
async fn the_endpoint_list_is_known_only_after_a_read_that_reaches_its_end() {
    let store = Rc::new(FakeStore::default());
    let gateway = gateway_on(store.clone());
    let tasks = LocalSet::new();
    tasks.spawn_local(follow_endpoint_list(gateway.clone()));
    tasks.run_until(tokio::time::sleep(Duration::from_millis(10))).await;
    store.endpoint_list.limit_reads(1);
    for id in ["a", "b", "c"] {
        let change = EndpointChange::Announcement(id.into(), announcement("s", 1, 1, 1));
        store.endpoint_list.append(change);
    }
    tasks.run_until(tokio::time::sleep(Duration::from_millis(500))).await;
    assert_eq!(gateway.directory.borrow().all().count(), 3);
    let version = gateway.endpoint_list.version().expect("it was read");
    assert_eq!(version.position, Position(3));
    store.endpoint_list.limit_reads(0);
    store.endpoint_list.append(EndpointChange::Removed("a".into()));
    let read_at = gateway.endpoint_list.version().map(|version| version.read_at);
    tasks.run_until(tokio::time::sleep(Duration::from_millis(500))).await;
    let known = gateway.endpoint_list.version().map(|version| version.read_at);
    assert_eq!(known, read_at, "a read that does not reach the end makes nothing newer");
}
