use std::collections::HashMap;

use crate::prelude::*;

/// Leases on the conversations in the engine's cache. A conversation is freed when its lease
/// expires.
///
/// An owner frees a program's cache when the program ends, but that message is lost if the owner
/// fails. Leases need no message: an unused conversation is freed in bounded time.
pub struct CacheLeases {
    lease_ms: u64,
    expires_at: HashMap<Arc<str>, TimeMs>,
}

impl CacheLeases {
    /// Creates an empty set of leases that last `lease_ms` each.
    pub fn new(lease_ms: u64) -> CacheLeases {
        CacheLeases { lease_ms, expires_at: HashMap::new() }
    }

    /// Starts or renews a lease.
    pub fn renew(&mut self, now: TimeMs, key: &str) {
        self.expires_at.insert(key.into(), now.plus(self.lease_ms));
    }

    /// Starts a lease for a conversation found in the engine's cache, unless it has one.
    pub fn adopt(&mut self, now: TimeMs, key: &str) {
        let expires_at = now.plus(self.lease_ms);
        self.expires_at.entry(key.into()).or_insert(expires_at);
    }

    /// Removes a lease. Returns whether there was one.
    pub fn remove(&mut self, key: &str) -> bool {
        self.expires_at.remove(key).is_some()
    }

    /// Removes and returns the leases that have expired.
    pub fn expired(&mut self, now: TimeMs) -> Vec<Arc<str>> {
        let expired_keys: Vec<Arc<str>> = self
            .expires_at
            .iter()
            .filter(|(_, expires_at)| **expires_at <= now)
            .map(|(k, _)| k.clone())
            .collect();
        expired_keys.iter().for_each(|key| {
            self.expires_at.remove(key);
        });
        expired_keys
    }

    /// Number of leases.
    pub fn len(&self) -> usize {
        self.expires_at.len()
    }

    /// Whether there are no leases.
    pub fn is_empty(&self) -> bool {
        self.expires_at.is_empty()
    }
}
