//! A model engine: continuous batching with a token rate, a bounded prefix cache, priorities,
//! resume, cancel, cache listing, export, import and free, a lagging load report, late cache
//! events with gaps, and orders with or without a fencing check.
//!
//! Its answer names how many messages it saw and a digest of them, so that a test can tell
//! whether a history was whole.

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

/// A message with this text in it crashes the engine that runs it.
pub const CRASH_MARK: &str = "crash-engine";

/// How fast the engine is and what it does wrong. The control call replaces it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Time between two tokens of one stream.
    pub token_us: u64,
    /// Further time for each other stream that runs.
    pub token_us_per_running: u64,
    /// Time to read one prompt token that the cache does not hold.
    pub prefill_us: u64,
    /// Tokens that the cache holds.
    pub cache_tokens: u64,
    /// How late the load report is.
    pub load_lag_ms: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// How long it is away after a crash.
    pub restart_ms: u64,
    /// Streams that run at once; more wait, those with the least `priority` first.
    pub max_batch: u64,
    /// Cut every stream after this many tokens; 0 cuts none.
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

/// What a completion call asks for.
#[derive(Debug, Clone, Deserialize)]
struct Completion {
    messages: Vec<Value>,
    max_tokens: u64,
    #[serde(default)]
    request_id: String,
    #[serde(default)]
    cache_key: String,
    #[serde(default)]
    resume_text: String,
    #[serde(default)]
    priority: u64,
}

#[derive(Default)]
struct State {
    settings: Settings,
    /// Drawn anew by each crash.
    run: u64,
    down_until: Option<Instant>,
    running: u64,
    /// The priorities and numbers of streams that wait to run.
    waiting: BTreeSet<(u64, u64)>,
    cancelled: HashSet<String>,
    cache: Cache,
    load: (Option<Instant>, u64),
    fencing: u64,
    models: HashMap<String, String>,
    arrivals: u64,
    completions: u64,
    authorizations: u64,
    prompt_tokens: u64,
    computed_tokens: u64,
}

type Shared = Arc<Mutex<State>>;

/// Starts an engine.
pub async fn spawn(address: SocketAddr, settings: Settings) -> std::io::Result<Running> {
    let state = State { settings, run: 1, ..State::default() };
    let state = Arc::new(Mutex::new(state));
    http::serve(address, move |request| {
        let state = state.clone();
        async move { handle(&state, request).await }
    })
    .await
}

fn locked(state: &Shared) -> std::sync::MutexGuard<'_, State> {
    state.lock().expect("not poisoned")
}

async fn handle(state: &Shared, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_string();
    if path == "/control" {
        return control(state, request).await;
    }
    if request.headers().contains_key("authorization") {
        locked(state).authorizations += 1;
    }
    if locked(state).down_until.is_some_and(|until| Instant::now() < until) {
        return http::json(StatusCode::SERVICE_UNAVAILABLE, &"restarting");
    }
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/health") => {
            http::json(StatusCode::OK, &json!({ "run": locked(state).run }))
        }
        (Method::GET, "/load") => http::json(StatusCode::OK, &load(state)),
        (Method::GET, "/cache") => http::json(StatusCode::OK, &locked(state).cache.entries()),
        (Method::GET, "/cache/events") => {
            let from = http::query_number(&request, "from").unwrap_or(0);
            http::json(StatusCode::OK, &locked(state).cache.events(from))
        }
        (Method::POST, "/v1/chat/completions") => complete(state, request).await,
        (Method::POST, path) => order(state, path, request).await,
        _ => http::json(StatusCode::NOT_FOUND, &"no such call"),
    }
}

async fn control(state: &Shared, request: Request<Incoming>) -> Response<Body> {
    if request.method() == Method::POST {
        let Some(settings) = http::read_json::<Settings>(request).await else {
            return http::json(StatusCode::BAD_REQUEST, &"not a set of settings");
        };
        locked(state).settings = settings;
    }
    let state = locked(state);
    http::json(
        StatusCode::OK,
        &json!({
            "run": state.run,
            "completions": state.completions,
            "authorizations": state.authorizations,
            "prompt_tokens": state.prompt_tokens,
            "computed_tokens": state.computed_tokens,
            "running": state.running,
            "cached": state.cache.entries(),
        }),
    )
}

fn load(state: &Shared) -> Value {
    let mut state = locked(state);
    let lag = Duration::from_millis(state.settings.load_lag_ms);
    if state.load.0.is_none_or(|at| at.elapsed() >= lag) {
        state.load = (Some(Instant::now()), state.running);
    }
    json!({ "running": state.load.1, "cached_tokens": state.cache.tokens() })
}

