//! The interfaces that a deployment implements: the store that the entries share, and the protocol
//! that callers and endpoints speak.

use std::fmt;
use std::net::SocketAddr;

use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, Request, Response, request, response};
use hyper::body::Bytes;

use super::{Refusal, RequestHead, ResponseKind};
use crate::catalog::Instruction;
use crate::load::EndpointReport;
use crate::prelude::*;
use crate::replicas::EndpointChange;
use crate::turns::Record;

/// Why a call to the store failed.
#[value]
pub enum StoreError {
    /// No answer: the call may have taken effect, or may take effect later.
    NoAnswer(String),
    /// Rejected with this HTTP status; the call had no effect.
    Refused(u16),
    /// The store has seen a later epoch: this process no longer owns the shard.
    Fenced,
    /// The batch does not carry the next sequence number of its epoch.
    OutOfSequence {
        /// The sequence number that the store accepts next.
        expected: u64,
    },
    /// The requested records have been deleted.
    Expired,
    /// The request can't be built, or the answer can't be decoded.
    Unreadable(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::NoAnswer(fault) => write!(f, "no answer from the store: {fault}"),
            StoreError::Refused(status) => write!(f, "store refused the call with status {status}"),
            StoreError::Fenced => {
                f.write_str("fenced: the store has seen a later epoch of the shard")
            }
            StoreError::OutOfSequence { expected } => {
                write!(f, "batch out of sequence: the store expects number {expected}")
            }
            StoreError::Expired => f.write_str("the requested records have been deleted"),
            StoreError::Unreadable(fault) => {
                write!(f, "building a request to the store or decoding its answer failed: {fault}")
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// A batch of records for one shard, appended atomically.
#[value]
pub struct Append {
    /// The shard that the records belong to.
    pub shard: u32,
    /// The epoch under which its owner writes.
    pub epoch: u64,
    /// Numbers the batches of an epoch. A batch with a number already seen is taken for a repeat.
    pub sequence: u64,
    /// The records. An empty batch only sets or confirms the epoch, and does not consume a number.
    pub records: Vec<Record>,
}

/// One page of the newest records of a shard, one per key.
#[value]
pub struct Page {
    /// Keys and their values.
    pub items: Vec<(String, Vec<u8>)>,
    /// The key after which the next page starts; none on the last page.
    pub next: Option<String>,
}

/// The shards assigned to a member of the group of owners.
#[value]
pub struct Assignment {
    /// Counts the changes of the group; grows with each new assignment.
    pub generation: u64,
    /// The shards that the member owns.
    pub shards: Vec<u32>,
}

/// The position in a feed from which to read on.
#[key]
pub struct Position(pub u64);

/// The changes read from a feed. A read is limited in size, so there may be more.
#[value]
pub struct Feed<T> {
    /// The changes, oldest first.
    pub items: Vec<T>,
    /// Whether the items are a full snapshot rather than only the changes since the last read.
    pub is_snapshot: bool,
    /// Where the next read starts.
    pub next: Position,
    /// Where the feed ended when it was read.
    pub end: Position,
}

impl<T> Feed<T> {
    /// All that there is. Later changes are read from `next`, which was the end when the read began.
    pub fn snapshot(items: Vec<T>, next: Position) -> Feed<T> {
        Feed { items, is_snapshot: true, next, end: next }
    }

    /// Whether all that had been written when the read began is known with it. Otherwise what is
    /// known may be outdated, however recent the read.
    pub fn reaches_end(&self) -> bool {
        self.next >= self.end
    }
}

/// How to reach another entry, and which part it plays.
#[value]
pub struct PeerRecord {
    /// The name of its VM.
    pub name: Arc<str>,
    /// The address on which it receives messages (UDP) and forwarded requests (TCP).
    pub address: SocketAddr,
    /// Its region, if it has announced one.
    pub region: Option<Arc<str>>,
    /// Its failure domain, if it has announced one.
    pub domain: Option<Arc<str>>,
    /// The CPU time that its VM gets, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Whether it exchanges messages with all others that do.
    pub is_hub: bool,
    /// The workspaces, by the hash of their names, of which it admits a surge.
    pub surges: Vec<u64>,
    /// Counts the process instances that announced the entry; zero before its first announcement.
    pub epoch: u64,
}

/// The pending result of a call to the store.
pub type StoreFuture<'a, T> = LocalBoxFuture<'a, Result<T, StoreError>>;

/// The operator's store: an append-only log, the group that assigns shards to entries, the
/// configuration, and the list of endpoints.
pub trait Store {
    /// The number of shards.
    fn shards(&self) -> u32;
    /// Appends a batch to its shard.
    fn append<'a>(&'a self, append: &'a Append) -> StoreFuture<'a, ()>;
    /// Reads a page of the newest records of a shard, one per key, starting behind the key `after`.
    fn newest_records(&self, shard: u32, after: Option<String>) -> StoreFuture<'_, Page>;
    /// Joins the group of owners, or renews the membership. `generation` is the latest one that the
    /// member has applied.
    fn join<'a>(&'a self, member: &'a str, generation: u64) -> StoreFuture<'a, Assignment>;
    /// Leaves the group, so that the member's shards are reassigned at once.
    fn leave<'a>(&'a self, member: &'a str) -> StoreFuture<'a, ()>;
    /// Reads the operator's instructions since `from`. If there are none, waits up to `wait_ms` for
    /// one.
    fn instructions(
        &self,
        from: Option<Position>,
        wait_ms: u64,
    ) -> StoreFuture<'_, Feed<Instruction>>;
    /// Reads the changes of the list of endpoints since `from`.
    fn endpoints(&self, from: Option<Position>) -> StoreFuture<'_, Feed<EndpointChange>>;
    /// Publishes how the other entries can reach this one. The announcements of an epoch are numbered
    /// without gaps. One with a number already seen is taken for a repeat, and one of an earlier epoch
    /// is rejected, also if the store executes the call late.
    fn announce<'a>(&'a self, peer: &'a PeerRecord, sequence: u64) -> StoreFuture<'a, ()>;
    /// Reads the announcements of entries since `from`; from the start, the last one of each entry
    /// that was ever announced, including those that no longer run.
    fn peers(&self, from: Option<Position>) -> StoreFuture<'_, Feed<PeerRecord>>;
}

/// Translates between the gateway and the HTTP dialect of callers and endpoints. It makes no
/// decisions.
pub trait Protocol {
    /// Decodes the head of a request; `None` if it is not valid.
    fn parse_request(&self, head: &request::Parts) -> Option<RequestHead>;
    /// Removes the caller's headers that must not reach an endpoint.
    fn strip_caller_headers(&self, headers: &mut HeaderMap);
    /// Adds the headers that an endpoint needs to check and run a request.
    fn set_endpoint_headers(&self, headers: &mut HeaderMap, to: &RequestContext<'_>);
    /// Classifies an endpoint's answer to `request`.
    fn classify_reply(&self, head: &response::Parts, request: &str) -> ResponseKind;
    /// Builds the response for a refusal.
    fn refuse(&self, request: Option<&str>, refusal: Refusal) -> Response<Bytes>;
    /// Builds the request that asks an endpoint for a report of its load.
    fn report_request(&self, endpoint: &str, address: SocketAddr) -> Request<()>;
    /// Decodes the body of an endpoint's report; `None` if it is something else.
    fn parse_report(&self, body: &[u8]) -> Option<EndpointReport>;
}

/// What the headers of a request tell the endpoint.
#[value]
#[derive(Copy)]
pub struct RequestContext<'a> {
    /// The id of the endpoint that the request is meant for; no other may run it.
    pub endpoint: &'a str,
    /// The workspace that the request belongs to.
    pub workspace: &'a str,
    /// Milliseconds until the request's deadline.
    pub left_ms: u64,
    /// The priority, if the endpoint is told one; zero is the highest.
    pub priority: Option<u8>,
    /// How long the endpoint should keep the request's KV cache after its end, if at all.
    pub pin_ms: Option<u64>,
    /// The id of the last event of the answer that the caller has; `None` at the start of an
    /// answer.
    pub last_event: Option<&'a str>,
}
