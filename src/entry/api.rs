use std::fmt;

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

use crate::http::{Body, BodyError, json as json_response};
use crate::prelude::*;
use crate::programs::{
    ExecutionStatus, FinishReason, Message, Refusal, RefusalReason, Usage, Work,
};

/// Retry delay of a call for which there is no room. Calls that stop short of their end give way to others
/// at once.
const NO_ROOM_RETRY_MS: u64 = 300;

/// Token limit of a completion request that sets none.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// A chat completion request in the OpenAI format, which existing clients use.
#[derive(Debug, Deserialize)]
pub(super) struct ChatRequest {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    pub stream: bool,
    #[serde(flatten)]
    parameters: Map<String, Value>,
}

/// Fields that only the system itself may send to engines; they are removed from requests.
const RESERVED_FIELDS: &[&str] = &["request_id", "cache_key", "resume_text", "priority"];

impl TryFrom<ChatRequest> for Work {
    type Error = ApiErrorCode;

    fn try_from(call: ChatRequest) -> Result<Work, ApiErrorCode> {
        let model = ModelName::parse(&call.model).map_err(|_| ApiErrorCode::BadRequest)?;
        if call.messages.is_empty() {
            return Err(ApiErrorCode::BadRequest);
        }
        let max_tokens = call.max_completion_tokens.or(call.max_tokens);
        let mut parameters = call.parameters;
        parameters.retain(|name, _| !RESERVED_FIELDS.contains(&name.as_str()));
        Ok(Work::Model {
            model,
            messages: call.messages,
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
            parameters,
        })
    }
}

/// The error codes that callers see.
#[value]
#[derive(Copy)]
pub enum ApiErrorCode {
    /// The path or method is unknown.
    NoSuchCall,
    /// The API key is missing, or belongs to no workspace with a contract.
    BadKey,
    /// The headers, the path or the body are malformed.
    BadRequest,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body was not received within the time-out.
    TooSlow,
    /// What the process holds for callers has reached a limit.
    NoRoom,
    /// The workspace's contract does not allow the model or action.
    NotAllowed,
    /// The workspace's rate or burst is used up.
    RateLimited,
    /// This entry is not ready, its configuration is stale, or it could not reach the entry that
    /// lends the workspace's rate.
    NotReady,
    /// The API key was revoked while the call ran.
    KeyWithdrawn,
    /// Whether the call ran is not known. An irreversible call is not run again.
    OutcomeUnknown,
    /// The program's owner refused.
    Refused(RefusalReason),
}

impl ApiErrorCode {
    /// The code as it is written in answers and metrics.
    pub fn text(self) -> &'static str {
        match self {
            ApiErrorCode::NoSuchCall => "no_such_call",
            ApiErrorCode::BadKey => "bad_key",
            ApiErrorCode::BadRequest => "bad_request",
            ApiErrorCode::TooLarge => "too_large",
            ApiErrorCode::TooSlow => "too_slow",
            ApiErrorCode::NoRoom => "no_room",
            ApiErrorCode::NotAllowed => "not_allowed",
            ApiErrorCode::RateLimited => "rate_limited",
            ApiErrorCode::NotReady => "not_ready",
            ApiErrorCode::KeyWithdrawn => "key_withdrawn",
            ApiErrorCode::OutcomeUnknown => "outcome_unknown",
            ApiErrorCode::Refused(reason) => reason.code(),
        }
    }

    fn status(self) -> StatusCode {
        match self {
            ApiErrorCode::NoSuchCall => StatusCode::NOT_FOUND,
            ApiErrorCode::BadKey | ApiErrorCode::KeyWithdrawn => StatusCode::UNAUTHORIZED,
            ApiErrorCode::BadRequest => StatusCode::BAD_REQUEST,
            ApiErrorCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ApiErrorCode::TooSlow => StatusCode::REQUEST_TIMEOUT,
            ApiErrorCode::NotAllowed => StatusCode::FORBIDDEN,
            ApiErrorCode::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            ApiErrorCode::NotReady | ApiErrorCode::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            ApiErrorCode::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            ApiErrorCode::Refused(reason) => refusal_status(reason),
        }
    }
}

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::TurnTooEarly { .. }
        | RefusalReason::TurnConflict
        | RefusalReason::ProgramBusy => StatusCode::CONFLICT,
        RefusalReason::ProgramEnded | RefusalReason::HistoryGap => StatusCode::GONE,
        RefusalReason::BudgetExhausted | RefusalReason::TurnsExhausted => {
            StatusCode::PAYMENT_REQUIRED
        }
        RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::AttemptsFailed
        | RefusalReason::CrashesEndpoints
        | RefusalReason::OwnerLost => StatusCode::BAD_GATEWAY,
        RefusalReason::NoEndpoint
        | RefusalReason::Overloaded
        | RefusalReason::LogUnavailable
        | RefusalReason::NotOwner => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// An error as callers get it.
