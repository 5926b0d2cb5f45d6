//! The entry for endpoints that take requests themselves: it checks, admits and places each request
//! and calls the endpoint without a process beside it.
//!
//! Everything runs on one thread. What must last, and who owns which shard of the programs, is
//! agreed in a store that the operator runs; [`Store`] and [`Protocol`] are its seams.

mod admit;
mod answer;
mod attempt;
mod bequest;
mod bounded;
mod call;
mod dispatch;
mod endpoint_feed;
mod event_stream;
mod failure;
mod find;
mod forward;
mod gossip;
mod hold;
mod message;
mod observe;
mod operator_feed;
mod owned_shard;
mod peers;
mod plain;
mod ports;
mod process;
mod rates;
mod reach;
mod read_whole;
mod relay;
mod reservation;
mod serve;
mod server;
mod settings;
mod shard_table;
mod state;
mod suspects;
mod tenure;
mod turn;
mod writer;

pub use answer::{AnswerBody, Broken};
pub use call::{Call, Order, Refusal, Reply};
pub use failure::GatewayError;
pub use ports::{
    Addressed, Append, Deal, Feed, Later, Page, PeerRecord, Position, Protocol, Store, StoreError,
};
pub use process::run;
pub use settings::{Bounds, GatewaySettings};

#[cfg(test)]
mod tests;
