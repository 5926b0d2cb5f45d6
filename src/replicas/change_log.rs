use std::collections::VecDeque;

use super::{Announcement, EndpointChange};

/// Changes that are kept. An entry that has missed more gets all endpoints instead.
const MAX_KEPT_CHANGES: usize = 2_000;

/// The changes of the endpoint list that other entries need: endpoints say that they are alive every
/// few seconds, which changes nothing for those that send requests to them.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// The number of the next change.
    next: u64,
    kept: VecDeque<EndpointChange>,
}

impl ChangeLog {
    /// Appends a change.
    pub fn append(&mut self, change: EndpointChange) {
        if self.kept.len() == MAX_KEPT_CHANGES {
            self.kept.pop_front();
        }
        self.kept.push_back(change);
        self.next += 1;
    }

    /// The number of the next change.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The changes from number `from` on; `None` if some of them are no longer kept, or if there
    /// never was such a number.
    pub fn since(&self, from: u64) -> Option<Vec<EndpointChange>> {
        let missed = usize::try_from(self.next.checked_sub(from)?).ok()?;
        let skipped = self.kept.len().checked_sub(missed)?;
        Some(self.kept.iter().skip(skipped).cloned().collect())
    }
}

impl Announcement {
    /// Whether this says something else than an `earlier` announcement of the same endpoint, other
    /// than that the endpoint is alive.
    pub fn differs_from(&self, earlier: &Announcement) -> bool {
        let lasting = |announcement: &Announcement| Announcement {
            sequence: 0,
            cold_left_ms: u64::from(announcement.cold_left_ms > 0),
            ..announcement.clone()
        };
        lasting(self) != lasting(earlier)
    }
}
