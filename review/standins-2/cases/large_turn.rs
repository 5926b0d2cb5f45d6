//! Some programs send a turn whose input is larger than a record of the platform's store may be, and
//! far below the config's `maxBodyBytes`. Others go on with theirs meanwhile.

use std::io;
use std::time::Duration;

use crate::record::Record;
use crate::world::{HIMA_PATRAK, Replicas, Turn, World, in_parallel};

const PROGRAMS: usize = 48;
const NEW_PROGRAMS: usize = 96;
const LARGE_PROGRAMS: usize = 5;
const LARGE_BYTES: usize = 300_000;
const USUAL_BYTES: usize = 26_000;
const TOKENS: u64 = 70;
/// A machine may close so many kept channels without an answer.
const MOST_CLOSED: usize = 3;

pub fn run(record: Record, is_disrupted: bool) -> io::Result<bool> {
    let mut world = World::start(record.clone(), HIMA_PATRAK, 4, Replicas { engines: 4, apps: 0 })?;
    let turn = |name: String, program: String, previous: Option<String>| Turn {
        input: format!("say {name};"),
        name,
        program,
        previous,
        budget: 2_240,
        max_tokens: TOKENS,
        finish_ms: 40_000,
    };
    let begun = in_parallel(PROGRAMS, 6, |number| {
        world.turn(number, &turn(format!("p{number}-1"), format!("p{number}"), None)).served
    });
    let begun: Vec<_> = begun.into_iter().enumerate().collect();
    let begun: Vec<_> = begun.into_iter().filter_map(|(at, id)| Some((at, id?))).collect();
    record.say(&format!("{} of {PROGRAMS} programs have begun", begun.len()));

    let bytes = if is_disrupted { LARGE_BYTES } else { USUAL_BYTES };
    // A program's first turn, and on the same channel the large one; all through one machine.
    let send_large = |number: usize| -> io::Result<(bool, bool)> {
        let (program, id) = (format!("large{number}"), format!("large{number}-2"));
        let mut channel = world.channel(0)?;
        let first = turn(format!("{program}-1"), program.clone(), None);
        let is_served = world.attempt_on(&mut channel, 0, &first, &first.name).is_served();
        let mut large = turn(id.clone(), program, Some(first.name.clone()));
        large.input = "x".repeat(bytes);
        let answer = world.attempt_on(&mut channel, 0, &large, &id);
        Ok((is_served && !world.runs.of(&id).is_empty(), answer.is_whole))
    };
    let (large, next, first) = std::thread::scope(|scope| {
        let large = scope.spawn(|| in_parallel(LARGE_PROGRAMS, LARGE_PROGRAMS, send_large));
        std::thread::sleep(Duration::from_millis(500));
        let next = scope.spawn(|| {
            in_parallel(begun.len(), 12, |at| {
                let (number, previous) = &begun[at];
                let next =
                    turn(format!("p{number}-2"), format!("p{number}"), Some(previous.clone()));
                world.turn(*number, &next)
            })
        });
        let first = scope.spawn(|| {
            in_parallel(NEW_PROGRAMS, 12, |number| {
                world.turn(number, &turn(format!("n{number}-1"), format!("n{number}"), None))
            })
        });
        let join = "consumers";
        (large.join().expect(join), next.join().expect(join), first.join().expect(join))
    });
    if !world.all_run() || begun.len() < PROGRAMS / 2 {
        return Err(io::Error::other("too few programs were served, or a process has ended"));
    }
    let large: Vec<_> = large.into_iter().collect::<io::Result<_>>()?;
    let ran = large.iter().filter(|(ran, _)| *ran).count();
    let closed = large.iter().filter(|(ran, is_whole)| *ran && !is_whole).count();
    let reached = first.iter().filter(|sent| sent.reached_replica(&world.runs)).count();
    let is_sound = reached * 10 >= first.len() * 9;
    let lost =
        next.iter().filter(|sent| sent.tries.len() >= 5 && !sent.reached_replica(&world.runs));
    let lost: Vec<_> = lost.collect();
    let unserved = next.iter().chain(&first).filter(|sent| sent.served.is_none()).count();
    record.say(&format!(
        "{reached} of {} first turns reached a replica; {unserved} of {} turns of other programs were \
         not served; the store refused {} appends for their size",
        first.len(),
        next.len() + first.len(),
        world.store.refused()
    ));
    lost.iter()
        .for_each(|sent| record.say(&format!("lost: {}: {}", sent.tries[0].id, sent.texts())));
    record.say(&format!(
        "LOST: {closed} kept channels were closed without a whole answer, of {ran} turns of {bytes} bytes \
         that a replica ran ({MOST_CLOSED} may); {} of {} turns that continue a kept one reached no \
         replica in five tries or more",
        lost.len(),
        next.len()
    ));
    Ok(closed <= MOST_CLOSED && (lost.is_empty() || !is_sound))
}
