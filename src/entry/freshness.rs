use std::net::SocketAddr;

use crate::prelude::*;

/// What another entry reports of its configuration.
#[value]
#[derive(Copy)]
pub(super) struct PeerConfig {
    /// Offset of the last configuration record that it has applied.
    pub config: Offset,
    /// How long ago it last confirmed that this is the newest record; `None` if it never did.
    pub age_ms: Option<u64>,
    /// Where its configuration can be fetched.
    pub address: SocketAddr,
}

/// Whether this entry may admit callers by its configuration.
#[value]
#[derive(Copy)]
pub(super) enum Freshness {
    /// It may: this entry or a peer confirmed it recently, or the log is down for all entries.
    Fresh,
    /// Not yet: the peer at this address has a newer configuration.
    FetchFrom(SocketAddr),
    /// It may not: a newer configuration may be in force at other entries.
    Stale,
}

/// Decides whether this entry's configuration is fresh.
///
/// An entry that alone can't reach the log must stop admitting callers, because a key may have been
/// revoked in the meantime. If this entry and its peers, a majority of the listed entries together,
/// all can't reach the log, it is taken to be down for everyone: no newer record was accepted, and
/// refusing every caller would gain nothing.
pub(super) fn evaluate_freshness(
    local: (Offset, Option<u64>),
    stale_ms: u64,
    peers: &[PeerConfig],
    listed_entries: usize,
) -> Freshness {
    let (config, age_ms) = local;
    let is_recent = |age_ms: Option<u64>| age_ms.is_some_and(|age_ms| age_ms <= stale_ms);
    if is_recent(age_ms) {
        return Freshness::Fresh;
    }
    let newest = peers.iter().filter(|peer| peer.age_ms.is_some()).max_by_key(|p| p.config);
    if let Some(peer) = newest.filter(|peer| peer.config > config) {
        return Freshness::FetchFrom(peer.address);
    }
    if peers.iter().any(|peer| is_recent(peer.age_ms) && peer.config <= config) {
        return Freshness::Fresh;
    }
    let has_any_config = age_ms.is_some() || newest.is_some();
    let no_peer_is_recent = peers.iter().all(|peer| !is_recent(peer.age_ms));
    let hears_majority = !peers.is_empty() && (peers.len() + 1) * 2 > listed_entries;
    match has_any_config && no_peer_is_recent && hears_majority {
        true => Freshness::Fresh,
        false => Freshness::Stale,
    }
}
