use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use super::HubLimit;
use crate::gateway::PeerRecord;
use crate::prelude::*;

/// All entries that were ever announced, including those that no longer run.
#[derive(Debug, Default)]
pub struct Roster {
    by_name: HashMap<Arc<str>, PeerRecord>,
}

impl Roster {
    /// Adds the record of an entry, or replaces its earlier one. Returns whether this changes
    /// which entries there are.
    pub fn upsert(&mut self, record: PeerRecord) -> bool {
        self.by_name.insert(record.name.clone(), record).is_none()
    }

    /// Whether the entry was ever announced.
    pub fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// The epoch of an entry's last announcement; zero if there is none.
    pub fn epoch_of(&self, name: &str) -> u64 {
        self.by_name.get(name).map_or(0, |record| record.epoch)
    }

    /// The surges that an entry has recorded.
    pub fn surges_of(&self, name: &str) -> impl Iterator<Item = u64> {
        self.by_name.get(name).into_iter().flat_map(|record| record.surges.iter().copied())
    }

    /// The surges that any entry has recorded.
    pub fn all_surges(&self) -> HashSet<u64> {
        self.by_name.values().flat_map(|record| record.surges.iter().copied()).collect()
    }

    /// The entries that are hubs, as last announced.
    pub fn hubs(&self) -> impl Iterator<Item = &PeerRecord> {
        self.by_name.values().filter(|record| record.is_hub)
    }

    /// Whether some entries may be leaves: there are more than may be hubs.
    pub fn may_have_leaves(&self, limit: HubLimit) -> bool {
        self.by_name.len() > limit.max_hubs
    }

    /// The number of entries announced in a failure domain.
    pub fn entries_in(&self, domain: &str) -> usize {
        self.in_domain(domain).count()
    }

    /// How many of these hubs are in a failure domain.
    pub fn hubs_in(&self, domain: &str, hubs: &[SocketAddr]) -> usize {
        self.in_domain(domain).filter(|record| hubs.contains(&record.address)).count()
    }

    /// Whether the entry is to be a hub from its start.
    pub fn is_elected(&self, entry: &PeerRecord, limit: HubLimit) -> bool {
        self.by_name.len() <= limit.max_hubs || self.rank(entry) < limit.per_domain
    }

    /// How many entries of its failure domain come before this one in the order in which they are
    /// to be hubs: those with more CPU first, as owners of shards serve the turns of all entries.
    pub fn rank(&self, entry: &PeerRecord) -> usize {
        let Some(domain) = &entry.domain else {
            return 0;
        };
        let own = order_key(entry);
        self.in_domain(domain)
            .filter(|other| other.name != entry.name && order_key(other) < own)
            .count()
    }

    fn in_domain(&self, domain: &str) -> impl Iterator<Item = &PeerRecord> {
        self.by_name.values().filter(move |record| record.domain.as_deref() == Some(domain))
    }
}

fn order_key(record: &PeerRecord) -> (Reverse<u32>, u64) {
    (Reverse(record.cpu_millicores), Digest::of(&[record.name.as_bytes()]).prefix())
}
