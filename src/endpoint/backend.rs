use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Response};
use serde::Deserialize;
use serde_json::json;

use crate::endpoint::scheduler::cache_key;
use crate::http::{CallError, Client, LineReader, is_body_decoded};
use crate::prelude::*;
use crate::programs::{
    Attempt, AttemptFrame, AttemptWork, FailureCause, FinishReason, TurnResult, Usage,
};

const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of a line in an engine's event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum length of a service's response body.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// Client for the endpoint beside this process: a model engine or a plain service.
#[derive(Clone)]
pub struct Backend {
    http: Client,
    address: SocketAddr,
}

/// Reads an engine's event stream and collects the generated text.
#[derive(Default)]
pub struct CompletionReader {
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

/// The content of one event in an engine's stream.
enum StreamEvent {
    Ignored,
    Text(Arc<str>),
    Finished(FinishReason, Usage),
    Cancelled,
}

impl Backend {
    /// Creates a client for the endpoint at `address`.
    pub fn open(http: Client, address: SocketAddr) -> Backend {
        Backend { http, address }
    }

    /// Runs an attempt to its end. Calls `on_text` for each piece of generated text.
    pub async fn run(&self, attempt: &Attempt, on_text: impl FnMut(Arc<str>)) -> AttemptFrame {
        match &attempt.work {
            AttemptWork::Model { .. } => self.run_model(attempt, on_text).await,
            AttemptWork::Service { action, body, .. } => self.run_service(action, body).await,
        }
    }

    /// Asks the engine to stop an attempt.
    pub async fn stop(&self, attempt: AttemptId) {
        let body = json!({ "request_id": attempt.to_string() });
        let _ = self.post_control("/cancel", &body).await;
    }

    /// Frees a conversation in the engine's cache.
    pub async fn free(&self, key: &str) -> Result<(), CallError> {
        self.post_control("/cache/free", &json!({ "key": key })).await
    }

    /// The keys of the conversations in the engine's cache.
    pub async fn cached_keys(&self) -> Result<Vec<String>, CallError> {
        let entries: Vec<CacheEntry> =
            self.http.get(self.address, "/cache", CONTROL_TIMEOUT).await?;
        Ok(entries.into_iter().map(|entry| entry.key).collect())
    }

    async fn post_control(&self, path: &str, body: &serde_json::Value) -> Result<(), CallError> {
        let call = self.http.call(Method::POST, self.address, path, body, CONTROL_TIMEOUT);
        call.await.map(|_: serde_json::Value| ())
    }

    /// The number of the engine's current run, which changes when the engine restarts after a
    /// crash; `None` if the engine does not answer the health check.
    async fn engine_run(&self) -> Option<u64> {
        let health = self.http.get(self.address, "/health", CONTROL_TIMEOUT).await;
        health.ok().map(|health: EngineHealth| health.run)
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
        // Without the run at the start, a crash could not be told from a broken stream, and the call
        // would run on the next engine without being suspected.
        let Some(run_before) = self.engine_run().await else {
            return failed(FailureCause::Rejected, Some(0));
        };
        let mut request = parameters.clone();
        request.insert("model".to_string(), json!(model));
        request.insert("messages".to_string(), json!(messages));
        request.insert("max_tokens".to_string(), json!(max_tokens));
        request.insert("stream".to_string(), json!(true));
        request.insert("request_id".to_string(), json!(attempt.id.to_string()));
        request.insert("cache_key".to_string(), json!(cache_key(&attempt.program)));
        // Engines serve lower numbers first, so the program that has used the fewest tokens goes
        // first.
        request.insert("priority".to_string(), json!(attempt.attained_tokens));
        request.insert("resume_text".to_string(), json!(resume_text));
        let body = Bytes::from(serde_json::Value::Object(request).to_string());
        let started = self.http.start(Method::POST, self.address, COMPLETIONS_PATH, body).await;
        let mut reader = CompletionReader { text: resume_text.to_string(), tokens: 0 };
        let final_frame = match started {
            Err(CallError::NotSent) => return failed(FailureCause::Rejected, Some(0)),
            Err(_) => None,
            // The engine sends an error status only before it starts the request.
            Ok(response) if response.status().as_u16() >= 400 => {
                return failed(FailureCause::Rejected, Some(0));
            }
            Ok(response) => reader.read_stream(response.into_body(), &mut on_text).await,
        };
        match final_frame {
            Some(final_frame) => final_frame,
            None => self.stream_failure(run_before, reader.tokens).await,
        }
    }

