//! Replays recorded traces over the real state machines, against the outcomes that they state.
//! `traces/README.md` describes the format.

use test_case::test_case;

use super::program;
use super::world::World;
use crate::prelude::*;
use crate::programs::{ExecutionStatus, TurnResult};

const ROUND_MS: u64 = 30;

fn index(word: &str) -> usize {
    word.trim_start_matches(|c: char| c.is_ascii_alphabetic()).parse().unwrap()
}

fn key(words: &[&str]) -> (ProgramId, u32) {
    (program(words[0]), words[1].parse().unwrap())
}

fn number(word: &str) -> u64 {
    word.parse().unwrap()
}

/// Carries out one line of a trace.
fn replay(world: &mut World, line: &str) {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words.as_slice() {
        ["claim", entry] => world.claim(index(entry)),
        ["call", name, turn, "at", entry] => {
            world.call_at(index(entry), &program(name), number(turn) as u32);
        }
        ["run", rounds] => (0..number(rounds)).for_each(|_| world.round(ROUND_MS)),
        ["pass", ms] => {
            for _ in 0..number(ms).div_ceil(1_000) {
                world.round(1_000);
                world.round(ROUND_MS);
            }
        }
        ["keep", ms] => world.log.expire(world.now.saturating_sub(number(ms))),
        ["kill", name] if name.starts_with('e') => world.kill_entry(index(name)),
        ["kill", name] => world.kill_endpoint(index(name)),
        ["pause", entry] => world.pause(index(entry), true),
        ["wake", entry] => world.pause(index(entry), false),
        ["cut", endpoint] => world.cut(index(endpoint)),
        ["log", "out"] => world.log.out = true,
        ["log", "back"] => world.log.out = false,
        ["log", "loses", "answer"] => world.lose_next_append = true,
        ["log", "delays", "append"] => world.delay_next_append = Some(()),
        ["log", "lands", "append"] => world.land_delayed(),
        ["settle"] => world.settle(),
        ["expect", rest @ ..] => expect(world, line, rest),
        _ => panic!("can't read {line:?}"),
    }
}

fn expect(world: &World, line: &str, words: &[&str]) {
    match words {
        [name, turn, "whole"] => {
            let result = world.callers.results.get(&key(&[name, turn]));
            let whole =
                matches!(result, Some(TurnResult::Answered { .. } | TurnResult::Served { .. }));
            assert!(whole, "{line}: {result:?}");
        }
        [name, turn, "unknown"] => {
            let result = world.callers.results.get(&key(&[name, turn]));
            assert_eq!(result, Some(&TurnResult::Unknown), "{line}");
        }
        [name, turn, "open"] => {
            assert_eq!(world.callers.results.get(&key(&[name, turn])), None, "{line}");
        }
        [name, turn, "refused", code, ran] => {
            let refusal = world.callers.last_refusal.get(&key(&[name, turn]));
            let refusal = refusal.unwrap_or_else(|| panic!("{line}: not refused"));
            let said = match refusal.ran {
                ExecutionStatus::NotRun => "not_run",
                ExecutionStatus::Ran => "ran",
                ExecutionStatus::Unknown => "unknown",
            };
            assert_eq!((refusal.reason.code(), said), (*code, *ran), "{line}");
        }
        [name, turn, "ran", times] => {
            let (program, turn) = key(&[name, turn]);
            let ran = world.executions.get(&(program, TurnNo(turn))).copied().unwrap_or(0);
            assert_eq!(ran as u64, number(times), "{line}");
        }
        [name, "charged", tokens] => {
            let account = world.log.shard_state().account(&program(name));
            assert_eq!(account.spent_tokens, number(tokens), "{line}");
        }
        ["appends", "at", "most", count] => {
            let appends = world.log.appends as u64;
            assert!(appends <= number(count), "{line}: {appends}");
        }
        _ => panic!("can't read {line:?}"),
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
fn a_recorded_trace_gives_the_outcomes_that_it_states(trace: &str) {
    let mut world = World::new(4);
    for line in trace.lines().map(str::trim) {
        if !line.is_empty() && !line.starts_with('#') {
            replay(&mut world, line);
        }
    }
}
