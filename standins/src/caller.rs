//! A caller of the system, as an agent program makes its calls.

use std::net::SocketAddr;

use bytes::Buf;
use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use crate::http::{Body, whole};

/// Calls one workspace's programs with one key.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Body>,
    key: String,
}

/// One call.
#[derive(Debug, Clone)]
pub struct Turn {
    /// The program.
    pub program: String,
    /// Its number.
    pub turn: Option<u32>,
    /// How long the caller waits.
    pub deadline_ms: u64,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Value,
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The whole answer: its text, or a service's reply.
    Whole(String),
    /// An error: its code and whether the call ran.
    Error {
        /// The HTTP status; 200 for an error within a stream.
        status: u16,
        /// The code.
        code: String,
        /// `not_run`, `ran` or `unknown`.
        ran: String,
        /// When to come back.
        retry_after_ms: Option<u64>,
    },
    /// The answer was cut, or no connection could be made.
    Cut,
}

impl Answer {
    /// The text of a whole answer.
    pub fn text(&self) -> &str {
        match self {
            Answer::Whole(text) => text,
            Answer::Error { .. } | Answer::Cut => "",
        }
    }

    /// The code of an error.
    pub fn code(&self) -> &str {
        match self {
            Answer::Error { code, .. } => code,
            Answer::Whole(_) | Answer::Cut => "",
        }
    }

    fn of_error(status: StatusCode, body: &Value) -> Answer {
        let error = &body["error"];
        Answer::Error {
            status: status.as_u16(),
            code: error["code"].as_str().unwrap_or_default().to_string(),
            ran: error["ran"].as_str().unwrap_or_default().to_string(),
            retry_after_ms: error["retry_after_ms"].as_u64(),
        }
    }
}

/// A streamed completion of a numbered turn.
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

/// A call of a service.
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
    /// A caller with a key.
    pub fn new(key: &str) -> Caller {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Caller { client, key: key.to_string() }
    }

    /// Makes a call at an entry.
    pub async fn call(&self, entry: SocketAddr, turn: &Turn) -> Answer {
        self.try_call(entry, turn).await.unwrap_or(Answer::Cut)
    }

    /// Makes a call, and again while the answer says that it is worth it, at each entry in turn.
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

    /// Ends a program.
    pub async fn end(&self, entry: SocketAddr, program: &str) -> Answer {
        let url = format!("http://{entry}/v1/programs/{program}");
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(url)
            .header("authorization", format!("Bearer {}", self.key))
            .body(whole(Vec::new()));
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
        let body = whole(serde_json::to_vec(&turn.body).ok()?);
        self.send(request.body(body).ok()?).await
    }

    async fn send(&self, request: Request<Body>) -> Option<Answer> {
        let response = self.client.request(request).await.ok()?;
        let status = response.status();
        let content_type = response.headers().get("content-type").cloned();
        let streamed = content_type.is_some_and(|kind| kind == "text/event-stream");
        let mut body = response.into_body();
        let mut bytes = Vec::new();
        let mut whole = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend(frame.into_data().iter().flat_map(|data| data.chunk())),
                Err(_) => {
                    whole = false;
                    break;
                }
            }
        }
        let text = String::from_utf8_lossy(&bytes).to_string();
        if streamed {
            return Some(read_events(&text));
        }
        if !whole {
            return Some(Answer::Cut);
        }
        let json: Value = serde_json::from_str(&text).unwrap_or_default();
        if !json["error"].is_null() {
            return Some(Answer::of_error(status, &json));
        }
        match json["choices"][0]["message"]["content"].as_str() {
            Some(content) => Some(Answer::Whole(content.to_string())),
            None => Some(Answer::Whole(text)),
        }
    }
}

/// Reads a streamed answer. Only `[DONE]` makes it whole.
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
            return Answer::of_error(StatusCode::OK, &event);
        }
        answer.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    Answer::Cut
}
