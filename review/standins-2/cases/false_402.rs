//! Programs whose budget holds all their turns run while the machines are stopped and started in
//! turn.

use std::io;
use std::sync::Mutex;

use crate::record::Record;
use crate::replica::{STRIDE, events_of};
use crate::world::{CONTACT, HIMA_PATRAK, Replicas, Turn, World, in_parallel};

const PROGRAMS: usize = 24;
const TURNS: u64 = 10;
const TOKENS: u64 = 280;
const BUDGET: u64 = TURNS * TOKENS;

#[derive(Default, Clone)]
struct Program {
    previous: Option<String>,
    turns: u64,
    /// Tokens that were handed out, in attempts that broke off too.
    tokens: u64,
    has_ended: bool,
    denied: bool,
}

pub fn run(record: Record, is_disrupted: bool) -> io::Result<bool> {
    let mut world = World::start(record.clone(), HIMA_PATRAK, 4, Replicas { engines: 4, apps: 0 })?;
    let programs = Mutex::new(vec![Program::default(); PROGRAMS]);
    let requests = Mutex::new(0);
    // One turn of each program that goes on.
    let step = |world: &World, machine: usize| {
        in_parallel(PROGRAMS, 12, |number| {
            let mut program = programs.lock().unwrap()[number].clone();
            if program.has_ended {
                return;
            }
            let name = format!("p{number}-{}", program.turns + 1);
            let turn = Turn {
                input: format!("say {name};"),
                name,
                program: format!("p{number}"),
                previous: program.previous.clone(),
                budget: BUDGET,
                max_tokens: TOKENS,
                finish_ms: 60_000,
            };
            let sent = world.turn(machine + number, &turn);
            *requests.lock().unwrap() += sent.tries.len();
            let ran =
                sent.tries.iter().map(|sent| world.runs.of(&sent.id).len() as u64).sum::<u64>();
            program.tokens += ran * events_of(TOKENS) * STRIDE;
            match &sent.served {
                Some(id) => {
                    program.previous = Some(id.clone());
                    program.turns += 1;
                    program.has_ended = program.turns == TURNS;
                }
                None => {
                    program.has_ended = true;
                    let is_402 = sent.last_status() == Some(402);
                    program.denied = is_402 && program.tokens + TOKENS <= BUDGET;
                    world.record.say(&format!(
                        "p{number} ends with {} after {} turns and {} of {BUDGET} tokens",
                        sent.texts(),
                        program.turns,
                        program.tokens
                    ));
                }
            }
            programs.lock().unwrap()[number] = program;
        });
    };
    for machine in 0..3 {
        step(&world, machine);
    }
    if is_disrupted {
        world.restart_in_turn(|_, _| {})?;
    }
    // From here on all machines are in touch.
    std::thread::sleep(CONTACT + CONTACT / 3);
    for machine in 3..TURNS as usize {
        step(&world, machine);
    }
    if !world.all_run() {
        return Err(io::Error::other("a process has ended"));
    }
    let programs = programs.into_inner().unwrap();
    let requests = requests.into_inner().unwrap();
    let denied = programs.iter().filter(|program| program.denied).count();
    let done = programs.iter().filter(|program| program.turns == TURNS).count();
    let most = 5.0 + requests as f64 / 500.0;
    record.say(&format!(
        "DENIED: {denied} of {requests} requests were answered 402 though the budget held one more turn \
         ({most:.1} may be); {done} of {PROGRAMS} programs ran all their turns"
    ));
    Ok(denied as f64 <= most)
}
