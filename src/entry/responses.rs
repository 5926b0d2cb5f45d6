//! Builds the HTTP response to a caller from the replies of the shard's owner.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::Value;
use tokio::sync::{mpsc, watch};

use crate::contracts::ConfigState;
use crate::entry::api::{ApiError, ApiErrorCode, chunk, completion, last_chunk};
use crate::entry::callers::Caller;
use crate::entry::forward::{Call, forward};
use crate::entry::state::Entry;
use crate::http::{Body, full, json, streamed};
use crate::prelude::*;
use crate::programs::{ExecutionStatus, Reply, TurnRequest, TurnResult};

const PROGRAM: HeaderName = HeaderName::from_static("x-trefoil-program");
const TURN: HeaderName = HeaderName::from_static("x-trefoil-turn");
const REPLAYED: HeaderName = HeaderName::from_static("x-trefoil-replayed");
/// Time for an error event to reach the caller before the connection is closed.
const FLUSH_TIME: Duration = Duration::from_millis(50);
/// The last event of a complete answer. A stream that closes without it is incomplete.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Builds the response to one call.
pub(super) struct ResponseBuilder {
    entry: Arc<Entry>,
    caller: Caller,
    config_state: watch::Receiver<Arc<ConfigState>>,
    program: ProgramId,
    target: ModelName,
    /// Kind of the call, for metrics: model or service.
    class: &'static str,
    started: TimeMs,
    first_token_recorded: bool,
}

impl ResponseBuilder {
    pub fn new(entry: Arc<Entry>, caller: Caller, turn: &TurnRequest) -> ResponseBuilder {
        ResponseBuilder {
            config_state: entry.config_state.subscribe(),
            program: turn.program.clone(),
            target: turn.work.target().clone(),
            class: turn.work.class(),
            started: entry.clock.now(),
            first_token_recorded: false,
            entry,
            caller,
        }
    }

    pub async fn service_response(mut self, turn: TurnRequest) -> Result<Response<Body>, ApiError> {
        let mut replies = forward(self.entry.clone(), Call::Turn(turn));
        loop {
            match self.next_reply(&mut replies).await? {
                Reply::Answer { turn, result: TurnResult::Served { status, body }, replayed } => {
                    let mut response = Response::new(full(body.to_string()));
                    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                    *response.status_mut() = status;
                    self.set_headers(&mut response, Some(turn), replayed);
                    return Ok(response);
                }
                Reply::Delta { .. } => {}
                Reply::Answer { .. } | Reply::Ended | Reply::Refused(_) => {
                    return Err(outcome_unknown());
                }
            }
        }
    }

    pub async fn completion_response(
        mut self,
        turn: TurnRequest,
        stream: bool,
    ) -> Result<Response<Body>, ApiError> {
        let mut replies = forward(self.entry.clone(), Call::Turn(turn));
        if !stream {
            return self.buffered_completion(&mut replies).await;
        }
        // Waits for the first reply before it chooses the status: a refusal is answered with its
        // own status, not as an event in a successful response.
        let first = self.next_reply(&mut replies).await?;
        let mut response = Response::new(full(Bytes::new()));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        let replayed = matches!(first, Reply::Answer { replayed: true, .. });
        self.set_headers(&mut response, None, replayed);
        *response.body_mut() = self.event_stream(first, replies);
        Ok(response)
    }

    async fn buffered_completion(
        mut self,
        replies: &mut mpsc::UnboundedReceiver<Reply>,
    ) -> Result<Response<Body>, ApiError> {
        loop {
            match self.next_reply(replies).await? {
                Reply::Delta { .. } => self.record_first_token(),
                Reply::Answer {
                    turn,
                    result: TurnResult::Answered { text, finish, usage },
                    replayed,
                } => {
                    let model = self.target.as_str();
                    let answer = completion(&self.program, turn, model, (&text, finish, usage));
                    let mut response = json(StatusCode::OK, &answer);
                    self.set_headers(&mut response, Some(turn), replayed);
                    return Ok(response);
                }
                Reply::Answer { .. } | Reply::Ended | Reply::Refused(_) => {
                    return Err(outcome_unknown());
                }
            }
        }
    }

