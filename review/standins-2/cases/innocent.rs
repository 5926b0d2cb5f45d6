//! Three times a replica crashes while it runs a turn. The three turns have the same short input, which
//! didn't cause the crashes. Later other programs of the tenant send a turn with that input.

use std::io;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::replica::LONG_INPUT;
use crate::world::{CONTACT, HIMA_PATRAK, Replicas, Sent, Turn, World, in_parallel};

const PROGRAMS: usize = 36;
const NEW_PROGRAMS: usize = 60;
const CRASHES: usize = 3;
const TOKENS: u64 = 70;
/// How long a replica is away.
const AWAY: Duration = Duration::from_millis(4_500);
/// The pause from one crash to the next.
const BETWEEN: Duration = Duration::from_millis(6_000);

pub fn run(record: Record, is_disrupted: bool) -> io::Result<bool> {
    let mut world = World::start(record.clone(), HIMA_PATRAK, 4, Replicas { engines: 9, apps: 0 })?;
    let turn = |name: String, program: String, previous: Option<String>, input: &str| Turn {
        input: input.to_string(),
        name,
        program,
        previous,
        budget: 2_240,
        max_tokens: TOKENS,
        finish_ms: 60_000,
    };
    let first_input = |number: usize| format!("this is what program {number} is about;");
    let begun = in_parallel(PROGRAMS, 6, |number| {
        let input = first_input(number);
        let first = turn(format!("p{number}-1"), format!("p{number}"), None, &input);
        world.turn(number, &first).served
    });
    let begun: Option<Vec<_>> = begun.into_iter().collect();
    let Some(begun) = begun else {
        return Err(io::Error::other("a first turn was not served"));
    };
    let next = |number: usize| {
        let previous = Some(begun[number].clone());
        turn(format!("p{number}-2"), format!("p{number}"), previous, LONG_INPUT)
    };

    for number in 0..CRASHES {
        let started = Instant::now();
        let sent = std::thread::scope(|scope| {
            let turn = next(number);
            let world = &world;
            let sent = scope.spawn(move || world.turn(number, &turn));
            if is_disrupted {
                crash_under(world, &format!("p{number}-2.1"));
            }
            sent.join().expect("a consumer")
        });
        record.say(&format!("p{number}-2: {}", sent.texts()));
        std::thread::sleep(BETWEEN.saturating_sub(started.elapsed()));
    }
    // All replicas are back, and all machines are in touch.
    std::thread::sleep(AWAY + CONTACT);
    if !world.all_run() {
        return Err(io::Error::other("a process has ended"));
    }

    let (sent, first) = std::thread::scope(|scope| {
        let sent = scope
            .spawn(|| in_parallel(PROGRAMS - CRASHES, 6, |at| world.turn(at, &next(at + CRASHES))));
        let first = scope.spawn(|| {
            in_parallel(NEW_PROGRAMS, 6, |number| {
                let input = first_input(number + PROGRAMS);
                let first = turn(format!("n{number}-1"), format!("n{number}"), None, &input);
                world.turn(number, &first)
            })
        });
        (sent.join().expect("consumers"), first.join().expect("consumers"))
    });
    let reached = |sent: &Sent| sent.tries.iter().any(|sent| !world.runs.of(&sent.id).is_empty());
    let first = first.iter().filter(|sent| reached(sent)).count();
    let lost: Vec<_> = sent.iter().filter(|sent| sent.tries.len() >= 5 && !reached(sent)).collect();
    lost.iter().for_each(|sent| record.say(&format!("{}: {}", sent.tries[0].id, sent.texts())));
    record.say(&format!("{first} of {NEW_PROGRAMS} first turns reached a replica"));
    record.say(&format!(
        "LOST: {} of {} turns that continue a kept one reached no replica in five tries or more",
        lost.len(),
        sent.len()
    ));
    Ok(lost.is_empty() || first * 10 < NEW_PROGRAMS * 9)
}

/// Crashes the replica that begins to run this request.
fn crash_under(world: &World, request: &str) {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        if let Some(run) = world.runs.of(request).first() {
            std::thread::sleep(Duration::from_millis(100));
            let replica = world.replicas.iter().find(|replica| replica.is(&run.replica));
            replica.into_iter().for_each(|replica| replica.crash(AWAY));
            return;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}
