use std::collections::HashMap;

use crate::prelude::*;
use crate::quota::Claim;

/// For how long an answer that there is no room stands for further requests. A flood of refusals
/// would otherwise be asked of one hub; a refund in the meantime is found little later.
const MAX_REUSE_MS: u64 = 100;

/// Until when an answer stands, and when there may be room.
#[derive(Debug, Clone, Copy)]
struct NoRoom {
    reused_until: TimeMs,
    room_at: TimeMs,
}

/// The workspaces for which the hub that counts has just said that there is no room (negative
/// caching).
#[derive(Debug, Default)]
pub(super) struct FullWindows {
    answers: HashMap<(u64, &'static str), NoRoom>,
}

impl FullWindows {
    /// Records that there is no room for a kind of request of a workspace.
    pub(super) fn record(
        &mut self,
        now: TimeMs,
        workspace: u64,
        claim: Claim,
        retry_after_ms: u64,
    ) {
        let reused_until = now.plus(retry_after_ms.min(MAX_REUSE_MS));
        let no_room = NoRoom { reused_until, room_at: now.plus(retry_after_ms) };
        self.answers.insert((workspace, claim.name()), no_room);
    }

    /// Time until there may be room, if an answer still stands.
    pub(super) fn retry_after_ms(&self, now: TimeMs, workspace: u64, claim: Claim) -> Option<u64> {
        let no_room = self.answers.get(&(workspace, claim.name()))?;
        (now < no_room.reused_until).then(|| no_room.room_at.since(now))
    }
}
