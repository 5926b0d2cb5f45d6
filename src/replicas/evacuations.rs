use std::collections::BTreeSet;

use crate::prelude::*;

/// Failure domains whose endpoints must not receive requests.
///
/// Each entry reads the operator's log and sends the resulting state, with the log position it is
/// based on, to the other entries. An entry that alone cannot read the log follows the others.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Position up to which the operator's log has been read.
    as_of: u64,
    domains: BTreeSet<Arc<str>>,
}

impl Evacuations {
    /// Position up to which the operator's log has been read.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// The evacuated failure domains.
    pub fn domains(&self) -> &BTreeSet<Arc<str>> {
        &self.domains
    }

    /// Whether `domain` is evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// Replaces the evacuated domains by those at log position `as_of`, unless a later state is
    /// known. Returns the domains that are no longer evacuated.
    pub fn replace(&mut self, as_of: u64, domains: BTreeSet<Arc<str>>) -> Vec<Arc<str>> {
        if as_of < self.as_of || (as_of == self.as_of && domains == self.domains) {
            return Vec::new();
        }
        self.as_of = as_of;
        let before = std::mem::replace(&mut self.domains, domains);
        for domain in self.domains.difference(&before) {
            log::info!(domain:%, as_of; "failure domain evacuated; its endpoints get no requests");
        }
        let restored: Vec<_> = before.difference(&self.domains).cloned().collect();
        for domain in &restored {
            log::info!(domain:%, as_of; "failure domain restored; its endpoints may be used again");
        }
        restored
    }
}
