use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::{AdmissionDecision, BorrowRequest, Borrower, Lender, LendingTimes, Loan, TokenBucket};
use crate::prelude::*;

const RATE: u64 = 20;
const BURST: u64 = 10;
const TIMES: LendingTimes =
    LendingTimes { max_loan_ms: 500, confirmation_valid_ms: 400, drift_per_mille: 10 };

fn workspace() -> WorkspaceId {
    WorkspaceId::parse("ice").unwrap()
}

struct LenderState {
    lender: Lender,
    confirmed: u64,
}

/// Borrowing entries, successive lenders, and the requests and replies in flight between them.
struct Simulation {
    now: u64,
    /// Each borrower with the speed of its clock, in thousandths of real time.
    borrowers: Vec<(Borrower, u64)>,
    lenders: Vec<LenderState>,
    /// Requests in flight, with the indexes of borrower and lender.
    requests: Vec<(usize, usize, BorrowRequest)>,
    /// Replies in flight, with the index of the borrower and the request.
    replies: Vec<(usize, BorrowRequest, Loan)>,
    /// Times at which calls were admitted.
    admitted: Vec<u64>,
}

impl Simulation {
    fn new() -> Simulation {
        // The borrowers' clocks are slow by different amounts, within the bound in `TIMES`.
        let borrower = |index: u64| (Borrower::new(Instance(index), 1), 1_000 - index * 4);
        let mut simulation = Simulation {
            now: 0,
            borrowers: (0..3).map(borrower).collect(),
            lenders: Vec::new(),
            requests: Vec::new(),
            replies: Vec::new(),
            admitted: Vec::new(),
        };
        let lender = Lender::first(TIMES, TimeMs(0));
        simulation.lenders.push(LenderState { lender, confirmed: 0 });
        simulation
    }

    /// Adds a new lender. The previous one goes on lending until its confirmation expires.
    fn add_lender(&mut self) {
        let lender = Lender::new(TIMES, TimeMs(self.now));
        self.lenders.push(LenderState { lender, confirmed: self.now });
    }

    fn borrower_time(&self, borrower: usize) -> TimeMs {
        TimeMs(self.now * self.borrowers[borrower].1 / 1_000)
    }

    fn call(&mut self, index: usize, lender: usize) {
        let now = self.borrower_time(index);
        let borrower = &mut self.borrowers[index].0;
        match borrower.admit(now, &workspace()) {
            AdmissionDecision::Admitted => self.admitted.push(self.now),
            AdmissionDecision::Refused { .. } => {}
            AdmissionDecision::NeedsLoan => {
                if let Some(request) = borrower.next_request(now, &workspace(), 3) {
                    self.requests.push((index, lender % self.lenders.len(), request));
                }
            }
        }
    }

    fn serve_request(&mut self, arg: usize) {
        if self.requests.is_empty() {
            return;
        }
        let (index, lender, request) = self.requests.remove(arg % self.requests.len());
        let newest = self.lenders.len() - 1;
        let now = TimeMs(self.now);
        let lender_state = &mut self.lenders[lender];
        if lender == newest {
            lender_state.confirmed = self.now;
        }
        let confirmed = TimeMs(lender_state.confirmed);
        let loan = lender_state.lender.lend(now, confirmed, (RATE, BURST), &request);
        self.replies.push((index, request, loan));
    }

    fn deliver_reply(&mut self, arg: usize) {
        if !self.replies.is_empty() {
            let (index, request, loan) = self.replies.remove(arg % self.replies.len());
            let now = self.borrower_time(index);
            self.borrowers[index].0.record_loan(now, &request, loan);
        }
    }

    fn step(&mut self, kind: u8, arg: usize) {
        match kind % 16 {
            0..=4 => (0..=arg % 4).for_each(|_| self.call(arg % 3, arg / 3)),
            5..=8 => (0..2).for_each(|_| self.serve_request(arg)),
            9..=11 => (0..2).for_each(|_| self.deliver_reply(arg)),
            12 | 13 => self.now += arg as u64 / 2,
            14 => {
                // A lost request, or a borrower that paused before sending it.
                self.requests.pop();
            }
            _ if arg.is_multiple_of(8) => self.add_lender(),
            _ => self.now += 5,
        }
    }

