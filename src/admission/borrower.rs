use std::collections::HashMap;

use crate::admission::{BorrowRequest, Loan};
use crate::prelude::*;

/// What became of a call that asks to be let in.
#[value]
#[derive(Copy)]
pub enum Admission {
    /// It is in.
    Admitted,
    /// The share is used up: ask the lender.
    Ask,
    /// The lender had none: come back after this time.
    Refused {
        /// The time.
        wait_ms: u64,
    },
}

#[derive(Default)]
struct Share {
    calls: u64,
    expires: TimeMs,
    sequence: u64,
    asked: Option<TimeMs>,
    used_lately: u64,
    refused_until: TimeMs,
}

/// The shares that one entry has borrowed.
pub struct Borrower {
    instance: Instance,
    shares: HashMap<WorkspaceId, Share>,
}

/// A question without an answer for so long was lost.
const ASK_AGAIN_MS: u64 = 400;

impl Borrower {
    /// A borrower without shares.
    pub fn new(instance: Instance) -> Borrower {
        Borrower { instance, shares: HashMap::new() }
    }

    /// Lets a call in if a share allows it.
    pub fn admit(&mut self, now: TimeMs, workspace: &WorkspaceId) -> Admission {
        let share = self.shares.entry(workspace.clone()).or_default();
        if share.expires <= now {
            share.calls = 0;
        }
        if share.calls > 0 {
            share.calls -= 1;
            share.used_lately += 1;
            return Admission::Admitted;
        }
        match share.refused_until > now {
            true => Admission::Refused { wait_ms: share.refused_until.since(now) },
            false => Admission::Ask,
        }
    }

    /// The question to send, unless one is under way: wanted is what was used since the last one
    /// and the `waiting` calls.
    pub fn ask(
        &mut self,
        now: TimeMs,
        workspace: &WorkspaceId,
        waiting: u64,
    ) -> Option<BorrowRequest> {
        let instance = self.instance;
        let share = self.shares.entry(workspace.clone()).or_default();
        if share.asked.is_some_and(|at| now.since(at) < ASK_AGAIN_MS) {
            return None;
        }
        if share.expires <= now {
            share.calls = 0;
        }
        share.asked = Some(now);
        share.sequence += 1;
        let wanted = (share.used_lately + waiting).max(1);
        share.used_lately = 0;
        Some(BorrowRequest {
            workspace: workspace.clone(),
            borrower: instance,
            sequence: share.sequence,
            unused: share.calls,
            wanted,
        })
    }

    /// Takes the answer to a question. The time runs from the question, before the lender's own
    /// count began, so that a share is over here before the lender lends it again.
    pub fn lent(&mut self, now: TimeMs, request: &BorrowRequest, loan: Loan) {
        let Some(share) = self.shares.get_mut(&request.workspace) else {
            return;
        };
        if share.sequence != request.sequence {
            return;
        }
        let Some(asked) = share.asked.take() else {
            return;
        };
        if loan.for_ms > 0 {
            share.expires = asked.plus(loan.for_ms);
            share.calls += loan.calls;
        }
        if loan.calls == 0 {
            share.refused_until = now.plus(loan.wait_ms);
        }
        if share.expires <= now {
            share.calls = 0;
        }
    }

    /// Takes note that a question got no answer.
    pub fn unanswered(&mut self, request: &BorrowRequest) {
        if let Some(share) = self.shares.get_mut(&request.workspace) {
            if share.sequence == request.sequence {
                share.asked = None;
            }
        }
    }

    /// Whether a share is about to be used up, so that asking early spares the next call a wait.
    pub fn is_low(&self, workspace: &WorkspaceId) -> bool {
        self.shares.get(workspace).is_some_and(|share| share.calls <= share.used_lately / 2)
    }
}
