use crate::prelude::*;

/// How long a leaf waits, for each entry that comes before it, before it becomes a hub because
/// there are too few: until the one before has announced itself and the others know it.
const RECRUITMENT_STEP_MS: u64 = 250;

/// The part that a process plays among the entries.
#[key]
pub enum Role {
    /// It has just started and has not read the list of entries yet.
    Undecided,
    /// It is attached to a hub.
    Leaf,
    /// It exchanges messages with all other hubs.
    Hub {
        /// Identifies this term as a hub: its counts begin at zero with each.
        instance: u64,
        /// When the term began.
        since: TimeMs,
    },
}

/// How many hubs there are.
#[value]
#[derive(Copy)]
pub struct HubLimit {
    /// In all failure domains together. As long as there are no more entries, all are hubs.
    pub max_hubs: usize,
    /// In each failure domain, if there are more entries.
    pub per_domain: usize,
}

impl HubLimit {
    /// The limit if there are this many failure domains.
    pub fn new(max_hubs: usize, domains: usize) -> HubLimit {
        HubLimit { max_hubs, per_domain: max_hubs.div_ceil(domains.max(1)).max(1) }
    }
}

/// Decides when a leaf becomes a hub because most hubs of its failure domain are gone. The leaves
/// do so one after the other, in the order in which they are to be hubs.
#[derive(Debug, Default)]
pub struct Recruitment {
    short_since: Option<TimeMs>,
}

impl Recruitment {
    /// Whether there are too few hubs in a failure domain with this many entries.
    pub fn is_short(live_hubs: usize, hubs_per_domain: usize, entries: usize) -> bool {
        live_hubs * 2 < hubs_per_domain.min(entries)
    }

    /// Whether this leaf, before which `position` other leaves come, becomes a hub now.
    pub fn is_due(&mut self, now: TimeMs, is_short: bool, position: usize) -> bool {
        if !is_short {
            self.short_since = None;
            return false;
        }
        let since = *self.short_since.get_or_insert(now);
        now.since(since) >= RECRUITMENT_STEP_MS * (position as u64 + 1)
    }
}
