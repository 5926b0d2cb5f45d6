use std::collections::HashMap;

use crate::admission::TokenBucket;
use crate::prelude::*;

/// Times that lender and borrowers agree on.
#[value]
#[derive(Copy)]
pub struct LendingTimes {
    /// How long a share lasts on its borrower's clock.
    pub lend_ms: u64,
    /// How long a lender may lend after it last saw that it still owns its shard.
    pub confirmation_valid_ms: u64,
    /// By how much clocks of two VMs may differ over such a time, in thousandths.
    pub drift_per_mille: u64,
}

impl LendingTimes {
    /// How long a share lent for `lend_ms` may live, by the lender's clock.
    pub fn loan_ms(&self, lend_ms: u64) -> u64 {
        self.stretched(lend_ms)
    }

    /// How long a new lender waits before it lends: the one before it may lend for
    /// `authority_ms` after the claim, and the last share that it lends lasts for `lend_ms`.
    pub fn quarantine_ms(&self) -> u64 {
        self.stretched(self.confirmation_valid_ms + self.lend_ms)
    }

    fn stretched(&self, ms: u64) -> u64 {
        ms + (ms * self.drift_per_mille).div_ceil(1_000) + 1
    }
}

impl Default for LendingTimes {
    fn default() -> LendingTimes {
        LendingTimes { lend_ms: 1_000, confirmation_valid_ms: 1_000, drift_per_mille: 10 }
    }
}

/// A borrower's question.
#[wire]
pub struct BorrowRequest {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The borrower's run. Another run of the same VM is another borrower.
    pub borrower: Instance,
    /// Counts the borrower's questions: a late one must not take a newer one back.
    pub sequence: u64,
    /// Calls that the borrower holds and has not used.
    pub unused: u64,
    /// Calls that it wants on top.
    pub wanted: u64,
    /// For how long it wants them.
    pub for_ms: u64,
}

/// The lender's answer.
#[wire]
#[derive(Copy)]
pub struct Loan {
    /// Calls that the borrower may admit on top of what it holds.
    pub calls: u64,
    /// How long they last, with what it holds, from the moment of its question.
    pub for_ms: u64,
    /// When the next call is there to lend, if there was none.
    pub wait_ms: u64,
}

struct Outstanding {
    calls: u64,
    sequence: u64,
    until: TimeMs,
}

struct Account {
    bucket: TokenBucket,
    rate_per_s: u64,
    burst: u64,
    loans: HashMap<Instance, Outstanding>,
}

/// Lends shares of the rates of the workspaces that fall to one shard.
///
/// What is lent and may still be unused counts against the burst. Otherwise a borrower could keep
/// a whole burst back while the bucket fills again, and the two would meet in one moment.
pub struct Lender {
    times: LendingTimes,
    opens_at: TimeMs,
    accounts: HashMap<WorkspaceId, Account>,
    starts_full: bool,
}

impl Lender {
    /// A lender whose claim was seen in the log at `claimed`. It starts with empty buckets once
    /// no share of the lender before it can be alive.
    pub fn new(times: LendingTimes, claimed: TimeMs) -> Lender {
        let opens_at = claimed.plus(times.quarantine_ms());
        Lender { times, opens_at, accounts: HashMap::new(), starts_full: false }
    }

    /// The first lender that there ever was: nothing can be lent, and nothing was used.
    pub fn first(times: LendingTimes, claimed: TimeMs) -> Lender {
        Lender { times, opens_at: claimed, accounts: HashMap::new(), starts_full: true }
    }

    /// A lender whose predecessor stopped to lend before it released the shard: only the shares
    /// that it lent have to be waited out.
    pub fn after_release(times: LendingTimes, claimed: TimeMs) -> Lender {
        Lender {
            opens_at: claimed.plus(times.loan_ms(times.lend_ms)),
            ..Lender::new(times, claimed)
        }
    }

    /// Lends. `confirmed` is when the lender last asked the log and was told that it still owns
    /// its shard; `(rate_per_s, burst)` is the contract's.
    pub fn lend(
        &mut self,
        now: TimeMs,
        confirmed: TimeMs,
        (rate_per_s, burst): (u64, u64),
        request: &BorrowRequest,
    ) -> Loan {
        if now < self.opens_at {
            return refusal(self.opens_at.since(now));
        }
        if now.since(confirmed) >= self.times.confirmation_valid_ms {
            return refusal(self.times.confirmation_valid_ms);
        }
        let (opens_at, starts_full) = (self.opens_at, self.starts_full);
        let account = self.accounts.entry(request.workspace.clone()).or_insert_with(|| {
            let bucket = match starts_full {
                true => TokenBucket::full(rate_per_s, burst, opens_at),
                false => TokenBucket::empty(rate_per_s, burst, opens_at),
            };
            Account { bucket, rate_per_s, burst, loans: HashMap::new() }
        });
        account.follow(rate_per_s, burst, now);
        account.expire(now);
        let for_ms = request.for_ms.min(self.times.lend_ms);
        let until = now.plus(self.times.loan_ms(for_ms));
        account.lend(now, request, until, for_ms)
    }

    /// Workspaces with an account.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }
}

fn refusal(wait_ms: u64) -> Loan {
    Loan { calls: 0, for_ms: 0, wait_ms }
}

impl Account {
    fn follow(&mut self, rate_per_s: u64, burst: u64, now: TimeMs) {
        if (self.rate_per_s, self.burst) != (rate_per_s, burst) {
            (self.rate_per_s, self.burst) = (rate_per_s, burst);
            self.fit_bucket(now);
        }
    }

    /// Ends the shares that have run out, each at its time: from then on the bucket fills further.
    /// Ending them all now would lose what it would have gained since.
    fn expire(&mut self, now: TimeMs) {
        while let Some(until) = self.loans.values().map(|loan| loan.until).min() {
            if until > now {
                break;
            }
            self.loans.retain(|_, loan| loan.until > until);
            self.fit_bucket(until);
        }
        self.fit_bucket(now);
    }

    fn outstanding(&self) -> u64 {
        self.loans.values().map(|loan| loan.calls).sum()
    }

    /// The bucket holds at most what the burst leaves beside the outstanding shares.
    fn fit_bucket(&mut self, now: TimeMs) {
        let room = self.burst.saturating_sub(self.outstanding());
        self.bucket.set_limits(self.rate_per_s, room, now);
    }

    fn lend(&mut self, now: TimeMs, request: &BorrowRequest, until: TimeMs, for_ms: u64) -> Loan {
        let known = self.loans.get(&request.borrower);
        if known.is_some_and(|loan| loan.sequence >= request.sequence) {
            return refusal(for_ms);
        }
        let held = known.map_or(0, |loan| loan.calls.min(request.unused));
        // Should this answer be lost, the borrower still holds what it has for as long as before.
        let until = known.map_or(until, |loan| loan.until.max(until));
        // What the borrower says it has used no longer stands against the burst.
        let sequence = request.sequence;
        self.loans.insert(request.borrower, Outstanding { calls: held, sequence, until });
        self.fit_bucket(now);
        let calls = self.bucket.take_up_to(request.wanted, now);
        let wait_ms = if calls == 0 { self.bucket.wait_ms().min(for_ms) } else { 0 };
        if let Some(loan) = self.loans.get_mut(&request.borrower) {
            loan.calls += calls;
        }
        self.fit_bucket(now);
        Loan { calls, for_ms, wait_ms }
    }
}
