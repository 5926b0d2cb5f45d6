//! Parts shared by both roles of the daemon, entry and endpoint: health and metrics server,
//! heartbeats and shutdown.

mod admin;
mod error;
mod heartbeat_sender;
mod shutdown;

pub use admin::Admin;
pub use error::DaemonError;
pub use heartbeat_sender::HeartbeatSender;
pub use shutdown::Shutdown;
