//! The store turns one machine away. Meanwhile many configs come, and the last one takes a key away from
//! a connected consumer, which goes on to use it. Later the store serves the machine again.

use std::collections::HashMap;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::world::{HIMA_PATRAK, KEY, Replicas, World, configuration};

/// The dose of `big_config`.
const ROUTES: usize = 350;
/// Twice the dose of `config_storm`, one after the other: for 1.5 s, one every 0.06 s.
const STORM: u64 = 50;
const STORM_GAP: Duration = Duration::from_millis(60);
/// For how long the store turns the machine away.
const AWAY: Duration = Duration::from_millis(9_000);
/// When the key is taken away, from the begin of that.
const REVOKED_AFTER: Duration = Duration::from_millis(3_700);
const REVOKE_MS: u64 = 5_000;
const SENDERS: u32 = 8;
/// What the consumer sends with its key, a second.
const PER_S: u32 = 80;
const OTHER_KEY: &str = "nu6wsjnbanfqasnmgkcu";

pub fn run(record: Record, is_disrupted: bool) -> io::Result<bool> {
    let mut world = World::start(record.clone(), HIMA_PATRAK, 3, Replicas { engines: 1, apps: 6 })?;
    let front = world.machines[0].front;
    let has_ended = AtomicBool::new(false);
    let numbers = AtomicU32::new(0);
    let sent = Mutex::new(HashMap::new());
    let revoked_ms = std::thread::scope(|scope| {
        for sender in 0..SENDERS {
            let (has_ended, numbers, sent, record) = (&has_ended, &numbers, &sent, &record);
            scope.spawn(move || {
                let pause = Duration::from_millis(u64::from(1_000 * SENDERS / PER_S));
                std::thread::sleep(pause * sender / SENDERS);
                while !has_ended.load(Ordering::SeqCst) {
                    let begun = Instant::now();
                    let id = format!("look-{}", numbers.fetch_add(1, Ordering::SeqCst));
                    sent.lock().unwrap().insert(id.clone(), record.now_ms());
                    World::look_at(record, front, "/look/7", &id);
                    std::thread::sleep(pause.saturating_sub(begun.elapsed()));
                }
            });
        }
        let revoked_ms = change_configs(&world, is_disrupted);
        has_ended.store(true, Ordering::SeqCst);
        revoked_ms
    });
    if !world.all_run() {
        return Err(io::Error::other("a process has ended"));
    }
    let sent = sent.into_inner().unwrap();
    let runs = world.runs.all();
    let late = runs.iter().filter_map(|run| sent.get(&run.request).copied());
    let mut late: Vec<_> = late.filter(|at| *at > revoked_ms + REVOKE_MS).collect();
    late.sort_unstable();
    record.say(&format!(
        "CONFIG: {} requests ran that were sent later than {REVOKE_MS} ms after the acknowledgement that took \
         their key away, up to {} ms after it",
        late.len(),
        late.last().map_or(0, |last| last - revoked_ms)
    ));
    Ok(late.is_empty())
}

/// Returns when the config was acknowledged that takes the key away.
fn change_configs(world: &World, is_disrupted: bool) -> u64 {
    let record = &world.record;
    let put = |version: u64, keys: &[&str]| {
        world.store.put("keyed.op", "config", &configuration(&HIMA_PATRAK, version, ROUTES, keys));
        record.add(&format!("config {version} acknowledged, keys {}", keys.len()));
    };
    put(10, &[KEY, OTHER_KEY]);
    std::thread::sleep(Duration::from_secs(3));
    let begun = Instant::now();
    if is_disrupted {
        record.say("the store turns the first machine away");
        world.turns_first_away.store(true, Ordering::SeqCst);
    }
    std::thread::sleep(Duration::from_millis(300));
    let storm_begun = Instant::now();
    for number in 0..STORM {
        put(11 + number, &[KEY, OTHER_KEY]);
        let next = STORM_GAP * (number as u32 + 1);
        std::thread::sleep(next.saturating_sub(storm_begun.elapsed()));
    }
    std::thread::sleep(REVOKED_AFTER.saturating_sub(begun.elapsed()));
    put(11 + STORM, &[OTHER_KEY]);
    let revoked_ms = record.now_ms();
    record.say(&format!("{:.3} s  the key is taken away", revoked_ms as f64 / 1_000.0));
    std::thread::sleep(AWAY.saturating_sub(begun.elapsed()));
    world.turns_first_away.store(false, Ordering::SeqCst);
    record.say("the store serves all machines");
    std::thread::sleep(Duration::from_secs(4));
    revoked_ms
}