#[value]
#[derive(Copy)]
pub struct ApiError {
    /// The error code.
    pub code: ApiErrorCode,
    /// Whether the call ran.
    pub ran: ExecutionStatus,
    /// Time after which a retry can succeed; `None` if no retry can.
    pub retry_after_ms: Option<u64>,
}

impl ApiError {
    /// An error for a call that did not run and that can't succeed when retried unchanged.
    pub fn not_run(code: ApiErrorCode) -> ApiError {
        ApiError { code, ran: ExecutionStatus::NotRun, retry_after_ms: None }
    }

    /// The JSON body.
    pub fn body(&self) -> Value {
        json!({ "error": {
            "code": self.code.text(),
            "type": self.code.text(),
            "message": self.to_string(),
            "ran": self.ran,
            "retry": self.retry_after_ms.is_some(),
            "retry_after_ms": self.retry_after_ms,
            "expected_turn": self.expected_turn(),
        } })
    }

    fn expected_turn(&self) -> Option<TurnNo> {
        match self.code {
            ApiErrorCode::Refused(RefusalReason::TurnTooEarly { expected }) => Some(expected),
            _ => None,
        }
    }

    /// The HTTP response.
    pub fn response(&self) -> Response<Body> {
        let mut response = json_response(self.code.status(), &self.body());
        if let Some(retry_after_ms) = self.retry_after_ms {
            // `Retry-After` has whole seconds, rounded up; the body has milliseconds.
            let seconds = retry_after_ms.div_ceil(1_000);
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ran = match self.ran {
            ExecutionStatus::NotRun => "the call was not run",
            ExecutionStatus::Ran => "the call was run",
            ExecutionStatus::Unknown => "whether the call ran is not known",
        };
        write!(f, "{}: {ran}", self.code.text().replace('_', " "))
    }
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> ApiError {
        ApiError {
            code: ApiErrorCode::Refused(refusal.reason),
            ran: refusal.ran,
            retry_after_ms: refusal.retry_after_ms,
        }
    }
}

impl From<BodyError> for ApiError {
    fn from(fault: BodyError) -> ApiError {
        ApiError::not_run(match fault {
            BodyError::TooLarge => ApiErrorCode::TooLarge,
            BodyError::TimedOut => ApiErrorCode::TooSlow,
            BodyError::Incomplete => ApiErrorCode::BadRequest,
            BodyError::NoRoom => {
                let error = ApiError::not_run(ApiErrorCode::NoRoom);
                return ApiError { retry_after_ms: Some(NO_ROOM_RETRY_MS), ..error };
            }
        })
    }
}

/// A complete chat completion in the OpenAI format, which existing clients use.
#[derive(Serialize)]
pub(super) struct Completion<'a> {
    id: String,
    object: &'static str,
    model: &'a str,
    choices: [Value; 1],
    usage: Value,
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    })
}

fn finish_json(finish: FinishReason) -> Value {
    match finish {
        FinishReason::Stop => "stop".into(),
        FinishReason::Length => "length".into(),
    }
}

/// The body of an answer that is not streamed.
pub(super) fn completion<'a>(
    program: &ProgramId,
    turn: TurnNo,
    model: &'a str,
    (text, finish, usage): (&str, FinishReason, Usage),
) -> Completion<'a> {
    Completion {
        id: format!("{}-{turn}", program.name),
        object: "chat.completion",
        model,
        choices: [json!({
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish_json(finish),
        })],
        usage: usage_json(usage),
    }
}

/// One chunk of a streamed answer.
pub(super) fn chunk(program: &ProgramId, model: &str, text: &str) -> Value {
    json!({
        "id": &*program.name,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": null }],
    })
}

/// The last chunk of a streamed answer, with its finish reason and usage.
pub(super) fn last_chunk(
    program: &ProgramId,
    turn: TurnNo,
    model: &str,
    finish: FinishReason,
    usage: Usage,
) -> Value {
    json!({
        "id": &*program.name,
        "object": "chat.completion.chunk",
        "model": model,
        "trefoil_turn": turn,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": finish_json(finish) }],
        "usage": usage_json(usage),
    })
}
