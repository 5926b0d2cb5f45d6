//! The seams: the store that arbitrates, and the words that callers and endpoints use.

use std::fmt;
use std::net::SocketAddr;

use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, Response, request, response};
use hyper::body::Bytes;

use super::{Refusal, RequestHead, ResponseKind};
use crate::catalog::Instruction;
use crate::prelude::*;
use crate::replicas::EndpointChange;
use crate::turns::Record;

/// Why a call to the store has failed.
#[value]
pub enum StoreError {
    /// No answer: it may have been done, or may be done later.
    NoAnswer(String),
    /// Nothing was done.
    Refused(u16),
    /// A later epoch has been seen: this process owns the shard no longer.
    Fenced,
    /// Another call was expected next.
    OutOfSequence {
        /// The sequence number expected.
        expected: u64,
    },
    /// The records asked for are deleted.
    Expired,
    /// The answer can't be read.
    Unreadable(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::NoAnswer(fault) => write!(f, "no answer: {fault}"),
            StoreError::Refused(status) => write!(f, "refused with status {status}"),
            StoreError::Fenced => f.write_str("a later epoch has been seen"),
            StoreError::OutOfSequence { expected } => write!(f, "sequence {expected} is due"),
            StoreError::Expired => f.write_str("the records are deleted"),
            StoreError::Unreadable(fault) => write!(f, "unreadable answer: {fault}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A batch for one shard, appended whole or not at all.
#[value]
pub struct Append {
    /// The shard.
    pub shard: u32,
    /// The epoch of its owner.
    pub epoch: u64,
    /// Numbers the batches of an epoch. The same number again is the same batch.
    pub sequence: u64,
    /// The records; none only sets or confirms the epoch, and is not numbered.
    pub records: Vec<Record>,
}

/// A page of the newest record of each key of a shard.
#[value]
pub struct Page {
    /// Keys and values.
    pub items: Vec<(String, Vec<u8>)>,
    /// Where the next page starts, if there is one.
    pub next: Option<String>,
}

/// The shards dealt to a member.
#[value]
pub struct Assignment {
    /// Grows with each change of the deal.
    pub generation: u64,
    /// The member's shards.
    pub shards: Vec<u32>,
}

/// Where a feed is to be read on.
#[key]
pub struct Position(pub u64);

/// What is new in a feed.
#[value]
pub struct Feed<T> {
    /// The news, oldest first.
    pub items: Vec<T>,
    /// Whether the items are all there is, and not only what is new.
    pub is_snapshot: bool,
    /// Where to read on.
    pub next: Position,
}

/// How another entry is reached.
#[value]
pub struct PeerRecord {
    /// The name of its VM.
    pub name: Arc<str>,
    /// Where it takes messages and forwarded calls.
    pub address: SocketAddr,
    /// The region it is in, if it has said so.
    pub region: Option<Arc<str>>,
}

/// An answer of the store, some time later.
pub type StoreFuture<'a, T> = LocalBoxFuture<'a, Result<T, StoreError>>;

/// The operator's store: a log, groups that deal shards, the configuration, the endpoints' list.
pub trait Store {
    /// How many shards there are.
    fn shards(&self) -> u32;
    /// Appends a batch.
    fn append<'a>(&'a self, append: &'a Append) -> StoreFuture<'a, ()>;
    /// Reads the newest record of each key of a shard.
    fn newest_records(&self, shard: u32, after: Option<String>) -> StoreFuture<'_, Page>;
    /// Joins the group of owners or stays in it.
    fn join<'a>(&'a self, member: &'a str, generation: u64) -> StoreFuture<'a, Assignment>;
    /// Leaves the group, so that the member's shards are dealt anew at once.
    fn leave<'a>(&'a self, member: &'a str) -> StoreFuture<'a, ()>;
    /// Reads what the operator has written since `from`, waiting for something if there is nothing.
    fn instructions(
        &self,
        from: Option<Position>,
        wait_ms: u64,
    ) -> StoreFuture<'_, Feed<Instruction>>;
    /// Reads the changes of the endpoints' list since `from`.
    fn endpoints(&self, from: Option<Position>) -> StoreFuture<'_, Feed<EndpointChange>>;
    /// Tells the other entries how this one is reached.
    fn announce<'a>(&'a self, peer: &'a PeerRecord) -> StoreFuture<'a, ()>;
    /// All entries that have announced themselves, also those gone since.
    fn peers(&self) -> StoreFuture<'_, Vec<PeerRecord>>;
}

/// The words that callers and endpoints use. It decides nothing.
pub trait Protocol {
    /// Decodes a request's head; nothing if it can't be understood.
    fn parse_request(&self, head: &request::Parts) -> Option<RequestHead>;
    /// Takes out of a caller's headers what must not reach an endpoint.
    fn strip_caller_headers(&self, headers: &mut HeaderMap);
    /// Adds what tells an endpoint whom the request is meant for.
    fn set_endpoint_headers(&self, headers: &mut HeaderMap, to: &RequestContext<'_>);
    /// Judges an endpoint's answer to `request`.
    fn classify_reply(&self, head: &response::Parts, request: &str) -> ResponseKind;
    /// Words a refusal.
    fn refuse(&self, request: Option<&str>, refusal: Refusal) -> Response<Bytes>;
}

/// What an endpoint is told with a request.
#[value]
#[derive(Copy)]
pub struct RequestContext<'a> {
    /// The endpoint it is meant for; no other may run it.
    pub endpoint: &'a str,
    /// The workspace it belongs to.
    pub workspace: &'a str,
    /// What is left of its time.
    pub left_ms: u64,
    /// Its rank, if endpoints are told: zero is first.
    pub priority: Option<u8>,
    /// How long its memory should stay after its end.
    pub pin_ms: Option<u64>,
    /// The last event that the caller has of the answer; none: the answer begins.
    pub last_event: Option<&'a str>,
}
