use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::{AdmissionDecision, BorrowRequest, Borrower, Lender, LendingTimes, Loan, TokenBucket};
use crate::prelude::*;

const RATE: u64 = 20;
const BURST: u64 = 10;
const TIMES: LendingTimes =
    LendingTimes { lend_ms: 500, confirmation_valid_ms: 400, drift_per_mille: 10 };

fn workspace() -> WorkspaceId {
    WorkspaceId::parse("ice").unwrap()
}

struct Lending {
    lender: Lender,
    confirmed: u64,
}

/// Entries that borrow, lenders that replace each other, and the questions and answers between.
struct Fleet {
    now: u64,
    borrowers: Vec<(Borrower, u64)>,
    lenders: Vec<Lending>,
    questions: Vec<(usize, usize, BorrowRequest)>,
    answers: Vec<(usize, BorrowRequest, Loan)>,
    admitted: Vec<u64>,
}

impl Fleet {
    fn new() -> Fleet {
        // Clocks run apart by at most the assumed bound: a borrower's may be slow.
        let borrower = |index: u64| (Borrower::new(Instance(index), 1), 1_000 - index * 4);
        let mut fleet = Fleet {
            now: 0,
            borrowers: (0..3).map(borrower).collect(),
            lenders: Vec::new(),
            questions: Vec::new(),
            answers: Vec::new(),
            admitted: Vec::new(),
        };
        let lender = Lender::first(TIMES, TimeMs(0));
        fleet.lenders.push(Lending { lender, confirmed: 0 });
        fleet
    }

    /// A new lender's claim. The one before keeps lending until it looks at the log.
    fn take_over(&mut self) {
        let lender = Lender::new(TIMES, TimeMs(self.now));
        self.lenders.push(Lending { lender, confirmed: self.now });
    }

    fn local(&self, borrower: usize) -> TimeMs {
        TimeMs(self.now * self.borrowers[borrower].1 / 1_000)
    }

    fn call(&mut self, index: usize, lender: usize) {
        let now = self.local(index);
        let borrower = &mut self.borrowers[index].0;
        match borrower.admit(now, &workspace()) {
            AdmissionDecision::Admitted => self.admitted.push(self.now),
            AdmissionDecision::Refused { .. } => {}
            AdmissionDecision::NeedsLoan => {
                if let Some(question) = borrower.next_request(now, &workspace(), 3) {
                    self.questions.push((index, lender % self.lenders.len(), question));
                }
            }
        }
    }

    fn answer(&mut self, arg: usize) {
        if self.questions.is_empty() {
            return;
        }
        let (index, lender, question) = self.questions.remove(arg % self.questions.len());
        let newest = self.lenders.len() - 1;
        let now = TimeMs(self.now);
        let lending = &mut self.lenders[lender];
        if lender == newest {
            lending.confirmed = self.now;
        }
        let confirmed = TimeMs(lending.confirmed);
        let loan = lending.lender.lend(now, confirmed, (RATE, BURST), &question);
        self.answers.push((index, question, loan));
    }

    fn deliver(&mut self, arg: usize) {
        if !self.answers.is_empty() {
            let (index, question, loan) = self.answers.remove(arg % self.answers.len());
            let now = self.local(index);
            self.borrowers[index].0.record_loan(now, &question, loan);
        }
    }

    fn step(&mut self, kind: u8, arg: usize) {
        match kind % 16 {
            0..=4 => (0..=arg % 4).for_each(|_| self.call(arg % 3, arg / 3)),
            5..=8 => (0..2).for_each(|_| self.answer(arg)),
            9..=11 => (0..2).for_each(|_| self.deliver(arg)),
            12 | 13 => self.now += arg as u64 / 2,
            14 => {
                // A paused borrower or a lost message: the question is forgotten.
                self.questions.pop();
            }
            _ if arg.is_multiple_of(8) => self.take_over(),
            _ => self.now += 5,
        }
    }

