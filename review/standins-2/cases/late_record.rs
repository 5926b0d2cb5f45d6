//! A tenant sends many times its usual, twice. Between the two, one write to the store is done and not
//! answered until later. All processes are killed in the second surge.

use std::collections::HashMap;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::replica::Run;
use crate::world::{HIMA_PATRAK, Replicas, Site, World};

const RATE_PER_S: u32 = 50;
const WINDOW_MS: u64 = 5_000;
/// What the tenant sends in a surge: 7.5 times its usual, which is its allowance / 1.6.
const SURGE_PER_S: u32 = RATE_PER_S * 75 / 16;
const SENDERS: u32 = 24;
const PEERS_TOPIC: &str = "keyed.peers";

pub fn run(record: Record, is_disrupted: bool) -> io::Result<bool> {
    let loses = is_disrupted && std::env::var("LOSS").as_deref() != Ok("0");
    let site = Site { rate_per_s: RATE_PER_S, ..HIMA_PATRAK };
    let mut world = World::start(record.clone(), site, 4, Replicas { engines: 1, apps: 8 })?;
    let fronts: Vec<_> = world.machines.iter().map(|machine| machine.front).collect();
    let is_surging = AtomicBool::new(false);
    let has_ended = AtomicBool::new(false);
    let numbers = AtomicU32::new(0);
    let sent = Mutex::new(HashMap::new());
    let outcome = std::thread::scope(|scope| {
        for sender in 0..SENDERS {
            let (is_surging, has_ended, numbers, sent, fronts, record) =
                (&is_surging, &has_ended, &numbers, &sent, &fronts, &record);
            scope.spawn(move || {
                let pause = Duration::from_millis(u64::from(1_000 * SENDERS / SURGE_PER_S));
                std::thread::sleep(pause * sender / SENDERS);
                let mut next = Instant::now();
                while !has_ended.load(Ordering::SeqCst) {
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    next = (next + pause).max(Instant::now());
                    if !is_surging.load(Ordering::SeqCst) {
                        continue;
                    }
                    let number = numbers.fetch_add(1, Ordering::SeqCst);
                    let id = format!("look-{number}");
                    sent.lock().unwrap().insert(id.clone(), record.now_ms());
                    World::look_at(record, fronts[number as usize % fronts.len()], "/look/7", &id);
                }
            });
        }
        let outcome = disrupt(&mut world, &is_surging, is_disrupted, loses);
        has_ended.store(true, Ordering::SeqCst);
        outcome
    });
    outcome?;
    let sent = sent.into_inner().unwrap();
    let (most, from_ms) = most_in_a_window(&world.runs.all(), &sent);
    let allowed = f64::from(RATE_PER_S * 5 + RATE_PER_S) * 1.1 + 20.0;
    record.say(&format!(
        "QUOTA: {most} requests of the tenant were sent and ran within 5 s, from {:.3} s on ({allowed} may)",
        from_ms as f64 / 1_000.0
    ));
    Ok(f64::from(most) <= allowed)
}

fn disrupt(
    world: &mut World,
    is_surging: &AtomicBool,
    is_disrupted: bool,
    loses: bool,
) -> io::Result<()> {
    let record = world.record.clone();
    let say =
        |line: &str| record.say(&format!("{:.3} s  {line}", record.now_ms() as f64 / 1_000.0));
    let surge = |is_on: bool| is_surging.store(is_on, Ordering::SeqCst);
    surge(true);
    say("a surge begins");
    std::thread::sleep(Duration::from_millis(1_500));
    surge(false);
    say("the surge ends");
    std::thread::sleep(Duration::from_millis(4_500));
    if loses {
        say("from here on, for 4.5 s, the store loses answers of writes");
        world.store.lose_next(PEERS_TOPIC);
    }
    // The note in the store that there is no surge any more.
    let before = world.store.records_of(PEERS_TOPIC).len();
    let noted = wait(Duration::from_secs(6), || {
        let records = world.store.records_of(PEERS_TOPIC);
        records.iter().skip(before).any(|(_, value)| !value.contains("surges"))
    });
    if !noted {
        return Err(io::Error::other("no machine noted the end of the surge in the store"));
    }
    std::thread::sleep(Duration::from_millis(300));
    surge(true);
    say("a second surge begins");
    std::thread::sleep(Duration::from_millis(1_600));
    if loses {
        let late_ms = world.store.do_late();
        say(&format!("the write without an answer is done, {} ms late", late_ms.unwrap_or(0)));
    }
    if is_disrupted {
        world.kill_all(Duration::from_millis(1_000))?;
        say("all processes were killed, and start again");
    }
    std::thread::sleep(Duration::from_secs(8));
    surge(false);
    if !world.all_run() {
        return Err(io::Error::other("a process has ended"));
    }
    Ok(())
}

fn wait(limit: Duration, is_met: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if is_met() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    false
}

/// The most requests that were both sent and run within one window, and its start.
fn most_in_a_window(runs: &[Run], sent: &HashMap<String, u64>) -> (u32, u64) {
    let spans: Vec<_> =
        runs.iter().filter_map(|run| Some((*sent.get(&run.request)?, run.at_ms))).collect();
    let count = |from: u64| {
        spans.iter().filter(|(sent, ran)| *sent >= from && *ran <= from + WINDOW_MS).count() as u32
    };
    spans.iter().map(|(from, _)| (count(*from), *from)).max().unwrap_or((0, 0))
}
