//! Client of the proxy that makes calls as an agent program does.

use std::net::SocketAddr;

use bytes::Buf;
use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use crate::http::{Body, full_body};

/// Client that authenticates with one API key.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Body>,
    key: String,
}

/// A call of a program.
#[derive(Debug, Clone)]
pub struct Turn {
    /// Program id.
    pub program: String,
    /// Turn number, if the call is numbered.
    pub turn: Option<u32>,
    /// Deadline, relative to the time of sending.
    pub deadline_ms: u64,
    /// Request path.
    pub path: String,
    /// Request body.
    pub body: Value,
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Complete response: the text of a completion, or the body of a service's response.
    Whole(String),
    /// Error response.
    Error {
        /// HTTP status; 200 for an error event in a stream.
        status: u16,
        /// Error code.
        code: String,
        /// Whether the call was executed: `not_run`, `ran` or `unknown`.
        ran: String,
        /// Delay before a retry, if the call may be retried.
        retry_after_ms: Option<u64>,
    },
    /// The response was truncated, or the connection failed.
    Cut,
}

impl Answer {
    /// Text of a complete response; empty otherwise.
    pub fn text(&self) -> &str {
        match self {
            Answer::Whole(text) => text,
            Answer::Error { .. } | Answer::Cut => "",
        }
    }

    /// Error code; empty if the outcome is not an error response.
    pub fn code(&self) -> &str {
        match self {
            Answer::Error { code, .. } => code,
            Answer::Whole(_) | Answer::Cut => "",
        }
    }

    fn from_error(status: StatusCode, body: &Value) -> Answer {
        let error = &body["error"];
        Answer::Error {
            status: status.as_u16(),
            code: error["code"].as_str().unwrap_or_default().to_string(),
            ran: error["ran"].as_str().unwrap_or_default().to_string(),
            retry_after_ms: error["retry_after_ms"].as_u64(),
        }
    }
}

/// Builds a streamed completion request for a numbered turn.
pub fn completion(program: &str, turn: u32, content: &str) -> Turn {
    let messages = json!([{ "role": "user", "content": content }]);
    Turn {
        program: program.to_string(),
        turn: Some(turn),
        deadline_ms: 30_000,
        path: "/v1/chat/completions".to_string(),
        body: json!({ "model": "small", "messages": messages, "max_tokens": 64, "stream": true }),
    }
}

/// Builds a request for a service action, such as `notices/lookup`.
pub fn action(program: &str, turn: u32, action: &str, body: Value) -> Turn {
    Turn {
        program: program.to_string(),
        turn: Some(turn),
        deadline_ms: 30_000,
        path: format!("/v1/services/{action}"),
        body,
    }
}

impl Caller {
    /// Creates a client with an API key.
    pub fn new(key: &str) -> Caller {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Caller { client, key: key.to_string() }
    }

    /// Sends a call to an entry.
    pub async fn call(&self, entry: SocketAddr, turn: &Turn) -> Answer {
        self.try_call(entry, turn).await.unwrap_or(Answer::Cut)
    }

    /// Sends a call to the entries in rotation, up to `tries` times, until it completes or fails with
    /// an error without a retry delay. Between tries it waits for the retry delay, at most 1 s, or for
    /// 50 ms after a truncated response or a failed connection.
    pub async fn insist(&self, entries: &[SocketAddr], turn: &Turn, tries: usize) -> Answer {
        let mut answer = Answer::Cut;
        for entry in entries.iter().cycle().take(tries) {
            answer = self.call(*entry, turn).await;
            let wait_ms = match &answer {
                Answer::Whole(_) => return answer,
                Answer::Error { retry_after_ms: Some(wait_ms), .. } => *wait_ms,
                Answer::Error { .. } => return answer,
                Answer::Cut => 50,
            };
            tokio::time::sleep(std::time::Duration::from_millis(wait_ms.min(1_000))).await;
        }
        answer
    }

    /// Ends a program with a DELETE request.
    pub async fn end(&self, entry: SocketAddr, program: &str) -> Answer {
        let url = format!("http://{entry}/v1/programs/{program}");
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(url)
            .header("authorization", format!("Bearer {}", self.key))
            .body(full_body(Vec::new()));
        let Ok(request) = request else {
            return Answer::Cut;
        };
        self.send(request).await.unwrap_or(Answer::Cut)
    }

    async fn try_call(&self, entry: SocketAddr, turn: &Turn) -> Option<Answer> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{entry}{}", turn.path))
            .header("authorization", format!("Bearer {}", self.key))
            .header("x-trefoil-program", &turn.program)
            .header("x-trefoil-deadline-ms", turn.deadline_ms);
        if let Some(number) = turn.turn {
            request = request.header("x-trefoil-turn", number);
        }
        let body = full_body(serde_json::to_vec(&turn.body).ok()?);
        self.send(request.body(body).ok()?).await
    }

    async fn send(&self, request: Request<Body>) -> Option<Answer> {
        let response = self.client.request(request).await.ok()?;
        let status = response.status();
        let content_type = response.headers().get("content-type").cloned();
        let streamed = content_type.is_some_and(|kind| kind == "text/event-stream");
        let mut body = response.into_body();
        let mut bytes = Vec::new();
        let mut complete = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend(frame.into_data().iter().flat_map(|data| data.chunk())),
                Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        let text = String::from_utf8_lossy(&bytes).to_string();
        if streamed {
            return Some(read_events(&text));
        }
        if !complete {
            return Some(Answer::Cut);
        }
        let json: Value = serde_json::from_str(&text).unwrap_or_default();
        if !json["error"].is_null() {
            return Some(Answer::from_error(status, &json));
        }
        match json["choices"][0]["message"]["content"].as_str() {
            Some(content) => Some(Answer::Whole(content.to_string())),
            None => Some(Answer::Whole(text)),
        }
    }
}

/// Parses a streamed response. Without the final `[DONE]` it counts as truncated.
fn read_events(text: &str) -> Answer {
    let mut answer = String::new();
    let mut is_error = false;
    for line in text.lines() {
        if line == "event: error" {
            is_error = true;
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return Answer::Whole(answer);
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return Answer::Cut;
        };
        if is_error {
            return Answer::from_error(StatusCode::OK, &event);
        }
        answer.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    Answer::Cut
}
