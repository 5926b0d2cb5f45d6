//! HTTP plumbing that several slices share, on top of `hyper`.

mod body;
mod client;
mod connections;
mod line_reader;
mod outgoing;
mod server;

pub use body::{Body, BodyFault, empty, json, lines, read_body, streamed, whole};
pub use client::{CallError, Client};
pub use connections::{ConnectFault, Connection, Connections, tune};
pub use line_reader::LineReader;
pub use outgoing::{Gate, HeldBack, Outgoing};
pub use server::{ServerLimits, Serving, serve};
