//! The entry for endpoints that accept requests themselves: it authenticates, admits and places
//! each request, and calls the endpoint directly, without a sidecar process.
//!
//! A program is a chain of dependent requests. Each program belongs to a shard, and each shard is
//! owned by one entry, which keeps the histories and token budgets of the shard's programs. A
//! request that needs one of them is a turn, and is served by that owner.
//!
//! Everything runs on one thread. Durable state and the ownership of shards are kept in a store
//! that the operator runs. [`Store`] is the interface to it; [`Protocol`] is the interface to the
//! headers and responses that callers and endpoints use.

mod admit;
mod ask_hub;
mod attach_message;
mod attempt;
mod buffered;
mod call_store;
mod chunk_channel;
mod collect_response;
mod count_here;
mod current_response;
mod dispatch;
mod endpoint_feed;
mod endpoint_list;
mod endpoint_polls;
mod error;
mod event_stream;
mod feed_message;
mod find_turn;
mod forward;
mod full_windows;
mod gossip;
mod handoff;
mod held_for_callers;
mod hub;
mod hub_feed;
mod hubs;
mod in_flight;
mod leaf;
mod leaf_feed;
mod load_admission;
mod load_reports;
mod membership;
mod message;
mod observe;
mod operator_feed;
mod owned_shard;
mod peers;
mod ports;
mod process;
mod rates;
mod reachability;
mod read_body;
mod reader_limits;
mod relay;
mod request_types;
mod reservation;
mod response_body;
mod role;
mod roster_feed;
mod serve;
mod serve_forwarded;
mod server;
mod service_state;
mod settings;
mod shard_table;
mod shutdown;
mod silent_entries;
mod state;
mod status;
mod stream_times;
mod surges;
mod suspects;
mod turn;
mod wait_until;
mod writer;

pub use error::GatewayError;
pub use ports::{
    Append, Assignment, Feed, Page, PeerRecord, Position, Protocol, RequestContext, Store,
    StoreError, StoreFuture,
};
pub use process::run;
pub use request_types::{Refusal, RequestHead, ResponseKind, RoutingDecision};
pub use response_body::{BodyTruncated, ResponseBody};
pub use settings::{Bounds, GatewaySettings};
pub use status::{GatewayStatus, LearnedStatus, STATUS_PATH, ServiceStatus};

#[cfg(test)]
mod tests;
