//! One tenant's turns have inputs that a body may have and a record of the store may not.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::{Channel, Config, Journal, KAURI_DRAW, Message, World, new_id};

/// Length of the traffic.
const TRAFFIC_MS: u64 = 90_000;
/// When the large turns begin, how many there are, and their pace.
const UPLOADS_FROM_MS: u64 = 2_000;
const UPLOADS: u64 = 120;
const UPLOAD_GAP_MS: u64 = 100;
/// Input of a large turn: under `maxBodyBytes` (4,194,304), over `recordBytes` (262,144).
const LARGE_BYTES: usize = 300_000;
/// The same without the trouble.
const SMALL_BYTES: usize = 30_000;
/// Pace of the other tenants' programs and calls.
const PROGRAM_GAP_MS: u64 = 160;
const CALL_GAP_MS: u64 = 50;
const TIME_LIMIT_MS: u64 = KAURI_DRAW.turn_limit_ms;

const UPLOADER: &str = "tenant1";
const WRITER: &str = "tenant2";
const CALLER: &str = "tenant3";

fn key_of(tenant: &str) -> String {
    format!("key-of-{tenant}-3fexd9dnn2")
}

/// How a tenant's requests ended.
#[derive(Default, Clone, Copy)]
struct Tally {
    asked: u64,
    served: u64,
    /// Ended with another status.
    failed: u64,
    /// Ended within the answer, or with none.
    cut: u64,
}

