//! Stand-in for a model engine: continuous batching at a configurable token rate, a bounded prefix
//! cache, priorities, resume, cancel, cache listing, export, import and free, a delayed load report,
//! cache events with gaps, and commands at `/orders` with or without a fencing check. `/control` sets
//! the speed, limits and faults, and returns counters.
//!
//! Each response contains the number of messages received and a digest of them, so that tests can
//! detect an incomplete conversation history.

mod cache;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::http::{self, Body, Running};
use cache::Cache;

/// The engine crashes when the last message of a completion request contains this text.
pub const CRASH_MARKER: &str = "crash-engine";

/// Speed, limits and faults of the engine. `POST /control` replaces them as a whole;
/// absent fields take their defaults.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Interval between two tokens of a stream.
    pub token_us: u64,
    /// Added to `token_us` for each running stream, including this one.
    pub token_us_per_running: u64,
    /// Prefill time per uncached prompt token.
    pub prefill_us: u64,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Minimum interval between updates of the load report.
    pub load_lag_ms: u64,
    /// Whether `/orders` rejects commands with an outdated fencing token.
    pub checks_fencing: bool,
    /// Time during which requests fail with status 503 after a crash.
    pub restart_ms: u64,
    /// Maximum number of running streams. Further ones queue; the lowest `priority` value starts first.
    pub max_batch: u64,
    /// Aborts every stream after this many tokens; 0 disables this.
    pub cut_after_tokens: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            token_us: 2_000,
            token_us_per_running: 100,
            prefill_us: 20,
            cache_tokens: 200_000,
            load_lag_ms: 200,
            checks_fencing: true,
            restart_ms: 100,
            max_batch: 1_024,
            cut_after_tokens: 0,
        }
    }
}

/// Body of a completion request.
#[derive(Debug, Clone, Deserialize)]
struct Completion {
    messages: Vec<Value>,
    max_tokens: u64,
    /// Id under which `/cancel` ends the stream.
    #[serde(default)]
    request_id: String,
    /// Key of the conversation in the prefix cache; not cached if empty.
    #[serde(default)]
    cache_key: String,
    /// Text of this response that was already delivered; the stream continues after it.
    #[serde(default)]
    resume_text: String,
    #[serde(default)]
    priority: u64,
}

#[derive(Default)]
struct State {
    settings: Settings,
    /// Number of the process instance, reported as `run`; incremented by each crash.
    instance: u64,
    down_until: Option<Instant>,
    running: u64,
    /// Priority and arrival number of each queued stream.
    waiting: BTreeSet<(u64, u64)>,
    cancelled: HashSet<String>,
    cache: Cache,
    /// Time of the last update of the load report, and the number of running streams then.
    load_report: (Option<Instant>, u64),
    /// Fencing token of the last accepted command.
    fencing_token: u64,
    /// Model name in the last accepted command of each kind.
    models: HashMap<String, String>,
    arrivals: u64,
    completions: u64,
    /// Requests with an Authorization header. The proxy must not forward any.
    authorizations: u64,
    prompt_tokens: u64,
    /// Prompt tokens that were not in the prefix cache.
    computed_tokens: u64,
}

type Shared = Arc<Mutex<State>>;

/// Starts an engine.
pub async fn spawn(address: SocketAddr, settings: Settings) -> std::io::Result<Running> {
    let state = State { settings, instance: 1, ..State::default() };
    let state = Arc::new(Mutex::new(state));
    http::serve(address, move |request| {
        let state = state.clone();
        async move { handle(&state, request).await }
    })
    .await
}

fn lock_state(state: &Shared) -> std::sync::MutexGuard<'_, State> {
    state.lock().expect("not poisoned")
}

async fn handle(state: &Shared, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_string();
    if path == "/control" {
        return control(state, request).await;
    }
    if request.headers().contains_key("authorization") {
        lock_state(state).authorizations += 1;
    }
    if lock_state(state).down_until.is_some_and(|until| Instant::now() < until) {
        return http::json(StatusCode::SERVICE_UNAVAILABLE, &"restarting");
    }
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/health") => {
            http::json(StatusCode::OK, &json!({ "run": lock_state(state).instance }))
        }
        (Method::GET, "/load") => http::json(StatusCode::OK, &load_report(state)),
        (Method::GET, "/cache") => http::json(StatusCode::OK, &lock_state(state).cache.entries()),
        (Method::GET, "/cache/events") => {
            let from = http::query_number(&request, "from").unwrap_or(0);
            http::json(StatusCode::OK, &lock_state(state).cache.events(from))
        }
        (Method::POST, "/v1/chat/completions") => complete(state, request).await,
        (Method::POST, path) => handle_command(state, path, request).await,
        _ => http::json(StatusCode::NOT_FOUND, &"no such call"),
    }
}

