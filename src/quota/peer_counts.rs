use super::RateLimit;
use crate::prelude::*;

/// How many entries share a limit, and how many of them this entry receives messages from.
#[key]
pub struct PeerCounts {
    /// Entries that share the limit, including this one.
    pub entries: u32,
    /// Entries whose messages arrive, including this one.
    pub heard: u32,
}

impl PeerCounts {
    /// Whether messages arrive from at least half of the entries, which is enough to rely on them.
    pub fn hears_half(self) -> bool {
        self.heard * 2 >= self.entries
    }

    /// What the entries in contact may admit together, if they are at least half of all. Only one
    /// group can be more than half; two halves have half of the limit each. What the silent entries
    /// may admit is taken off.
    pub(super) fn limit_together(self, rate_limit: RateLimit) -> f64 {
        let limit = rate_limit.max_in_window();
        match self.heard * 2 == self.entries {
            true => limit / 2.0,
            false => {
                let silent = f64::from(self.entries.saturating_sub(self.heard));
                (limit - silent * self.share_alone(rate_limit)).max(0.0)
            }
        }
    }

    /// What an entry may admit that hears fewer than half of the others: its share of the tolerance. The
    /// others may have used the whole limit, and go on to.
    pub(super) fn share_alone(self, rate_limit: RateLimit) -> f64 {
        rate_limit.tolerance_alone() / f64::from(self.entries.max(1))
    }
}
