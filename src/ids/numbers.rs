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
    /// The number of a shard. A shard is a subset of the programs, owned by one entry at a time and
    /// recorded in one stream of the log.
    ShardId, u16
}
number! {
    /// The position of a record in a stream of the log. The first record has offset 1.
    Offset, u64
}
number! {
    /// The epoch of a shard's ownership: the offset of the record with which the owner claimed the
    /// shard. A larger epoch fences smaller ones: requests of the earlier owners are rejected.
    Epoch, u64
}
number! {
    /// Identifies a process instance, that is, one process from its start to its end. Drawn at
    /// random when the process starts, so a restart gives a new one.
    Instance, u64
}
number! {
    /// The position of a turn in its program, starting at 1.
    TurnNo, u32
}

impl Offset {
    /// The offset `count` records later.
    pub fn plus(self, count: u64) -> Offset {
        Offset(self.0 + count)
    }
}

impl Instance {
    /// Draws the number of a new process instance.
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

/// Identifies an attempt to run a turn. Never reused: the owners of a shard differ in the epoch,
/// and the attempts of one owner differ in the sequence number.
#[wire_key]
pub struct AttemptId {
    /// The program's shard.
    pub shard: ShardId,
    /// The epoch of the owner that dispatched the attempt.
    pub epoch: Epoch,
    /// The number of the attempt within its epoch.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.shard, self.epoch, self.sequence)
    }
}

/// A process instance of the daemon that runs on an endpoint's VM.
#[name]
pub struct EndpointRef {
    /// The endpoint's VM.
    pub vm: VmName,
    /// The process instance that an attempt is sent to.
    pub instance: Instance,
}

/// A crash of an engine. Several attempts can be affected by the same crash.
#[name]
pub struct Crash {
    /// The engine's VM.
    pub vm: VmName,
    /// The number of the engine's process instance that crashed, as its health report gives it in
    /// `run`.
    pub run: u64,
    /// Whether the call was the only one running, so that no other call can be the cause.
    pub alone: bool,
}

/// A SHA-256 digest, displayed and serialized in hexadecimal.
#[key]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of a list of parts. Each part is preceded by its length, so that two
    /// lists with the same concatenation have different digests.
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

    /// The first eight bytes as a little-endian number, for hashing onto shards and nodes.
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
