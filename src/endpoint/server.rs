use std::time::Duration;

use futures_util::StreamExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio_stream::wrappers::UnboundedReceiverStream;

use super::process::Dispatcher;
use crate::endpoint::Submission;
use crate::http::{
    Body, BodyError, OWN_PROCESSES, full, json, json_line, read_body_until, streamed,
};
use crate::prelude::*;
use crate::programs::{Attempt, AttemptFrame, FailureCause};

const MAX_ATTEMPT_BYTES: usize = 64 << 20;
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Path at which attempts are submitted.
pub const ATTEMPTS_PATH: &str = "/attempts";

/// Handles a request from another process of the cluster.
pub(super) async fn handle(
    dispatcher: Arc<Dispatcher>,
    request: Request<Incoming>,
) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, ATTEMPTS_PATH) => submit(dispatcher, request).await,
        _ => json(StatusCode::NOT_FOUND, &"no such call"),
    }
}

async fn submit(dispatcher: Arc<Dispatcher>, request: Request<Incoming>) -> Response<Body> {
    let stop = dispatcher.answers_due();
    let body =
        read_body_until(stop, request, OWN_PROCESSES, MAX_ATTEMPT_BYTES, RECEIVE_TIMEOUT).await;
    let Some(body) = body.filter(|body| *body != Err(BodyError::NoRoom)) else {
        return rejection();
    };
    let attempt = body.ok().and_then(|bytes| serde_json::from_slice::<Attempt>(&bytes).ok());
    let Some(attempt) = attempt else {
        return json(StatusCode::BAD_REQUEST, &"not an attempt");
    };
    let (submission, frames) = dispatcher.submit(attempt);
    match submission {
        Submission::Accepted => {
            let frames = UnboundedReceiverStream::new(frames);
            Response::new(streamed(frames.map(|frame| Ok(json_line(&frame)))))
        }
        Submission::Rejected => rejection(),
        // The owner queries the attempt's state instead.
        Submission::Duplicate => json(StatusCode::CONFLICT, &"came before"),
    }
}

/// The response to an attempt that has not started and never will.
fn rejection() -> Response<Body> {
    let cause = FailureCause::Rejected;
    Response::new(full(json_line(&AttemptFrame::Failed { cause, spent_tokens: Some(0) })))
}
