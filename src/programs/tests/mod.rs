mod callers;
mod fake_log;
mod properties;
mod replay;
mod shard_state;
mod simulation;

use crate::prelude::*;
use crate::programs::{Message, ProgramLimits, TurnRequest, Work};

pub(crate) const LIMITS: ProgramLimits = ProgramLimits { budget_tokens: 14, max_turns: 20 };
pub(crate) const MAX_TOKENS: u32 = 4;

pub(crate) fn vm(name: &str) -> VmName {
    VmName::parse(name).unwrap()
}

pub(crate) fn program(name: &str) -> ProgramId {
    ProgramId::parse(WorkspaceId::parse("ice").unwrap(), name).unwrap()
}

pub(crate) fn request(program: &ProgramId, turn: u32, work: Work, deadline: u64) -> TurnRequest {
    let work_json = serde_json::to_vec(&work).unwrap();
    TurnRequest {
        program: program.clone(),
        turn: Some(TurnNo(turn)),
        idempotency_key: None,
        digest: Digest::of(&[&work_json]),
        work,
        deadline: TimeMs(deadline),
        limits: LIMITS,
        weight: 1,
    }
}

pub(crate) fn model(text: &str) -> Work {
    Work::Model {
        model: ModelName::parse("small").unwrap(),
        messages: vec![Message::text("user", text)],
        max_tokens: MAX_TOKENS,
        parameters: serde_json::Map::new(),
    }
}

pub(crate) fn service(body: &str, idempotent: bool) -> Work {
    Work::Service {
        service: ModelName::parse("tools").unwrap(),
        action: "pay".into(),
        body: body.into(),
        idempotent,
    }
}
