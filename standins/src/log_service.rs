//! The platform's log: streams of records with offsets, limited retention, outages, slowness and
//! answers lost after the effect.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::Notify;

use crate::http::{self, Body, Running};

/// Faults that the control call sets. Absent fields stay as they are.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Faults {
    /// Refuse everything with 503.
    pub outage: Option<bool>,
    /// Delay of every answer.
    pub slow_ms: Option<u64>,
    /// How many of the next appends take effect but are not answered.
    pub lose_answers: Option<u32>,
    /// Keep only this many records of each stream.
    pub retain_records: Option<usize>,
}

/// A record as it is read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Stored {
    /// Its offset, from 1.
    pub offset: u64,
    /// When it was taken.
    pub time_ms: u64,
    /// What was appended.
    pub data: Value,
}

#[derive(Debug, Deserialize)]
struct AppendBody {
    records: Vec<Value>,
}

#[derive(Default)]
struct Stream {
    /// Offset of the first record that is still held.
    earliest: u64,
    records: Vec<Stored>,
}

#[derive(Default)]
struct State {
    streams: HashMap<String, Stream>,
    faults: Faults,
    appends: u64,
    records: u64,
    bytes: u64,
}

/// Counters that the control call returns.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Appends taken.
    pub appends: u64,
    /// Records taken.
    pub records: u64,
    /// Bytes of records taken.
    pub bytes: u64,
}

#[derive(Clone, Default)]
struct Service {
    state: Arc<Mutex<State>>,
    grown: Arc<Notify>,
}

/// Starts the log.
pub async fn spawn(address: SocketAddr) -> std::io::Result<Running> {
    let service = Service::default();
    http::serve(address, move |request| {
        let service = service.clone();
        async move { service.handle(request).await }
    })
    .await
}

impl Service {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path: Vec<String> =
            request.uri().path().split('/').skip(1).map(str::to_string).collect();
        let parts: Vec<&str> = path.iter().map(String::as_str).collect();
        match (request.method().clone(), parts.as_slice()) {
            (Method::POST, ["control"]) => self.control(request).await,
            (Method::GET, ["control"]) => http::json(StatusCode::OK, &self.counters()),
            (Method::POST, ["streams", name, "append"]) => self.append(name, request).await,
            (Method::GET, ["streams", name, "records"]) => self.read(name, request).await,
            _ => http::json(StatusCode::NOT_FOUND, &"no such call"),
        }
    }

    async fn control(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(new) = http::read_json::<Faults>(request).await else {
            return http::json(StatusCode::BAD_REQUEST, &"not a set of faults");
        };
        let mut state = self.state.lock().expect("not poisoned");
        let faults = &mut state.faults;
        faults.outage = new.outage.or(faults.outage);
        faults.slow_ms = new.slow_ms.or(faults.slow_ms);
        faults.lose_answers = new.lose_answers.or(faults.lose_answers);
        faults.retain_records = new.retain_records.or(faults.retain_records);
        state.expire();
        http::json(StatusCode::OK, &"done")
    }

    fn counters(&self) -> Counters {
        let state = self.state.lock().expect("not poisoned");
        Counters { appends: state.appends, records: state.records, bytes: state.bytes }
    }

    async fn slow(&self) {
        let slow_ms = self.state.lock().expect("not poisoned").faults.slow_ms.unwrap_or(0);
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    fn out(&self) -> bool {
        self.state.lock().expect("not poisoned").faults.outage.unwrap_or(false)
    }

    async fn append(&self, name: &str, request: Request<Incoming>) -> Response<Body> {
        self.slow().await;
        if self.out() {
            return http::json(StatusCode::SERVICE_UNAVAILABLE, &"outage");
        }
        let Some(body) = http::read_json::<AppendBody>(request).await else {
            return http::json(StatusCode::BAD_REQUEST, &"not a batch of records");
        };
        let (first, time_ms, lost) = {
            let mut state = self.state.lock().expect("not poisoned");
            let (first, time_ms) = state.append(name, body.records);
            (first, time_ms, state.lose_answer())
        };
        self.grown.notify_waiters();
        if lost {
            // Long enough for any client to give up; the effect stands.
            tokio::time::sleep(Duration::from_secs(60)).await;
        }
        http::json(
            StatusCode::OK,
            &serde_json::json!({ "first_offset": first, "time_ms": time_ms }),
        )
    }

    async fn read(&self, name: &str, request: Request<Incoming>) -> Response<Body> {
        self.slow().await;
        if self.out() {
            return http::json(StatusCode::SERVICE_UNAVAILABLE, &"outage");
        }
        let from = http::query_number(&request, "from").unwrap_or(0);
        let limit = http::query_number(&request, "limit").unwrap_or(1_000) as usize;
        let wait_ms = http::query_number(&request, "wait_ms").unwrap_or(0);
        let grown = self.grown.notified();
        let mut page = self.state.lock().expect("not poisoned").page(name, from, limit);
        if page.records.is_empty() && wait_ms > 0 {
            let _ = tokio::time::timeout(Duration::from_millis(wait_ms), grown).await;
            page = self.state.lock().expect("not poisoned").page(name, from, limit);
        }
        http::json(StatusCode::OK, &page)
    }
}

#[derive(Serialize)]
struct Page {
    earliest_offset: u64,
    next_offset: u64,
    records: Vec<Stored>,
}

impl State {
    fn append(&mut self, name: &str, records: Vec<Value>) -> (u64, u64) {
        let time_ms = unix_ms();
        self.appends += 1;
        self.records += records.len() as u64;
        self.bytes += records.iter().map(|record| record.to_string().len() as u64).sum::<u64>();
        let stream = self.streams.entry(name.to_string()).or_default();
        let first = stream.earliest.max(1) + stream.records.len() as u64;
        stream.earliest = stream.earliest.max(1);
        let stored = records.into_iter().zip(first..);
        stream.records.extend(stored.map(|(data, offset)| Stored { offset, time_ms, data }));
        self.expire();
        (first, time_ms)
    }

    fn expire(&mut self) {
        let Some(keep) = self.faults.retain_records else {
            return;
        };
        for stream in self.streams.values_mut() {
            let over = stream.records.len().saturating_sub(keep);
            stream.records.drain(..over);
            stream.earliest += over as u64;
        }
    }

    fn lose_answer(&mut self) -> bool {
        let left = self.faults.lose_answers.unwrap_or(0);
        self.faults.lose_answers = Some(left.saturating_sub(1));
        left > 0
    }

    fn page(&self, name: &str, from: u64, limit: usize) -> Page {
        let Some(stream) = self.streams.get(name) else {
            return Page { earliest_offset: 1, next_offset: 1, records: Vec::new() };
        };
        let skip = from.saturating_sub(stream.earliest) as usize;
        let records: Vec<Stored> = stream.records.iter().skip(skip).take(limit).cloned().collect();
        let end = stream.earliest + stream.records.len() as u64;
        Page { earliest_offset: stream.earliest, next_offset: end, records }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |passed| passed.as_millis() as u64)
}