async fn order(state: &Shared, path: &str, request: Request<Incoming>) -> Response<Body> {
    let Some(body) = http::read_json::<Value>(request).await else {
        return http::json(StatusCode::BAD_REQUEST, &"not JSON");
    };
    let text = |field: &str| body[field].as_str().unwrap_or_default().to_string();
    let mut state = locked(state);
    match path {
        "/cancel" => {
            state.cancelled.insert(text("request_id"));
        }
        "/cache/free" => state.cache.free(&text("key")),
        "/cache/export" => {
            let tokens = state.cache.held(&text("key"));
            return http::json(StatusCode::OK, &json!({ "key": text("key"), "tokens": tokens }));
        }
        "/cache/import" => {
            let capacity = state.settings.cache_tokens;
            let tokens = body["tokens"].as_u64().unwrap_or(0);
            state.cache.hold(&text("key"), tokens, capacity);
        }
        "/orders" => {
            let fencing = body["fencing"].as_u64().unwrap_or(0);
            if state.settings.checks_fencing && fencing < state.fencing {
                return http::json(StatusCode::CONFLICT, &json!({ "fencing": state.fencing }));
            }
            state.fencing = fencing;
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
    let crashes = contents.last().is_some_and(|text| text.contains(CRASH_MARK));
    wait_for_batch(state, call.priority).await;
    let run = Run::begin(state, &call, prompt_tokens);
    let resumed = call.resume_text.split_inclusive(' ').count();
    let words = answer_words(&contents, resumed as u64 + call.max_tokens);
    http::streamed(async_stream::stream! {
        run.prefill().await;
        if crashes {
            run.crash();
        }
        let mut sent = 0;
        for word in words.iter().skip(resumed).take(call.max_tokens as usize) {
            run.pace().await;
            if run.is_over(sent) {
                yield Err(std::io::Error::other("the engine cut the stream"));
                return;
            }
            if run.is_cancelled() {
                break;
            }
            sent += 1;
            yield Ok(event(&json!({ "choices": [{ "delta": { "content": word } }] })));
        }
        if run.is_over(sent) {
            yield Err(std::io::Error::other("the engine cut the stream"));
            return;
        }
        let finish = if run.is_cancelled() { "cancelled" } else { "stop" };
        yield Ok(event(&json!({
            "choices": [{ "delta": {}, "finish_reason": finish }],
            "usage": { "prompt_tokens": prompt_tokens, "completion_tokens": sent },
        })));
        yield Ok(Bytes::from_static(b"data: [DONE]\n\n"));
    })
}

/// Waits until the batch has room and no stream of a lesser number waits for it.
async fn wait_for_batch(state: &Shared, priority: u64) {
    let place = Place::take(state, priority);
    while !place.may_run() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// A stream's place among those that wait; given up when it runs or its caller goes away.
struct Place {
    state: Shared,
    place: (u64, u64),
}

impl Place {
    fn take(shared: &Shared, priority: u64) -> Place {
        let mut state = locked(shared);
        state.arrivals += 1;
        let place = (priority, state.arrivals);
        state.waiting.insert(place);
        Place { state: shared.clone(), place }
    }

    fn may_run(&self) -> bool {
        let state = locked(&self.state);
        state.running < state.settings.max_batch && state.waiting.first() == Some(&self.place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        locked(&self.state).waiting.remove(&self.place);
    }
}

fn event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

/// The words of the answer: the same for the same conversation.
fn answer_words(contents: &[String], max_tokens: u64) -> Vec<String> {
    let mut hasher = DefaultHasher::new();
    contents.hash(&mut hasher);
    let first = format!("seen={} digest={:016x} ", contents.len(), hasher.finish());
    let mut words: Vec<String> = first.split_inclusive(' ').map(str::to_string).collect();
    let wanted = contents.last().and_then(|text| wanted_words(text)).unwrap_or(8);
    words.extend((1..=wanted.min(max_tokens)).map(|n| format!("word{n} ")));
    words
}

/// A message may ask for a length, as in `words=40`.
fn wanted_words(text: &str) -> Option<u64> {
    let digits = text.split("words=").nth(1)?;
    digits.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}

/// One stream that runs in the batch.
struct Run {
    state: Shared,
    run: u64,
    request_id: String,
    uncached_tokens: u64,
}

impl Run {
    fn begin(shared: &Shared, call: &Completion, prompt_tokens: u64) -> Run {
        let mut state = locked(shared);
        let cached = state.cache.held(&call.cache_key).min(prompt_tokens);
        let capacity = state.settings.cache_tokens;
        if !call.cache_key.is_empty() {
            state.cache.hold(&call.cache_key, prompt_tokens + call.max_tokens, capacity);
        }
        state.running += 1;
        state.completions += 1;
        state.prompt_tokens += prompt_tokens;
        state.computed_tokens += prompt_tokens - cached;
        Run {
            state: shared.clone(),
            run: state.run,
            request_id: call.request_id.clone(),
            uncached_tokens: prompt_tokens - cached,
        }
    }

    async fn prefill(&self) {
        let prefill_us = locked(&self.state).settings.prefill_us * self.uncached_tokens;
        tokio::time::sleep(Duration::from_micros(prefill_us)).await;
    }

    async fn pace(&self) {
        let pause_us = {
            let state = locked(&self.state);
            state.settings.token_us + state.settings.token_us_per_running * state.running
        };
        tokio::time::sleep(Duration::from_micros(pause_us)).await;
    }

    /// Crashes the engine, unless it has crashed under this stream already.
    fn crash(&self) {
        let mut state = locked(&self.state);
        if state.run != self.run {
            return;
        }
        state.run += 1;
        state.cache = Cache::default();
        state.down_until = Some(Instant::now() + Duration::from_millis(state.settings.restart_ms));
    }

    fn is_over(&self, sent: u64) -> bool {
        let state = locked(&self.state);
        let cut = state.settings.cut_after_tokens;
        state.run != self.run || (cut > 0 && sent >= cut)
    }

    fn is_cancelled(&self) -> bool {
        locked(&self.state).cancelled.contains(&self.request_id)
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        locked(&self.state).running -= 1;
    }
}
