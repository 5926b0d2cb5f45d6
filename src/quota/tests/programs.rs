use test_case::test_case;

use super::*;

const ENTRIES: usize = 4;
const GOSSIP_INTERVAL_MS: u64 = 100;
const SIMULATED_MS: u64 = 60_000;
const STEP_MS: u64 = 10;
const REQUESTS_PER_PROGRAM: u64 = 20;
const REQUEST_INTERVAL_MS: u64 = 100;
const DURATION_MS: u64 = REQUESTS_PER_PROGRAM * REQUEST_INTERVAL_MS;
/// Time after which a refused request is retried; its program fails at the third refusal in a row.
const RETRY_AFTER_MS: u64 = 300;
const MAX_REFUSALS: u32 = 3;
/// Requests that a workspace may make in a window of five seconds, and the programs per second that
/// this carries. Of the limit, five sixths come from the rate and one sixth is the burst.
const LIMIT: f64 = 240.0;
const CARRIED_PER_S: f64 = LIMIT / 5.0 / REQUESTS_PER_PROGRAM as f64;

struct Program {
    next_request_at: u64,
    requests_made: u64,
    refusals: u32,
}

#[derive(Debug, Default)]
struct Outcomes {
    finished: u64,
    never_started: u64,
    aborted: u64,
}

/// Simulates the programs of one workspace at four entries that report their usage to each other.
fn simulate(starts_per_s: f64, first_claim: impl Fn() -> Claim) -> Outcomes {
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| window(LIMIT / 6.0, LIMIT / 6.0)).collect();
    let all_heard = PeerCounts { entries: ENTRIES as u32, heard: ENTRIES as u32 };
    let (mut programs, mut outcomes): (Vec<Program>, Outcomes) = Default::default();
    let mut started = 0;
    for now in (5_000..5_000 + SIMULATED_MS).step_by(STEP_MS as usize) {
        while (started as f64) < (now - 5_000) as f64 / 1_000.0 * starts_per_s {
            programs.push(Program { next_request_at: now, requests_made: 0, refusals: 0 });
            started += 1;
        }
        if now % GOSSIP_INTERVAL_MS == 0 {
            for sender in 0..ENTRIES {
                let totals = entries[sender].admitted();
                let others = entries.iter_mut().enumerate().filter(|(at, _)| *at != sender);
                others.for_each(|(_, entry)| entry.apply_usage(TimeMs(now), sender as u64, totals));
            }
        }
        for (at, program) in
            programs.iter_mut().enumerate().filter(|(_, p)| p.next_request_at <= now)
        {
            let claim = if program.requests_made == 0 { first_claim() } else { Claim::Call };
            let entry = &mut entries[(at + program.requests_made as usize) % ENTRIES];
            match entry.try_admit(TimeMs(now), all_heard, claim, &ProgramStats::default()) {
                Ok(_) => {
                    program.requests_made += 1;
                    program.refusals = 0;
                    program.next_request_at = now + REQUEST_INTERVAL_MS;
                }
                Err(_) => {
                    program.refusals += 1;
                    program.next_request_at = now + RETRY_AFTER_MS;
                }
            }
        }
        programs.retain(|program| {
            let has_failed = program.refusals >= MAX_REFUSALS;
            outcomes.finished += u64::from(program.requests_made == REQUESTS_PER_PROGRAM);
            outcomes.never_started += u64::from(has_failed && program.requests_made == 0);
            outcomes.aborted += u64::from(has_failed && program.requests_made > 0);
            program.requests_made < REQUESTS_PER_PROGRAM && !has_failed
        });
    }
    outcomes
}

fn program_start() -> Claim {
    Claim::StartsProgram { duration_ms: DURATION_MS }
}

// A workspace starts twice as many programs as its rate can carry. When requests were admitted one
// by one, programs were aborted halfway, and the requests that they had used were wasted.
#[test]
fn at_double_load_programs_that_start_also_finish() {
    let carried = (CARRIED_PER_S * SIMULATED_MS as f64 / 1_000.0) as u64;
    let outcomes = simulate(2.0 * CARRIED_PER_S, program_start);
    assert!(outcomes.finished * 10 >= carried * 8, "{carried} carried, {outcomes:?}");
    assert!(outcomes.aborted * 10 <= outcomes.finished + outcomes.aborted, "{outcomes:?}");
    let one_by_one = simulate(2.0 * CARRIED_PER_S, || Claim::Call);
    assert!(one_by_one.finished < outcomes.finished, "{one_by_one:?}, {outcomes:?}");
}