impl Tally {
    fn share(self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

#[derive(Default)]
struct Tallies(Mutex<Vec<(u64, &'static str, Outcome)>>);

#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Served,
    Failed,
    Cut,
}

impl Tallies {
    fn of(&self, tenant: Option<&str>, from_ms: u64) -> Tally {
        let mut tally = Tally::default();
        for (at, of, outcome) in self.0.lock().unwrap().iter() {
            if *at < from_ms || tenant.is_some_and(|tenant| tenant != *of) {
                continue;
            }
            tally.asked += 1;
            match outcome {
                Outcome::Served => tally.served += 1,
                Outcome::Failed => tally.failed += 1,
                Outcome::Cut => tally.cut += 1,
            }
        }
        tally
    }
}

#[derive(Clone)]
struct Consumers {
    journal: Arc<Journal>,
    tallies: Arc<Tallies>,
    fronts: Vec<SocketAddr>,
    traffic_from: u64,
}

impl Consumers {
    fn record(&self, tenant: &'static str, at: u64, id: &str, answer: Option<Message>) -> bool {
        let outcome = match &answer {
            Some(answer) if answer.status() == 200 && answer.whole => Outcome::Served,
            Some(answer) if answer.whole => Outcome::Failed,
            Some(_) | None => Outcome::Cut,
        };
        let status = answer.as_ref().map_or(0, Message::status);
        let whole = answer.is_some_and(|answer| answer.whole);
        let took_ms = self.journal.ms() - at;
        self.journal.note(&format!(
            "consumer {tenant}: {id} sent at {at} ms, answer {status}, whole {whole}, {took_ms} ms"
        ));
        self.tallies.0.lock().unwrap().push((at - self.traffic_from, tenant, outcome));
        outcome == Outcome::Served
    }

    /// Sends one turn of a program, and returns its id if it was served whole.
    fn turn(
        &self,
        channel: &mut Channel,
        (tenant, program): (&'static str, &str),
        previous: Option<&str>,
        input: &[u8],
    ) -> Option<String> {
        let id = new_id("turn");
        let mut headers = vec![
            ("Host", "ficu95.example".to_string()),
            ("Trefoilproxy-Request-Id", id.clone()),
            ("Trefoilproxy-Deadline-Ms", TIME_LIMIT_MS.to_string()),
            ("Authorization", format!("Bearer {}", key_of(tenant))),
            ("Trefoilproxy-Program-Id", program.to_string()),
            ("Trefoilproxy-Session-Id", format!("s-{program}")),
            ("Trefoilproxy-Finish-Ms", "20000".to_string()),
            ("Trefoilproxy-Token-Budget", "5000".to_string()),
            ("Trefoilproxy-Token-Count", format!("{},80", input.len())),
        ];
        if let Some(previous) = previous {
            headers.push(("Trefoilproxy-Previous-Turn", previous.to_string()));
        }
        let at = self.journal.ms();
        let answer = channel.call("POST", "/lohu930/4b", &headers, input, TIME_LIMIT_MS + 1_000);
        self.record(tenant, at, &id, answer).then_some(id)
    }

    /// A program of two turns.
    fn program(&self, number: u64) {
        let program = new_id("program");
        let mut channel = Channel::new(self.fronts[number as usize % self.fronts.len()]);
        let first = self.turn(&mut channel, (WRITER, &program), None, b"first input");
        if let Some(first) = first {
            thread::sleep(Duration::from_millis(20));
            self.turn(&mut channel, (WRITER, &program), Some(&first), b"second input");
        }
    }

    /// A program whose second turn, on the same channel, has the large input.
    fn upload(&self, number: u64, bytes: usize) {
        let program = new_id("program");
        let mut channel = Channel::new(self.fronts[number as usize % self.fronts.len()]);
        let first = self.turn(&mut channel, (UPLOADER, &program), None, b"first input");
        if let Some(first) = first {
            self.turn(&mut channel, (UPLOADER, &program), Some(&first), &vec![b'x'; bytes]);
        }
    }

    fn call(&self, number: u64) {
        let id = new_id("lookup");
        let headers = [
            ("Host", "ficu95.example".to_string()),
            ("Trefoilproxy-Request-Id", id.clone()),
            ("Trefoilproxy-Deadline-Ms", "1500".to_string()),
            ("Authorization", format!("Bearer {}", key_of(CALLER))),
        ];
        let at = self.journal.ms();
        let mut channel = Channel::new(self.fronts[number as usize % self.fronts.len()]);
        let answer = channel.call("GET", "/pule252/2f", &headers, b"", 1_500);
        self.record(CALLER, at, &id, answer);
    }

    /// Runs `one` for each number below `count`, each `gap_ms`, whatever becomes of the earlier ones.
    fn spread(
        &self,
        (from_ms, count, gap_ms): (u64, u64, u64),
        one: impl Fn(&Consumers, u64) + Send + Sync + Clone + 'static,
    ) -> thread::JoinHandle<()> {
        let consumers = self.clone();
        thread::spawn(move || {
            let mut started = Vec::new();
            for number in 0..count {
                let due = consumers.traffic_from + from_ms + number * gap_ms;
                let left = due.saturating_sub(consumers.journal.ms());
                thread::sleep(Duration::from_millis(left));
                let (consumers, one) = (consumers.clone(), one.clone());
                started.push(thread::spawn(move || one(&consumers, number)));
            }
            started.into_iter().for_each(|thread| drop(thread.join()));
        })
    }
}

pub fn play(journal: Arc<Journal>, is_trouble: bool) -> Option<bool> {
    let tenants = [UPLOADER, WRITER, CALLER];
    let tenants = tenants.map(|tenant| (tenant.to_string(), vec![key_of(tenant)])).to_vec();
    let config = Config { site: &KAURI_DRAW, version: 1, idle_routes: 8, tenants };
    let world = World::start(journal.clone(), &config)?;
    // The shards get their owners within a second of the machines' start.
    thread::sleep(Duration::from_millis(3_000));
    let consumers = Consumers {
        traffic_from: journal.ms(),
        journal: journal.clone(),
        tallies: Arc::default(),
        fronts: world.edges.iter().map(|edge| edge.front).collect(),
    };
    let bytes = if is_trouble { LARGE_BYTES } else { SMALL_BYTES };
    let traffic = [
        consumers.spread((0, TRAFFIC_MS / PROGRAM_GAP_MS, PROGRAM_GAP_MS), Consumers::program),
        consumers.spread((0, TRAFFIC_MS / CALL_GAP_MS, CALL_GAP_MS), Consumers::call),
        consumers.spread((UPLOADS_FROM_MS, UPLOADS, UPLOAD_GAP_MS), move |consumers, number| {
            consumers.upload(number, bytes)
        }),
    ];
    traffic.into_iter().for_each(|thread| drop(thread.join()));

    let ran: std::collections::HashSet<String> =
        world.runs.all().into_iter().map(|run| run.request).collect();
    journal.say(&format!("{} requests ran at replicas", ran.len()));
    let after_uploads = UPLOADS_FROM_MS + UPLOADS * UPLOAD_GAP_MS + TIME_LIMIT_MS;
    for from_ms in [0, after_uploads] {
        for tenant in [Some(UPLOADER), Some(WRITER), Some(CALLER), None] {
            let tally = consumers.tallies.of(tenant, from_ms);
            journal.say(&format!(
                "from {from_ms} ms of the traffic on, {}: asked {}, served {}, failed {}, cut {}; \
                 share {:.3}",
                tenant.unwrap_or("all"), tally.asked, tally.served, tally.failed, tally.cut,
                tally.share()
            ));
        }
    }
    let all = consumers.tallies.of(None, 0);
    let writer = consumers.tallies.of(Some(WRITER), 0);
    let early = consumers.tallies.of(Some(WRITER), 0).asked > 100;
    (early && all.served > 100).then_some(writer.share() < all.share() / 4.0)
}
