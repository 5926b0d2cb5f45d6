//! Identifiers: checked names and typed numbers.

mod names;
mod numbers;

pub use names::{InvalidName, ModelName, ProgramId, VmName, WorkspaceId};
pub use numbers::{
    AttemptId, Crash, Digest, EndpointRef, Epoch, Instance, Offset, ShardId, TurnNo,
};

#[cfg(test)]
mod tests;
