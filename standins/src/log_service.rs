//! Stand-in for the platform's log service: streams of records with offsets and limited retention.
//! It can simulate outages, slow responses, and responses lost after the append took effect.

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

/// Faults set over `/control`. Fields that are absent keep their value.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Faults {
    /// Rejects every append and read with status 503.
    pub outage: Option<bool>,
    /// Delay before each append or read is processed.
    pub slow_ms: Option<u64>,
    /// Number of upcoming appends that take effect but whose response is withheld.
    pub lose_answers: Option<u32>,
    /// Retains only this many records per stream.
    pub retain_records: Option<usize>,
}

/// A record as returned to readers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Position in the stream, starting at 1.
    pub offset: u64,
    /// Unix time of the append.
    pub time_ms: u64,
    /// Appended payload.
    pub data: Value,
}

#[derive(Debug, Deserialize)]
struct AppendBody {
    records: Vec<Value>,
}

#[derive(Default)]
struct Stream {
    /// Offset of the oldest retained record; 0 before the first append.
    earliest: u64,
    records: Vec<StoredRecord>,
}

#[derive(Default)]
struct State {
    streams: HashMap<String, Stream>,
    faults: Faults,
    appends: u64,
    records: u64,
    bytes: u64,
}

/// Counters returned by `GET /control`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Append requests applied.
    pub appends: u64,
    /// Records appended.
    pub records: u64,
    /// Size of the appended records as JSON, in bytes.
    pub bytes: u64,
}

#[derive(Clone, Default)]
struct Service {
    state: Arc<Mutex<State>>,
    appended: Arc<Notify>,
}

/// Starts the log service.
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
        let Some(changes) = http::read_json::<Faults>(request).await else {
            return http::json(StatusCode::BAD_REQUEST, &"not a set of faults");
        };
        let mut state = self.state.lock().expect("not poisoned");
        let faults = &mut state.faults;
        faults.outage = changes.outage.or(faults.outage);
        faults.slow_ms = changes.slow_ms.or(faults.slow_ms);
        faults.lose_answers = changes.lose_answers.or(faults.lose_answers);
        faults.retain_records = changes.retain_records.or(faults.retain_records);
        state.enforce_retention();
        http::json(StatusCode::OK, &"done")
    }

    fn counters(&self) -> Counters {
        let state = self.state.lock().expect("not poisoned");
        Counters { appends: state.appends, records: state.records, bytes: state.bytes }
    }

    async fn delay_request(&self) {
        let slow_ms = self.state.lock().expect("not poisoned").faults.slow_ms.unwrap_or(0);
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    fn in_outage(&self) -> bool {
        self.state.lock().expect("not poisoned").faults.outage.unwrap_or(false)
    }

    async fn append(&self, name: &str, request: Request<Incoming>) -> Response<Body> {
        self.delay_request().await;
        if self.in_outage() {
            return http::json(StatusCode::SERVICE_UNAVAILABLE, &"outage");
        }
        let Some(body) = http::read_json::<AppendBody>(request).await else {
            return http::json(StatusCode::BAD_REQUEST, &"not a batch of records");
        };
        let (first_offset, time_ms, withhold) = {
            let mut state = self.state.lock().expect("not poisoned");
            let (first_offset, time_ms) = state.append(name, body.records);
            (first_offset, time_ms, state.take_lost_answer())
        };
        self.appended.notify_waiters();
        if withhold {
            // Longer than any client timeout; the append has taken effect.
            tokio::time::sleep(Duration::from_secs(60)).await;
        }
        http::json(
            StatusCode::OK,
            &serde_json::json!({ "first_offset": first_offset, "time_ms": time_ms }),
        )
    }

    async fn read(&self, name: &str, request: Request<Incoming>) -> Response<Body> {
        self.delay_request().await;
        if self.in_outage() {
            return http::json(StatusCode::SERVICE_UNAVAILABLE, &"outage");
        }
        let from = http::query_number(&request, "from").unwrap_or(0);
        let limit = http::query_number(&request, "limit").unwrap_or(1_000) as usize;
        let wait_ms = http::query_number(&request, "wait_ms").unwrap_or(0);
        let appended = self.appended.notified();
        let mut page = self.state.lock().expect("not poisoned").read_page(name, from, limit);
        if page.records.is_empty() && wait_ms > 0 {
            let _ = tokio::time::timeout(Duration::from_millis(wait_ms), appended).await;
            page = self.state.lock().expect("not poisoned").read_page(name, from, limit);
        }
        http::json(StatusCode::OK, &page)
    }
}

#[derive(Serialize)]
struct Page {
    earliest_offset: u64,
    next_offset: u64,
    records: Vec<StoredRecord>,
}

impl State {
    fn append(&mut self, name: &str, records: Vec<Value>) -> (u64, u64) {
        let time_ms = unix_ms();
        self.appends += 1;
        self.records += records.len() as u64;
        self.bytes += records.iter().map(|record| record.to_string().len() as u64).sum::<u64>();
        let stream = self.streams.entry(name.to_string()).or_default();
        let first_offset = stream.earliest.max(1) + stream.records.len() as u64;
        stream.earliest = stream.earliest.max(1);
        let stored = records.into_iter().zip(first_offset..);
        stream.records.extend(stored.map(|(data, offset)| StoredRecord { offset, time_ms, data }));
        self.enforce_retention();
        (first_offset, time_ms)
    }

    fn enforce_retention(&mut self) {
        let Some(max_records) = self.faults.retain_records else {
            return;
        };
        for stream in self.streams.values_mut() {
            let excess = stream.records.len().saturating_sub(max_records);
            stream.records.drain(..excess);
            stream.earliest += excess as u64;
        }
    }

    /// Whether to withhold the response to this append; uses up one of `lose_answers`.
    fn take_lost_answer(&mut self) -> bool {
        let left = self.faults.lose_answers.unwrap_or(0);
        self.faults.lose_answers = Some(left.saturating_sub(1));
        left > 0
    }

    fn read_page(&self, name: &str, from: u64, limit: usize) -> Page {
        let Some(stream) = self.streams.get(name) else {
            return Page { earliest_offset: 1, next_offset: 1, records: Vec::new() };
        };
        let skip = from.saturating_sub(stream.earliest) as usize;
        let records: Vec<StoredRecord> =
            stream.records.iter().skip(skip).take(limit).cloned().collect();
        let end = stream.earliest + stream.records.len() as u64;
        Page { earliest_offset: stream.earliest, next_offset: end, records }
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
