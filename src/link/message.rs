use crate::admission::{BorrowRequest, Loan};
use crate::prelude::*;
use crate::programs::AttemptReport;

/// A question or order of one process to another.
#[wire]
pub enum ControlRequest {
    /// What became of this attempt? Fences the owners before the asker.
    Ask {
        /// The attempt.
        attempt: AttemptId,
        /// The run that it went to.
        instance: Instance,
        /// The asker's epoch.
        epoch: Epoch,
    },
    /// Stop this attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Free what the engine holds for a program that has ended.
    Free {
        /// The program.
        program: ProgramId,
    },
    /// Lend a share of a workspace's rate.
    Borrow(BorrowRequest),
}

/// The answer.
#[wire]
pub enum ControlReply {
    /// What became of an attempt.
    Report(AttemptReport),
    /// Done.
    Done,
    /// A share of a workspace's rate.
    Lent(Loan),
    /// This process can't answer that.
    NotMine,
}

/// Reads a message; anything else gives nothing.
pub(super) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// Writes a message.
pub(super) fn encode<T: serde::Serialize>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(message).unwrap_or_default()
}
