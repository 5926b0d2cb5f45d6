use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::Digest as _;

use crate::prelude::*;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[wire_key]
        #[derive(Default)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number! {
    /// A slice of all programs, owned by one entry at a time and recorded in one stream.
    ShardId, u16
}
number! {
    /// A position in a stream of the log. The first record stands at 1.
    Offset, u64
}
number! {
    /// The offset of the claim under which a shard is owned; a larger one fences a smaller one.
    Epoch, u64
}
number! {
    /// One run of a process, drawn at random when it starts.
    Instance, u64
}
number! {
    /// The place of a call in its program, from 1.
    TurnNo, u32
}

impl Offset {
    /// The position `count` records further.
    pub fn plus(self, count: u64) -> Offset {
        Offset(self.0 + count)
    }
}

impl Instance {
    /// Draws the number of a new run.
    pub fn random() -> Instance {
        Instance(rand::random())
    }
}

impl TurnNo {
    /// The turn after this one.
    pub fn next(self) -> TurnNo {
        TurnNo(self.0 + 1)
    }
}

/// One try at running a turn. Never used twice: the epoch differs between owners, the sequence
/// number within one.
#[wire_key]
pub struct AttemptId {
    /// The program's shard.
    pub shard: ShardId,
    /// The epoch of the owner that dispatched it.
    pub epoch: Epoch,
    /// Counts the attempts of that epoch.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.shard, self.epoch, self.sequence)
    }
}

/// One run of the process beside an endpoint.
#[name]
pub struct EndpointRef {
    /// The endpoint's VM.
    pub vm: VmName,
    /// The run that an attempt is meant for.
    pub instance: Instance,
}

/// One crash of an engine: many attempts can see the same one.
#[name]
pub struct Crash {
    /// The engine's VM.
    pub vm: VmName,
    /// The engine's run that ended.
    pub run: u64,
    /// Whether the call ran alone: then no other can have been the cause.
    pub alone: bool,
}

/// A SHA-256 digest, written as hex.
#[key]
pub struct Digest([u8; 32]);

impl Digest {
    /// Digests the parts, each preceded by its length so that no two lists collide.
    pub fn of(parts: &[&[u8]]) -> Digest {
        let mut hasher = sha2::Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Digest(hasher.finalize().into())
    }

    /// The raw bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// The first eight bytes as a number, for hashing onto shards and nodes.
    pub fn prefix(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
        let text = String::deserialize(deserializer)?;
        let mut bytes = [0; 32];
        hex::decode_to_slice(&text, &mut bytes).map_err(serde::de::Error::custom)?;
        Ok(Digest(bytes))
    }
}
