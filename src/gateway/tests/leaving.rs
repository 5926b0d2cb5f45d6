//! What an entry that is shutting down does for the requests that it still takes.

use std::rc::Rc;
use std::time::Duration;

use test_case::test_case;
use tokio::task::LocalSet;

use super::fakes::{self, FakeStore};
use super::slow_readers::forwarded_request;
use super::{gossip_message, peer};
use crate::gateway::Refusal;
use crate::gateway::endpoint_feed::follow_endpoint_list;
use crate::gateway::forward::forward_to_owner;
use crate::gateway::membership::Membership;
use crate::gateway::message::GossipMessage;
use crate::prelude::*;

// A turn at an entry that was shutting down waited for an owner of its shard, although all others were
// shutting down too. While one stays, it will own the shard.
#[test_case(true, false => (0, 1_000); "all entries leave")]
#[test_case(false, false => (1_900, 400); "one stays")]
#[test_case(true, true => (1_900, 400); "all hubs leave, and a leaf may stay")]
#[tokio::test(start_paused = true)]
async fn a_turn_waits_for_an_owner_only_while_an_entry_stays(
    all_leave: bool,
    has_leaf: bool,
) -> (u64, u64) {
    let gateway = fakes::gateway(FakeStore::default());
    let other = ([127, 0, 0, 1], 1).into();
    let gossip = GossipMessage { leaving: all_leave, ..gossip_message(1, false) };
    gateway.peers.borrow_mut().record_message(TimeMs(0), other, &gossip);
    gateway.peers.borrow_mut().set_leaving();
    let others = if has_leaf { gateway.settings.max_hubs as u16 + 1 } else { 1 };
    for port in 1..=others {
        gateway.roster.borrow_mut().upsert(peer(port, None));
    }
    match forward_to_owner(&gateway, 0, &forwarded_request()).await {
        Err(Refusal::Unavailable { retry_after_ms }) => (gateway.now().0, retry_after_ms),
        _ => panic!("it is refused"),
    }
}

// The store executed a renewal of an entry's membership after the entry had left the group. It assigned
// shards to the process, which exited soon after; turns found no owner until the membership expired.
#[test_case(50; "while the first renewal is under way")]
#[test_case(350; "while one is under way that assigns a shard")]
#[tokio::test(start_paused = true)]
async fn an_entry_that_leaves_during_a_renewal_is_no_member_afterwards(leaves_after_ms: u64) {
    let store = Rc::new(FakeStore::with_slow_joins(200));
    let gateway = fakes::gateway_on(store.clone());
    let membership = Membership::open(gateway.clone());
    let tasks = LocalSet::new();
    tasks.spawn_local(follow_endpoint_list(gateway.clone()));
    tasks.spawn_local(membership.clone().maintain());
    let leaves = async {
        tokio::time::sleep(Duration::from_millis(leaves_after_ms)).await;
        gateway.draining.set(true);
        membership.leave().await;
        tokio::time::sleep(Duration::from_secs(2)).await;
    };
    tasks.run_until(leaves).await;
    assert!(!store.is_member.get(), "it has joined again");
    assert!(gateway.shards.owned(0).is_none(), "it has taken a shard");
}