    /// Calls admitted beyond rate and burst, over every window.
    fn excess(&self) -> u64 {
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

    /// Callers come at any entry, questions and answers are late, crossed or lost, lenders are
    /// replaced and the old ones lend on until their authority ends. Never is a call admitted
    /// beyond the workspace's rate and burst.
    #[test]
    fn no_interleaving_admits_more_than_rate_and_burst(
        steps in vec((any::<u8>(), any::<u8>()), 0..600)
    ) {
        let mut fleet = Fleet::new();
        steps.into_iter().for_each(|(kind, arg)| fleet.step(kind, usize::from(arg)));
        prop_assert_eq!(fleet.excess(), 0);
    }
}

fn question(sequence: u64, unused: u64, wanted: u64) -> BorrowRequest {
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

/// A lender has taken over. The one before may have lent a whole burst a moment ago: nothing is
/// lent until that can't be alive, and then from an empty bucket.
#[test]
fn a_new_lender_waits_out_what_may_be_lent() {
    let mut lender = Lender::new(TIMES, TimeMs(0));
    let opens = TIMES.quarantine_ms();
    assert_eq!(lend(&mut lender, opens - 1, &question(1, 0, 5)).calls, 0);
    assert_eq!(lend(&mut lender, opens, &question(2, 0, 5)).calls, 0);
    assert_eq!(lend(&mut lender, opens + 250, &question(3, 0, 50)).calls, 5);
}

/// A lender that was paused, or can't reach the log, does not know whether another has taken
/// over: it stops to lend when its authority ends.
#[test]
fn a_lender_without_authority_lends_nothing() {
    let mut lender = Lender::new(TIMES, TimeMs(0));
    let later = TimeMs(5_000);
    let confirmed = TimeMs(5_000 - TIMES.confirmation_valid_ms);
    assert_eq!(lender.lend(later, confirmed, (RATE, BURST), &question(1, 0, 5)).calls, 0);
    assert_eq!(lender.lend(later, later, (RATE, BURST), &question(2, 0, 5)).calls, 5);
}

/// A refused caller that comes back after the time it was told is let in.
#[test]
fn the_time_to_come_back_is_exact() {
    let mut lender = Lender::new(TIMES, TimeMs(0));
    assert_eq!(lend(&mut lender, 5_000, &question(1, 0, 100)).calls, BURST);
    let refused = lend(&mut lender, 5_000, &question(2, 0, 1));
    assert_eq!(refused.calls, 0);
    assert_eq!(lend(&mut lender, 5_000 + refused.wait_ms, &question(3, 0, 1)).calls, 1);
}

/// Shares ran out while nobody asked. The bucket must have filled since each of them ended, not
/// only from the next question on: a workspace well within its rate would be refused.
#[test]
fn a_bucket_fills_from_the_end_of_a_share_not_from_the_next_question() {
    let mut lender = Lender::first(TIMES, TimeMs(0));
    assert_eq!(lend(&mut lender, 0, &question(1, 0, BURST)).calls, BURST);
    assert_eq!(lend(&mut lender, 5_000, &question(2, 0, BURST)).calls, BURST);
}

/// A question is overtaken by the borrower's next one. It says that more is unused and asks for
/// more; taken at its word it would forget the newer share, which is still out.
#[test]
fn a_question_that_was_overtaken_changes_nothing() {
    let mut lender = Lender::first(TIMES, TimeMs(0));
    assert_eq!(lend(&mut lender, 0, &question(2, 0, 6)).calls, 6);
    assert_eq!(lend(&mut lender, 1, &question(1, 0, 4)).calls, 0);
    assert_eq!(lend(&mut lender, 300, &question(3, 6, BURST)).calls, 4);
}

/// A borrower holds a share for long, asks for another for a moment, and the answer is lost: it
/// keeps the first for as long as before, and so it must stand against the burst.
#[test]
fn a_share_outlives_a_lost_answer_to_a_shorter_question() {
    let mut lender = Lender::first(TIMES, TimeMs(0));
    assert_eq!(lend(&mut lender, 0, &question(1, 0, 6)).calls, 6);
    let short = BorrowRequest { for_ms: 10, ..question(2, 6, 1) };
    lend(&mut lender, 1, &short);
    let other = BorrowRequest { borrower: Instance(2), ..question(1, 0, BURST) };
    assert!(lend(&mut lender, 400, &other).calls <= BURST - 6);
}

/// The borrower's clock runs slower than the lender's by the bound assumed.
#[test]
fn a_share_is_over_at_a_slow_borrower_before_the_lender_counts_it_free() {
    let slow_ms = 500 * 1_000 / (1_000 - TIMES.drift_per_mille);
    assert!(TIMES.loan_ms(500) > slow_ms);
}
