//! Which entries share the workspaces' rates with this one.

use std::net::SocketAddr;

use super::{gossip_message, peer};
use crate::gateway::peers::Peers;
use crate::prelude::*;
use crate::quota::PeerCounts;

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
