//! Control messages between the processes of the cluster, over ZeroMQ sockets.
//!
//! All modules share one link to each process. A ZeroMQ dealer socket does not reconnect after its
//! peer was killed, and a frozen peer can block a sender. The link therefore replaces its socket,
//! with backoff, and limits the duration of every wait.

mod dealer;
mod message;
mod pool;
mod router;

pub use dealer::{Link, LinkError};
pub use message::{ControlReply, ControlRequest};
pub use pool::LinkPool;
pub use router::LinkServer;

#[cfg(test)]
mod tests;
