use test_case::test_case;

use super::*;

const ENTRIES: usize = 4;
const TOLD_EVERY_MS: u64 = 100;
const PLAYED_MS: u64 = 60_000;
const STEP_MS: u64 = 10;
const REQUESTS: u64 = 20;
const REQUEST_EVERY_MS: u64 = 100;
const LENGTH_MS: u64 = REQUESTS * REQUEST_EVERY_MS;
/// A request that is refused comes back after this time, and its program fails at the third refusal.
const BACK_AFTER_MS: u64 = 300;
const REFUSALS_MOST: u32 = 3;
/// What a workspace may make in a window of five seconds, and how many programs that carries a second.
const LIMIT: f64 = 240.0;
const CARRIED_PER_S: f64 = LIMIT / 5.0 / REQUESTS as f64;

struct Program {
    next_at: u64,
    made: u64,
    refused: u32,
}

#[derive(Debug, Default)]
struct Ends {
    ended: u64,
    never_begun: u64,
    broken_off: u64,
}

/// Plays a workspace's programs over four entries that tell each other what they take.
fn play(begin_per_s: f64, first: impl Fn() -> Claim) -> Ends {
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| window(LIMIT / 6.0, LIMIT / 6.0)).collect();
    let together = PeerCounts { entries: ENTRIES as u32, heard: ENTRIES as u32 };
    let (mut programs, mut ends): (Vec<Program>, Ends) = Default::default();
    let mut begun = 0;
    for now in (5_000..5_000 + PLAYED_MS).step_by(STEP_MS as usize) {
        while (begun as f64) < (now - 5_000) as f64 / 1_000.0 * begin_per_s {
            programs.push(Program { next_at: now, made: 0, refused: 0 });
            begun += 1;
        }
        if now % TOLD_EVERY_MS == 0 {
            for teller in 0..ENTRIES {
                let taken = entries[teller].taken();
                let others = entries.iter_mut().enumerate().filter(|(at, _)| *at != teller);
                others.for_each(|(_, entry)| entry.apply_usage(TimeMs(now), teller as u64, taken));
            }
        }
        for (at, program) in programs.iter_mut().enumerate().filter(|(_, p)| p.next_at <= now) {
            let claim = if program.made == 0 { first() } else { Claim::Continues };
            let entry = &mut entries[(at + program.made as usize) % ENTRIES];
            match entry.try_admit(TimeMs(now), together, claim, &ProgramStats::default()) {
                Ok(_) => {
                    program.made += 1;
                    program.refused = 0;
                    program.next_at = now + REQUEST_EVERY_MS;
                }
                Err(_) => {
                    program.refused += 1;
                    program.next_at = now + BACK_AFTER_MS;
                }
            }
        }
        programs.retain(|program| {
            let is_lost = program.refused >= REFUSALS_MOST;
            ends.ended += u64::from(program.made == REQUESTS);
            ends.never_begun += u64::from(is_lost && program.made == 0);
            ends.broken_off += u64::from(is_lost && program.made > 0);
            program.made < REQUESTS && !is_lost
        });
    }
    ends
}

fn whole() -> Claim {
    Claim::StartsProgram { duration_ms: LENGTH_MS }
}

// A workspace begins twice the programs that its rate can carry. Admitted a request at a time, they were
// broken off in their middle, and what they had used was wasted.
#[test]
fn of_twice_the_programs_that_a_rate_carries_those_that_begin_end() {
    let carried = (CARRIED_PER_S * PLAYED_MS as f64 / 1_000.0) as u64;
    let ends = play(2.0 * CARRIED_PER_S, whole);
    assert!(ends.ended * 10 >= carried * 8, "{carried} carried, {ends:?}");
    assert!(ends.broken_off * 10 <= ends.ended + ends.broken_off, "{ends:?}");
    let one_by_one = play(2.0 * CARRIED_PER_S, || Claim::Continues);
    assert!(one_by_one.ended < ends.ended, "{one_by_one:?}, {ends:?}");
}

// What is booked must not keep programs out that the rate could carry.
#[test]
fn below_the_rate_every_program_begins_and_ends() {
    let ends = play(0.8 * CARRIED_PER_S, whole);
    assert_eq!((ends.never_begun, ends.broken_off), (0, 0), "{ends:?}");
}

// A workspace's programs each need more than its whole limit, and none would ever fit. They begin all the
// same, as its window can't be foreseen.
#[test]
fn programs_larger_than_the_limit_begin_all_the_same() {
    let mut window = window(2.0, 2.0);
    let large = Claim::StartsProgram { duration_ms: 60_000 };
    for _ in 0..2 {
        assert!(
            window.try_admit(TimeMs(10_000), TOGETHER, large, &ProgramStats::default()).is_ok()
        );
    }
}

// A first turn finds no endpoint and is given back; its caller comes again and books its program anew.
// Booked twice, the workspace's other programs would be kept out.
#[test]
fn a_program_that_did_not_begin_is_not_booked() {
    let (mut here, mut there) = (window(20.0, 20.0), window(20.0, 20.0));
    let now = TimeMs(10_000);
    there.record_baseline(now, 1, here.taken());
    for _ in 0..50 {
        let grant =
            here.try_admit(now, TOGETHER, whole(), &ProgramStats::default()).expect("it begins");
        there.apply_usage(now, 1, here.taken());
        here.refund(grant);
        there.apply_usage(now, 1, here.taken());
    }
    assert!(there.try_admit(now, TOGETHER, whole(), &ProgramStats::default()).is_ok());
}

// Callers that were refused come back with no time left, and their programs need as much as before. The entry
// that let them begin booked them; the others were told of no time, booked nothing, and let in more.
#[test]
fn a_program_that_begins_late_is_booked_everywhere() {
    let (mut here, mut there) = (window(40.0, 40.0), window(40.0, 40.0));
    let begin = |entry: &mut SharedWindow, now, duration_ms| {
        entry
            .try_admit(
                TimeMs(now),
                TOGETHER,
                Claim::StartsProgram { duration_ms },
                &ProgramStats::default(),
            )
            .is_ok()
    };
    there.record_baseline(TimeMs(10_000), 1, here.taken());
    assert!(begin(&mut here, 10_000, 2 * LENGTH_MS));
    there.apply_usage(TimeMs(10_000), 1, here.taken());
    let late = (0..30).filter(|_| begin(&mut here, 20_000, 0)).count();
    assert!((1..30).contains(&late), "{late}");
    there.apply_usage(TimeMs(20_000), 1, here.taken());
    assert!(!begin(&mut there, 20_000, 0), "what fills the window here fills it there");
}

// An entry gives back a part of a program's time that it had told. The rest of a division was too small to
// be taken off, so that the loop over bookings never ended, and every entry that heard of it stood still.
#[test_case(1_425, 811)]
#[test_case(73_031, 26_924)]
#[test_case(56_024, 15_445)]
fn any_part_of_a_booking_can_be_given_back(duration_ms: u64, part_ms: u64) {
    let mut window = window(40.0, 40.0);
    let told = |booked_ms| UsageTotals { requests: 1, programs: 1, booked_ms };
    window.apply_usage(TimeMs(10_000), 1, told(duration_ms));
    window.apply_usage(TimeMs(10_000), 1, told(duration_ms - part_ms));
    let begins = Claim::StartsProgram { duration_ms };
    assert!(window.try_admit(TimeMs(10_001), TOGETHER, begins, &ProgramStats::default()).is_ok());
}
