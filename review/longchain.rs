//! New programs go on from the last turn of a long chain.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::{Channel, Config, Journal, KAURI_DRAW, World, new_id};

/// Turns of the chain, and the input of each: each under `recordBytes` (262,144) with its output, all
/// together under the memory of a replica (1,181,151 tokens, at one token a byte).
const TURNS: usize = 5;
const LONG_BYTES: usize = 215_000;
/// The same without the trouble.
const SHORT_BYTES: usize = 2_000;
/// Programs that go on from the chain, the same number that begins anew, and tries of each turn.
const PROGRAMS: usize = 12;
const TRIES: usize = 6;
/// The aim of a program, within which all its tries are made.
const AIM_MS: u64 = 20_000;
const TIME_LIMIT_MS: u64 = KAURI_DRAW.turn_limit_ms;
const KEY: &str = "nu6wsjnbanfqasnmgkcu";

struct Consumer {
    journal: Arc<Journal>,
    fronts: Vec<SocketAddr>,
}

impl Consumer {
    /// Sends a turn to one machine. Returns its id and the status, 0 for no whole answer.
    fn turn(
        &self,
        machine: usize,
        program: &str,
        (previous, parts): (Option<&str>, &[String]),
        input: &[u8],
    ) -> (String, u16) {
        let id = new_id("turn");
        let mut headers = vec![
            ("Host", "ficu95.example".to_string()),
            ("Trefoilproxy-Request-Id", id.clone()),
            ("Trefoilproxy-Deadline-Ms", TIME_LIMIT_MS.to_string()),
            ("Authorization", format!("Bearer {KEY}")),
            ("Trefoilproxy-Program-Id", program.to_string()),
            ("Trefoilproxy-Session-Id", format!("s-{program}")),
            ("Trefoilproxy-Finish-Ms", AIM_MS.to_string()),
            ("Trefoilproxy-Token-Budget", "50000".to_string()),
            ("Trefoilproxy-Token-Count", format!("{},80", parts.len() * input.len())),
            ("Trefoilproxy-Prompt-Prefix", parts.join(",")),
        ];
        if let Some(previous) = previous {
            headers.push(("Trefoilproxy-Previous-Turn", previous.to_string()));
        }
        let at = self.journal.ms();
        let mut channel = Channel::new(self.fronts[machine % self.fronts.len()]);
        let answer = channel.call("POST", "/lohu930/4b", &headers, input, TIME_LIMIT_MS + 1_000);
        let status = answer.filter(|answer| answer.whole).map_or(0, |answer| answer.status());
        let took_ms = self.journal.ms() - at;
        let previous = previous.unwrap_or("none");
        self.journal.note(&format!(
            "consumer: {id} of {program}, previous {previous}, sent at {at} ms to machine {}, \
             answer {status} after {took_ms} ms",
            machine % self.fronts.len()
        ));
        (id, status)
    }
}

pub fn play(journal: Arc<Journal>, is_trouble: bool) -> Option<bool> {
    let tenants = vec![("hule930".to_string(), vec![KEY.to_string()])];
    let config = Config { site: &KAURI_DRAW, version: 1, idle_routes: 8, tenants };
    let world = World::start(journal.clone(), &config)?;
    thread::sleep(Duration::from_millis(4_000));
    let fronts = world.edges.iter().map(|edge| edge.front).collect();
    let consumer = Consumer { journal: journal.clone(), fronts };

    let bytes = if is_trouble { LONG_BYTES } else { SHORT_BYTES };
    let (mut parts, mut last): (Vec<String>, Option<String>) = (vec![], None);
    for number in 0..TURNS {
        parts.push(format!("5c1e07a{number}:{bytes}"));
        let input = vec![b'a' + number as u8; bytes];
        let (id, status) = consumer.turn(number, "chain", (last.as_deref(), &parts), &input);
        if status != 200 {
            journal.say(&format!("turn {number} of the chain was answered {status}"));
            return None;
        }
        last = Some(id);
        thread::sleep(Duration::from_millis(60));
    }
    let last = last?;
    let answered_at = journal.ms();
    journal.say(&format!("a chain of {TURNS} turns of {bytes} bytes was answered whole"));

    let mut tried: Vec<(Vec<String>, u64)> = Vec::new();
    let mut first_turns = Vec::new();
    for number in 0..PROGRAMS {
        let fresh = format!("fresh{number:02}");
        first_turns.push(consumer.turn(number, &fresh, (None, &["77d20b:10".into()]), b"new").0);
        let (program, begun) = (format!("branch{number:02}"), journal.ms());
        let mut ids = Vec::new();
        for attempt in 0..TRIES {
            let (id, status) =
                consumer.turn(number + attempt, &program, (Some(&last), &parts), b"go on");
            ids.push(id);
            if status == 200 || journal.ms() - begun > AIM_MS {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        tried.push((ids, journal.ms() - answered_at));
        if journal.ms() > 95_000 {
            break;
        }
    }
    let ran: HashSet<String> = world.runs.all().into_iter().map(|run| run.request).collect();
    let reached = first_turns.iter().filter(|id| ran.contains(*id)).count();
    // All tries of a program within `retentionS` (60 s) of the end of the chain's last turn.
    let lost = tried.iter().filter(|(ids, ended_ms)| {
        *ended_ms < 58_000 && ids.len() >= 5 && ids.iter().all(|id| !ran.contains(id))
    });
    let lost = lost.count();
    journal.say(&format!(
        "{} programs went on from the chain, {lost} reached no replica in {TRIES} tries; {reached} of \
         {} first turns reached one",
        tried.len(),
        first_turns.len()
    ));
    let enough = reached * 10 >= first_turns.len() * 9;
    enough.then_some(lost > 0)
}
