//! Stand-ins of the platform, of replicas and of consumers for the scripts in this folder, and the
//! scripts' courses of events. It uses the standard library only; `build.sh` compiles it.
//!
//! Usage: standins CASE FOLDER, in the root of the repository. It writes FOLDER/record.txt and exits
//! with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 in the
//! environment, the disruption is left out.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

mod longchain;
mod oversized;
mod revoked;

/// Ports of a machine, as in the example of the users' settings.
const FRONT_PORT: u16 = 8368;
const READY_PORT: u16 = 8369;
const PEER_PORTS: (u16, u16) = (7780, 7795);
const STORE_PORT: u16 = 8362;
const REPLICA_PORT: u16 = 8080;

/// Figures of the store in the users' settings.
const PARTS: usize = 12;
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
const STORE_ANSWER_MS: u64 = 4;
const READ_BYTES_PER_MS: usize = 80_000;
const NEWEST_ITEMS: usize = 500;
const NEWEST_BYTES: usize = 1_000_000;
const REPEATABLE_APPENDS: usize = 5;
const BEAT_MS: u64 = 1_200;

// ---------------------------------------------------------------------------------------------
// The record of a run.

pub struct Journal {
    started: Instant,
    file: Mutex<File>,
}

impl Journal {
    fn open(folder: &str) -> Arc<Journal> {
        let file = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
        Arc::new(Journal { started: Instant::now(), file: Mutex::new(file) })
    }

