use std::collections::HashMap;

use crate::admission::{BorrowRequest, Loan};
use crate::prelude::*;

/// The result of asking to admit a call.
#[value]
#[derive(Copy)]
pub enum AdmissionDecision {
    /// The call is admitted.
    Admitted,
    /// No borrowed call is left; a loan has to be requested from the lender.
    NeedsLoan,
    /// The lender recently had no calls to lend.
    Refused {
        /// Time after which to retry.
        wait_ms: u64,
    },
}

/// The borrowed calls that this entry holds for one workspace, and the request in flight for more.
#[derive(Default)]
struct Share {
    unused_calls: u64,
    expires_at: TimeMs,
    sequence: u64,
    requested_at: Option<TimeMs>,
    /// Calls used in the last complete counting period, and in the current one.
    used_last_period: u64,
    used_this_period: u64,
    period_started_at: Option<TimeMs>,
    refused_until: TimeMs,
}

/// The calls that one entry has borrowed, by workspace.
pub struct Borrower {
    instance: Instance,
    min_calls_to_prefetch: u64,
    shares: HashMap<WorkspaceId, Share>,
}

/// Calls used per counting period from which on an entry borrows more calls than are waiting.
///
/// Below this rate of use each call requests a loan of its own: unused calls that many entries hold
/// in advance are not available at the entry that receives the next call.
pub const MIN_CALLS_TO_PREFETCH: u64 = 16;
/// Minimum duration of a counting period; the period ends with the first loan request after this
/// time.
const MIN_COUNTING_PERIOD_MS: u64 = 100;
/// Duration of a loan that includes calls borrowed in advance.
const PREFETCH_LOAN_MS: u64 = 1_000;
/// Duration of a loan that is used at once by the calls that wait for it.
///
/// It is short because the lender has to count the calls against the burst until the loan expires,
/// even if they are used at once. A reply that arrives after this time is useless.
const ON_DEMAND_LOAN_MS: u64 = 60;
/// Time without a reply after which a request counts as lost and another one may be sent.
const REQUEST_TIMEOUT_MS: u64 = 400;

impl Borrower {
    /// Creates a borrower that holds no calls. It borrows in advance for workspaces that use
    /// `min_calls_to_prefetch` calls or more in a counting period.
    pub fn new(instance: Instance, min_calls_to_prefetch: u64) -> Borrower {
        Borrower { instance, min_calls_to_prefetch, shares: HashMap::new() }
    }

    /// Admits a call if a borrowed call is left.
    pub fn admit(&mut self, now: TimeMs, workspace: &WorkspaceId) -> AdmissionDecision {
        let share = self.shares.entry(workspace.clone()).or_default();
        if share.expires_at <= now {
            share.unused_calls = 0;
        }
        if share.unused_calls > 0 {
            share.unused_calls -= 1;
            share.used_this_period += 1;
            return AdmissionDecision::Admitted;
        }
        match share.refused_until > now {
            true => AdmissionDecision::Refused { wait_ms: share.refused_until.since(now) },
            false => AdmissionDecision::NeedsLoan,
        }
    }

    /// Returns the loan request to send next, or `None` while one is in flight that has not timed
    /// out.
    ///
    /// It asks for the `waiting` calls and, for a workspace in steady use, for half of the calls
    /// used in the last counting period.
    pub fn next_request(
        &mut self,
        now: TimeMs,
        workspace: &WorkspaceId,
        waiting: u64,
    ) -> Option<BorrowRequest> {
        let (instance, min_calls) = (self.instance, self.min_calls_to_prefetch);
        let share = self.shares.entry(workspace.clone()).or_default();
        if share.requested_at.is_some_and(|at| now.since(at) < REQUEST_TIMEOUT_MS) {
            return None;
        }
        if share.expires_at <= now {
            share.unused_calls = 0;
        }
        let elapsed_ms = share.period_started_at.map_or(u64::MAX, |since| now.since(since));
        if elapsed_ms >= MIN_COUNTING_PERIOD_MS {
            share.period_started_at = Some(now);
            share.used_last_period = std::mem::take(&mut share.used_this_period);
        }
        share.requested_at = Some(now);
        share.sequence += 1;
        let prefetched = if share.used_last_period >= min_calls {
            share.used_last_period.div_ceil(2)
        } else {
            0
        };
        let wanted = (prefetched + waiting).max(1);
        Some(BorrowRequest {
            workspace: workspace.clone(),
            borrower: instance,
            sequence: share.sequence,
            unused: share.unused_calls,
            wanted,
            for_ms: if prefetched > 0 { PREFETCH_LOAN_MS } else { ON_DEMAND_LOAN_MS },
        })
    }

    /// Applies the lender's reply to a request.
    ///
    /// The loan's time is counted from the request, which is before the lender starts its own
    /// count, so that the share expires here before the lender lends the same calls again.
    pub fn record_loan(&mut self, now: TimeMs, request: &BorrowRequest, loan: Loan) {
        let Some(share) = self.shares.get_mut(&request.workspace) else {
            return;
        };
        if share.sequence != request.sequence {
            return;
        }
        let Some(requested_at) = share.requested_at.take() else {
            return;
        };
        if loan.for_ms > 0 {
            share.expires_at = share.expires_at.max(requested_at.plus(loan.for_ms));
            share.unused_calls += loan.calls;
        }
        if loan.calls == 0 {
            share.refused_until = now.plus(loan.wait_ms);
        }
        if share.expires_at <= now {
            share.unused_calls = 0;
        }
    }

    /// Records that a request got no loan, so that the next one may be sent.
    pub fn record_failed_request(&mut self, request: &BorrowRequest) {
        let share = self.shares.get_mut(&request.workspace);
        if let Some(share) = share.filter(|share| share.sequence == request.sequence) {
            share.requested_at = None;
        }
    }

    /// Whether the share of a workspace in steady use is nearly used up, so that a request sent now
    /// saves the next call a wait.
    pub fn should_prefetch(&self, workspace: &WorkspaceId) -> bool {
        self.shares.get(workspace).is_some_and(|share| {
            share.used_last_period >= self.min_calls_to_prefetch
                && share.unused_calls <= share.used_last_period / 4
        })
    }
}
