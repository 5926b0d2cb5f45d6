//! HTTP client, server and body types shared by several modules, on top of `hyper`.

mod body;
mod client;
mod connections;
mod framing;
mod line_reader;
mod pending_call;
mod request_body;
mod server;

pub use body::{
    Body, BodyError, empty, full, json, json_line, read_body, read_body_until, streamed,
};
pub use client::{CallError, Client};
pub use connections::{ConnectError, Connection, ConnectionPool, set_socket_options};
pub use framing::is_body_decoded;
pub use line_reader::LineReader;
pub use pending_call::PendingCall;
pub use request_body::{BodyGate, BodyGateClosed, RequestBody};
pub use server::{KeptUntilSent, RunningServer, ServerLimits, serve};

#[cfg(test)]
mod tests;
