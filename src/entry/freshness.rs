use std::net::SocketAddr;

use crate::prelude::*;

/// What another entry says of its configuration.
#[value]
#[derive(Copy)]
pub(super) struct PeerConfig {
    /// The last record in force there.
    pub config: Offset,
    /// How long ago it knew that to be the newest; `None` if it never did.
    pub age_ms: Option<u64>,
    /// Where to fetch it.
    pub address: SocketAddr,
}

/// Whether this entry may go by its configuration.
#[value]
#[derive(Copy)]
pub(super) enum Freshness {
    /// It may: nothing newer was accepted for long enough to matter.
    Fresh,
    /// A peer knows more.
    Fetch(SocketAddr),
    /// It may not: something newer may be in force elsewhere.
    Stale,
}

/// Judges a configuration.
///
/// An entry that is cut off from the log alone must stop to let callers in: a key may have been
/// withdrawn meanwhile. When most entries can't reach the log, it is out for all: nothing newer
/// was accepted, and turning every caller away would help nobody.
pub(super) fn judge(
    own: (Offset, Option<u64>),
    stale_ms: u64,
    peers: &[PeerConfig],
    listed_entries: usize,
) -> Freshness {
    let (config, age_ms) = own;
    let is_recent = |age_ms: Option<u64>| age_ms.is_some_and(|age_ms| age_ms <= stale_ms);
    if is_recent(age_ms) {
        return Freshness::Fresh;
    }
    let newest = peers.iter().filter(|peer| peer.age_ms.is_some()).max_by_key(|p| p.config);
    if let Some(peer) = newest.filter(|peer| peer.config > config) {
        return Freshness::Fetch(peer.address);
    }
    if peers.iter().any(|peer| is_recent(peer.age_ms) && peer.config <= config) {
        return Freshness::Fresh;
    }
    let known = age_ms.is_some() || newest.is_some();
    let all_cut_off = peers.iter().all(|peer| !is_recent(peer.age_ms));
    let most_heard = !peers.is_empty() && (peers.len() + 1) * 2 > listed_entries;
    match known && all_cut_off && most_heard {
        true => Freshness::Fresh,
        false => Freshness::Stale,
    }
}
