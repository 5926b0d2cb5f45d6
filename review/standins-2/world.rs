//! Everything that a case starts, and the consumers' side of the system's protocol.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::http::{Answer, Channel, send};
use crate::machine::{Machine, Network, REPLICA, STORE};
use crate::record::Record;
use crate::replica::{self, Replica, Runs};
use crate::store::Store;

/// Traffic starts this long after the machines do.
const LEAD: Duration = Duration::from_secs(10);
/// `contactMs` of the settings.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// `retentionS` of the route of turns.
pub const RETENTION_S: u64 = 60;
/// How long a consumer waits for an idempotent request.
const LOOK_DEADLINE_MS: u64 = 1_500;
const KEY: &str = "3fexd9dnn2ctnfzs989a";

pub struct World {
    pub store: Store,
    pub runs: Runs,
    pub record: Record,
    pub machines: Vec<Machine>,
    pub replicas: Vec<Replica>,
    /// How long a consumer waits for one attempt.
    deadline_ms: u64,
    folder: PathBuf,
}

/// How many replicas of each service there are.
pub struct Replicas {
    pub engines: u8,
    pub apps: u8,
}

/// What differs between the sites.
pub struct Site {
    /// Requests that a model replica works on at once, and tokens that its memory holds.
    pub slots: u32,
    pub kv_tokens: u32,
    pub memory_mb: u32,
    /// The longest time of a turn.
    pub timeout_ms: u64,
    /// The allowance of the tenant, a second, and its burst; none if zero.
    pub rate_per_s: u32,
}

pub const HIMA_PATRAK: Site =
    Site { slots: 8, kv_tokens: 90_416, memory_mb: 120, timeout_ms: 3_000, rate_per_s: 0 };

impl World {
    pub fn start(
        record: Record,
        site: Site,
        machines: u8,
        replicas: Replicas,
    ) -> io::Result<World> {
        let network = Network::find()?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start(network.address(100, STORE))?;
        store.put("keyed.op", "config", &configuration(&site));
        let runs = Runs::default();
        let mut running = Vec::new();
        for number in 0..replicas.engines + replicas.apps {
            let service = if number < replicas.engines { "engines" } else { "desk" };
            let zone = format!("zone-{}", char::from(b'a' + number % 4));
            let address = network.address(101 + number, REPLICA);
            let name = format!("{service}{number}");
            let slots = if service == "engines" { site.slots } else { 6 };
            let started =
                replica::start((&name, service, &zone, slots), address, &store, &record, &runs)?;
            running.push(started);
        }
        let machines: io::Result<Vec<_>> = (0..machines)
            .map(|number| {
                Machine::start(
                    (number, network.address(100, STORE)),
                    &network,
                    site.memory_mb,
                    &folder,
                    &record,
                )
            })
            .collect();
        let world = World {
            store,
            runs,
            record,
            machines: machines?,
            replicas: running,
            deadline_ms: site.timeout_ms,
            folder,
        };
        let started = Instant::now();
        if !world.machines.iter().all(|machine| machine.wait_until_ready(LEAD)) {
            return Err(io::Error::other("a machine did not become ready"));
        }
        std::thread::sleep(LEAD.saturating_sub(started.elapsed()));
        Ok(world)
    }

    /// Opens a consumer's channel to a machine.
    pub fn channel(&self, machine: usize) -> io::Result<Channel> {
        let machine = &self.machines[machine % self.machines.len()];
        Channel::open(machine.front, Duration::from_millis(self.deadline_ms))
    }

    /// Sends one attempt of a turn to a machine, on a new channel.
    pub fn attempt(&self, machine: usize, turn: &Turn, id: &str) -> Answer {
        match self.channel(machine) {
            Ok(mut channel) => self.attempt_on(&mut channel, machine, turn, id),
            Err(_) => {
                let answer = Answer::default();
                let machine = &self.machines[machine % self.machines.len()].name;
                record_answer(&self.record, id, machine, &answer);
                answer
            }
        }
    }

