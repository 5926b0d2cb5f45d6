use std::collections::HashMap;

use crate::prelude::*;

/// Leases on the engine's cache: each conversation that the engine may hold has one, and is freed
/// when it runs out.
///
/// An owner frees a program's cache when the program ends, but that message can be lost with its
/// sender. The lease needs no message: what nobody uses is freed in bounded time.
pub struct CacheLeases {
    lease_ms: u64,
    until: HashMap<Arc<str>, TimeMs>,
}

impl CacheLeases {
    /// Leases of `lease_ms` each.
    pub fn new(lease_ms: u64) -> CacheLeases {
        CacheLeases { lease_ms, until: HashMap::new() }
    }

    /// Starts or prolongs a lease.
    pub fn renew(&mut self, now: TimeMs, key: &str) {
        self.until.insert(key.into(), now.plus(self.lease_ms));
    }

    /// Starts a lease for what the engine was found to hold, unless there is one.
    pub fn found(&mut self, now: TimeMs, key: &str) {
        let until = now.plus(self.lease_ms);
        self.until.entry(key.into()).or_insert(until);
    }

    /// Ends a lease. Returns whether there was one.
    pub fn end(&mut self, key: &str) -> bool {
        self.until.remove(key).is_some()
    }

    /// Ends and returns the leases that have run out.
    pub fn expired(&mut self, now: TimeMs) -> Vec<Arc<str>> {
        let over: Vec<Arc<str>> =
            self.until.iter().filter(|(_, until)| **until <= now).map(|(k, _)| k.clone()).collect();
        over.iter().for_each(|key| {
            self.until.remove(key);
        });
        over
    }

    /// Leases held.
    pub fn len(&self) -> usize {
        self.until.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}
