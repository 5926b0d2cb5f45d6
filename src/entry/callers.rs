//! The HTTP API for callers: chat completions, service actions and the end of programs.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONNECTION, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::mpsc;

use crate::contracts::{Contract, KeyDigest, KeyId};
use crate::entry::api::{ApiError, ApiErrorCode, ChatRequest};
use crate::entry::calls_in_flight::{CallInFlight, Wait};
use crate::entry::forward::{Call, forward};
use crate::entry::rates::RateRefusal;
use crate::entry::responses::ResponseBuilder;
use crate::entry::state::Entry;
use crate::http::{Body, KeptUntilSent, json, read_body_until};
use crate::prelude::*;
use crate::programs::{ExecutionStatus, RefusalReason, Reply, TurnRequest, Work};

/// The program's name. A call without it forms a program of its own.
const PROGRAM: HeaderName = HeaderName::from_static("x-trefoil-program");
/// The call's turn number within its program, from 1.
const TURN: HeaderName = HeaderName::from_static("x-trefoil-turn");
/// The idempotency key, equal on every repeat of one call.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// How long the caller waits for the answer, in milliseconds.
const DEADLINE_MS: HeaderName = HeaderName::from_static("x-trefoil-deadline-ms");

const MAX_DEADLINE_MS: u64 = 3_600_000;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
const NOT_READY_RETRY_MS: u64 = 1_000;
const LOG_UNAVAILABLE_RETRY_MS: u64 = 2_000;

/// An authenticated caller.
#[value]
pub(super) struct Caller {
    pub workspace: WorkspaceId,
    pub key: KeyId,
}

/// The parsed headers of a call.
struct CallHeaders {
    program: ProgramId,
    turn: Option<TurnNo>,
    idempotency_key: Option<Arc<str>>,
    deadline: TimeMs,
}

/// Handles a caller's request. Errors are counted by their code.
pub(super) async fn handle(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let call = entry.calls.begin(entry.clock.now());
    let mut response = match route(entry.clone(), &call, request).await {
        Ok(response) => response,
        Err(error) => {
            metrics::counter!("trefoil_refusals", "code" => error.code.text()).increment(1);
            error.response()
        }
    };
    call.set_wait(Wait::Caller);
    // The caller opens its next connection to another entry. If an idle connection were closed
    // instead, a call on its way would be cut.
    if entry.is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.extensions_mut().insert(KeptUntilSent(Arc::new(call)));
    response
}

async fn route(
    entry: Arc<Entry>,
    call: &CallInFlight,
    request: Request<Incoming>,
) -> Result<Response<Body>, ApiError> {
    let path = request.uri().path().to_string();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match (request.method().clone(), parts.as_slice()) {
        (Method::POST, ["v1", "chat", "completions"]) => {
            handle_completion(entry, call, request).await
        }
        (Method::POST, ["v1", "services", service, action]) => {
            handle_action(entry, call, request, service, action).await
        }
        (Method::DELETE, ["v1", "programs", name @ ..]) if !name.is_empty() => {
            handle_end(entry, call, request, &name.join("/")).await
        }
        _ => Err(ApiError::not_run(ApiErrorCode::NoSuchCall)),
    }
}

async fn handle_completion(
    entry: Arc<Entry>,
    call: &CallInFlight,
    request: Request<Incoming>,
) -> Result<Response<Body>, ApiError> {
    let (caller, contract) = authenticate(&entry, &request)?;
    let headers = read_headers(&entry, &caller, &request)?;
    call.set_turn(&headers.program, headers.turn);
    admit(&entry, &caller, headers.deadline).await?;
    call.set_wait(Wait::Body);
    let body = receive_body(&entry, &caller, request).await?;
    call.set_wait(Wait::Owner);
    let chat: ChatRequest = serde_json::from_slice(&body).map_err(|_| bad_request())?;
    let stream = chat.stream;
    let mut work = Work::try_from(chat).map_err(ApiError::not_run)?;
    if !contract.allows_model(work.target()) {
        return Err(ApiError::not_run(ApiErrorCode::NotAllowed));
    }
    work.limit_tokens(contract.program.budget_tokens);
    let turn = turn_request(headers, work, &contract);
    ResponseBuilder::new(entry, caller, &turn).completion_response(turn, stream).await
}

