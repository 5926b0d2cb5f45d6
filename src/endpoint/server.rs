use std::time::Duration;

use futures_util::StreamExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio_stream::wrappers::UnboundedReceiverStream;

use super::process::Slot;
use crate::endpoint::Submission;
use crate::http::{Body, json, lines, read_body, streamed};
use crate::prelude::*;
use crate::programs::{Attempt, AttemptFrame, FailureCause};

const MAX_ATTEMPT_BYTES: usize = 64 << 20;
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Where attempts are submitted.
pub const ATTEMPTS_PATH: &str = "/attempts";

/// Answers a call of another process of the system.
pub(super) async fn handle(slot: Arc<Slot>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, ATTEMPTS_PATH) => submit(slot, request).await,
        _ => json(StatusCode::NOT_FOUND, &"no such call"),
    }
}

async fn submit(slot: Arc<Slot>, request: Request<Incoming>) -> Response<Body> {
    let body = read_body(request.into_body(), MAX_ATTEMPT_BYTES, RECEIVE_TIMEOUT).await;
    let attempt = body.ok().and_then(|bytes| serde_json::from_slice::<Attempt>(&bytes).ok());
    let Some(attempt) = attempt else {
        return json(StatusCode::BAD_REQUEST, &"not an attempt");
    };
    let (submission, frames) = slot.submit(attempt);
    match submission {
        Submission::Accepted => {
            let frames = UnboundedReceiverStream::new(frames);
            Response::new(streamed(frames.map(|frame| Ok(lines(&frame)))))
        }
        Submission::Rejected => {
            let cause = FailureCause::Rejected;
            let frame = AttemptFrame::Failed { cause, spent_tokens: Some(0) };
            Response::new(crate::http::whole(lines(&frame)))
        }
        // The owner finds out by asking what became of the attempt.
        Submission::Duplicate => json(StatusCode::CONFLICT, &"came before"),
    }
}
