use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::prelude::*;

const TURN: char = 't';
const ACCOUNT: char = 'a';
const DIGEST_BYTES: usize = 16;

/// A turn's key: a digest of its workspace and id, so that no workspace can name another's turn.
#[wire_key]
pub struct TurnKey([u8; DIGEST_BYTES]);

/// A program's key: a digest of its workspace and id.
#[wire_key]
pub struct ProgramKey([u8; DIGEST_BYTES]);

impl TurnKey {
    /// The key of turn `id` of a workspace.
    pub fn of(workspace: &str, id: &str) -> TurnKey {
        TurnKey(digest(workspace, id))
    }
}

impl TurnKey {
    /// A number that stands for the turn where a rare mix-up does no harm.
    pub fn hash(&self) -> u64 {
        let TurnKey([a, b, c, d, e, f, g, h, ..]) = *self;
        u64::from_be_bytes([a, b, c, d, e, f, g, h])
    }
}

impl ProgramKey {
    /// The key of program `id` of a workspace.
    pub fn of(workspace: &str, id: &str) -> ProgramKey {
        ProgramKey(digest(workspace, id))
    }

    /// The shard among `shards` that holds the program.
    pub fn shard(&self, shards: u32) -> u32 {
        let ProgramKey([a, b, c, d, ..]) = *self;
        u32::from_be_bytes([a, b, c, d]) % shards.max(1)
    }

    /// A number for choices that a program makes alike each time.
    pub fn hash(&self) -> u64 {
        let ProgramKey([.., a, b, c, d]) = *self;
        u64::from(u32::from_be_bytes([a, b, c, d]))
    }
}

fn digest(workspace: &str, id: &str) -> [u8; DIGEST_BYTES] {
    let whole = Sha256::new().chain_update(workspace).chain_update([0]).chain_update(id).finalize();
    let mut short = [0; DIGEST_BYTES];
    short.copy_from_slice(&whole[..DIGEST_BYTES]);
    short
}

/// A turn that was answered whole.
#[wire]
pub struct Turn {
    /// The turn that it continues from.
    pub parent: Option<TurnKey>,
    /// What the caller sent.
    #[serde(with = "as_bytes")]
    pub input: Bytes,
    /// The data of its events, each followed by a line feed.
    #[serde(with = "as_bytes")]
    pub output: Bytes,
    /// Kept at least until then.
    pub kept_until: UnixMs,
    /// The endpoint that ran it.
    pub ran_at: String,
}

mod as_bytes {
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(bytes: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        Vec::<u8>::deserialize(from).map(Bytes::from)
    }
}

/// What a program has generated.
#[wire]
#[derive(Copy, Default)]
pub struct Account {
    /// Tokens handed out by turns that are over.
    pub spent: u64,
    /// What turns under way, or yet to come without a record of their own, may generate.
    pub reserved: u64,
    /// Kept at least until then.
    pub kept_until: UnixMs,
}

/// A record of the platform's log: the newest of each key counts.
#[value]
pub struct Record {
    /// Its key.
    pub key: String,
    /// Its value; without one, the key is dropped.
    pub value: Option<Vec<u8>>,
}

/// Why a record can't be read.
#[value]
pub enum RecordFault {
    /// Its key is of no known kind.
    Key,
    /// Its value can't be decoded.
    Value(String),
}

impl fmt::Display for RecordFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordFault::Key => f.write_str("the key is of no known kind"),
            RecordFault::Value(fault) => write!(f, "the value can't be decoded: {fault}"),
        }
    }
}

impl std::error::Error for RecordFault {}

/// A record, decoded.
pub(super) enum Entry {
    Turn(TurnKey, Turn),
    Account(ProgramKey, Account),
}

pub(super) fn decode(key: &str, value: &[u8]) -> Result<Entry, RecordFault> {
    let kind = key.chars().next().ok_or(RecordFault::Key)?;
    let mut digest = [0; DIGEST_BYTES];
    let text = key.strip_prefix(kind).unwrap_or_default();
    hex::decode_to_slice(text, &mut digest).map_err(|_| RecordFault::Key)?;
    match kind {
        TURN => Ok(Entry::Turn(TurnKey(digest), read(value)?)),
        ACCOUNT => Ok(Entry::Account(ProgramKey(digest), read(value)?)),
        _ => Err(RecordFault::Key),
    }
}

fn read<'de, T: Deserialize<'de>>(value: &'de [u8]) -> Result<T, RecordFault> {
    postcard::from_bytes(value).map_err(|fault| RecordFault::Value(fault.to_string()))
}

pub(super) fn turn_record(key: TurnKey, turn: Option<&Turn>) -> Record {
    record(TURN, key.0, turn)
}

pub(super) fn account_record(key: ProgramKey, account: Option<&Account>) -> Record {
    record(ACCOUNT, key.0, account)
}

fn record<T: Serialize>(kind: char, digest: [u8; DIGEST_BYTES], value: Option<&T>) -> Record {
    let key = format!("{kind}{}", hex::encode(digest));
    let value = value.map(|value| {
        postcard::to_allocvec(value).expect("plain structs of numbers and bytes can be encoded")
    });
    Record { key, value }
}
