use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;

use crate::endpoint::scheduler::cache_key;
use crate::http::{CallError, Client, LineReader};
use crate::prelude::*;
use crate::programs::{
    Attempt, AttemptFrame, AttemptWork, FailureCause, FinishReason, TurnResult, Usage,
};

const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// A line of an engine's stream may be this long.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// A service's reply may be this long.
const MAX_REPLY_BYTES: usize = 1 << 20;
const NO_ENGINE_RUN: u64 = 0;

/// The endpoint beside this process: a model engine or a plain service.
#[derive(Clone)]
pub struct Backend {
    http: Client,
    address: SocketAddr,
}

/// A running attempt's text so far.
#[derive(Default)]
pub struct BackendRun {
    text: String,
    tokens: u64,
}

#[derive(Deserialize)]
struct EngineHealth {
    run: u64,
}

#[derive(Deserialize)]
struct CacheEntry {
    key: String,
}

#[derive(Deserialize)]
struct EngineEvent {
    choices: Vec<EngineChoice>,
    usage: Option<EngineUsage>,
}

#[derive(Deserialize)]
struct EngineChoice {
    delta: EngineDelta,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct EngineDelta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct EngineUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// What one event of an engine's stream says.
enum Step {
    Nothing,
    Text(Arc<str>),
    Finished(FinishReason, Usage),
    Cancelled,
}

impl Backend {
    /// Opens the connection to the endpoint.
    pub fn open(http: Client, address: SocketAddr) -> Backend {
        Backend { http, address }
    }

    /// Runs an attempt to its end; hands on text as it comes.
    pub async fn run(&self, attempt: &Attempt, on_text: impl FnMut(Arc<str>)) -> AttemptFrame {
        match &attempt.work {
            AttemptWork::Model { .. } => self.run_model(attempt, on_text).await,
            AttemptWork::Service { action, body, .. } => self.run_service(action, body).await,
        }
    }

    /// Asks the engine to stop an attempt.
    pub async fn stop(&self, attempt: AttemptId) {
        let order = json!({ "request_id": attempt.to_string() });
        let _ = self.order("/cancel", &order).await;
    }

    /// Frees a conversation.
    pub async fn free(&self, key: &str) -> Result<(), CallError> {
        self.order("/cache/free", &json!({ "key": key })).await
    }

    /// The conversations that the engine holds.
    pub async fn cached(&self) -> Result<Vec<String>, CallError> {
        let entries: Vec<CacheEntry> =
            self.http.get(self.address, "/cache", CONTROL_TIMEOUT).await?;
        Ok(entries.into_iter().map(|entry| entry.key).collect())
    }

    async fn order(&self, path: &str, order: &serde_json::Value) -> Result<(), CallError> {
        let call = self.http.call(Method::POST, self.address, path, order, CONTROL_TIMEOUT);
        call.await.map(|_: serde_json::Value| ())
    }

    /// The engine's run; a crash gives it another.
    async fn engine_run(&self) -> u64 {
        let health = self.http.get(self.address, "/health", CONTROL_TIMEOUT).await;
        health.map_or(NO_ENGINE_RUN, |health: EngineHealth| health.run)
    }

    async fn run_model(
        &self,
        attempt: &Attempt,
        mut on_text: impl FnMut(Arc<str>),
    ) -> AttemptFrame {
        let AttemptWork::Model { model, messages, resume_text, max_tokens, parameters } =
            &attempt.work
        else {
            return failed(FailureCause::Rejected, Some(0));
        };
        let run_before = self.engine_run().await;
        let mut call = parameters.clone();
        call.insert("model".to_string(), json!(model));
        call.insert("messages".to_string(), json!(messages));
        call.insert("max_tokens".to_string(), json!(max_tokens));
        call.insert("stream".to_string(), json!(true));
        call.insert("request_id".to_string(), json!(attempt.id.to_string()));
        call.insert("cache_key".to_string(), json!(cache_key(&attempt.program)));
        // Engines serve the least number first: the program that has had the least.
        call.insert("priority".to_string(), json!(attempt.attained_tokens));
        call.insert("resume_text".to_string(), json!(resume_text));
        let body = Bytes::from(serde_json::Value::Object(call).to_string());
        let started = self.http.start(Method::POST, self.address, COMPLETIONS, body).await;
        let mut run = BackendRun { text: resume_text.to_string(), tokens: 0 };
        let end = match started {
            Err(CallError::NotSent) => return failed(FailureCause::Rejected, Some(0)),
            Err(_) => None,
            // The engine answers so before it starts anything.
            Ok(response) if response.status().as_u16() >= 400 => {
                return failed(FailureCause::Rejected, Some(0));
            }
            Ok(response) => run.follow(response.into_body(), &mut on_text).await,
        };
        match end {
            Some(end) => end,
            None => self.broken(run_before, run.tokens).await,
        }
    }