async fn control(state: &Shared, request: Request<Incoming>) -> Response<Body> {
    if request.method() == Method::POST {
        let Some(settings) = http::read_json::<Settings>(request).await else {
            return http::json(StatusCode::BAD_REQUEST, &"not a set of settings");
        };
        lock_state(state).settings = settings;
    }
    let state = lock_state(state);
    http::json(
        StatusCode::OK,
        &json!({
            "run": state.instance,
            "completions": state.completions,
            "authorizations": state.authorizations,
            "prompt_tokens": state.prompt_tokens,
            "computed_tokens": state.computed_tokens,
            "running": state.running,
            "cached": state.cache.entries(),
        }),
    )
}

fn load_report(state: &Shared) -> Value {
    let mut state = lock_state(state);
    let lag = Duration::from_millis(state.settings.load_lag_ms);
    if state.load_report.0.is_none_or(|at| at.elapsed() >= lag) {
        state.load_report = (Some(Instant::now()), state.running);
    }
    json!({ "running": state.load_report.1, "cached_tokens": state.cache.tokens() })
}

async fn handle_command(state: &Shared, path: &str, request: Request<Incoming>) -> Response<Body> {
    let Some(body) = http::read_json::<Value>(request).await else {
        return http::json(StatusCode::BAD_REQUEST, &"not JSON");
    };
    let text = |field: &str| body[field].as_str().unwrap_or_default().to_string();
    let mut state = lock_state(state);
    match path {
        "/cancel" => {
            state.cancelled.insert(text("request_id"));
        }
        "/cache/free" => state.cache.free(&text("key")),
        "/cache/export" => {
            let tokens = state.cache.cached_tokens(&text("key"));
            return http::json(StatusCode::OK, &json!({ "key": text("key"), "tokens": tokens }));
        }
        "/cache/import" => {
            let capacity = state.settings.cache_tokens;
            let tokens = body["tokens"].as_u64().unwrap_or(0);
            state.cache.insert(&text("key"), tokens, capacity);
        }
        "/orders" => {
            let fencing_token = body["fencing"].as_u64().unwrap_or(0);
            if state.settings.checks_fencing && fencing_token < state.fencing_token {
                return http::json(
                    StatusCode::CONFLICT,
                    &json!({ "fencing": state.fencing_token }),
                );
            }
            state.fencing_token = fencing_token;
            state.models.insert(text("kind"), text("name"));
        }
        _ => return http::json(StatusCode::NOT_FOUND, &"no such call"),
    }
    http::json(StatusCode::OK, &"done")
}

async fn complete(state: &Shared, request: Request<Incoming>) -> Response<Body> {
    let Some(call) = http::read_json::<Completion>(request).await else {
        return http::json(StatusCode::BAD_REQUEST, &"not a completion call");
    };
    let contents: Vec<String> =
        call.messages.iter().map(|message| message["content"].to_string()).collect();
    let prompt_tokens = contents.iter().map(|text| text.len() as u64 / 4 + 1).sum();
    let crashes = contents.last().is_some_and(|text| text.contains(CRASH_MARKER));
    wait_for_batch(state, call.priority).await;
    let running = RunningStream::begin(state, &call, prompt_tokens);
    let resumed_words = call.resume_text.split_inclusive(' ').count();
    let words = response_words(&contents, resumed_words as u64 + call.max_tokens);
    http::streaming_response(async_stream::stream! {
        running.prefill().await;
        if crashes {
            running.crash();
        }
        let mut sent = 0;
        for word in words.iter().skip(resumed_words).take(call.max_tokens as usize) {
            running.wait_for_token().await;
            if running.is_cut(sent) {
                yield Err(std::io::Error::other("the engine cut the stream"));
                return;
            }
            if running.is_cancelled() {
                break;
            }
            sent += 1;
            yield Ok(sse_event(&json!({ "choices": [{ "delta": { "content": word } }] })));
        }
        if running.is_cut(sent) {
            yield Err(std::io::Error::other("the engine cut the stream"));
            return;
        }
        let finish = if running.is_cancelled() { "cancelled" } else { "stop" };
        yield Ok(sse_event(&json!({
            "choices": [{ "delta": {}, "finish_reason": finish }],
            "usage": { "prompt_tokens": prompt_tokens, "completion_tokens": sent },
        })));
        yield Ok(Bytes::from_static(b"data: [DONE]\n\n"));
    })
}

