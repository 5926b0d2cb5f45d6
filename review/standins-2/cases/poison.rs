//! A request crashes each replica that begins to run it, and its caller sends it again and again.
//! Single processes are killed in between.

use std::io;
use std::time::Duration;

use crate::record::Record;
use crate::replica::CRASHING_PATH;
use crate::world::{CONTACT, HIMA_PATRAK, Replicas, World};

/// Longer than a replica is away after a crash.
const PAUSE: Duration = Duration::from_millis(2_500);
const CRASHES: usize = 3;
const MOST_RETRIES: usize = 3;

pub fn run(record: Record, is_disrupted: bool) -> io::Result<bool> {
    let mut world = World::start(record.clone(), HIMA_PATRAK, 3, Replicas { engines: 1, apps: 6 })?;
    let mut sent = 0;
    let mut retry = |world: &World, machine: usize| {
        sent += 1;
        let id = format!("crash-{sent}");
        world.look(machine, CRASHING_PATH, &id);
        std::thread::sleep(PAUSE);
        !world.runs.of(&id).is_empty()
    };
    let first = (0..CRASHES + 1).filter(|_| retry(&world, 0)).count();
    if first < CRASHES {
        return Err(io::Error::other("the request did not crash three replicas"));
    }
    record.say(&format!("the request has crashed {first} replicas"));
    let mut reached = 0;
    for machine in 1..3 {
        std::thread::sleep(CONTACT);
        if is_disrupted {
            world.machines[machine].kill();
            std::thread::sleep(Duration::from_secs(1));
            world.machines[machine].run()?;
            if !world.machines[machine].wait_until_ready(Duration::from_secs(10)) {
                return Err(io::Error::other("a machine did not become ready again"));
            }
        }
        std::thread::sleep(CONTACT + CONTACT);
        reached += (0..CRASHES).filter(|_| retry(&world, machine)).count();
    }
    let usual = (0..3)
        .filter(|machine| world.look(*machine, "/look/7", &format!("usual-{machine}")).is_served())
        .count();
    record.say(&format!("{usual} of 3 other requests were served at the end"));
    record.say(&format!(
        "BUDGET: {reached} retries reached a replica later than 3 s after the request had crashed the \
         third ({MOST_RETRIES} may)"
    ));
    Ok(reached <= MOST_RETRIES)
}