    /// The stream broke: did the engine crash, or only the stream?
    async fn broken(&self, run_before: u64, tokens: u64) -> AttemptFrame {
        let cause = match self.engine_run().await == run_before {
            true => FailureCause::Interrupted,
            false => FailureCause::Crashed { run: run_before },
        };
        failed(cause, Some(tokens))
    }

    async fn run_service(&self, action: &str, body: &str) -> AttemptFrame {
        let body = Bytes::from(body.to_string());
        let path = format!("/{action}");
        let response = match self.http.start(Method::POST, self.address, &path, body).await {
            Ok(response) => response,
            Err(CallError::NotSent) => return failed(FailureCause::Rejected, Some(0)),
            Err(_) => return failed(FailureCause::Interrupted, None),
        };
        let status = response.status().as_u16();
        let limited = http_body_util::Limited::new(response.into_body(), MAX_REPLY_BYTES);
        match limited.collect().await {
            Ok(body) => {
                let body = String::from_utf8_lossy(&body.to_bytes()).into();
                AttemptFrame::Done { result: TurnResult::Served { status, body } }
            }
            Err(_) => failed(FailureCause::Interrupted, None),
        }
    }
}

const COMPLETIONS: &str = "/v1/chat/completions";

fn failed(cause: FailureCause, spent_tokens: Option<u64>) -> AttemptFrame {
    AttemptFrame::Failed { cause, spent_tokens }
}

impl BackendRun {
    /// Reads the engine's stream to its end; `None` if it broke before.
    async fn follow(
        &mut self,
        body: Incoming,
        on_text: &mut impl FnMut(Arc<str>),
    ) -> Option<AttemptFrame> {
        let mut lines = LineReader::open(body, MAX_EVENT_BYTES);
        loop {
            let line = lines.next().await?;
            match read_event(&line)? {
                Step::Nothing => {}
                Step::Text(text) => {
                    self.text.push_str(&text);
                    self.tokens += 1;
                    on_text(text);
                }
                Step::Finished(finish, usage) => return Some(self.done(finish, usage)),
                Step::Cancelled => {
                    return Some(failed(FailureCause::Cancelled, Some(self.tokens)));
                }
            }
        }
    }

    fn done(&self, finish: FinishReason, usage: Usage) -> AttemptFrame {
        let text = self.text.as_str().into();
        AttemptFrame::Done { result: TurnResult::Answered { text, finish, usage } }
    }
}

/// Reads one line of the stream; `None` if it is not what an engine sends.
fn read_event(line: &[u8]) -> Option<Step> {
    let line = line.trim_ascii();
    let Some(data) = line.strip_prefix(b"data: ") else {
        return Some(Step::Nothing);
    };
    if data == b"[DONE]" {
        return Some(Step::Nothing);
    }
    let event: EngineEvent = serde_json::from_slice(data).ok()?;
    let choice = event.choices.into_iter().next()?;
    let usage = event.usage.map_or(Usage::default(), |usage| Usage {
        prompt_tokens: usage.prompt_tokens,
        completion_tokens: usage.completion_tokens,
    });
    Some(match (choice.finish_reason.as_deref(), choice.delta.content) {
        (Some("cancelled"), _) => Step::Cancelled,
        (Some("length"), _) => Step::Finished(FinishReason::Length, usage),
        (Some(_), _) => Step::Finished(FinishReason::Stop, usage),
        (None, Some(text)) => Step::Text(text.into()),
        (None, None) => Step::Nothing,
    })
}