    /// The answer as server-sent events. It ends with `[DONE]`, or with an error event after which
    /// the connection is closed.
    fn event_stream(mut self, first: Reply, mut replies: mpsc::UnboundedReceiver<Reply>) -> Body {
        streamed(async_stream::stream! {
            let mut reply = Ok(first);
            let mut sent_text = String::new();
            loop {
                match reply {
                    Ok(Reply::Delta { text }) => {
                        self.record_first_token();
                        sent_text.push_str(&text);
                        yield Ok(event(&chunk(&self.program, self.target.as_str(), &text)));
                    }
                    Ok(Reply::Answer {
                        turn,
                        result: TurnResult::Answered { text, finish, usage },
                        ..
                    }) => {
                        // The answer can be completed only if it begins with the text that was
                        // already sent.
                        let Some(rest) = text.strip_prefix(sent_text.as_str()) else {
                            yield Ok(error_event(&outcome_unknown()));
                            yield Err(abort_error().await);
                            return;
                        };
                        let model = self.target.as_str();
                        if !rest.is_empty() {
                            yield Ok(event(&chunk(&self.program, model, rest)));
                        }
                        yield Ok(event(&last_chunk(&self.program, turn, model, finish, usage)));
                        yield Ok(Bytes::from_static(DONE_EVENT));
                        return;
                    }
                    Ok(_) => {
                        yield Ok(error_event(&outcome_unknown()));
                        yield Err(abort_error().await);
                        return;
                    }
                    Err(error) => {
                        yield Ok(error_event(&error));
                        yield Err(abort_error().await);
                        return;
                    }
                }
                reply = self.next_reply(&mut replies).await;
            }
        })
    }

    /// The next reply. Returns an error if the call is refused, if the replies end, or if the
    /// caller's key is revoked before the next reply comes.
    async fn next_reply(
        &mut self,
        replies: &mut mpsc::UnboundedReceiver<Reply>,
    ) -> Result<Reply, ApiError> {
        let reply = tokio::select! {
            reply = replies.recv() => reply,
            error = until_key_revoked(&mut self.config_state, &self.caller) => return Err(error),
        };
        match reply {
            Some(Reply::Refused(refusal)) => Err(refusal.into()),
            Some(reply) => {
                if reply.is_final() {
                    self.record_turn_time();
                }
                Ok(reply)
            }
            None => Err(outcome_unknown()),
        }
    }

    fn set_headers(&self, response: &mut Response<Body>, turn: Option<TurnNo>, replayed: bool) {
        let headers = response.headers_mut();
        if let Ok(name) = HeaderValue::from_str(&self.program.name) {
            headers.insert(PROGRAM, name);
        }
        if let Some(turn) = turn {
            headers.insert(TURN, HeaderValue::from(turn.0));
        }
        if replayed {
            headers.insert(REPLAYED, HeaderValue::from_static("true"));
        }
    }

    fn record_first_token(&mut self) {
        if !std::mem::replace(&mut self.first_token_recorded, true) {
            self.record_elapsed("trefoil_first_token_ms");
        }
    }

    fn record_turn_time(&self) {
        self.record_elapsed("trefoil_turn_ms");
    }

    fn record_elapsed(&self, name: &'static str) {
        let elapsed_ms = self.entry.clock.now().since(self.started) as f64;
        let workspace = self.caller.workspace.to_string();
        metrics::histogram!(name, "workspace" => workspace, "class" => self.class)
            .record(elapsed_ms);
    }
}

async fn until_key_revoked(
    config_state: &mut watch::Receiver<Arc<ConfigState>>,
    caller: &Caller,
) -> ApiError {
    let is_valid =
        |config_state: &Arc<ConfigState>| config_state.is_key_valid(&caller.workspace, &caller.key);
    if config_state.wait_for(|config_state| !is_valid(config_state)).await.is_err() {
        std::future::pending::<()>().await;
    }
    ApiError {
        code: ApiErrorCode::KeyWithdrawn,
        ran: ExecutionStatus::Unknown,
        retry_after_ms: None,
    }
}

fn outcome_unknown() -> ApiError {
    ApiError {
        code: ApiErrorCode::OutcomeUnknown,
        ran: ExecutionStatus::Unknown,
        retry_after_ms: None,
    }
}

/// The body error that closes the connection. It is returned only after the connection had time to
/// send the error event before it: without that event the caller would not learn why.
async fn abort_error() -> std::io::Error {
    tokio::time::sleep(FLUSH_TIME).await;
    std::io::Error::other("answer incomplete: aborted after an error event")
}

fn event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

fn error_event(error: &ApiError) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", error.body()))
}
