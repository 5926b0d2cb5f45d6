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

/// The digest of a key. Keys themselves are held nowhere.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(Digest);

impl KeyDigest {
    /// Digests a key as it came from a caller.
    pub fn of_key(key: &str) -> KeyDigest {
        KeyDigest(Digest::of(&[b"trefoil key", key.as_bytes()]))
    }
}

impl KeyDigest {
    /// Where it is looked up. A guesser who learns from the time of a look-up how much of this
    /// was right learns nothing of the key: it is a part of a digest that he can't steer.
    pub(super) fn slot(&self) -> u64 {
        self.0.prefix()
    }
}

/// Compares in constant time: otherwise the time of a refusal would tell how much of a guessed
/// digest was right.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &KeyDigest) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl Eq for KeyDigest {}

/// Shows nothing: not even a digest belongs into a log.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
