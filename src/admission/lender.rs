use std::collections::HashMap;

use crate::admission::TokenBucket;
use crate::prelude::*;

/// Durations that the lender and the borrowers agree on.
#[value]
#[derive(Copy)]
pub struct LendingTimes {
    /// Longest time that a loan lasts on its borrower's clock.
    pub max_loan_ms: u64,
    /// How long a lender may lend after its ownership of the shard was last confirmed.
    pub confirmation_valid_ms: u64,
    /// How far the clocks of two VMs may drift apart over such a duration, in thousandths of it.
    pub drift_per_mille: u64,
}

impl LendingTimes {
    /// How long a loan of `loan_ms` on the borrower's clock may last on the lender's clock.
    pub fn lender_loan_ms(&self, loan_ms: u64) -> u64 {
        self.with_drift(loan_ms)
    }

    /// How long a new lender waits before it lends. The previous lender may have had its ownership
    /// confirmed just before the claim and lends until that confirmation expires. Its last loan may
    /// last for `max_loan_ms` after that.
    pub fn quarantine_ms(&self) -> u64 {
        self.with_drift(self.confirmation_valid_ms + self.max_loan_ms)
    }

    fn with_drift(&self, ms: u64) -> u64 {
        ms + (ms * self.drift_per_mille).div_ceil(1_000) + 1
    }
}

impl Default for LendingTimes {
    fn default() -> LendingTimes {
        LendingTimes { max_loan_ms: 1_000, confirmation_valid_ms: 1_000, drift_per_mille: 10 }
    }
}

/// A borrower's request for a loan.
#[wire]
pub struct BorrowRequest {
    /// The workspace whose rate is borrowed.
    pub workspace: WorkspaceId,
    /// The borrower's process instance. After a restart the same VM is another borrower.
    pub borrower: Instance,
    /// Numbers the borrower's requests, so that a delayed one can't override a newer one.
    pub sequence: u64,
    /// Calls that the borrower still holds unused.
    pub unused: u64,
    /// Calls to borrow in addition.
    pub wanted: u64,
    /// Requested duration of the loan.
    pub for_ms: u64,
}

/// The lender's reply.
#[wire]
#[derive(Copy)]
pub struct Loan {
    /// Calls that the borrower may admit in addition to those that it holds.
    pub calls: u64,
    /// How long these and the calls already held may be used, counted from the request.
    pub for_ms: u64,
    /// Time after which to send another request, if no call could be lent.
    pub wait_ms: u64,
}

struct ActiveLoan {
    calls: u64,
    sequence: u64,
    expires_at: TimeMs,
}

struct WorkspaceState {
    bucket: TokenBucket,
    rate_per_s: u64,
    burst: u64,
    loans: HashMap<Instance, ActiveLoan>,
}

/// Lends calls from the token buckets of the workspaces of one shard.
///
/// Calls that are lent and may still be unused count against the burst. Otherwise a borrower could
/// hold a whole burst while the bucket refills, and both could be used at the same moment.
pub struct Lender {
    times: LendingTimes,
    lends_from: TimeMs,
    workspaces: HashMap<WorkspaceId, WorkspaceState>,
    starts_full: bool,
}

impl Lender {
    /// Creates a lender whose claim of the shard was read from the log at `claimed`. It starts to
    /// lend, with empty buckets, when every loan of the previous lender has expired.
    pub fn new(times: LendingTimes, claimed: TimeMs) -> Lender {
        let lends_from = claimed.plus(times.quarantine_ms());
        Lender { times, lends_from, workspaces: HashMap::new(), starts_full: false }
    }

    /// Creates the first lender of a shard. No calls can have been lent or used before, so it lends
    /// at once and starts with full buckets.
    pub fn first(times: LendingTimes, claimed: TimeMs) -> Lender {
        Lender { times, lends_from: claimed, workspaces: HashMap::new(), starts_full: true }
    }

    /// Creates a lender whose predecessor stopped lending before it released the shard: it has to
    /// wait only until the predecessor's loans have expired.
    pub fn after_release(times: LendingTimes, claimed: TimeMs) -> Lender {
        Lender {
            lends_from: claimed.plus(times.lender_loan_ms(times.max_loan_ms)),
            ..Lender::new(times, claimed)
        }
    }

