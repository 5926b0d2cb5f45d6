//! Turns an owner's replies into what a caller reads.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::Value;
use tokio::sync::{mpsc, watch};

use crate::contracts::Book;
use crate::entry::api::{ApiError, ApiErrorCode, chunk, completion, last_chunk};
use crate::entry::callers::Caller;
use crate::entry::forward::{Call, carry};
use crate::entry::state::Entry;
use crate::http::{Body, json, streamed, whole};
use crate::prelude::*;
use crate::programs::{ExecutionStatus, Reply, TurnRequest, TurnResult};

const PROGRAM: HeaderName = HeaderName::from_static("x-trefoil-program");
const TURN: HeaderName = HeaderName::from_static("x-trefoil-turn");
const REPLAYED: HeaderName = HeaderName::from_static("x-trefoil-replayed");
/// Time for an error event to leave before the connection is cut.
const FLUSH_TIME: Duration = Duration::from_millis(50);
/// The end of a whole answer. A stream that closes without it was cut.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// A call on its way to its answer.
pub(super) struct Answering {
    entry: Arc<Entry>,
    caller: Caller,
    book: watch::Receiver<Arc<Book>>,
    program: ProgramId,
    target: ModelName,
    class: &'static str,
    started: TimeMs,
    first_token_noted: bool,
}

impl Answering {
    pub fn new(entry: Arc<Entry>, caller: Caller, turn: &TurnRequest) -> Answering {
        Answering {
            book: entry.book.subscribe(),
            program: turn.program.clone(),
            target: turn.work.target().clone(),
            class: turn.work.class(),
            started: entry.clock.now(),
            first_token_noted: false,
            entry,
            caller,
        }
    }

    pub async fn answer_service(mut self, turn: TurnRequest) -> Result<Response<Body>, ApiError> {
        let mut replies = carry(self.entry.clone(), Call::Turn(turn));
        loop {
            match self.next(&mut replies).await? {
                Reply::Answer { turn, result: TurnResult::Served { status, body }, replayed } => {
                    let mut response = Response::new(whole(body.to_string()));
                    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                    *response.status_mut() = status;
                    self.mark(&mut response, Some(turn), replayed);
                    return Ok(response);
                }
                Reply::Delta { .. } => {}
                Reply::Answer { .. } | Reply::Ended | Reply::Refused(_) => {
                    return Err(outcome_unknown());
                }
            }
        }
    }

    pub async fn answer_completion(
        mut self,
        turn: TurnRequest,
        stream: bool,
    ) -> Result<Response<Body>, ApiError> {
        let mut replies = carry(self.entry.clone(), Call::Turn(turn));
        if !stream {
            return self.whole_answer(&mut replies).await;
        }
        // The first reply decides on the status: a refusal must not hide in a stream.
        let first = self.next(&mut replies).await?;
        let mut response = Response::new(whole(Bytes::new()));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        let replayed = matches!(first, Reply::Answer { replayed: true, .. });
        self.mark(&mut response, None, replayed);
        *response.body_mut() = self.event_stream(first, replies);
        Ok(response)
    }

    async fn whole_answer(
        mut self,
        replies: &mut mpsc::UnboundedReceiver<Reply>,
    ) -> Result<Response<Body>, ApiError> {
        loop {
            match self.next(replies).await? {
                Reply::Delta { .. } => self.note_first_token(),
                Reply::Answer {
                    turn,
                    result: TurnResult::Answered { text, finish, usage },
                    replayed,
                } => {
                    let model = self.target.as_str();
                    let answer = completion(&self.program, turn, model, (&text, finish, usage));
                    let mut response = json(StatusCode::OK, &answer);
                    self.mark(&mut response, Some(turn), replayed);
                    return Ok(response);
                }
                Reply::Answer { .. } | Reply::Ended | Reply::Refused(_) => {
                    return Err(outcome_unknown());
                }
            }
        }
    }

    /// The answer as events. It ends with `[DONE]`, or with an error event and a cut connection.
    fn event_stream(mut self, first: Reply, mut replies: mpsc::UnboundedReceiver<Reply>) -> Body {
        streamed(async_stream::stream! {
            let mut reply = Ok(first);
            let mut streamed = String::new();
            loop {
                match reply {
                    Ok(Reply::Delta { text }) => {
                        self.note_first_token();
                        streamed.push_str(&text);
                        yield Ok(event(&chunk(&self.program, self.target.as_str(), &text)));
                    }
                    Ok(Reply::Answer {
                        turn,
                        result: TurnResult::Answered { text, finish, usage },
                        ..
                    }) => {
                        let Some(rest) = text.strip_prefix(streamed.as_str()) else {
                            yield Ok(error_event(&outcome_unknown()));
                            yield Err(cut().await);
                            return;
                        };
                        let model = self.target.as_str();
                        if !rest.is_empty() {
                            yield Ok(event(&chunk(&self.program, model, rest)));
                        }
                        yield Ok(event(&last_chunk(&self.program, turn, model, finish, usage)));
                        yield Ok(Bytes::from_static(DONE));
                        return;
                    }
                    Ok(_) => {
                        yield Ok(error_event(&outcome_unknown()));
                        yield Err(cut().await);
                        return;
                    }
                    Err(error) => {
                        yield Ok(error_event(&error));
                        yield Err(cut().await);
                        return;
                    }
                }
                reply = self.next(&mut replies).await;
            }
        })
    }

    /// The next reply, unless the caller's key is withdrawn before it comes.
    async fn next(
        &mut self,
        replies: &mut mpsc::UnboundedReceiver<Reply>,
    ) -> Result<Reply, ApiError> {
        let reply = tokio::select! {
            reply = replies.recv() => reply,
            error = key_withdrawn(&mut self.book, &self.caller) => return Err(error),
        };
        match reply {
            Some(Reply::Refused(refusal)) => Err(refusal.into()),
            Some(reply) => {
                if reply.is_final() {
                    self.note_end();
                }
                Ok(reply)
            }
            None => Err(outcome_unknown()),
        }
    }

    fn mark(&self, response: &mut Response<Body>, turn: Option<TurnNo>, replayed: bool) {
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

    fn note_first_token(&mut self) {
        if !std::mem::replace(&mut self.first_token_noted, true) {
            self.record("trefoil_first_token_ms");
        }
    }

    fn note_end(&self) {
        self.record("trefoil_turn_ms");
    }

    fn record(&self, name: &'static str) {
        let elapsed_ms = self.entry.clock.now().since(self.started) as f64;
        let workspace = self.caller.workspace.to_string();
        metrics::histogram!(name, "workspace" => workspace, "class" => self.class)
            .record(elapsed_ms);
    }
}

async fn key_withdrawn(book: &mut watch::Receiver<Arc<Book>>, caller: &Caller) -> ApiError {
    let held = |book: &Arc<Book>| book.holds(&caller.workspace, &caller.key);
    if book.wait_for(|book| !held(book)).await.is_err() {
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

/// The error that cuts a connection. It waits until the connection had time to send what came
/// before: the cut alone would not tell the caller why.
async fn cut() -> std::io::Error {
    tokio::time::sleep(FLUSH_TIME).await;
    std::io::Error::other("the answer is not whole")
}

fn event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

fn error_event(error: &ApiError) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", error.body()))
}
