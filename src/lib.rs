//! trefoilproxy schedules agent programs: chains of dependent model and tool calls.
//!
//! Decisions are made by state machines without I/O, in one module per responsibility. The tasks of
//! the daemon pass events and clock values to them and carry out the actions that they return.

pub mod admission;
pub mod catalog;
pub mod contracts;
pub mod ctl;
pub mod daemon;
pub mod endpoint;
pub mod entry;
pub mod explain;
pub mod gateway;
pub mod http;
pub mod ids;
pub mod link;
pub mod load;
pub mod logstore;
pub mod mechanisms;
pub mod membership;
pub mod prelude;
pub mod programs;
pub mod quota;
pub mod replicas;
pub mod routing;
pub mod settings;
pub mod telemetry;
pub mod time;
pub mod turns;