async fn handle_action(
    entry: Arc<Entry>,
    call: &CallInFlight,
    request: Request<Incoming>,
    service: &str,
    action: &str,
) -> Result<Response<Body>, ApiError> {
    let (caller, contract) = authenticate(&entry, &request)?;
    let headers = read_headers(&entry, &caller, &request)?;
    call.set_turn(&headers.program, headers.turn);
    admit(&entry, &caller, headers.deadline).await?;
    let service = ModelName::parse(service).map_err(|_| bad_request())?;
    let full_name = format!("{service}/{action}");
    if !contract.allows_action(&full_name) {
        return Err(ApiError::not_run(ApiErrorCode::NotAllowed));
    }
    call.set_wait(Wait::Body);
    let body = receive_body(&entry, &caller, request).await?;
    call.set_wait(Wait::Owner);
    let body = std::str::from_utf8(&body).map_err(|_| bad_request())?;
    let work = Work::Service {
        service,
        action: action.into(),
        body: body.into(),
        idempotent: !contract.is_irreversible(&full_name),
    };
    let turn = turn_request(headers, work, &contract);
    ResponseBuilder::new(entry, caller, &turn).service_response(turn).await
}

async fn handle_end(
    entry: Arc<Entry>,
    call: &CallInFlight,
    request: Request<Incoming>,
    name: &str,
) -> Result<Response<Body>, ApiError> {
    let (caller, _) = authenticate(&entry, &request)?;
    let program = ProgramId::parse(caller.workspace, name).map_err(|_| bad_request())?;
    call.set_turn(&program, None);
    call.set_wait(Wait::Owner);
    let deadline = entry.clock.now().plus(entry.settings.default_deadline_ms);
    let mut replies = forward(entry, Call::End { program, deadline });
    match final_reply(&mut replies).await {
        Some(Reply::Refused(refusal)) => Err(refusal.into()),
        Some(_) => Ok(json(StatusCode::OK, &serde_json::json!({ "ended": name }))),
        None => Err(ApiError {
            code: ApiErrorCode::NotReady,
            ran: ExecutionStatus::Unknown,
            retry_after_ms: Some(NOT_READY_RETRY_MS),
        }),
    }
}

async fn final_reply(replies: &mut mpsc::UnboundedReceiver<Reply>) -> Option<Reply> {
    loop {
        let reply = replies.recv().await?;
        if reply.is_final() {
            return Some(reply);
        }
    }
}

fn bad_request() -> ApiError {
    ApiError::not_run(ApiErrorCode::BadRequest)
}

fn not_ready() -> ApiError {
    let error = ApiError::not_run(ApiErrorCode::NotReady);
    ApiError { retry_after_ms: Some(NOT_READY_RETRY_MS), ..error }
}

/// Authenticates the caller: the key must belong to a workspace with a contract, by a configuration
/// that is known to be fresh. The secret key is not passed on from here, only its public name.
fn authenticate(
    entry: &Entry,
    request: &Request<Incoming>,
) -> Result<(Caller, Contract), ApiError> {
    if !entry.is_ready() || !entry.config_is_fresh() {
        return Err(not_ready());
    }
    let header = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    let key = key.ok_or(ApiError::not_run(ApiErrorCode::BadKey))?;
    let config_state = entry.current_config_state();
    let found = config_state.authenticate(&KeyDigest::of_key(key.trim()));
    let (workspace, key) = found.ok_or(ApiError::not_run(ApiErrorCode::BadKey))?;
    let contract = config_state.contract(&workspace).cloned();
    let contract = contract.ok_or(ApiError::not_run(ApiErrorCode::BadKey))?;
    Ok((Caller { workspace, key }, contract))
}