    /// The same on a channel that is open.
    pub fn attempt_on(
        &self,
        channel: &mut Channel,
        machine: usize,
        turn: &Turn,
        id: &str,
    ) -> Answer {
        let machine = &self.machines[machine % self.machines.len()].name;
        let mut headers = common_headers(id, self.deadline_ms);
        let mut add = |name: &str, value: String| headers.push((name.to_string(), value));
        add("Trefoilproxy-Program-Id", turn.program.clone());
        add("Trefoilproxy-Session-Id", turn.program.clone());
        add("Trefoilproxy-Finish-Ms", turn.finish_ms.to_string());
        add("Trefoilproxy-Token-Budget", turn.budget.to_string());
        add("Trefoilproxy-Model", "m".to_string());
        add(
            "Trefoilproxy-Token-Count",
            format!("{},{}", turn.input.len() / 4 + 1, turn.max_tokens),
        );
        if let Some(previous) = &turn.previous {
            add("Trefoilproxy-Previous-Turn", previous.clone());
        }
        let previous = turn.previous.as_deref().unwrap_or("none");
        let bytes = turn.input.len();
        self.record.add(&format!(
            "send   {id} to {machine}: turn of {}, previous {previous}, {bytes} bytes",
            turn.program
        ));
        let answer = channel.send("POST", "/turns/1", &headers, turn.input.as_bytes());
        record_answer(&self.record, id, machine, &answer);
        answer
    }

    /// Sends a turn as a program does: a consumer retries once after a promise, at another machine,
    /// and a turn that has failed is sent again at most twice.
    pub fn turn(&self, machine: usize, turn: &Turn) -> Sent {
        let mut sent = Sent::default();
        for send in 0..3 {
            let begun = Instant::now();
            for retry in 0..2 {
                let id = format!("{}.{}{}", turn.name, send + 1, if retry == 0 { "" } else { "r" });
                let answer = self.attempt(machine + sent.tries.len(), turn, &id);
                let status = answer.status;
                sent.served = answer.is_served().then(|| id.clone());
                let (is_whole, text) = (answer.is_whole, answer.text());
                let wait_ms = answer.retry_after_ms();
                sent.tries.push(Try { id, text, status });
                let is_final = matches!(status, Some(400..=404 | 413)) && is_whole;
                if sent.served.is_some() || is_final {
                    return sent;
                }
                if !matches!(status, Some(429 | 503)) || !is_whole || retry == 1 {
                    break;
                }
                let left_ms = self.deadline_ms.saturating_sub(begun.elapsed().as_millis() as u64);
                std::thread::sleep(Duration::from_millis(wait_ms.unwrap_or(0).min(left_ms / 3)));
            }
            std::thread::sleep(Duration::from_millis(250));
        }
        sent
    }

    /// Sends an idempotent request to a machine, once.
    pub fn look(&self, machine: usize, path: &str, id: &str) -> Answer {
        World::look_at(&self.record, self.machines[machine].front, path, id)
    }

    /// The same for a machine's address.
    pub fn look_at(record: &Record, front: SocketAddr, path: &str, id: &str) -> Answer {
        record.add(&format!("send   {id} to {front}: GET {path}"));
        let limit = Duration::from_millis(LOOK_DEADLINE_MS);
        let headers = common_headers(id, LOOK_DEADLINE_MS);
        let answer = send(front, "GET", path, &headers, b"", limit);
        record_answer(record, id, &front.to_string(), &answer);
        answer
    }

    /// Stops and starts one machine after the other.
    pub fn restart_in_turn(&mut self, mut between: impl FnMut(&World, usize)) -> io::Result<()> {
        for number in 0..self.machines.len() {
            self.machines[number].stop();
            self.machines[number].run()?;
            if !self.machines[number].wait_until_ready(LEAD) {
                return Err(io::Error::other("a machine did not become ready after its restart"));
            }
            between(self, number);
        }
        Ok(())
    }

    /// Kills all processes at once, and starts them again.
    pub fn kill_all(&mut self, down: Duration) -> io::Result<()> {
        self.machines.iter_mut().for_each(Machine::kill);
        std::thread::sleep(down);
        self.machines.iter_mut().try_for_each(Machine::run)
    }

