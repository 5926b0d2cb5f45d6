use crate::admission::{BorrowRequest, Loan};
use crate::prelude::*;
use crate::programs::AttemptReport;

/// A request from one process to another.
#[wire]
pub enum ControlRequest {
    /// Asks for the state of an attempt. From then on the receiver rejects attempts from owners of
    /// the shard with an earlier epoch.
    #[serde(rename = "ask")]
    Query {
        /// The attempt.
        attempt: AttemptId,
        /// The process instance that the attempt was sent to.
        instance: Instance,
        /// The epoch of the shard owner that asks.
        epoch: Epoch,
    },
    /// Cancels an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Frees the engine's cache of a program that has ended.
    Free {
        /// The program.
        program: ProgramId,
    },
    /// Asks for a loan from a workspace's rate limit.
    Borrow(BorrowRequest),
}

/// The reply to a [`ControlRequest`].
#[wire]
pub enum ControlReply {
    /// The state of an attempt.
    Report(AttemptReport),
    /// The request was carried out.
    Done,
    /// A loan from a workspace's rate limit.
    Lent(Loan),
    /// This process cannot serve the request.
    Declined,
}

/// Decodes a message from the postcard format. Returns `None` for invalid input.
pub(super) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// Encodes a message in the postcard format.
pub(super) fn encode<T: serde::Serialize>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(message).unwrap_or_default()
}
