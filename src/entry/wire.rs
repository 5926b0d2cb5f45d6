use crate::prelude::*;
use crate::programs::{ProgramLimits, TurnRequest, Work};

/// A call on its way from the entry that admitted it to the one that owns its program.
#[wire]
pub struct TurnMessage {
    /// The program.
    pub program: ProgramId,
    /// Its place, if the caller numbers its calls.
    pub turn: Option<TurnNo>,
    /// The caller's key for repeats.
    pub idempotency_key: Option<Arc<str>>,
    /// Digest of the call.
    pub digest: Digest,
    /// What to run.
    pub work: Work,
    /// Time left until the caller stops waiting. Clocks of two processes are never compared.
    pub deadline_in_ms: u64,
    /// What the program may use.
    pub limits: ProgramLimits,
    /// The workspace's part of what there is, against the others'.
    pub weight: u32,
}

impl TurnMessage {
    /// The call as the owner sees it at `now`.
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

    /// The call as it is sent at `now`.
    pub fn of_request(request: &TurnRequest, now: TimeMs) -> TurnMessage {
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
