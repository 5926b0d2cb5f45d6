//! A stand-in of the platform's store, in memory: the log and its groups, as `PROTOCOL.md` tells
//! them. It loses nothing that it has acknowledged, and has no faults of its own.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Next, Request, answer, serve};
use crate::json::{number_of, text_of};

pub const PARTS: usize = 12;
pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;
pub const TTL_MIN_MS: u64 = 1_000;
const APPEND_MS: u64 = 2;
const ANSWER_MS: u64 = 4;
/// `readMbS` is 80.
const READ_BYTES_PER_MS: u64 = 80_000;
/// A page of the newest records holds at most so many, or this many bytes.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// How many of a producer's latest appends are answered again.
const REPEATABLE: usize = 5;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    answers: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Part {
    records: Vec<(String, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

impl Part {
    fn newest(&self) -> BTreeMap<&str, (usize, &[u8])> {
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in self.records.iter().enumerate() {
            match value.is_empty() {
                true => newest.remove(key.as_str()),
                false => newest.insert(key.as_str(), (offset, value.as_slice())),
            };
        }
        newest
    }

    fn add(&mut self, records: Vec<(String, Vec<u8>)>) -> String {
        let offset = self.records.len();
        self.records.extend(records);
        format!("{{\"offset\":{offset},\"end\":{}}}", self.records.len())
    }
}

#[derive(Default)]
struct Group {
    generation: u64,
    /// Each member, when it last joined and for how long that holds.
    members: BTreeMap<String, (Instant, u64)>,
    /// Who is to have each partition, and who still holds it.
    assigned: Vec<Option<String>>,
    holders: Vec<Option<String>>,
}

impl Group {
    fn deal(&mut self) {
        self.generation += 1;
        let names: Vec<_> = self.members.keys().cloned().collect();
        self.assigned = (0..PARTS)
            .map(|part| (!names.is_empty()).then(|| names[part % names.len()].clone()))
            .collect();
        for holder in &mut self.holders {
            if holder.as_ref().is_some_and(|name| !self.members.contains_key(name)) {
                *holder = None;
            }
        }
    }

    fn expire(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, (at, ttl_ms)| at.elapsed() < Duration::from_millis(*ttl_ms));
        if self.members.len() != before {
            self.deal();
        }
    }

    fn join(&mut self, member: &str, generation: u64, ttl_ms: u64) -> Vec<usize> {
        self.holders.resize(PARTS, None);
        self.expire();
        let seen = (Instant::now(), ttl_ms.max(TTL_MIN_MS));
        if self.members.insert(member.to_string(), seen).is_none() {
            self.deal();
        }
        let mut held = Vec::new();
        for part in 0..PARTS {
            let is_mine = self.assigned[part].as_deref() == Some(member);
            if self.holders[part].as_deref() == Some(member)
                && !is_mine
                && generation >= self.generation
            {
                self.holders[part] = None;
            }
            if is_mine && self.holders[part].is_none() {
                self.holders[part] = Some(member.to_string());
            }
            if is_mine && self.holders[part].as_deref() == Some(member) {
                held.push(part);
            }
        }
        held
    }

    fn leave(&mut self, member: &str) {
        if self.members.remove(member).is_some() {
            self.deal();
        }
    }
}

#[derive(Default)]
struct State {
    parts: HashMap<(String, usize), Part>,
    groups: HashMap<String, Group>,
    /// Whether the answer of the next append to this topic is lost, and the append done late.
    loses_next: Option<String>,
    held: Option<Held>,
}

/// An append whose answer is lost.
struct Held {
    at: Instant,
    is_released: bool,
    is_done: bool,
}

/// An append without an answer is done so much later.
const LATE_MS: std::ops::RangeInclusive<u64> = 1_000..=6_000;

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let store = Store::default();
        let serving = store.clone();
        serve(address, Arc::new(AtomicBool::new(false)), drop, move |request, to| {
            serving.serve(request, to)
        })?;
        Ok(store)
    }

    /// Writes a record, as the operator or a replica does. An empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let part = state.parts.entry((topic.to_string(), 0)).or_default();
        part.add(vec![(key.to_string(), value.as_bytes().to_vec())]);
        changed.notify_all();
    }

    /// Loses the answer of the next append to this topic. It is done when it is released, but 1 to 6
    /// seconds after it came.
    pub fn lose_next(&self, topic: &str) {
        self.state.0.lock().unwrap().loses_next = Some(topic.to_string());
    }

    /// Does the append whose answer was lost, and returns how late it was done.
    pub fn do_late(&self) -> Option<u64> {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.held.as_mut()?.is_released = true;
        changed.notify_all();
        while !state.held.as_ref()?.is_done {
            state = changed.wait(state).unwrap();
        }
        Some(state.held.as_ref()?.at.elapsed().as_millis() as u64)
    }

    /// All records of a topic's first partition so far, as text.
    pub fn records_of(&self, topic: &str) -> Vec<(String, String)> {
        let state = self.state.0.lock().unwrap();
        let part = state.parts.get(&(topic.to_string(), 0));
        let records = part.map_or(&[][..], |part| &part.records);
        let text = |value: &[u8]| String::from_utf8_lossy(value).to_string();
        records.iter().map(|(key, value)| (key.clone(), text(value))).collect()
    }

    /// Waits until an append whose answer is lost is to be done. Whoever sent it hears nothing more.
    fn hold(&self, request: &Request) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let topic = request.parameter("topic").unwrap_or_default();
        if state.loses_next.as_deref() != Some(topic) {
            return;
        }
        state.loses_next = None;
        state.held = Some(Held { at: Instant::now(), is_released: false, is_done: false });
        loop {
            let held = state.held.as_ref().unwrap();
            let age_ms = held.at.elapsed().as_millis() as u64;
            if age_ms >= *LATE_MS.end() || held.is_released && age_ms >= *LATE_MS.start() {
                break;
            }
            state = changed.wait_timeout(state, Duration::from_millis(5)).unwrap().0;
        }
        drop(state);
    }

    fn is_held(&self, request: &Request) -> bool {
        let state = self.state.0.lock().unwrap();
        let topic = request.parameter("topic").unwrap_or_default();
        state.loses_next.as_deref() == Some(topic)
    }

    fn serve(&self, request: &Request, to: &mut TcpStream) -> io::Result<Next> {
        match request.path.as_str() {
            "/v1/log-append" if self.is_held(request) => {
                self.hold(request);
                // The append is done, and its answer goes nowhere.
                let (mut nowhere, _other_end) = nowhere()?;
                self.append(request, &mut nowhere)?;
                let (state, changed) = &*self.state;
                state.lock().unwrap().held.as_mut().unwrap().is_done = true;
                changed.notify_all();
                std::thread::sleep(Duration::from_secs(10));
                Ok(Next::Close)
            }
            "/v1/log-append" => self.append(request, to),
            "/v1/log-read" => self.read(request, to),
            "/v1/log-newest" => self.newest(request, to),
            "/v1/log-join" => self.join(request, to),
            "/v1/log-leave" => self.leave(request, to),
            _ => json(to, 404, "{}"),
        }
    }

    fn append(&self, request: &Request, to: &mut TcpStream) -> io::Result<Next> {
        std::thread::sleep(Duration::from_millis(APPEND_MS));
        let key = (
            request.parameter("topic").unwrap_or_default().to_string(),
            request.number("part").unwrap_or(0) as usize,
        );
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let records = match records(&request.body) {
            Some(records) if request.body.len() <= CALL_BYTES => records,
            too_large_or_malformed => {
                let status = if too_large_or_malformed.is_some() { 413 } else { 400 };
                return json(to, status, "{}");
            }
        };
        let part = state.parts.entry(key).or_default();
        let Some(name) = request.parameter("producer") else {
            let answered = part.add(records);
            changed.notify_all();
            return json(to, 200, &answered);
        };
        let (epoch, sequence) =
            (request.number("epoch").unwrap_or(0), request.number("seqNo").unwrap_or(0));
        let known = part.producers.entry(name.to_string()).or_default();
        if epoch < known.epoch {
            return json(to, 409, "{\"why\":\"fenced\"}");
        }
        if epoch > known.epoch {
            *known = Producer { epoch, ..Producer::default() };
        }
        if records.is_empty() {
            let answered = part.add(records);
            return json(to, 200, &answered);
        }
        if let Some((_, answered)) = known.answers.iter().find(|(at, _)| *at == sequence) {
            let answered = answered.clone();
            return json(to, 200, &answered);
        }
        if known.last.is_some_and(|last| sequence != last + 1) {
            let due = known.last.map_or(0, |last| last + 1);
            return json(to, 409, &format!("{{\"why\":\"seq\",\"seqNo\":{due}}}"));
        }
        known.last = Some(sequence);
        let answered = part.add(records);
        if let Some(known) = part.producers.get_mut(name) {
            known.answers.push_back((sequence, answered.clone()));
            if known.answers.len() > REPEATABLE {
                known.answers.pop_front();
            }
        }
        changed.notify_all();
        json(to, 200, &answered)
    }

    fn read(&self, request: &Request, to: &mut TcpStream) -> io::Result<Next> {
        let from = request.number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(request.number("waitMs").unwrap_or(0));
        let most = request.number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let key = (request.parameter("topic").unwrap_or_default().to_string(), 0);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let part = state.parts.entry(key.clone()).or_default();
            let now = Instant::now();
            if from < part.records.len() || now >= until {
                let mut bytes = (part.records.len() as u64).to_be_bytes().to_vec();
                bytes.extend(0_u64.to_be_bytes());
                for (number, (key, value)) in part.records.iter().skip(from).enumerate() {
                    if number > 0 && bytes.len() + 5 + key.len() + value.len() > most {
                        break;
                    }
                    bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    bytes.push(key.len() as u8);
                    bytes.extend(key.as_bytes());
                    bytes.extend(value);
                }
                drop(state);
                let ms = ANSWER_MS + bytes.len() as u64 / READ_BYTES_PER_MS;
                std::thread::sleep(Duration::from_millis(ms));
                return answer(to, 200, &[], &bytes);
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn newest(&self, request: &Request, to: &mut TcpStream) -> io::Result<Next> {
        let part = request.number("part").unwrap_or(0) as usize;
        let after = request.parameter("after").unwrap_or_default();
        let key = (request.parameter("topic").unwrap_or_default().to_string(), part);
        let mut state = self.state.0.lock().unwrap();
        let part = state.parts.entry(key).or_default();
        let newest = part.newest();
        let mut later = newest.iter().filter(|(key, _)| **key > after).peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        while let Some((_, (_, value))) = later.peek() {
            bytes += value.len();
            if !items.is_empty() && (items.len() >= PAGE_RECORDS || bytes > PAGE_BYTES) {
                break;
            }
            let (key, (offset, value)) = later.next().unwrap();
            let value = base64(value);
            items.push(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let (more, end) = (later.peek().is_some(), part.records.len());
        let items = items.join(",");
        drop(state);
        json(to, 200, &format!("{{\"items\":[{items}],\"morePages\":{more},\"end\":{end}}}"))
    }

    fn join(&self, request: &Request, to: &mut TcpStream) -> io::Result<Next> {
        let body = String::from_utf8_lossy(&request.body).to_string();
        let topic = body.split("\"topics\":[\"").nth(1).and_then(|rest| rest.split('"').next());
        let topic = topic.unwrap_or_default();
        let mut state = self.state.0.lock().unwrap();
        let group = state.groups.entry(text_of(&body, "group")).or_default();
        let ttl_ms = number_of(&body, "ttlMs");
        let held = group.join(&text_of(&body, "member"), number_of(&body, "generation"), ttl_ms);
        let parts: Vec<_> = held.iter().map(|part| format!("[\"{topic}\",{part},0]")).collect();
        let generation = group.generation;
        drop(state);
        let parts = parts.join(",");
        json(
            to,
            200,
            &format!("{{\"generation\":{generation},\"ttlMs\":{ttl_ms},\"parts\":[{parts}]}}"),
        )
    }

    fn leave(&self, request: &Request, to: &mut TcpStream) -> io::Result<Next> {
        let body = String::from_utf8_lossy(&request.body).to_string();
        let mut state = self.state.0.lock().unwrap();
        if let Some(group) = state.groups.get_mut(&text_of(&body, "group")) {
            group.leave(&text_of(&body, "member"));
        }
        drop(state);
        json(to, 200, "{}")
    }
}

/// A channel that nobody reads.
fn nowhere() -> io::Result<(TcpStream, TcpStream)> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    let writer = TcpStream::connect(listener.local_addr()?)?;
    Ok((writer, listener.accept()?.0))
}

fn json(to: &mut TcpStream, status: u16, body: &str) -> io::Result<Next> {
    answer(to, status, &[("Content-Type", "application/json")], body.as_bytes())
}

/// The records of an append; none if one is malformed or larger than a record may be.
fn records(mut bytes: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        if record.len() > RECORD_BYTES {
            return None;
        }
        let (length, record) = record.split_first()?;
        let (key, value) = record.split_at_checked(usize::from(*length))?;
        records.push((String::from_utf8(key.to_vec()).ok()?, value.to_vec()));
        bytes = rest;
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let at = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            let is_filler = place > group.len();
            let digit = DIGITS[(bits >> (18 - 6 * place)) as usize & 63];
            text.push(if is_filler { '=' } else { digit as char });
        }
    }
    text
}
