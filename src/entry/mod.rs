//! The entry: answers callers, and owns shards of programs.

mod answers;
mod api;
mod callers;
mod config;
mod core;
mod forward;
mod freshness;
mod peers;
mod process;
mod rates;
mod standstill;
mod state;
mod surroundings;
mod tasks;
mod wire;

pub use api::{ApiError, ApiErrorCode};
pub use config::CONFIG_STREAM;
pub use process::run;
pub use wire::TurnMessage;

#[cfg(test)]
mod tests;