    /// Whether a replica ran the request with this body.
    pub fn ran_with(&self, id: &str, body: &str) -> bool {
        let runs = self.runs.of(id);
        runs.len() == 1 && runs[0].body_hash == replica::hash(body.as_bytes())
    }

    /// Whether all processes run that should.
    pub fn all_run(&mut self) -> bool {
        self.machines.iter_mut().all(Machine::is_running)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.machines.clear();
        match std::env::var("KEEP_LOGS") {
            Ok(_) => println!("logs: {}", self.folder.display()),
            Err(_) => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

fn record_answer(record: &Record, id: &str, machine: &str, answer: &Answer) {
    let retry = answer.retry_after_ms().map(|ms| format!(", again after {ms} ms"));
    let retry = retry.unwrap_or_default();
    record.add(&format!("answer {id} from {machine}: {}{retry}", answer.text()));
}

fn common_headers(id: &str, deadline_ms: u64) -> Vec<(String, String)> {
    let headers = [
        ("Host", "desk.example".to_string()),
        ("Trefoilproxy-Request-Id", id.to_string()),
        ("Trefoilproxy-Deadline-Ms", deadline_ms.to_string()),
        ("Authorization", format!("Bearer {KEY}")),
    ];
    headers.map(|(name, value)| (name.to_string(), value)).to_vec()
}

/// A turn of a program.
#[derive(Clone)]
pub struct Turn {
    /// The first part of the ids of its attempts.
    pub name: String,
    pub program: String,
    pub previous: Option<String>,
    pub input: String,
    pub budget: u64,
    pub max_tokens: u64,
    /// The time until the program's aim.
    pub finish_ms: u64,
}

pub struct Try {
    pub id: String,
    pub text: String,
    pub status: Option<u16>,
}

/// A turn that was sent, with all its tries.
#[derive(Default)]
pub struct Sent {
    pub tries: Vec<Try>,
    /// The id of the try that was answered whole.
    pub served: Option<String>,
}

impl Sent {
    pub fn last_status(&self) -> Option<u16> {
        self.tries.last().and_then(|last| last.status)
    }

    pub fn texts(&self) -> String {
        self.tries.iter().map(|sent| sent.text.as_str()).collect::<Vec<_>>().join(", ")
    }
}

/// Runs a function for each number at the same time, `at_once` of them together.
pub fn in_parallel<T: Send>(
    count: usize,
    at_once: usize,
    run: impl Fn(usize) -> T + Sync,
) -> Vec<T> {
    let mut results = Vec::new();
    let run = &run;
    for first in (0..count).step_by(at_once) {
        let numbers = first..(first + at_once).min(count);
        let batch: Vec<T> = std::thread::scope(|scope| {
            let threads: Vec<_> = numbers.map(|number| scope.spawn(move || run(number))).collect();
            threads.into_iter().map(|thread| thread.join().expect("a consumer panicked")).collect()
        });
        results.extend(batch);
    }
    results
}

/// The operator's config: two routes and one tenant.
fn configuration(site: &Site) -> String {
    let Site { slots, kv_tokens, timeout_ms, rate_per_s, .. } = site;
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-turns","hostname":"desk.example","pathPrefix":"/turns/","routeType":"streaming","timeoutMs":{timeout_ms},"targetLatencyMs":200,"priority":1,"service":"engines","attempts":2,"stateful":true,"retentionS":{RETENTION_S}.0,"public":false,"sticky":true,"resumable":false,"gapAimMs":150}},{{"name":"r-look","hostname":"desk.example","pathPrefix":"/look/","routeType":"idempotent","timeoutMs":1500,"targetLatencyMs":250,"priority":2,"service":"desk","attempts":1,"public":false,"sticky":false}}],"services":[{{"name":"engines","healthPath":"/healthz","maxConns":140,"protocol":"h1","tls":false,"engine":{{"slots":{slots},"kvTokens":{kv_tokens},"kvBytes":18432,"linkMbps":130000.0,"moves":true,"backups":true,"stride":14,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}},{{"name":"desk","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1,"ratePerS":{rate_per_s},"burst":{rate_per_s}}}]}}"#
    )
}
