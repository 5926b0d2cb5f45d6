use std::fmt;

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::prelude::*;

/// The public name of a key, by which operators grant and revoke it.
#[name]
#[serde(transparent)]
pub struct KeyId(pub Arc<str>);

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The digest of a key. The keys themselves are not stored.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(Digest);

impl KeyDigest {
    /// The digest of a key that a caller has sent.
    pub fn of_key(key: &str) -> KeyDigest {
        KeyDigest(Digest::of(&[b"trefoil key", key.as_bytes()]))
    }
}

impl KeyDigest {
    /// The index under which the digest is looked up: its prefix. The time of a lookup may reveal how
    /// much of it matched. This tells an attacker nothing about the key, because it is part of a
    /// digest that the attacker can't control.
    pub(super) fn slot(&self) -> u64 {
        self.0.prefix()
    }
}

/// Compares in constant time: otherwise the time of a rejection would reveal how much of a guessed
/// digest matched.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &KeyDigest) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl Eq for KeyDigest {}

/// Prints nothing of the digest: not even digests belong in logs.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
