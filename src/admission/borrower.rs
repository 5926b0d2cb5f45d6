use std::collections::HashMap;

use crate::admission::{BorrowRequest, Loan};
use crate::prelude::*;

/// What became of a call that asks to be let in.
#[value]
#[derive(Copy)]
pub enum AdmissionDecision {
    /// It is in.
    Admitted,
    /// The share is used up: ask the lender.
    NeedsLoan,
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
    /// Calls used in the last whole period of counting, and in the one under way.
    used_lately: u64,
    used_now: u64,
    counted_since: Option<TimeMs>,
    refused_until: TimeMs,
}

/// The shares that one entry has borrowed.
pub struct Borrower {
    instance: Instance,
    stock_from_calls: u64,
    shares: HashMap<WorkspaceId, Share>,
}

/// Calls used between two questions from which on more are borrowed than wait. Below it each call
/// asks: shares kept in stock at many entries are missing where the next call comes in.
pub const MIN_CALLS_TO_PREFETCH: u64 = 16;
/// Over what time the use of a share is counted.
const COUNT_MS: u64 = 100;
/// How long a stock is borrowed for.
const STOCK_MS: u64 = 1_000;
/// How long a share is borrowed for that waiting calls take at once. The lender has to count it
/// as unused for so long; an answer that comes later is worth nothing.
const CALL_MS: u64 = 60;
/// A question without an answer for so long was lost.
const ASK_AGAIN_MS: u64 = 400;

impl Borrower {
    /// A borrower without shares, which keeps a stock for workspaces that use `stock_from_calls`
    /// or more in a tenth of a second.
    pub fn new(instance: Instance, stock_from_calls: u64) -> Borrower {
        Borrower { instance, stock_from_calls, shares: HashMap::new() }
    }

    /// Lets a call in if a share allows it.
    pub fn admit(&mut self, now: TimeMs, workspace: &WorkspaceId) -> AdmissionDecision {
        let share = self.shares.entry(workspace.clone()).or_default();
        if share.expires <= now {
            share.calls = 0;
        }
        if share.calls > 0 {
            share.calls -= 1;
            share.used_now += 1;
            return AdmissionDecision::Admitted;
        }
        match share.refused_until > now {
            true => AdmissionDecision::Refused { wait_ms: share.refused_until.since(now) },
            false => AdmissionDecision::NeedsLoan,
        }
    }

    /// The question to send, unless one is under way: wanted is what was used since the last one
    /// and the `waiting` calls.
    pub fn next_request(
        &mut self,
        now: TimeMs,
        workspace: &WorkspaceId,
        waiting: u64,
    ) -> Option<BorrowRequest> {
        let (instance, stock_from) = (self.instance, self.stock_from_calls);
        let share = self.shares.entry(workspace.clone()).or_default();
        if share.asked.is_some_and(|at| now.since(at) < ASK_AGAIN_MS) {
            return None;
        }
        if share.expires <= now {
            share.calls = 0;
        }
        let lately_ms = share.counted_since.map_or(u64::MAX, |since| now.since(since));
        if lately_ms >= COUNT_MS {
            share.counted_since = Some(now);
            share.used_lately = std::mem::take(&mut share.used_now);
        }
        share.asked = Some(now);
        share.sequence += 1;
        let stock = if share.used_lately >= stock_from { share.used_lately.div_ceil(2) } else { 0 };
        let wanted = (stock + waiting).max(1);
        Some(BorrowRequest {
            workspace: workspace.clone(),
            borrower: instance,
            sequence: share.sequence,
            unused: share.calls,
            wanted,
            for_ms: if stock > 0 { STOCK_MS } else { CALL_MS },
        })
    }

    /// Takes the answer to a question. The time runs from the question, before the lender's own
    /// count began, so that a share is over here before the lender lends it again.
    pub fn record_loan(&mut self, now: TimeMs, request: &BorrowRequest, loan: Loan) {
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
            share.expires = share.expires.max(asked.plus(loan.for_ms));
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
    pub fn record_failed_request(&mut self, request: &BorrowRequest) {
        let share = self.shares.get_mut(&request.workspace);
        if let Some(share) = share.filter(|share| share.sequence == request.sequence) {
            share.asked = None;
        }
    }

    /// Whether a share is about to be used up, so that asking early spares the next call a wait.
    pub fn should_prefetch(&self, workspace: &WorkspaceId) -> bool {
        self.shares.get(workspace).is_some_and(|share| {
            share.used_lately >= self.stock_from_calls && share.calls <= share.used_lately / 4
        })
    }
}