// The turns of a workspace with a small window used all of it, and their calls, which callers attempt only twice, were
// refused: the programs failed although few more requests were made than the rate allows.
#[test]
fn turns_leave_room_in_the_window_for_calls() {
    let mut window = window(20.0, 0.0);
    let mut admit = |claim| {
        let admitted = window.try_admit(TimeMs(10_000), ALL_HEARD, claim, &ProgramStats::default());
        admitted.is_ok()
    };
    assert!(admit(Claim::StartsProgram { duration_ms: 20_000 }));
    let turns = (0..200).filter(|_| admit(Claim::ContinuesProgram)).count();
    assert_eq!(turns, 89);
    assert!(!admit(program_start()));
    let calls = (0..200).filter(|_| admit(Claim::Call)).count();
    assert_eq!(calls, 10);
}

// Bookings must not refuse programs that the rate can carry.
#[test]
fn below_the_rate_every_program_starts_and_finishes() {
    let outcomes = simulate(0.8 * CARRIED_PER_S, program_start);
    assert_eq!((outcomes.never_started, outcomes.aborted), (0, 0), "{outcomes:?}");
}

// Each program of a workspace needs more than the whole limit, so that none would ever fit. They
// must start nevertheless: for such a small window there is no forecast.
#[test]
fn programs_larger_than_the_limit_may_start() {
    let mut window = window(2.0, 2.0);
    let large = Claim::StartsProgram { duration_ms: 60_000 };
    for _ in 0..2 {
        assert!(
            window.try_admit(TimeMs(10_000), ALL_HEARD, large, &ProgramStats::default()).is_ok()
        );
    }
}

// The first turn of a program finds no endpoint and is refunded; its caller retries, and the
// program is booked again. If the first booking remained, the workspace's other programs would be
// refused.
#[test]
fn refunded_program_start_leaves_no_booking() {
    let (mut local, mut remote) = (window(20.0, 20.0), window(20.0, 20.0));
    let now = TimeMs(10_000);
    remote.record_baseline(now, 1, local.admitted());
    for _ in 0..50 {
        let grant = local
            .try_admit(now, ALL_HEARD, program_start(), &ProgramStats::default())
            .expect("the program may start");
        remote.apply_usage(now, 1, local.admitted());
        local.refund(now, grant);
        remote.apply_usage(now, 1, local.admitted());
        remote.apply_refunds(now, 1, &local.refunds(now));
    }
    assert!(remote.try_admit(now, ALL_HEARD, program_start(), &ProgramStats::default()).is_ok());
}

// Callers that were refused come back with no time left, but their programs need as many requests
// as before. The entry that admitted them booked the minimum time, but reported no booked time; the
// other entries booked nothing and admitted more programs.
#[test]
fn late_program_start_is_booked_at_all_entries() {
    let (mut local, mut remote) = (window(40.0, 40.0), window(40.0, 40.0));
    let start = |entry: &mut SharedWindow, now, duration_ms| {
        entry
            .try_admit(
                TimeMs(now),
                ALL_HEARD,
                Claim::StartsProgram { duration_ms },
                &ProgramStats::default(),
            )
            .is_ok()
    };
    remote.record_baseline(TimeMs(10_000), 1, local.admitted());
    assert!(start(&mut local, 10_000, 2 * DURATION_MS));
    remote.apply_usage(TimeMs(10_000), 1, local.admitted());
    let late = (0..30).filter(|_| start(&mut local, 20_000, 0)).count();
    assert!((1..30).contains(&late), "{late}");
    remote.apply_usage(TimeMs(20_000), 1, local.admitted());
    assert!(
        !start(&mut remote, 20_000, 0),
        "the bookings reported by the first entry must fill the window of the second"
    );
}

// An entry cancels a part of the booked time that it had reported. The rounding remainder of a
// division was too small to reduce the booking, so that the loop over bookings never ended, and
// every entry that received the report hung.
#[test_case(1_425, 811)]
#[test_case(73_031, 26_924)]
#[test_case(56_024, 15_445)]
fn cancelling_part_of_a_booking_terminates(duration_ms: u64, part_ms: u64) {
    let mut window = window(40.0, 40.0);
    let totals = |booked_ms| UsageTotals { requests: 1, programs: 1, booked_ms };
    window.apply_usage(TimeMs(10_000), 1, totals(duration_ms));
    window.apply_usage(TimeMs(10_000), 1, totals(duration_ms - part_ms));
    let start = Claim::StartsProgram { duration_ms };
    assert!(window.try_admit(TimeMs(10_001), ALL_HEARD, start, &ProgramStats::default()).is_ok());
}
