//! The types and attributes that most modules use.

pub use std::sync::Arc;

pub use trefoil_derive::{key, name, value, wire, wire_key};

pub use crate::ids::{
    AttemptId, Crash, Digest, EndpointRef, Epoch, Instance, ModelName, Offset, ProgramId, ShardId,
    TurnNo, VmName, WorkspaceId,
};
pub use crate::time::{TimeMs, UnixMs};
