use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use trefoil_standins::http::{Body, Running, serve};

use crate::store_state::{Appended, Group, Partition, Producer};

/// Number of partitions of the turns' topic, and so of shards.
pub(crate) const PARTS: usize = 6;

/// How long a call without an answer is held: longer than any client waits.
const SILENCE: Duration = Duration::from_secs(10);

/// A fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing.
    None,
    /// Refuses all calls with status 503.
    Down,
    /// Executes and answers no call.
    Silent,
    /// Executes one in this many appends without answering it.
    LosesAnswers(u64),
    /// Delays all calls by this many milliseconds.
    Slow(u64),
}

struct State {
    partitions: HashMap<(String, u32), Partition>,
    groups: HashMap<String, Group>,
    fault: StoreFault,
    writes: u64,
    late_append: LateAppend,
}

/// One append that is executed late, and whose answer is lost.
#[derive(Debug, Default)]
enum LateAppend {
    /// There is none.
    #[default]
    None,
    /// The next append to this topic.
    Next(String),
    /// This one, with its query and body. It has not been executed yet.
    Held(HashMap<String, String>, Bytes),
}

/// An in-memory stand-in for the platform's store. It loses nothing that it has acknowledged.
#[derive(Clone)]
pub struct PlatformStore {
    state: Arc<Mutex<State>>,
}

impl PlatformStore {
    /// Starts serving on `address`.
    pub async fn bind(address: SocketAddr) -> std::io::Result<(PlatformStore, Running)> {
        let state = State {
            partitions: HashMap::new(),
            groups: HashMap::new(),
            fault: StoreFault::None,
            writes: 0,
            late_append: LateAppend::None,
        };
        let store = PlatformStore { state: Arc::new(Mutex::new(state)) };
        let serving = store.clone();
        let running = serve(address, move |request| {
            let store = serving.clone();
            async move { store.answer(request).await }
        })
        .await?;
        Ok((store, running))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Sets the store's fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Writes a record, as the operator or an endpoint does; without a value, deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<Value>) {
        self.append_record(topic, key, value.map(|value| value.to_string().into_bytes()));
    }

