//! A program has a history of over 1 MiB. All processes are killed, and new programs continue from
//! its last turn until the recovery is over.

use std::io;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::replica::output_of;
use crate::world::{KAURI_DRAW, Replicas, Turn, World, in_parallel};

/// As many turns as a program of the site has in the mean, each with its largest input.
const HISTORY_TURNS: usize = 11;
const INPUT_BYTES: usize = 100_000;
const NEW_PROGRAMS: usize = 12;
const TOKENS: u64 = 70;
/// When the new programs begin after the machines are back: one after the other.
const BEGIN: Duration = Duration::from_millis(1_000);
const BEGIN_EVERY: Duration = Duration::from_millis(500);
/// `recoverS` of the settings.
const RECOVER: Duration = Duration::from_secs(12);
/// The span at the end of the recovery in which other turns have to be served.
const LAST: Duration = Duration::from_secs(4);

pub fn run(record: Record, is_disrupted: bool) -> io::Result<bool> {
    let mut world = World::start(record.clone(), KAURI_DRAW, 4, Replicas { engines: 4, apps: 0 })?;
    let turn = |name: String, program: String, previous: Option<String>, input: String| Turn {
        name,
        program,
        previous,
        input,
        budget: 22_400,
        max_tokens: TOKENS,
        finish_ms: 60_000,
    };
    let bytes = std::env::var("INPUT_BYTES").ok().and_then(|bytes| bytes.parse().ok());
    let bytes = bytes.unwrap_or(INPUT_BYTES);
    let (mut previous, mut text) = (None, String::new());
    for number in 0..HISTORY_TURNS {
        let input = char::from(b'a' + number as u8).to_string().repeat(bytes);
        let next = turn(format!("long-{number}"), "long".into(), previous, input);
        let Some(id) = world.turn(number, &next).served else {
            return Err(io::Error::other("a turn of the long history was not served"));
        };
        text = format!("{text}{}{}", next.input, output_of(&id, TOKENS));
        previous = Some(id);
    }
    record.say(&format!("a history of {HISTORY_TURNS} turns and {} bytes", text.len()));

    if is_disrupted {
        world.kill_all(Duration::from_millis(1_300))?;
    }
    let back = Instant::now();
    if !world.machines.iter().all(|machine| machine.wait_until_ready(RECOVER)) {
        return Err(io::Error::other("a machine did not become ready again"));
    }
    // New programs come after a final fault only; without one, the program itself goes on.
    let (others, next) = std::thread::scope(|scope| {
        let others = scope.spawn(|| {
            let mut served = Vec::new();
            for number in 0.. {
                std::thread::sleep(Duration::from_millis(100));
                if back.elapsed() >= RECOVER {
                    return served;
                }
                let name = format!("other-{number}");
                let first = turn(name.clone(), name.clone(), None, format!("say {name};"));
                let answer = world.attempt(number, &first, &name);
                if back.elapsed() >= RECOVER - LAST {
                    served.push(answer.is_served());
                }
            }
            served
        });
        let next = in_parallel(NEW_PROGRAMS, NEW_PROGRAMS, |number| {
            let program = if is_disrupted { format!("new-{number}") } else { "long".to_string() };
            let input = format!("say new-{number};");
            let body = format!("{text}{input}");
            let next = turn(format!("new-{number}"), program, previous.clone(), input);
            let mut tries = 0;
            let begins = BEGIN + BEGIN_EVERY * number as u32;
            std::thread::sleep(begins.saturating_sub(back.elapsed()));
            while back.elapsed() < RECOVER {
                let id = format!("new-{number}.{}", tries + 1);
                let answer = world.attempt(number + tries, &next, &id);
                tries += 1;
                if !world.runs.of(&id).is_empty() {
                    return (tries, true, world.ran_with(&id, &body));
                }
                let wait_ms = answer.retry_after_ms().unwrap_or(250).min(1_000);
                std::thread::sleep(Duration::from_millis(wait_ms));
            }
            (tries, false, true)
        });
        (others.join().expect("consumers"), next)
    });
    if !world.all_run() {
        return Err(io::Error::other("a process has ended"));
    }
    let served = others.iter().filter(|is_served| **is_served).count();
    let is_sound = !others.is_empty() && served * 5 >= others.len() * 4;
    let lost: Vec<_> = next.iter().filter(|(_, reached, _)| !reached).collect();
    let wrong = next.iter().filter(|(_, _, is_right)| !is_right).count();
    record.say(&format!("{served} of {} other turns were served in the last 4 s", others.len()));
    record.say(&format!(
        "LOST: {} of {NEW_PROGRAMS} turns that continue a kept one reached no replica within 12 s, in up \
         to {} tries; UNASKED: {wrong} ran with another body",
        lost.len(),
        lost.iter().map(|(tries, _, _)| *tries).max().unwrap_or(0)
    ));
    Ok(wrong == 0 && (lost.is_empty() || !is_sound))
}
