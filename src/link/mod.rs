//! Control messages between the system's own processes, over ZeroMQ sockets.
//!
//! One supervised link serves every slice. A ZeroMQ dealer does not dial again after its peer was
//! killed, and a frozen peer can hold a sender; so the link replaces its socket, with back-off,
//! and bounds every wait.

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