    /// Answers a request for a loan.
    ///
    /// `confirmed` is the time of the lender's last query of the log that confirmed its ownership
    /// of the shard; `(rate_per_s, burst)` are the limits in the workspace's contract.
    pub fn lend(
        &mut self,
        now: TimeMs,
        confirmed: TimeMs,
        (rate_per_s, burst): (u64, u64),
        request: &BorrowRequest,
    ) -> Loan {
        if now < self.lends_from {
            return refused_loan(self.lends_from.since(now));
        }
        if now.since(confirmed) >= self.times.confirmation_valid_ms {
            return refused_loan(self.times.confirmation_valid_ms);
        }
        let (lends_from, starts_full) = (self.lends_from, self.starts_full);
        let state = self.workspaces.entry(request.workspace.clone()).or_insert_with(|| {
            let bucket = match starts_full {
                true => TokenBucket::full(rate_per_s, burst, lends_from),
                false => TokenBucket::empty(rate_per_s, burst, lends_from),
            };
            WorkspaceState { bucket, rate_per_s, burst, loans: HashMap::new() }
        });
        state.update_limits(rate_per_s, burst, now);
        state.remove_expired(now);
        let for_ms = request.for_ms.min(self.times.max_loan_ms);
        let expires_at = now.plus(self.times.lender_loan_ms(for_ms));
        state.lend(now, request, expires_at, for_ms)
    }

    /// Returns the number of workspaces that have borrowed from this lender.
    pub fn workspace_count(&self) -> usize {
        self.workspaces.len()
    }
}

fn refused_loan(wait_ms: u64) -> Loan {
    Loan { calls: 0, for_ms: 0, wait_ms }
}

impl WorkspaceState {
    fn update_limits(&mut self, rate_per_s: u64, burst: u64, now: TimeMs) {
        if (self.rate_per_s, self.burst) != (rate_per_s, burst) {
            (self.rate_per_s, self.burst) = (rate_per_s, burst);
            self.cap_bucket(now);
        }
    }

    /// Removes expired loans, each as of the time it expired, since the bucket may refill further
    /// from then on. Removing all of them as of `now` would lose the refill in between.
    fn remove_expired(&mut self, now: TimeMs) {
        while let Some(expires_at) = self.loans.values().map(|loan| loan.expires_at).min() {
            if expires_at > now {
                break;
            }
            self.loans.retain(|_, loan| loan.expires_at > expires_at);
            self.cap_bucket(expires_at);
        }
        self.cap_bucket(now);
    }

    fn outstanding_calls(&self) -> u64 {
        self.loans.values().map(|loan| loan.calls).sum()
    }

    /// Limits the bucket to the part of the burst that outstanding loans leave.
    fn cap_bucket(&mut self, now: TimeMs) {
        let available = self.burst.saturating_sub(self.outstanding_calls());
        self.bucket.set_limits(self.rate_per_s, available, now);
    }

    fn lend(
        &mut self,
        now: TimeMs,
        request: &BorrowRequest,
        expires_at: TimeMs,
        for_ms: u64,
    ) -> Loan {
        let previous = self.loans.get(&request.borrower);
        if previous.is_some_and(|loan| loan.sequence >= request.sequence) {
            return refused_loan(for_ms);
        }
        let unused = previous.map_or(0, |loan| loan.calls.min(request.unused));
        // If this reply is lost, the borrower keeps what it holds until the earlier loan expires.
        let expires_at = previous.map_or(expires_at, |loan| loan.expires_at.max(expires_at));
        // Calls that the borrower reports as used no longer count against the burst.
        let sequence = request.sequence;
        self.loans.insert(request.borrower, ActiveLoan { calls: unused, sequence, expires_at });
        self.cap_bucket(now);
        let calls = self.bucket.take_up_to(request.wanted, now);
        let wait_ms = if calls == 0 { self.bucket.wait_ms().min(for_ms) } else { 0 };
        if let Some(loan) = self.loans.get_mut(&request.borrower) {
            loan.calls += calls;
        }
        self.cap_bucket(now);
        Loan { calls, for_ms, wait_ms }
    }
}