/// Admits a call if its workspace's rate allows it, else counts and returns the refusal.
async fn admit(entry: &Arc<Entry>, caller: &Caller, deadline: TimeMs) -> Result<(), ApiError> {
    let acquired = entry.acquire_rate(&caller.workspace, deadline);
    let refusal = match entry.answers_due.run_until_cancelled(acquired).await {
        Some(Ok(())) => return Ok(()),
        Some(Err(refusal)) => refusal,
        None => return Err(not_ready()),
    };
    let workspace = caller.workspace.to_string();
    metrics::counter!("trefoil_rate_refusals", "workspace" => workspace).increment(1);
    let (code, retry_after_ms) = match refusal {
        RateRefusal::RateExceeded { wait_ms } => (ApiErrorCode::RateLimited, wait_ms),
        RateRefusal::NoLender => (ApiErrorCode::NotReady, NOT_READY_RETRY_MS),
        RateRefusal::LogUnavailable => {
            (ApiErrorCode::Refused(RefusalReason::LogUnavailable), LOG_UNAVAILABLE_RETRY_MS)
        }
    };
    Err(ApiError { retry_after_ms: Some(retry_after_ms), ..ApiError::not_run(code) })
}

fn read_headers(
    entry: &Entry,
    caller: &Caller,
    request: &Request<Incoming>,
) -> Result<CallHeaders, ApiError> {
    let text = |name: &HeaderName| match request.headers().get(name) {
        None => Ok(None),
        Some(value) => value.to_str().map(Some).map_err(|_| bad_request()),
    };
    let number = |name: &HeaderName| match text(name)? {
        None => Ok(None),
        Some(value) => value.parse::<u64>().map(Some).map_err(|_| bad_request()),
    };
    let named = text(&PROGRAM)?;
    let turn = match number(&TURN)? {
        Some(0) => return Err(bad_request()),
        Some(turn) => Some(TurnNo(u32::try_from(turn).map_err(|_| bad_request())?)),
        None => named.is_none().then_some(TurnNo(1)),
    };
    let generated_name = format!("call-{:032x}", rand::random::<u128>());
    let name = named.unwrap_or(&generated_name);
    let program = ProgramId::parse(caller.workspace.clone(), name).map_err(|_| bad_request())?;
    let idempotency_key = text(&IDEMPOTENCY_KEY)?;
    if idempotency_key.is_some_and(|key| key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES) {
        return Err(bad_request());
    }
    let deadline_ms = number(&DEADLINE_MS)?.unwrap_or(entry.settings.default_deadline_ms);
    Ok(CallHeaders {
        program,
        turn,
        idempotency_key: idempotency_key.map(Into::into),
        deadline: entry.clock.now().plus(deadline_ms.min(MAX_DEADLINE_MS)),
    })
}

async fn receive_body(
    entry: &Entry,
    caller: &Caller,
    request: Request<Incoming>,
) -> Result<bytes::Bytes, ApiError> {
    let max_bytes = entry.settings.max_body_bytes as usize;
    let timeout = Duration::from_millis(entry.settings.receive_timeout_ms);
    let workspace = caller.workspace.as_str();
    match read_body_until(&entry.answers_due, request, workspace, max_bytes, timeout).await {
        Some(body) => Ok(body?),
        None => Err(not_ready()),
    }
}

fn turn_request(headers: CallHeaders, work: Work, contract: &Contract) -> TurnRequest {
    let encoded_work = serde_json::to_vec(&work).unwrap_or_default();
    TurnRequest {
        program: headers.program,
        turn: headers.turn,
        idempotency_key: headers.idempotency_key,
        digest: Digest::of(&[&encoded_work]),
        work,
        deadline: headers.deadline,
        limits: contract.program,
        weight: contract.rate_per_s,
    }
}