/// Waits until the batch has room and this stream is first in the queue.
async fn wait_for_batch(state: &Shared, priority: u64) {
    let entry = QueueEntry::enqueue(state, priority);
    while !entry.can_start() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// A queued stream. Dropping the entry, on start or on disconnect, removes it from the queue.
struct QueueEntry {
    state: Shared,
    queue_key: (u64, u64),
}

impl QueueEntry {
    fn enqueue(shared: &Shared, priority: u64) -> QueueEntry {
        let mut state = lock_state(shared);
        state.arrivals += 1;
        let queue_key = (priority, state.arrivals);
        state.waiting.insert(queue_key);
        QueueEntry { state: shared.clone(), queue_key }
    }

    fn can_start(&self) -> bool {
        let state = lock_state(&self.state);
        state.running < state.settings.max_batch && state.waiting.first() == Some(&self.queue_key)
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        lock_state(&self.state).waiting.remove(&self.queue_key);
    }
}

fn sse_event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

/// Words of the response. Deterministic: the same conversation gives the same words.
fn response_words(contents: &[String], max_tokens: u64) -> Vec<String> {
    let mut hasher = DefaultHasher::new();
    contents.hash(&mut hasher);
    let first = format!("seen={} digest={:016x} ", contents.len(), hasher.finish());
    let mut words: Vec<String> = first.split_inclusive(' ').map(str::to_string).collect();
    let word_count = contents.last().and_then(|text| requested_word_count(text)).unwrap_or(8);
    words.extend((1..=word_count.min(max_tokens)).map(|n| format!("word{n} ")));
    words
}

/// Parses the response length that a message can request, as in `words=40`.
fn requested_word_count(text: &str) -> Option<u64> {
    let digits = text.split("words=").nth(1)?;
    digits.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}

/// A stream in the running batch.
struct RunningStream {
    state: Shared,
    instance: u64,
    request_id: String,
    uncached_tokens: u64,
}

impl RunningStream {
    fn begin(shared: &Shared, call: &Completion, prompt_tokens: u64) -> RunningStream {
        let mut state = lock_state(shared);
        let cached = state.cache.cached_tokens(&call.cache_key).min(prompt_tokens);
        let capacity = state.settings.cache_tokens;
        if !call.cache_key.is_empty() {
            state.cache.insert(&call.cache_key, prompt_tokens + call.max_tokens, capacity);
        }
        state.running += 1;
        state.completions += 1;
        state.prompt_tokens += prompt_tokens;
        state.computed_tokens += prompt_tokens - cached;
        RunningStream {
            state: shared.clone(),
            instance: state.instance,
            request_id: call.request_id.clone(),
            uncached_tokens: prompt_tokens - cached,
        }
    }

    async fn prefill(&self) {
        let prefill_us = lock_state(&self.state).settings.prefill_us * self.uncached_tokens;
        tokio::time::sleep(Duration::from_micros(prefill_us)).await;
    }

    async fn wait_for_token(&self) {
        let pause_us = {
            let state = lock_state(&self.state);
            state.settings.token_us + state.settings.token_us_per_running * state.running
        };
        tokio::time::sleep(Duration::from_micros(pause_us)).await;
    }

    /// Crashes the engine, unless it has already crashed since this stream started.
    fn crash(&self) {
        let mut state = lock_state(&self.state);
        if state.instance != self.instance {
            return;
        }
        state.instance += 1;
        state.cache = Cache::default();
        state.down_until = Some(Instant::now() + Duration::from_millis(state.settings.restart_ms));
    }

    /// Whether to abort the stream: the engine has crashed since it started, or `cut_after_tokens`
    /// is reached.
    fn is_cut(&self, sent: u64) -> bool {
        let state = lock_state(&self.state);
        let cut = state.settings.cut_after_tokens;
        state.instance != self.instance || (cut > 0 && sent >= cut)
    }

    fn is_cancelled(&self) -> bool {
        lock_state(&self.state).cancelled.contains(&self.request_id)
    }
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        lock_state(&self.state).running -= 1;
    }
}
