use crate::load::ProgramTimes;
use crate::prelude::*;

/// Starts programs that each end one turn after `took_ms` of 1,000 ms, and returns the need learned.
fn need_after(programs: u64, finish_ms: Option<u64>, took_ms: u64) -> f64 {
    let mut times = ProgramTimes::default();
    for program in 0..programs {
        let started = program * 3_000;
        times.start(TimeMs(started), program, finish_ms);
        times.record_turn(TimeMs(started + took_ms), program);
    }
    times.start(TimeMs(programs * 3_000), programs, finish_ms);
    times.need()
}

// With a wrong need, programs that can finish in time go behind those that can't.
#[test]
fn the_need_is_learned_from_programs_that_have_ended() {
    assert!((need_after(0, Some(1_000), 0) - 0.7).abs() < 0.001);
    assert!(need_after(60, Some(1_000), 200) < 0.3);
}

// Above one, a program that has just begun would count as late.
#[test]
fn the_need_stays_below_the_whole_time() {
    assert_eq!(need_after(60, Some(100), 1_000), 0.95);
}

// A program without a time would have taught a need of infinity.
#[test]
fn nothing_is_learned_from_programs_without_a_time() {
    for finish_ms in [None, Some(0)] {
        assert_eq!(need_after(60, finish_ms, 200), 0.7);
    }
}

// Programs of which nothing more is heard would be kept forever.
#[test]
fn a_program_that_has_ended_is_no_longer_running() {
    let mut times = ProgramTimes::default();
    times.start(TimeMs(0), 1, None);
    times.record_turn(TimeMs(1_000), 1);
    assert!(times.is_running(TimeMs(2_500), 1));
    assert!(!times.is_running(TimeMs(2_501), 1));
}
