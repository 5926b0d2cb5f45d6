//! Which entries share the workspaces' rates with this one.

use std::net::SocketAddr;

use super::{gossip_message, peer};
use crate::gateway::message::GossipMessage;
use crate::gateway::peers::Peers;
use crate::prelude::*;
use crate::quota::PeerCounts;

/// A message of an entry that is shutting down.
fn leaving(port: u16) -> GossipMessage {
    GossipMessage { leaving: true, ..gossip_message(u64::from(port), false) }
}

/// The addresses of the hubs that may count, sorted.
fn counting(peers: &Peers, now: TimeMs) -> Vec<SocketAddr> {
    let mut counting: Vec<_> =
        peers.counting_candidates(now).iter().map(|hub| hub.address).collect();
    counting.sort_unstable();
    counting
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Four other entries, all heard at the start.
fn four_heard() -> Peers {
    let mut peers = Peers::default();
    for port in 1..=4 {
        peers.record_message(TimeMs(0), address(port), &gossip_message(u64::from(port), false));
    }
    peers
}

// An entry that started behind a cut knew of the others from the store only. It took itself for the only
// one, and after a window admitted the whole limit beside them.
#[test]
fn entries_that_were_announced_but_never_heard_share_the_rates() {
    let mut peers = Peers::default();
    (1..=4).for_each(|port| peers.upsert(TimeMs(0), peer(port, None)));
    let counts = peers.peer_counts(TimeMs(6_000));
    assert_eq!(counts, PeerCounts { entries: 5, heard: 1 });
    assert!(!counts.hears_half());
    peers.take_silent(TimeMs(20_000));
    (1..=4).for_each(|port| peers.upsert(TimeMs(20_000), peer(port, None)));
    let counts = peers.peer_counts(TimeMs(20_000));
    assert_eq!(counts, PeerCounts { entries: 1, heard: 1 }, "records of entries long gone");
}

// An entry that did not accept a turn was deregistered, and no longer counted. Behind a cut it went on to
// admit requests, while the others used its part of the rates.
#[test]
fn an_entry_that_is_silent_shares_the_rates_until_its_process_is_known_to_have_ended() {
    let mut peers = four_heard();
    peers.mark_deregistered(address(1));
    (2..=4).for_each(|port| {
        peers.record_message(TimeMs(900), address(port), &gossip_message(u64::from(port), false));
    });
    assert_eq!(peers.take_unprobed(TimeMs(1_000)), [address(1)]);
    assert_eq!(peers.take_unprobed(TimeMs(1_000)), [], "not probed again at once");
    assert_eq!(peers.peer_counts(TimeMs(1_000)), PeerCounts { entries: 5, heard: 4 });
    peers.mark_dead(address(1));
    assert_eq!(peers.peer_counts(TimeMs(1_000)), PeerCounts { entries: 4, heard: 4 });
    peers.record_message(TimeMs(1_100), address(1), &gossip_message(1, false));
    assert_eq!(peers.peer_counts(TimeMs(1_100)), PeerCounts { entries: 5, heard: 5 });
}

// An entry that had been cut off for 20 s forgot the others one after the other, took itself for the only
// one, and admitted the whole limit beside them.
#[test]
fn an_entry_that_is_cut_off_for_long_does_not_take_itself_for_the_only_one() {
    let mut cut_off = four_heard();
    (0..60_000).step_by(1_000).for_each(|now| drop(cut_off.take_silent(TimeMs(now))));
    assert_eq!(cut_off.peer_counts(TimeMs(60_000)), PeerCounts { entries: 5, heard: 1 });
    let mut others = four_heard();
    for now in (0..60_000).step_by(200).map(TimeMs) {
        (2..=4).for_each(|port| {
            others.record_message(now, address(port), &gossip_message(u64::from(port), false));
        });
        others.take_silent(now);
    }
    assert_eq!(others.peer_counts(TimeMs(60_000)), PeerCounts { entries: 4, heard: 4 });
}

// While all entries were shutting down, none of them counted, and all requests were refused. One that
// counted alone, as if the others had ended, would admit the whole limit beside them.
#[test]
fn entries_that_leave_share_the_rates_once_none_stays() {
    let mut peers = four_heard();
    peers.set_leaving();
    (1..=3).for_each(|port| drop(peers.record_message(TimeMs(0), address(port), &leaving(port))));
    assert!(!peers.all_leave() && !peers.may_count_here());
    assert_eq!(counting(&peers, TimeMs(0)), [address(4)]);
    peers.record_message(TimeMs(0), address(4), &leaving(4));
    assert!(peers.all_leave() && peers.may_count_here());
    assert_eq!(counting(&peers, TimeMs(0)), (1..=4).map(address).collect::<Vec<_>>());
    assert_eq!(peers.peer_counts(TimeMs(1_000)), PeerCounts { entries: 5, heard: 1 });
    (1..=4).for_each(|port| peers.mark_dead(address(port)));
    assert_eq!(peers.peer_counts(TimeMs(1_000)), PeerCounts { entries: 1, heard: 1 });
}

// An entry that leaves would count beside one that stays and is only cut off from it, and one that stays
// would keep room for those that have left.
#[test]
fn an_entry_that_leaves_does_not_count_while_another_one_may_stay() {
    let mut peers = Peers::default();
    peers.record_message(TimeMs(0), address(1), &gossip_message(1, false));
    peers.record_message(TimeMs(1_000), address(2), &leaving(2));
    assert_eq!(peers.peer_counts(TimeMs(1_000)), PeerCounts { entries: 2, heard: 1 });
    peers.set_leaving();
    assert!(!peers.all_leave() && !peers.may_count_here());
    assert_eq!(counting(&peers, TimeMs(1_000)), []);
    peers.mark_dead(address(1));
    assert!(peers.all_leave(), "the process of the other one has ended");
}
