//! The entry: the role of the daemon that serves callers and owns shards of programs.

mod api;
mod callers;
mod calls_in_flight;
mod config;
mod core;
mod environment;
mod forward;
mod freshness;
mod pause_detector;
mod peers;
mod process;
mod rates;
mod responses;
mod state;
mod tasks;
mod turn_message;

pub use api::{ApiError, ApiErrorCode};
pub use config::CONFIG_STREAM;
pub use process::run;
pub use turn_message::TurnMessage;

#[cfg(test)]
mod tests;
