//! A key is taken away while the store turns one machine away, in the course of a burst of configs.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::{Channel, Config, HIMA_PATRAK, Journal, STOP, Treatment, World, new_id};

/// `revokeMs` of the settings.
const REVOKE_MS: u64 = 5_000;
/// How long the store turns the machine away (`platform_down`, `nodes busy`, 9 s).
const TURNED_AWAY_MS: u64 = 9_000;
/// Routes that `big_config` adds.
const IDLE_ROUTES: usize = 350;
/// `config_storm`: one change each 0.33 s for 4 s.
const STORM_CONFIGS: u64 = 12;
const STORM_GAP_MS: u64 = 330;
/// Consumers with the key that is taken away, each with a channel to the machine, and their pace.
const CONSUMERS: usize = 16;
const PACE_MS: u64 = 60;
/// When the key is taken away, after the machine was turned away.
const REVOKED_AFTER_MS: u64 = 3_850;

const LOST_KEY: &str = "nu6wsjnbanfqasnmgkcu";

fn config(version: u64, is_revoked: bool) -> Config {
    let mut tenants: Vec<(String, Vec<String>)> = (1..8)
        .map(|number| (format!("tenant{number}"), vec![format!("3fexd9dnn2ctnfzs98{number:02}")]))
        .collect();
    let mut keys = vec!["3fexd9dnn2ctnfzs989a".to_string()];
    if !is_revoked {
        keys.push(LOST_KEY.to_string());
    }
    tenants.push(("hule930".to_string(), keys));
    Config { site: &HIMA_PATRAK, version, idle_routes: IDLE_ROUTES, tenants }
}

type Sent = Arc<Mutex<HashMap<String, u64>>>;

/// A consumer that goes on to use the key on its channel to one machine.
fn consume(journal: Arc<Journal>, address: std::net::SocketAddr, sent: Sent, place: usize) {
    let mut channel = Channel::new(address);
    thread::sleep(Duration::from_millis(place as u64 * PACE_MS / CONSUMERS as u64));
    while !STOP.load(Ordering::SeqCst) {
        let id = new_id("lookup");
        let headers = [
            ("Host", "ficu95.example".to_string()),
            ("Trefoilproxy-Request-Id", id.clone()),
            ("Trefoilproxy-Deadline-Ms", "1500".to_string()),
            ("Authorization", format!("Bearer {LOST_KEY}")),
        ];
        let at = journal.ms();
        sent.lock().unwrap().insert(id.clone(), at);
        let answer = channel.call("GET", "/pule252/2f", &headers, b"", 1_500);
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        journal.note(&format!("consumer: {id} sent at {at} ms was answered {status}"));
        let took_ms = journal.ms() - at;
        thread::sleep(Duration::from_millis(PACE_MS.saturating_sub(took_ms)));
    }
}

pub fn play(journal: Arc<Journal>, is_trouble: bool) -> Option<bool> {
    let mut version = 1;
    let world = World::start(journal.clone(), &config(version, false))?;
    let sent = Sent::default();
    let cut = &world.edges[0];
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|place| {
            let (journal, sent, front) = (journal.clone(), sent.clone(), cut.front);
            thread::spawn(move || consume(journal, front, sent, place))
        })
        .collect();
    thread::sleep(Duration::from_millis(4_000));

    let start = journal.ms();
    let sleep_until = |at: u64| {
        thread::sleep(Duration::from_millis((start + at).saturating_sub(journal.ms())));
    };
    if is_trouble {
        cut.treat(Treatment::Busy);
        journal.say("the store turns edge-kutch-a-1 away with 503");
    }
    for change in 0..STORM_CONFIGS {
        sleep_until(30 + change * STORM_GAP_MS);
        version += 1;
        let json = config(version, false).json();
        world.store.put("keyed.op", "config", &json);
        journal.note(&format!("operator: version {version}, {} bytes, acknowledged", json.len()));
    }
    sleep_until(REVOKED_AFTER_MS);
    version += 1;
    world.store.put("keyed.op", "config", &config(version, true).json());
    let acknowledged = journal.ms();
    journal.say(&format!("operator: version {version} takes a key away, acknowledged"));
    sleep_until(TURNED_AWAY_MS);
    if is_trouble {
        cut.treat(Treatment::Serve);
        journal.say("the store serves edge-kutch-a-1 again");
    }
    thread::sleep(Duration::from_millis(4_000));
    STOP.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|consumer| drop(consumer.join()));

    let sent = sent.lock().unwrap();
    let runs = world.runs.all();
    let ran_before = runs.iter().filter(|run| run.at_ms < acknowledged).count();
    let late: Vec<_> = runs
        .iter()
        .filter_map(|run| Some((run, *sent.get(&run.request)?)))
        .filter(|(_, sent_ms)| *sent_ms > acknowledged + REVOKE_MS)
        .collect();
    for (run, sent_ms) in &late {
        journal.note(&format!(
            "BROKEN: {} was sent {} ms after the acknowledgement, and ran on {} as tenant {}",
            run.request, sent_ms - acknowledged, run.replica, run.tenant
        ));
    }
    let asked = sent.values().filter(|at| **at > acknowledged + REVOKE_MS).count();
    journal.say(&format!(
        "{ran_before} requests with the key ran before; of {asked} sent later than {REVOKE_MS} ms \
         after it was taken away, {} ran",
        late.len()
    ));
    (ran_before > 100 && asked > 100).then_some(!late.is_empty())
}
