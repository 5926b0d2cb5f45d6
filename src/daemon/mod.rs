//! What both roles of the daemon share: health and metrics, heartbeats, shutdown.

mod admin;
mod error;
mod pulse;
mod shutdown;

pub use admin::Admin;
pub use error::DaemonError;
pub use pulse::Pulse;
pub use shutdown::Shutdown;
