//! Replays the fault traces in `traces/` against the real state machines and checks the outcomes
//! that each trace expects. `traces/README.md` describes the format.

use test_case::test_case;

use super::program;
use super::simulation::Simulation;
use crate::prelude::*;
use crate::programs::{ExecutionStatus, TurnResult};

const ROUND_DURATION_MS: u64 = 30;

fn parse_index(word: &str) -> usize {
    word.trim_start_matches(|c: char| c.is_ascii_alphabetic()).parse().unwrap()
}

fn turn_key(words: &[&str]) -> (ProgramId, u32) {
    (program(words[0]), words[1].parse().unwrap())
}

fn parse_number(word: &str) -> u64 {
    word.parse().unwrap()
}

/// Runs one line of a trace.
fn run_command(simulation: &mut Simulation, line: &str) {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words.as_slice() {
        ["claim", entry] => simulation.claim(parse_index(entry)),
        ["call", name, turn, "at", entry] => {
            simulation.call_at(parse_index(entry), &program(name), parse_number(turn) as u32);
        }
        ["run", rounds] => {
            (0..parse_number(rounds)).for_each(|_| simulation.round(ROUND_DURATION_MS))
        }
        ["pass", ms] => {
            for _ in 0..parse_number(ms).div_ceil(1_000) {
                simulation.round(1_000);
                simulation.round(ROUND_DURATION_MS);
            }
        }
        ["keep", ms] => simulation.log.expire(simulation.now.saturating_sub(parse_number(ms))),
        ["kill", name] if name.starts_with('e') => simulation.kill_entry(parse_index(name)),
        ["kill", name] => simulation.kill_endpoint(parse_index(name)),
        ["pause", entry] => simulation.pause(parse_index(entry), true),
        ["wake", entry] => simulation.pause(parse_index(entry), false),
        ["cut", endpoint] => simulation.break_connection(parse_index(endpoint)),
        ["log", "out"] => simulation.log.unavailable = true,
        ["log", "back"] => simulation.log.unavailable = false,
        ["log", "loses", "answer"] => simulation.lose_next_append_answer = true,
        ["log", "delays", "append"] => simulation.delay_next_append = Some(()),
        ["log", "lands", "append"] => simulation.apply_delayed_append(),
        ["settle"] => simulation.run_to_completion(),
        ["expect", rest @ ..] => check_expectation(simulation, line, rest),
        _ => panic!("unknown trace command: {line:?}"),
    }
}

fn check_expectation(simulation: &Simulation, line: &str, words: &[&str]) {
    match words {
        [name, turn, "whole"] => {
            let result = simulation.callers.results.get(&turn_key(&[name, turn]));
            let is_complete =
                matches!(result, Some(TurnResult::Answered { .. } | TurnResult::Served { .. }));
            assert!(is_complete, "{line}: expected a complete result, got {result:?}");
        }
        [name, turn, "unknown"] => {
            let result = simulation.callers.results.get(&turn_key(&[name, turn]));
            assert_eq!(result, Some(&TurnResult::Unknown), "{line}");
        }
        [name, turn, "open"] => {
            assert_eq!(simulation.callers.results.get(&turn_key(&[name, turn])), None, "{line}");
        }
        [name, turn, "refused", code, ran] => {
            let refusal = simulation.callers.last_refusal.get(&turn_key(&[name, turn]));
            let refusal = refusal.unwrap_or_else(|| panic!("{line}: the call was not refused"));
            let execution = match refusal.ran {
                ExecutionStatus::NotRun => "not_run",
                ExecutionStatus::Ran => "ran",
                ExecutionStatus::Unknown => "unknown",
            };
            assert_eq!((refusal.reason.code(), execution), (*code, *ran), "{line}");
        }
        [name, turn, "ran", times] => {
            let (program, turn) = turn_key(&[name, turn]);
            let ran = simulation.executions.get(&(program, TurnNo(turn))).copied().unwrap_or(0);
            assert_eq!(ran as u64, parse_number(times), "{line}");
        }
        [name, "charged", tokens] => {
            let account = simulation.log.shard_state().account(&program(name));
            assert_eq!(account.spent_tokens, parse_number(tokens), "{line}");
        }
        ["appends", "at", "most", count] => {
            let appends = simulation.log.appends as u64;
            assert!(appends <= parse_number(count), "{line}: there were {appends} appends");
        }
        _ => panic!("unknown expectation in trace: {line:?}"),
    }
}

#[test_case(include_str!("../../../traces/owner-dies-between-turns.trace"); "owner dies between turns")]
#[test_case(include_str!("../../../traces/owner-dies-in-a-turn.trace"); "owner dies in a turn")]
#[test_case(include_str!("../../../traces/payment-owner-paused.trace"); "payment owner paused")]
#[test_case(include_str!("../../../traces/payment-process-dies.trace"); "payment process dies")]
#[test_case(include_str!("../../../traces/payment-answer-lost.trace"); "payment answer lost")]
#[test_case(include_str!("../../../traces/log-out.trace"); "log out")]
#[test_case(include_str!("../../../traces/log-answers-lost.trace"); "log answers lost")]
#[test_case(include_str!("../../../traces/retention-passes.trace"); "retention passes")]
#[test_case(include_str!("../../../traces/early-and-twice.trace"); "early and twice")]
#[test_case(include_str!("../../../traces/sub-agents-share-a-budget.trace"); "sub agents share a budget")]
fn trace_gives_the_expected_outcomes(trace: &str) {
    let mut simulation = Simulation::new(4);
    for line in trace.lines().map(str::trim) {
        if !line.is_empty() && !line.starts_with('#') {
            run_command(&mut simulation, line);
        }
    }
}