    /// Counts the calls admitted in excess of rate and burst in any window.
    fn excess_calls(&self) -> u64 {
        let mut bucket = TokenBucket::full(RATE, BURST, TimeMs(0));
        self.admitted.iter().filter(|at| bucket.try_take(TimeMs(**at)).is_err()).count() as u64
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against calls admitted beyond the workspace's rate and burst when any entry gets
    /// calls, requests and replies are delayed, reordered or lost, and a replaced lender goes on
    /// lending until its confirmation of ownership expires.
    #[test]
    fn no_interleaving_admits_more_than_rate_and_burst(
        steps in vec((any::<u8>(), any::<u8>()), 0..600)
    ) {
        let mut simulation = Simulation::new();
        steps.into_iter().for_each(|(kind, arg)| simulation.step(kind, usize::from(arg)));
        prop_assert_eq!(simulation.excess_calls(), 0);
    }
}

fn loan_request(sequence: u64, unused: u64, wanted: u64) -> BorrowRequest {
    BorrowRequest {
        workspace: workspace(),
        borrower: Instance(1),
        sequence,
        unused,
        wanted,
        for_ms: 500,
    }
}

fn lend(lender: &mut Lender, now: u64, request: &BorrowRequest) -> Loan {
    lender.lend(TimeMs(now), TimeMs(now), (RATE, BURST), request)
}

/// The previous lender may have lent a whole burst just before the takeover. The new one must not
/// lend until that loan has expired, and then has to start with an empty bucket.
#[test]
fn a_new_lender_waits_until_loans_of_the_previous_one_expire() {
    let mut lender = Lender::new(TIMES, TimeMs(0));
    let lends_from = TIMES.quarantine_ms();
    assert_eq!(lend(&mut lender, lends_from - 1, &loan_request(1, 0, 5)).calls, 0);
    assert_eq!(lend(&mut lender, lends_from, &loan_request(2, 0, 5)).calls, 0);
    assert_eq!(lend(&mut lender, lends_from + 250, &loan_request(3, 0, 50)).calls, 5);
}

/// A lender that was paused or can't reach the log may have been replaced without knowing it, so it
/// must stop lending when its confirmation of ownership expires.
#[test]
fn a_lender_with_expired_confirmation_lends_nothing() {
    let mut lender = Lender::new(TIMES, TimeMs(0));
    let later = TimeMs(5_000);
    let confirmed = TimeMs(5_000 - TIMES.confirmation_valid_ms);
    assert_eq!(lender.lend(later, confirmed, (RATE, BURST), &loan_request(1, 0, 5)).calls, 0);
    assert_eq!(lender.lend(later, later, (RATE, BURST), &loan_request(2, 0, 5)).calls, 5);
}

/// A caller that is refused and retries after the returned wait time must be admitted.
#[test]
fn a_call_is_available_after_the_returned_wait_time() {
    let mut lender = Lender::new(TIMES, TimeMs(0));
    assert_eq!(lend(&mut lender, 5_000, &loan_request(1, 0, 100)).calls, BURST);
    let refused = lend(&mut lender, 5_000, &loan_request(2, 0, 1));
    assert_eq!(refused.calls, 0);
    assert_eq!(lend(&mut lender, 5_000 + refused.wait_ms, &loan_request(3, 0, 1)).calls, 1);
}

/// A loan expires while no requests arrive. If the bucket refilled only from the next request on
/// instead of from the expiry, a workspace well within its rate would be refused.
#[test]
fn a_bucket_refills_from_the_expiry_of_a_loan_not_from_the_next_request() {
    let mut lender = Lender::first(TIMES, TimeMs(0));
    assert_eq!(lend(&mut lender, 0, &loan_request(1, 0, BURST)).calls, BURST);
    assert_eq!(lend(&mut lender, 5_000, &loan_request(2, 0, BURST)).calls, BURST);
}

/// A request arrives after the borrower's next one. If its outdated count of unused calls were
/// applied, the lender would lose track of the newer loan, which is still outstanding.
#[test]
fn a_request_older_than_the_last_one_changes_nothing() {
    let mut lender = Lender::first(TIMES, TimeMs(0));
    assert_eq!(lend(&mut lender, 0, &loan_request(2, 0, 6)).calls, 6);
    assert_eq!(lend(&mut lender, 1, &loan_request(1, 0, 4)).calls, 0);
    assert_eq!(lend(&mut lender, 300, &loan_request(3, 6, BURST)).calls, 4);
}

/// A borrower that holds a long loan requests a short one and the reply is lost. It keeps the first
/// loan until that expires, so the lender must count it against the burst until then.
#[test]
fn a_lost_reply_to_a_shorter_request_does_not_shorten_a_loan() {
    let mut lender = Lender::first(TIMES, TimeMs(0));
    assert_eq!(lend(&mut lender, 0, &loan_request(1, 0, 6)).calls, 6);
    let short_request = BorrowRequest { for_ms: 10, ..loan_request(2, 6, 1) };
    lend(&mut lender, 1, &short_request);
    let other_borrower = BorrowRequest { borrower: Instance(2), ..loan_request(1, 0, BURST) };
    assert!(lend(&mut lender, 400, &other_borrower).calls <= BURST - 6);
}

/// The borrower's clock is slower than the lender's by the largest drift allowed. The lender must
/// not lend the calls again before the loan has expired on the borrower's clock.
#[test]
fn a_loan_expires_on_a_slow_borrowers_clock_before_the_lender_lends_it_again() {
    let slow_clock_ms = 500 * 1_000 / (1_000 - TIMES.drift_per_mille);
    assert!(TIMES.lender_loan_ms(500) > slow_clock_ms);
}