    /// Writes a record whose value is any bytes, as another writer may.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        self.append_record(topic, key, Some(value.to_vec()));
    }

    fn append_record(&self, topic: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.lock();
        let partition = state.partitions.entry((topic.to_string(), 0)).or_default();
        partition.append(vec![(key.to_string(), value)], None);
    }

    /// The newest value of a key.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<Value> {
        let mut state = self.lock();
        let partition = state.partitions.entry((topic.to_string(), 0)).or_default();
        let newest = partition.newest();
        newest.get(key).and_then(|(value, _)| serde_json::from_slice(value).ok())
    }

    /// Holds the next append to a topic, whose answer is lost, until [`PlatformStore::execute_held`].
    pub fn hold_next_append(&self, topic: &str) {
        self.lock().late_append = LateAppend::Next(topic.to_string());
    }

    /// Executes the append that was held. Returns whether there was one.
    pub fn execute_held(&self) -> bool {
        let held = std::mem::take(&mut self.lock().late_append);
        let LateAppend::Held(query, body) = held else {
            return false;
        };
        self.append(&query, &body);
        true
    }

    /// Holds an append if it is the one to be executed late.
    fn hold(&self, path: &str, query: &HashMap<String, String>, body: &Bytes) -> bool {
        let mut state = self.lock();
        let is_held = path == "/v1/log-append"
            && matches!(&state.late_append, LateAppend::Next(topic) if *topic == query["topic"]);
        if is_held {
            state.late_append = LateAppend::Held(query.clone(), body.clone());
        }
        is_held
    }

    /// Reassigns all shards without a request of a member.
    pub fn reassign_shards(&self) {
        self.lock().groups.values_mut().for_each(Group::reassign);
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_string();
        let query = parse_query(request.uri().query().unwrap_or_default());
        let body = match request.into_body().collect().await {
            Ok(whole) => whole.to_bytes(),
            Err(_) => return status(StatusCode::BAD_REQUEST),
        };
        let (fault, lose) = self.fault_of(&path);
        match fault {
            StoreFault::Down => return status(StatusCode::SERVICE_UNAVAILABLE),
            StoreFault::Silent => {
                tokio::time::sleep(SILENCE).await;
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            StoreFault::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            StoreFault::None | StoreFault::LosesAnswers(_) => {}
        }
        if self.hold(&path, &query, &body) {
            tokio::time::sleep(SILENCE).await;
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let answer = match path.as_str() {
            "/v1/log-append" => self.append(&query, &body),
            "/v1/log-read" => self.read(&query).await,
            "/v1/log-newest" => self.newest(&query),
            "/v1/log-join" => self.join(&body),
            "/v1/log-leave" => self.leave(&body),
            _ => status(StatusCode::NOT_FOUND),
        };
        if lose {
            tokio::time::sleep(SILENCE).await;
        }
        answer
    }

    fn fault_of(&self, path: &str) -> (StoreFault, bool) {
        let mut state = self.lock();
        let lose = match state.fault {
            StoreFault::LosesAnswers(of) if path == "/v1/log-append" => {
                state.writes += 1;
                state.writes.is_multiple_of(of)
            }
            _ => false,
        };
        (state.fault, lose)
    }

    fn append(&self, query: &HashMap<String, String>, body: &[u8]) -> Response<Body> {
        let Some(records) = records(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let producer = query.get("producer").map(|name| Producer {
            name: name.clone(),
            epoch: number("epoch").unwrap_or(0),
            sequence: number("seqNo").unwrap_or(0),
        });
        let key = (query["topic"].clone(), number("part").unwrap_or(0) as u32);
        let mut state = self.lock();
        match state.partitions.entry(key).or_default().append(records, producer) {
            Appended::Done(offset, end) => json_answer(200, &json!({"offset": offset, "end": end})),
            Appended::Fenced => json_answer(409, &json!({"why": "fenced"})),
            Appended::OutOfSequence(due) => json_answer(409, &json!({"why": "seq", "seqNo": due})),
        }
    }

    async fn read(&self, query: &HashMap<String, String>) -> Response<Body> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let (from, wait_ms) = (number("from").unwrap_or(0), number("waitMs").unwrap_or(0));
        let key = (query["topic"].clone(), 0);
        for _ in 0..=wait_ms / 10 {
            if let Some(bytes) = self.records_from(&key, from) {
                return bytes_answer(bytes);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let end = self.lock().partitions.entry(key).or_default().records.len() as u64;
        bytes_answer([end.to_be_bytes(), 0_u64.to_be_bytes()].concat())
    }

    fn records_from(&self, key: &(String, u32), from: u64) -> Option<Vec<u8>> {
        let mut state = self.lock();
        let partition = state.partitions.entry(key.clone()).or_default();
        let new = partition.records.get(from as usize..)?;
        let end = partition.records.len() as u64;
        let mut bytes = [end.to_be_bytes(), 0_u64.to_be_bytes()].concat();
        for (key, value) in new {
            let value = value.as_deref().unwrap_or_default();
            bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend(key.as_bytes());
            bytes.extend(value);
        }
        (!new.is_empty()).then_some(bytes)
    }

    fn newest(&self, query: &HashMap<String, String>) -> Response<Body> {
        let part = query.get("part").and_then(|text| text.parse().ok()).unwrap_or(0);
        let after = query.get("after").map(String::as_str).unwrap_or_default();
        let mut state = self.lock();
        let partition = state.partitions.entry((query["topic"].clone(), part)).or_default();
        let newest = partition.newest();
        let later: Vec<_> = newest.into_iter().filter(|(key, _)| *key > after).collect();
        let page = later.iter().take(50).map(|(key, (value, offset))| {
            json!({"key": key, "value": BASE64.encode(value), "offset": offset})
        });
        let page: Vec<Value> = page.collect();
        let more = later.len() > page.len();
        let end = partition.records.len();
        json_answer(200, &json!({"items": page, "morePages": more, "end": end}))
    }

    fn join(&self, body: &[u8]) -> Response<Body> {
        let Ok(call) = serde_json::from_slice::<Value>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let text = |name: &str| call[name].as_str().unwrap_or_default().to_string();
        let ttl = Duration::from_millis(call["ttlMs"].as_u64().unwrap_or(1_000));
        let topic = call["topics"][0].as_str().unwrap_or_default().to_string();
        let mut state = self.lock();
        let group = state.groups.entry(text("group")).or_insert_with(|| Group::open(PARTS));
        let generation = call["generation"].as_u64().unwrap_or(0);
        let held = group.join(&text("member"), generation, ttl);
        let parts: Vec<Value> = held.into_iter().map(|part| json!([topic, part, 0])).collect();
        json_answer(200, &json!({"generation": group.generation, "parts": parts}))
    }

    fn leave(&self, body: &[u8]) -> Response<Body> {
        let Ok(call) = serde_json::from_slice::<Value>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let group = call["group"].as_str().unwrap_or_default();
        if let Some(group) = self.lock().groups.get_mut(group) {
            group.leave(call["member"].as_str().unwrap_or_default());
        }
        json_answer(200, &json!({}))
    }
}

fn records(mut bytes: &[u8]) -> Option<Vec<(String, Option<Vec<u8>>)>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        let (key_length, record) = record.split_first()?;
        let (key, value) = record.split_at_checked(usize::from(*key_length))?;
        let value = (!value.is_empty()).then(|| value.to_vec());
        records.push((String::from_utf8(key.to_vec()).ok()?, value));
        bytes = rest;
    }
    bytes.is_empty().then_some(records)
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let decode = |value| percent_decode_str(value).decode_utf8_lossy().into_owned();
    pairs.map(|(name, value)| (name.to_string(), decode(value))).collect()
}

fn bytes_answer(bytes: Vec<u8>) -> Response<Body> {
    Response::new(Full::new(Bytes::from(bytes)).map_err(|never| match never {}).boxed())
}

fn json_answer(code: u16, value: &Value) -> Response<Body> {
    let mut answer = bytes_answer(value.to_string().into_bytes());
    *answer.status_mut() = StatusCode::from_u16(code).unwrap_or(StatusCode::OK);
    answer
}

fn status(code: StatusCode) -> Response<Body> {
    json_answer(code.as_u16(), &json!({}))
}
