use crate::prelude::*;
use crate::programs::{ProgramLimits, TurnRequest, Work};

/// A turn as the entry that admitted it forwards it to the entry that owns its program.
#[wire]
pub struct TurnMessage {
    /// The program.
    pub program: ProgramId,
    /// The turn's number, if the caller numbers its calls.
    pub turn: Option<TurnNo>,
    /// The caller's idempotency key, equal on every repeat of one call.
    pub idempotency_key: Option<Arc<str>>,
    /// Digest of the work, which tells a repeat from another call with the same number.
    pub digest: Digest,
    /// What to run.
    pub work: Work,
    /// Time left until the caller stops waiting. It is relative because clocks of two processes
    /// are never compared.
    pub deadline_in_ms: u64,
    /// Token budget and turn limit of the program.
    pub limits: ProgramLimits,
    /// The workspace's weight when capacity is shared between workspaces.
    pub weight: u32,
}

impl TurnMessage {
    /// The request as the owner runs it. `now` is the time on the owner's clock, by which the
    /// request's deadline is set.
    pub fn into_request(self, now: TimeMs) -> TurnRequest {
        TurnRequest {
            program: self.program,
            turn: self.turn,
            idempotency_key: self.idempotency_key,
            digest: self.digest,
            work: self.work,
            deadline: now.plus(self.deadline_in_ms),
            limits: self.limits,
            weight: self.weight,
        }
    }

    /// The message for a request that is sent at `now`.
    pub fn from_request(request: &TurnRequest, now: TimeMs) -> TurnMessage {
        TurnMessage {
            program: request.program.clone(),
            turn: request.turn,
            idempotency_key: request.idempotency_key.clone(),
            digest: request.digest,
            work: request.work.clone(),
            deadline_in_ms: request.deadline.since(now),
            limits: request.limits,
            weight: request.weight,
        }
    }
}
