use std::collections::BTreeSet;

use crate::prelude::*;

/// Failure domains to whose endpoints nothing may be sent.
///
/// Each entry follows the operator's record, and tells the others what it read up to where: an entry
/// that alone has lost the record goes by what the others tell.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Up to where the operator's record is known.
    as_of: u64,
    domains: BTreeSet<Arc<str>>,
}

impl Evacuations {
    /// Up to where the operator's record is known.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// The failure domains evacuated now.
    pub fn domains(&self) -> &BTreeSet<Arc<str>> {
        &self.domains
    }

    /// Whether nothing may be sent to the endpoints of `domain`.
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// What is evacuated as of `as_of`, unless more is known already. Yields the domains that may be
    /// used again.
    pub fn replace(&mut self, as_of: u64, domains: BTreeSet<Arc<str>>) -> Vec<Arc<str>> {
        if as_of < self.as_of || (as_of == self.as_of && domains == self.domains) {
            return Vec::new();
        }
        self.as_of = as_of;
        let before = std::mem::replace(&mut self.domains, domains);
        for domain in self.domains.difference(&before) {
            log::info!(domain:%, as_of; "a failure domain is evacuated");
        }
        let restored: Vec<_> = before.difference(&self.domains).cloned().collect();
        for domain in &restored {
            log::info!(domain:%, as_of; "a failure domain may be used again");
        }
        restored
    }
}