    /// The failure of an attempt whose stream broke: a crash if the engine's run has changed since
    /// the attempt started, otherwise an interruption of the stream alone.
    async fn stream_failure(&self, run_before: u64, tokens: u64) -> AttemptFrame {
        let cause = match self.engine_run().await == Some(run_before) {
            true => FailureCause::Interrupted,
            false => FailureCause::Crashed { run: run_before },
        };
        failed(cause, Some(tokens))
    }

    async fn run_service(&self, action: &str, body: &str) -> AttemptFrame {
        let body = Bytes::from(body.to_string());
        let path = format!("/{action}");
        let response = match self.http.start(Method::POST, self.address, &path, body).await {
            Ok(response) if is_reply(&response) => response,
            Err(CallError::NotSent) => return failed(FailureCause::Rejected, Some(0)),
            Ok(_) | Err(_) => return failed(FailureCause::Interrupted, None),
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

const COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// Whether a service's response is a reply with a body that can be passed on. A change of the protocol
/// (status 101), which no request asks for, is none.
fn is_reply(response: &Response<Incoming>) -> bool {
    !response.status().is_informational() && is_body_decoded(response.headers())
}

fn failed(cause: FailureCause, spent_tokens: Option<u64>) -> AttemptFrame {
    AttemptFrame::Failed { cause, spent_tokens }
}

impl CompletionReader {
    /// Reads the engine's stream to its end; `None` if it breaks before that or is malformed.
    async fn read_stream(
        &mut self,
        body: Incoming,
        on_text: &mut impl FnMut(Arc<str>),
    ) -> Option<AttemptFrame> {
        let mut lines = LineReader::open(body, MAX_EVENT_BYTES);
        loop {
            let line = lines.next().await?;
            match parse_event(&line)? {
                StreamEvent::Ignored => {}
                StreamEvent::Text(text) => {
                    self.text.push_str(&text);
                    self.tokens += 1;
                    on_text(text);
                }
                StreamEvent::Finished(finish, usage) => {
                    return Some(self.done_frame(finish, usage));
                }
                StreamEvent::Cancelled => {
                    return Some(failed(FailureCause::Cancelled, Some(self.tokens)));
                }
            }
        }
    }

    fn done_frame(&self, finish: FinishReason, usage: Usage) -> AttemptFrame {
        let text = self.text.as_str().into();
        AttemptFrame::Done { result: TurnResult::Answered { text, finish, usage } }
    }
}

/// Parses one line of the stream; `None` if it is malformed.
fn parse_event(line: &[u8]) -> Option<StreamEvent> {
    let line = line.trim_ascii();
    let Some(data) = line.strip_prefix(b"data: ") else {
        return Some(StreamEvent::Ignored);
    };
    if data == b"[DONE]" {
        return Some(StreamEvent::Ignored);
    }
    let event: EngineEvent = serde_json::from_slice(data).ok()?;
    let choice = event.choices.into_iter().next()?;
    let usage = event.usage.map_or(Usage::default(), |usage| Usage {
        prompt_tokens: usage.prompt_tokens,
        completion_tokens: usage.completion_tokens,
    });
    Some(match (choice.finish_reason.as_deref(), choice.delta.content) {
        (Some("cancelled"), _) => StreamEvent::Cancelled,
        (Some("length"), _) => StreamEvent::Finished(FinishReason::Length, usage),
        (Some(_), _) => StreamEvent::Finished(FinishReason::Stop, usage),
        (None, Some(text)) => StreamEvent::Text(text.into()),
        (None, None) => StreamEvent::Ignored,
    })
}
