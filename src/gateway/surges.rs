use std::collections::HashSet;

/// The workspaces that send far more than their rate, as recorded in the store.
///
/// When all entries are killed at once, nobody knows what the windows held. A window in which requests
/// came about evenly empties evenly; one that was filled by a surge may stay full for its whole length.
/// A hub therefore records a surge before it admits more of it, and entries that start read the records
/// of all.
#[derive(Debug, Default)]
pub(super) struct Surges {
    /// Those that the hub has announced.
    recorded: HashSet<u64>,
    /// Those that are to be announced before more of their requests are admitted.
    wanted: HashSet<u64>,
    /// Those that any entry had announced when this one started; none before they were read.
    before_start: Option<HashSet<u64>>,
}

impl Surges {
    /// Whether a surge of the workspace is recorded. If not, it is to be.
    pub(super) fn is_recorded(&mut self, workspace: u64) -> bool {
        let is_recorded = self.recorded.contains(&workspace);
        if !is_recorded {
            self.wanted.insert(workspace);
        }
        is_recorded
    }

    /// Whether surges are to be announced.
    pub(super) fn is_announcement_due(&self) -> bool {
        !self.wanted.is_empty()
    }

    /// The surges to announce: those wanted, and those recorded that still last.
    pub(super) fn to_announce(&self, lasts: impl Fn(u64) -> bool) -> Vec<u64> {
        let lasting = self.recorded.iter().filter(|workspace| lasts(**workspace));
        let mut surges: Vec<_> = self.wanted.iter().chain(lasting).copied().collect();
        surges.sort_unstable();
        surges.dedup();
        surges
    }

    /// Records what was announced.
    pub(super) fn confirm(&mut self, announced: &[u64]) {
        self.recorded = announced.iter().copied().collect();
        self.wanted.retain(|workspace| !announced.contains(workspace));
    }

    /// Whether what is recorded differs from these surges.
    pub(super) fn differs_from(&self, surges: &[u64]) -> bool {
        self.recorded.len() != surges.len() || surges.iter().any(|s| !self.recorded.contains(s))
    }

    /// Sets the surges that were recorded before this entry started.
    pub(super) fn set_before_start(&mut self, surges: HashSet<u64>) {
        self.before_start = Some(surges);
    }

    /// Whether the workspace may have sent a surge just before this entry started.
    pub(super) fn may_have_surged_before_start(&self, workspace: u64) -> bool {
        self.before_start.as_ref().is_none_or(|surges| surges.contains(&workspace))
    }
}
