//! Parts shared by both roles of the daemon, entry and endpoint: health and metrics server,
//! heartbeats, shutdown and its bounds.

mod admin;
mod drain;
mod error;
mod heartbeat_sender;
mod shutdown;

pub use admin::Admin;
pub use drain::DrainBounds;
pub use error::DaemonError;
pub use heartbeat_sender::HeartbeatSender;
pub use shutdown::Shutdown;

#[cfg(test)]
mod tests;
