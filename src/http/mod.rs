//! HTTP client, server and body types shared by several modules, on top of `hyper`.

mod body;
mod caller;
mod caller_stream;
mod client;
mod collect_body;
mod connections;
mod framing;
mod line_reader;
mod pending_call;
mod request_body;
mod server;

pub use body::{
    Body, BodyError, OWN_PROCESSES, empty, full, json, json_line, read_body, read_body_until,
    streamed,
};
pub use caller::{CallerContext, Eviction, ServedConnection, ServerMemory};
pub use caller_stream::CallerStream;
pub use client::{CallError, Client};
pub use collect_body::{BodyLimits, collect_body};
pub use connections::{
    ConnectError, Connection, ConnectionPool, limit_receive_buffer, set_socket_options,
};
pub use framing::is_body_decoded;
pub use line_reader::LineReader;
pub use pending_call::PendingCall;
pub use request_body::{BodyGate, BodyGateClosed, RequestBody};
pub use server::{KeptUntilSent, RunningServer, ServerLimits, serve};

#[cfg(test)]
mod tests;