    /// Milliseconds since the start of the case.
    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: &str) {
        let at = self.ms();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:>7} ms  {line}").expect("record.txt");
    }

    /// A line for the record and for the terminal.
    pub fn say(&self, line: &str) {
        self.note(line);
        println!("{line}");
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1.

#[derive(Default, Clone)]
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` if the channel ends before it.
fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end_matches(['\r', '\n']);
        if message.first.is_empty() {
            if !text.is_empty() {
                message.first = text.splitn(3, ' ').map(str::to_string).collect();
            }
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
}

/// Reads the body that the head announces.
fn read_body(reader: &mut impl BufRead, message: &mut Message) -> std::io::Result<()> {
    let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return Ok(()) };
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece)?;
            if size == 0 {
                message.whole = true;
                return Ok(());
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    }
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = body;
    message.whole = true;
    Ok(())
}

/// Accepts channels and calls `handle` with each request, until the process ends. `handle` returns
/// whether the channel stays open.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&Message, &mut TcpStream) -> std::io::Result<bool> + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address).unwrap_or_else(|fault| {
        eprintln!("cannot listen on {address}: {fault}");
        std::process::exit(2)
    });
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let serving = move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(mut request)) = read_head(&mut reader) {
                    if read_body(&mut reader, &mut request).is_err() {
                        return;
                    }
                    if !handle(&request, &mut writer).unwrap_or(false) {
                        return;
                    }
                }
            };
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(serving);
        }
    });
}

pub fn answer(
    to: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)
}

// ---------------------------------------------------------------------------------------------
// The platform's store.

type KeyedRecord = (String, Option<Vec<u8>>);

#[derive(Default)]
struct ProducerState {
    epoch: u64,
    last: Option<u64>,
    answers: VecDeque<(u64, (u64, u64))>,
}

#[derive(Default)]
struct Partition {
    records: Vec<KeyedRecord>,
    producers: HashMap<String, ProducerState>,
}

/// The members of a group, and which of them holds each partition.
#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, (Instant, Duration)>,
    holders: Vec<Option<String>>,
    assigned: Vec<Option<String>>,
}

impl Group {
    fn expire(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, (seen, ttl)| seen.elapsed() < *ttl);
        if self.members.len() != before {
            self.deal();
        }
    }

    fn deal(&mut self) {
        self.generation += 1;
        let names: Vec<String> = self.members.keys().cloned().collect();
        for part in 0..PARTS {
            let name = (!names.is_empty()).then(|| names[part % names.len()].clone());
            self.assigned[part] = name;
            let holds = self.holders[part].as_ref().is_some_and(|h| self.members.contains_key(h));
            if !holds {
                self.holders[part] = None;
            }
        }
    }

    fn join(&mut self, member: &str, generation: u64, ttl: Duration) -> Vec<usize> {
        self.expire();
        if self.members.insert(member.to_string(), (Instant::now(), ttl)).is_none() {
            self.deal();
        }
        for part in 0..PARTS {
            let is_mine = self.assigned[part].as_deref() == Some(member);
            let is_held = self.holders[part].as_deref() == Some(member);
            if is_held && !is_mine && generation >= self.generation {
                self.holders[part] = None;
            }
            if is_mine && self.holders[part].is_none() {
                self.holders[part] = Some(member.to_string());
            }
        }
        let mine = |name: &Option<String>| name.as_deref() == Some(member);
        (0..PARTS).filter(|p| mine(&self.assigned[*p]) && mine(&self.holders[*p])).collect()
    }

    fn leave(&mut self, member: &str) {
        if self.members.remove(member).is_some() {
            self.deal();
        }
    }
}

#[derive(Default)]
struct StoreState {
    partitions: HashMap<(String, usize), Partition>,
    groups: HashMap<String, Group>,
}

/// How the store treats the calls of one machine.
#[derive(Clone, Copy, PartialEq)]
#[repr(u8)]
pub enum Treatment {
    Serve = 0,
    /// It refuses every call with 503.
    Busy = 1,
}

pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    journal: Arc<Journal>,
}

impl Store {
    pub fn open(journal: &Arc<Journal>) -> Arc<Store> {
        let (state, changed) = (Mutex::default(), Condvar::new());
        Arc::new(Store { state, changed, journal: journal.clone() })
    }

    /// Serves one machine on an address of its own. The returned switch holds a [`Treatment`].
    pub fn listen(self: &Arc<Store>, address: SocketAddr) -> Arc<AtomicU8> {
        let treatment = Arc::new(AtomicU8::new(Treatment::Serve as u8));
        let (store, switch) = (self.clone(), treatment.clone());
        serve(address, move |request, to| {
            if switch.load(Ordering::SeqCst) == Treatment::Busy as u8 {
                answer(to, "503 Service Unavailable", &[], b"")?;
                return Ok(true);
            }
            let (status, body) = store.execute(request);
            let sending = Duration::from_millis((body.len() / READ_BYTES_PER_MS) as u64);
            thread::sleep(Duration::from_millis(STORE_ANSWER_MS) + sending);
            // A machine that is turned away meanwhile gets no answer of the store any more.
            if switch.load(Ordering::SeqCst) == Treatment::Busy as u8 {
                answer(to, "503 Service Unavailable", &[], b"")?;
                return Ok(true);
            }
            answer(to, status, &[("Content-Type", "application/json")], &body)?;
            Ok(true)
        });
        treatment
    }

    /// Writes a record as the operator or a replica does. The return is the acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        assert!(value.len() < RECORD_BYTES, "a record is too large for the store");
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry((topic.to_string(), 0)).or_default();
        partition.records.push((key.to_string(), Some(value.as_bytes().to_vec())));
        drop(state);
        self.changed.notify_all();
    }

    fn execute(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let target = request.first.get(1).cloned().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        match path {
            "/v1/log-append" => self.append(&query, &request.body),
            "/v1/log-read" => self.read(&query),
            "/v1/log-newest" => self.newest(&query),
            "/v1/log-join" => self.join(&request.body),
            "/v1/log-leave" => self.leave(&request.body),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn append(&self, query: &HashMap<&str, &str>, body: &[u8]) -> (&'static str, Vec<u8>) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let (topic, part) = partition_of(query);
        let Some(records) = split_records(body) else {
            return ("400 Bad Request", Vec::new());
        };
        let largest = records.iter().map(|(_, size)| *size).max().unwrap_or(0);
        if largest > RECORD_BYTES || body.len() > CALL_BYTES {
            self.journal.note(&format!(
                "store: refused an append to {topic}/{part} of {} bytes, largest record {largest}",
                body.len()
            ));
            return ("413 Content Too Large", Vec::new());
        }
        let records: Vec<KeyedRecord> = records.into_iter().map(|(record, _)| record).collect();
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry((topic, part)).or_default();
        let end = partition.records.len() as u64;
        if let Some(name) = query.get("producer") {
            let (epoch, sequence) = (number("epoch").unwrap_or(0), number("seqNo").unwrap_or(0));
            let known = partition.producers.entry(name.to_string()).or_default();
            if epoch < known.epoch {
                return ("409 Conflict", br#"{"why":"fenced"}"#.to_vec());
            }
            if epoch > known.epoch {
                *known = ProducerState { epoch, ..ProducerState::default() };
            }
            if !records.is_empty() {
                if let Some((_, first)) = known.answers.iter().find(|(at, _)| *at == sequence) {
                    return ("200 OK", offsets(first.0, first.1));
                }
                if let Some(last) = known.last.filter(|last| sequence != last + 1) {
                    let why = format!(r#"{{"why":"seq","seqNo":{}}}"#, last + 1);
                    return ("409 Conflict", why.into_bytes());
                }
                known.last = Some(sequence);
                known.answers.push_back((sequence, (end, end + records.len() as u64)));
                if known.answers.len() > REPEATABLE_APPENDS {
                    known.answers.pop_front();
                }
            }
        }
        partition.records.extend(records);
        let now_at = partition.records.len() as u64;
        drop(state);
        self.changed.notify_all();
        ("200 OK", offsets(end, now_at))
    }

    fn read(&self, query: &HashMap<&str, &str>) -> (&'static str, Vec<u8>) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let most = number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let place = partition_of(query);
        let mut state = self.state.lock().unwrap();
        loop {
            let partition = state.partitions.entry(place.clone()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if partition.records.len() > from || left.is_zero() {
                let end = partition.records.len() as u64;
                let mut bytes = [end.to_be_bytes(), 0_u64.to_be_bytes()].concat();
                let head = bytes.len();
                for record in partition.records.iter().skip(from) {
                    let encoded = encode_record(record);
                    if bytes.len() > head && bytes.len() + encoded.len() > most {
                        break;
                    }
                    bytes.extend(encoded);
                }
                return ("200 OK", bytes);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, query: &HashMap<&str, &str>) -> (&'static str, Vec<u8>) {
        let after = query.get("after").copied().unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry(partition_of(query)).or_default();
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in partition.records.iter().enumerate() {
            match value {
                Some(value) => drop(newest.insert(key, (offset, value))),
                None => drop(newest.remove(key.as_str())),
            }
        }
        let later: Vec<_> = newest.into_iter().filter(|(key, _)| *key > after).collect();
        let (mut items, mut bytes) = (Vec::new(), 0);
        for (key, (offset, value)) in &later {
            if items.len() == NEWEST_ITEMS || bytes > 0 && bytes + value.len() > NEWEST_BYTES {
                break;
            }
            bytes += value.len();
            let value = base64(value);
            items.push(format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#));
        }
        let more = items.len() < later.len();
        let end = partition.records.len();
        let items = items.join(",");
        ("200 OK", format!(r#"{{"items":[{items}],"morePages":{more},"end":{end}}}"#).into_bytes())
    }

    fn join(&self, body: &[u8]) -> (&'static str, Vec<u8>) {
        let json = String::from_utf8_lossy(body);
        let (group, member) = (text_field(&json, "group"), text_field(&json, "member"));
        let ttl = Duration::from_millis(number_field(&json, "ttlMs").max(1_000));
        let mut state = self.state.lock().unwrap();
        let group = state.groups.entry(group).or_insert_with(|| Group {
            holders: vec![None; PARTS],
            assigned: vec![None; PARTS],
            ..Group::default()
        });
        let held = group.join(&member, number_field(&json, "generation"), ttl);
        let rows: Vec<String> = held.iter().map(|p| format!(r#"["keyed.turns",{p},0]"#)).collect();
        let (generation, rows) = (group.generation, rows.join(","));
        let ttl_ms = ttl.as_millis();
        let json = format!(r#"{{"generation":{generation},"ttlMs":{ttl_ms},"parts":[{rows}]}}"#);
        ("200 OK", json.into_bytes())
    }

    fn leave(&self, body: &[u8]) -> (&'static str, Vec<u8>) {
        let json = String::from_utf8_lossy(body);
        let mut state = self.state.lock().unwrap();
        if let Some(group) = state.groups.get_mut(&text_field(&json, "group")) {
            group.leave(&text_field(&json, "member"));
        }
        ("200 OK", b"{}".to_vec())
    }
}

fn partition_of(query: &HashMap<&str, &str>) -> (String, usize) {
    let part = query.get("part").and_then(|text| text.parse().ok()).unwrap_or(0);
    (query.get("topic").copied().unwrap_or_default().to_string(), part)
}

fn offsets(first: u64, end: u64) -> Vec<u8> {
    format!(r#"{{"offset":{first},"end":{end}}}"#).into_bytes()
}

/// The records of an append, with the size of each.
fn split_records(mut bytes: &[u8]) -> Option<Vec<(KeyedRecord, usize)>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let length = u32::from_be_bytes(*length) as usize;
        let (record, rest) = rest.split_at_checked(length)?;
        let (key_length, record) = record.split_first()?;
        let (key, value) = record.split_at_checked(usize::from(*key_length))?;
        let value = (!value.is_empty()).then(|| value.to_vec());
        records.push(((String::from_utf8(key.to_vec()).ok()?, value), length));
        bytes = rest;
    }
    Some(records)
}

fn encode_record((key, value): &KeyedRecord) -> Vec<u8> {
    let value = value.as_deref().unwrap_or_default();
    let mut bytes = ((1 + key.len() + value.len()) as u32).to_be_bytes().to_vec();
    bytes.push(key.len() as u8);
    bytes.extend_from_slice(key.as_bytes());
    bytes.extend_from_slice(value);
    bytes
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |n, byte| n << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for place in 0..4 {
            match place <= group.len() {
                true => text.push(ALPHABET[(number >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn text_field(json: &str, name: &str) -> String {
    let rest = json.split_once(&format!("\"{name}\":\"")).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or_default().to_string()
}

fn number_field(json: &str, name: &str) -> u64 {
    let rest = json.split_once(&format!("\"{name}\":")).map_or("", |(_, rest)| rest);
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

// ---------------------------------------------------------------------------------------------
// Replicas.

/// A request that a replica began to work on.
#[derive(Clone)]
pub struct Run {
    pub at_ms: u64,
    pub request: String,
    pub replica: String,
    pub tenant: String,
    pub bytes: usize,
}

/// All runs, by all replicas.
#[derive(Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
}

/// What a replica does with a request.
#[derive(Clone, Copy)]
pub struct Work {
    /// Events of the answer to a turn; none for calls.
    pub events: usize,
    /// How long it takes, without the reading of a prompt.
    pub ms: u64,
    pub site: &'static Site,
}

/// The prompts that a model replica keeps; the oldest yield.
#[derive(Default)]
struct KeptPrompts(Mutex<VecDeque<Vec<u8>>>);

impl KeptPrompts {
    /// How much of the beginning of a prompt is kept.
    fn longest(&self, prompt: &[u8]) -> usize {
        let common =
            |kept: &Vec<u8>| kept.iter().zip(prompt).take_while(|(one, other)| one == other).count();
        self.0.lock().unwrap().iter().map(common).max().unwrap_or(0)
    }

    fn keep(&self, prompt: &[u8]) {
        const MOST: usize = 4;
        let mut kept = self.0.lock().unwrap();
        kept.retain(|known| !prompt.starts_with(known));
        kept.push_back(prompt.to_vec());
        if kept.len() > MOST {
            kept.pop_front();
        }
    }
}

/// Starts a replica that registers itself and serves turns or calls.
pub fn start_replica(
    store: &Arc<Store>,
    runs: &Arc<Runs>,
    (id, service, zone): (&str, &str, &str),
    address: SocketAddr,
    work: Work,
) {
    let (journal, runs) = (store.journal.clone(), runs.clone());
    let own = id.to_string();
    let kept = KeptPrompts::default();
    let handler = {
        let journal = journal.clone();
        move |request: &Message, to: &mut TcpStream| {
            let text = |name: &str| request.header(name).unwrap_or_default().to_string();
            if text("trefoilproxy-expect-instance") != own {
                answer(to, "421 Misdirected Request", &[], b"")?;
                return Ok(true);
            }
            let request_id = text("trefoilproxy-request-id");
            let run = Run {
                at_ms: journal.ms(),
                request: request_id.clone(),
                replica: own.clone(),
                tenant: text("trefoilproxy-tenant"),
                bytes: request.body.len(),
            };
            journal.note(&format!(
                "replica {own}: runs {request_id} of tenant {}, {} bytes",
                run.tenant, run.bytes
            ));
            runs.0.lock().unwrap().push(run);
            let headers = [
                ("Trefoilproxy-Request-Id", request_id.as_str()),
                ("Trefoilproxy-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ];
            if work.events == 0 {
                thread::sleep(Duration::from_millis(work.ms));
                answer(to, "200 OK", &headers, request_id.as_bytes())?;
                return Ok(true);
            }
            let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_string();
            for (name, value) in headers {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
            head.push_str("Transfer-Encoding: chunked\r\n\r\n");
            to.write_all(head.as_bytes())?;
            // What is not kept of the prompt is read first, at one token a byte.
            let unread = request.body.len() - kept.longest(&request.body);
            let reading_ms = unread / work.site.prompt_tokens_per_ms;
            thread::sleep(Duration::from_millis(reading_ms as u64));
            kept.keep(&request.body);
            for event in 0..work.events {
                thread::sleep(Duration::from_millis(work.ms / work.events as u64));
                let piece = format!("id: {event}\ndata: {request_id} {event}\n\n");
                to.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes())?;
            }
            to.write_all(b"0\r\n\r\n")?;
            Ok(true)
        }
    };
    serve(address, handler);
    let (store, born) = (store.clone(), unix_ms());
    let (key, service, zone) = (id.to_string(), service.to_string(), zone.to_string());
    let slots = if work.events == 0 { 6 } else { work.site.engine_slots };
    thread::spawn(move || {
        for beat in 1.. {
            let entry = format!(
                concat!(
                    r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"#,
                    r#""state":"ready","coldLeftMs":0,"seqNo":{},"born":{}}}"#
                ),
                service, address, zone, slots, beat, born
            );
            store.put("keyed.servers", &key, &entry);
            thread::sleep(Duration::from_millis(BEAT_MS));
        }
    });
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis() as u64)
}

// ---------------------------------------------------------------------------------------------
// The project's own program.

/// Loopback addresses of one run: 127.A.B.host, so that runs beside each other don't meet.
#[derive(Clone, Copy)]
pub struct Net {
    a: u8,
    b: u8,
}

impl Net {
    pub fn choose() -> Net {
        let id = std::process::id();
        for step in 0..200_u32 {
            let place = id.wrapping_mul(31).wrapping_add(step);
            let net = Net { a: 10 + (place % 200) as u8, b: 1 + (place / 200 % 250) as u8 };
            let free = (1..=40_u8).all(|host| {
                [FRONT_PORT, STORE_PORT, REPLICA_PORT, PEER_PORTS.0, 9464]
                    .iter()
                    .all(|port| TcpListener::bind(net.address(host, *port)).is_ok())
            });
            if free {
                return net;
            }
        }
        eprintln!("no free loopback addresses");
        std::process::exit(2)
    }

    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.a, self.b, host), port))
    }
}

/// An edge machine with its one process.
pub struct Edge {
    pub front: SocketAddr,
    ready: SocketAddr,
    /// How the store treats this machine; see [`Treatment`].
    pub treatment: Arc<AtomicU8>,
    child: Child,
}

impl Edge {
    pub fn treat(&self, treatment: Treatment) {
        self.treatment.store(treatment as u8, Ordering::SeqCst);
    }

    /// Whether the machine reports itself ready.
    pub fn is_ready(&self) -> bool {
        let mut channel = Channel::new(self.ready);
        channel.call("GET", "/v1/ready", &[], b"", 1_000).is_some_and(|a| a.status() == 200)
    }

}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A folder for settings and logs, removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn create() -> Scratch {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        Scratch(folder)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// The command of the deploy file's only role.
fn deploy_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap_or_default();
    line.trim_end_matches('"').split(' ').map(str::to_string).collect()
}

/// Starts the process of an edge machine, with settings as the platform renders them.
pub fn start_edge(
    store: &Arc<Store>,
    scratch: &Scratch,
    net: Net,
    number: usize,
    site: &Site,
) -> Edge {
    let zone = site.zones[number];
    let (host, store_host) = (11 + number as u8, 31 + number as u8);
    let (front, ready) = (net.address(host, FRONT_PORT), net.address(host, READY_PORT));
    let store_address = net.address(store_host, STORE_PORT);
    let treatment = store.listen(store_address);
    let name = format!("edge-{zone}-1");
    let regions = site.zones.map(|zone| format!(r#""{zone}":"{}""#, site.region)).join(",");
    let ip = front.ip();
    let settings = format!(
        concat!(
            r#"{{"nodeName":"{name}","role":"entry","machineClass":"edge","serves":["edge"],"#,
            r#""ip":"{ip}","zone":"{zone}","region":"{region}","zones":{{{regions}}},"#,
            r#""listen":{{"front":"{front}","ready":"{ready}"}},"portRange":[{first},{last}],"#,
            r#""seeds":[],"bootstrap":true,"lossCounts":false,"limits":{{"cpuShare":0.5,"cores":1,"#,
            r#""memoryMb":{memory_mb},"maxFds":8200,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,"#,
            r#""discovery":"platform","entry":"vip","beatMs":1200,"contracts":["base","drain","#,
            r#""config","cost","recover","agent","stream","engine","tenants","quota","platform"],"#,
            r#""faultTolerance":{{"machines":1,"zones":0,"regions":0}},"bounds":{{"seedLagS":3,"#,
            r#""reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":{catch_up_s},"drainMs":2000,"#,
            r#""graceS":8,"lossSlackMs":200,"configMs":2000,"rollbackSlackMs":250,"#,
            r#""maxSkewMs":5000,"failClosed":true,"revokeMs":5000,"quotaWindowS":5,"#,
            r#""quotaOverrun":0.1,"quotaSlack":20,"recoverS":12,"passMs":120,"againS":0,"#,
            r#""finishS":10,"settleMs":1000}},"platform":{{"address":"{store}","form":"log","#,
            r#""writesPerS":800,"readsPerS":2000,"parts":12,"appendMs":2.0,"partMbS":20.0,"#,
            r#""readMbS":80.0,"recordBytes":262144,"callBytes":2097152,"retentionS":300,"#,
            r#""partMb":200,"ttlMinMs":1000}}}}"#
        ),
        name = name,
        ip = ip,
        zone = zone,
        region = site.region,
        regions = regions,
        memory_mb = site.memory_mb,
        catch_up_s = site.catch_up_s,
        front = front,
        ready = ready,
        first = PEER_PORTS.0,
        last = PEER_PORTS.1,
        store = store_address,
    );
    let file = scratch.0.join(format!("{name}.json"));
    std::fs::write(&file, settings).expect("settings");
    let log = File::create(scratch.0.join(format!("{name}.log"))).expect("log");
    let words = deploy_command();
    let child = Command::new(&words[0])
        .args(&words[1..])
        .env_clear()
        .env("TREFOILPROXY_BOOT", &file)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("log"))
        .stderr(log)
        .spawn();
    let child = child.unwrap_or_else(|fault| {
        eprintln!("cannot start {}: {fault}", words[0]);
        std::process::exit(2)
    });
    store.journal.note(&format!("{name} started: front {front}, store {store_address}"));
    Edge { front, ready, treatment, child }
}

/// Waits until all machines are ready.
pub fn wait_ready(journal: &Journal, edges: &[Edge]) -> bool {
    for _ in 0..150 {
        if edges.iter().all(Edge::is_ready) {
            journal.note("all edge machines are ready");
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    journal.say("the machines did not get ready");
    false
}

// ---------------------------------------------------------------------------------------------
// Consumers.

/// A channel of a consumer, kept open from request to request.
pub struct Channel {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Channel {
    pub fn new(address: SocketAddr) -> Channel {
        Channel { address, stream: None }
    }

    /// Sends a request and reads the answer; `None` if there is none, or none in time. An answer
    /// that breaks off is returned with `whole` false.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
        limit_ms: u64,
    ) -> Option<Message> {
        let limit = Duration::from_millis(limit_ms);
        let mut reader = match self.stream.take() {
            Some(kept) => kept,
            None => {
                let stream = TcpStream::connect_timeout(&self.address, limit).ok()?;
                stream.set_nodelay(true).ok()?;
                BufReader::new(stream)
            }
        };
        reader.get_ref().set_read_timeout(Some(limit)).ok()?;
        let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        reader.get_mut().write_all(&bytes).ok()?;
        let mut message = read_head(&mut reader).ok()??;
        let _ = read_body(&mut reader, &mut message);
        let closes = message.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        if message.whole && !closes {
            self.stream = Some(reader);
        }
        Some(message)
    }
}

/// Ids of requests: one for each attempt.
pub fn new_id(kind: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{kind}-{:06}", NEXT.fetch_add(1, Ordering::SeqCst))
}

/// Set when consumers are to stop.
pub static STOP: AtomicBool = AtomicBool::new(false);

// ---------------------------------------------------------------------------------------------
// Sites and configs.

/// What differs between the sites whose settings are used.
pub struct Site {
    pub region: &'static str,
    pub zones: [&'static str; 4],
    pub memory_mb: u32,
    pub catch_up_s: &'static str,
    /// The time limit of turns, `timeoutMs` of their route.
    pub turn_limit_ms: u64,
    /// Slots and memory of a model replica, and what it reads of a prompt in a millisecond.
    pub engine_slots: u32,
    pub kv_tokens: u64,
    pub prompt_tokens_per_ms: usize,
}

/// `sites/hima-patrak.toml`.
pub const HIMA_PATRAK: Site = Site {
    region: "kutch-west",
    zones: ["kutch-a", "kutch-b", "kutch-c", "kutch-d"],
    memory_mb: 120,
    catch_up_s: "4.3",
    turn_limit_ms: 3_000,
    engine_slots: 8,
    kv_tokens: 90_416,
    prompt_tokens_per_ms: 168,
};

/// `further/kauri-draw.toml`.
pub const KAURI_DRAW: Site = Site {
    region: "nz-north",
    zones: ["hamilton-a", "auckland-b", "tauranga-c", "rotorua-d"],
    memory_mb: 130,
    catch_up_s: "4.7",
    turn_limit_ms: 4_000,
    engine_slots: 48,
    kv_tokens: 1_181_151,
    prompt_tokens_per_ms: 205,
};

/// Routes, services, limits and tenants of a config. Each tenant has a list of keys.
pub struct Config {
    pub site: &'static Site,
    pub version: u64,
    /// Routes that nobody uses, which make the config large.
    pub idle_routes: usize,
    pub tenants: Vec<(String, Vec<String>)>,
}

impl Config {
    pub fn json(&self) -> String {
        let turn = |name: &str, prefix: &str| {
            format!(
                concat!(
                    r#"{{"name":"r-{}","hostname":"ficu95.example","pathPrefix":"/{}/","#,
                    r#""routeType":"streaming","timeoutMs":{},"targetLatencyMs":200,"#,
                    r#""priority":1,"service":"huvo11a","attempts":2,"stateful":true,"#,
                    r#""retentionS":60.0,"public":false,"sticky":true,"resumable":false,"#,
                    r#""gapAimMs":150}}"#
                ),
                name, prefix, self.site.turn_limit_ms
            )
        };
        let call = |name: &str, prefix: &str, kind: &str| {
            format!(
                concat!(
                    r#"{{"name":"r-{}","hostname":"ficu95.example","pathPrefix":"/{}/","#,
                    r#""routeType":"{}","timeoutMs":1500,"targetLatencyMs":250,"priority":2,"#,
                    r#""service":"wuno96b","attempts":2,"public":false}}"#
                ),
                name, prefix, kind
            )
        };
        let mut routes = vec![
            turn("turns", "lohu930"),
            call("lookups", "pule252", "idempotent"),
            call("orders", "puxa403", "non_idempotent"),
        ];
        for number in 0..self.idle_routes {
            routes.push(turn(&format!("idle{number:04}"), &format!("idle{number:04}")));
        }
        let tenants: Vec<String> = self
            .tenants
            .iter()
            .map(|(name, keys)| {
                let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
                format!(
                    r#"{{"name":"{name}","apiKeys":[{}],"priority":1,"ratePerS":400,"burst":400}}"#,
                    keys.join(",")
                )
            })
            .collect();
        format!(
            concat!(
                r#"{{"version":{},"routes":[{}],"services":[{{"name":"huvo11a","#,
                r#""healthPath":"/healthz","maxConns":140,"protocol":"h1","tls":false,"#,
                r#""engine":{{"slots":{},"kvTokens":{},"stride":14}}}},{{"name":"wuno96b","#,
                r#""healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}}],"#,
                r#""limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"#,
                r#""headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{}]}}"#
            ),
            self.version,
            routes.join(","),
            self.site.engine_slots,
            self.site.kv_tokens,
            tenants.join(",")
        )
    }
}

// ---------------------------------------------------------------------------------------------

/// What a case needs: the platform, replicas of both services in three zones, and edge machines.
pub struct World {
    pub journal: Arc<Journal>,
    pub store: Arc<Store>,
    pub runs: Arc<Runs>,
    pub edges: Vec<Edge>,
    _scratch: Scratch,
}

/// Edge machines, each in a zone of its own, and replicas of each service.
const MACHINES: usize = 3;

impl World {
    /// Starts everything, with this config in force.
    pub fn start(journal: Arc<Journal>, config: &Config) -> Option<World> {
        let (net, scratch) = (Net::choose(), Scratch::create());
        let (store, runs) = (Store::open(&journal), Arc::new(Runs::default()));
        store.put("keyed.op", "config", &config.json());
        let site = config.site;
        for (number, zone) in site.zones.iter().take(MACHINES).enumerate() {
            let host = 1 + number as u8;
            let engine = (format!("i-engine{number}"), net.address(host, REPLICA_PORT));
            let desk = (format!("i-desk{number}"), net.address(host, REPLICA_PORT + 1));
            let turns = Work { events: 5, ms: 60, site };
            let calls = Work { events: 0, ms: 20, site };
            start_replica(&store, &runs, (&engine.0, "huvo11a", zone), engine.1, turns);
            start_replica(&store, &runs, (&desk.0, "wuno96b", zone), desk.1, calls);
        }
        let edges: Vec<Edge> = (0..MACHINES)
            .map(|number| start_edge(&store, &scratch, net, number, site))
            .collect();
        let is_ready = wait_ready(&journal, &edges);
        is_ready.then_some(World { journal, store, runs, edges, _scratch: scratch })
    }
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &words[..] else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(2)
    };
    let is_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let journal = Journal::open(folder);
    journal.say(&format!("case {case}, {} the disruption", if is_trouble { "with" } else { "without" }));
    let broken = match case.as_str() {
        "revoked" => revoked::play(journal, is_trouble),
        "longchain" => longchain::play(journal, is_trouble),
        "oversized" => oversized::play(journal, is_trouble),
        _ => None,
    };
    std::process::exit(match broken {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    })
}
