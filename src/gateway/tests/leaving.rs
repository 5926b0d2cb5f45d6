//! What an entry that is shutting down does for the requests that it still takes.

use test_case::test_case;

use super::fakes::{self, FakeStore};
use super::gossip_message;
use super::slow_readers::forwarded_request;
use crate::gateway::Refusal;
use crate::gateway::forward::forward_to_owner;
use crate::gateway::message::GossipMessage;
use crate::prelude::*;

// A turn at an entry that was shutting down waited for an owner of its shard, although all others were
// shutting down too. While one stays, it will own the shard.
#[test_case(true => (0, 1_000); "all entries leave")]
#[test_case(false => (1_900, 400); "one stays")]
#[tokio::test(start_paused = true)]
async fn a_turn_waits_for_an_owner_only_while_an_entry_stays(all_leave: bool) -> (u64, u64) {
    let gateway = fakes::gateway(FakeStore::default());
    let other = ([127, 0, 0, 1], 1).into();
    let gossip = GossipMessage { leaving: all_leave, ..gossip_message(1, false) };
    gateway.peers.borrow_mut().record_message(TimeMs(0), other, &gossip);
    gateway.peers.borrow_mut().set_leaving();
    match forward_to_owner(&gateway, 0, &forwarded_request()).await {
        Err(Refusal::Unavailable { retry_after_ms }) => (gateway.now().0, retry_after_ms),
        _ => panic!("it is refused"),
    }
}
