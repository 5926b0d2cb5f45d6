//! Decisions under load for services whose callers compete for capacity: whether a program may
//! start, in which order refused programs return, and how fast each endpoint is. Also the limits on
//! what is buffered for slow readers.
//!
//! None of them has a network or a clock of its own. The gateway asks them and acts on the answers;
//! but for the limits on slow readers, they apply only to routes under load control, see
//! [`crate::catalog::Route::is_load_controlled`].

mod capacity;
mod held_bytes;
mod rank;

pub use capacity::ServiceLoad;
pub use held_bytes::{
    Disconnect, HeldBytes, HeldResponse, Hold, HoldError, LimitReached, RequestHold,
};
pub use rank::Rank;

#[cfg(test)]
mod tests;
