//! Several programs continue from one turn. The budget of some of them is spent, and they get 402.
//! The machines are then stopped and started in turn, and the others go on.

use std::io;

use crate::record::Record;
use crate::replica::output_of;
use crate::world::{CONTACT, HIMA_PATRAK, RETENTION_S, Replicas, Turn, World, in_parallel};

/// Programs of each kind: with 12 partitions, most partitions have some of both.
const PROGRAMS: usize = 30;
const TOKENS: u64 = 70;

pub fn run(record: Record, is_disrupted: bool) -> io::Result<bool> {
    let mut world = World::start(record.clone(), HIMA_PATRAK, 4, Replicas { engines: 4, apps: 0 })?;
    let turn = |name: String, program: String, previous: Option<&String>, budget| Turn {
        input: format!("say {name};"),
        name,
        program,
        previous: previous.cloned(),
        budget,
        max_tokens: TOKENS,
        finish_ms: 60_000,
    };
    let first = turn("first".into(), "origin".into(), None, 2_240);
    let Some(origin) = world.turn(0, &first).served else {
        return Err(io::Error::other("the first turn was not served"));
    };
    let origin_text = format!("{}{}", first.input, output_of(&origin, TOKENS));

    // These spend their budget in one turn, and are told so when they continue from the origin.
    let told = in_parallel(PROGRAMS, 6, |number| {
        let program = format!("spent-{number}");
        let own = turn(format!("s{number}-own"), program.clone(), None, TOKENS);
        let is_spent = world.turn(number, &own).served.is_some();
        let next = turn(format!("s{number}-next"), program, Some(&origin), TOKENS);
        is_spent && world.turn(number, &next).last_status() == Some(402)
    });
    let told = told.into_iter().filter(|is_told| *is_told).count();
    record.say(&format!("{told} of {PROGRAMS} programs were told that their budget is spent"));

    // These have budget left, and continue from the origin too.
    let begun = in_parallel(PROGRAMS, 6, |number| {
        let next = turn(format!("c{number}-1"), format!("on-{number}"), Some(&origin), 2_240);
        let served = world.turn(number, &next).served?;
        let text = format!("{origin_text}{}", next.input);
        let ran_right = world.ran_with(&served, &text);
        let text = format!("{text}{}", output_of(&served, TOKENS));
        Some((served, text, ran_right, world.record.now_ms()))
    });
    let begun: Vec<_> = begun.into_iter().flatten().collect();
    record.say(&format!("{} of {PROGRAMS} programs continued from the origin", begun.len()));

    if is_disrupted {
        world.restart_in_turn(|_, _| {})?;
    }
    std::thread::sleep(CONTACT);
    if !world.all_run() || begun.len() < PROGRAMS / 2 {
        return Err(io::Error::other("too few programs were served, or a process has ended"));
    }

    let ended = in_parallel(begun.len(), 6, |number| {
        let (previous, text, _, answered_ms) = &begun[number];
        let program = format!("on-{}", previous.split(['c', '-']).nth(1).unwrap_or_default());
        let next = turn(format!("{previous}-2"), program, Some(previous), 2_240);
        let sent = world.turn(number, &next);
        let is_kept = world.record.now_ms() - answered_ms < RETENTION_S * 1_000;
        let is_denied = matches!(sent.last_status(), Some(404 | 410));
        let is_right =
            sent.served.is_none_or(|id| world.ran_with(&id, &format!("{text}{}", next.input)));
        (is_kept && is_denied, is_right)
    });
    let denied = ended.iter().filter(|(is_denied, _)| *is_denied).count();
    let wrong = ended.iter().filter(|(_, is_right)| !is_right).count()
        + begun.iter().filter(|(_, _, ran_right, _)| !ran_right).count();
    record.say(&format!(
        "LOST: {denied} of {} turns were answered 404 though the turn that they continue was answered \
         whole less than {RETENTION_S} s before; UNASKED: {wrong} turns ran with another body",
        ended.len()
    ));
    Ok(denied == 0 && wrong == 0)
}
