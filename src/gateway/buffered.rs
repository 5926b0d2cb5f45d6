use std::rc::Rc;

use http::{Response, StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};

use super::attempt::{EndpointRequest, EndpointResponse, InFlightGuard, wait_unless_silent};
use super::collect_response::{CollectError, collect_response};
use super::dispatch::Dispatch;
use super::reader_limits::Reader;
use super::state::Gateway;
use super::{Refusal, ResponseBody};

/// Serves a request whose response is buffered and passed on only when it is complete.
pub(super) async fn serve_buffered(
    gateway: &Rc<Gateway>,
    endpoint_request: &Rc<EndpointRequest>,
) -> Result<Response<ResponseBody>, Refusal> {
    let reader = open_reader(gateway, endpoint_request);
    let mut dispatch = Dispatch::open(gateway, endpoint_request);
    loop {
        let EndpointResponse { head, body, in_flight } = dispatch.next_response().await?;
        let endpoint = in_flight.endpoint;
        let may_give_up = dispatch.may_try_another();
        match collect_unless_silent(gateway, &in_flight, body, reader.as_ref(), may_give_up).await {
            Ok(body) => {
                in_flight.finish(head.status);
                // Status 500 is the endpoint's own error: another endpoint may succeed. It does not
                // show that the request is harmless.
                let failed = head.status == StatusCode::INTERNAL_SERVER_ERROR;
                if !failed {
                    gateway.clear_suspect(endpoint_request.crash_key);
                }
                if !failed || !dispatch.may_try_another() {
                    return Ok(build_response(head, body, reader));
                }
                log::info!(request:% = endpoint_request.request;
                    "endpoint answered with status 500; trying another endpoint");
            }
            Err(CollectError::ReaderGone) => {
                in_flight.abandon();
                return Err(Refusal::OutcomeUnknown);
            }
            // The silence was counted against the endpoint when it was noticed.
            Err(CollectError::Silent) => in_flight.abandon(),
            Err(CollectError::Broken) => {
                in_flight.abandon();
                dispatch.record_broken_attempt(endpoint).await;
                if !endpoint_request.routing.repeat.may_run_again() {
                    return Err(Refusal::OutcomeUnknown);
                }
            }
        }
    }
}

/// Reads a response's body. A silence of the endpoint is counted against it, and ends the response if
/// another endpoint may be tried. Bytes that never become a part of the body are a silence too.
async fn collect_unless_silent(
    gateway: &Gateway,
    in_flight: &InFlightGuard,
    body: Incoming,
    reader: Option<&Reader>,
    may_give_up: bool,
) -> Result<Bytes, CollectError> {
    in_flight.start_silence_timer();
    let body = body.map_frame(|frame| {
        in_flight.start_silence_timer();
        frame
    });
    let collected = collect_response(body, || gateway.now(), reader);
    wait_unless_silent(in_flight, may_give_up, collected).await.unwrap_or(Err(CollectError::Silent))
}

/// Registers the response to a request, if slow readers are limited.
fn open_reader(gateway: &Gateway, endpoint_request: &EndpointRequest) -> Option<Reader> {
    let EndpointRequest { request, routing, .. } = endpoint_request;
    gateway.reader_limits.as_ref().map(|limits| limits.open_reader(request, &routing.workspace))
}

/// Builds the response to the caller from an endpoint's head and complete body.
fn build_response(
    head: response::Parts,
    body: Bytes,
    reader: Option<Reader>,
) -> Response<ResponseBody> {
    let body = ResponseBody::buffered(body);
    let mut response = Response::new(match reader {
        Some(reader) => body.with_reader(reader),
        None => body,
    });
    *response.status_mut() = head.status;
    *response.headers_mut() = strip_hop_by_hop_headers(head.headers);
    response
}

/// Removes the headers that apply to a single connection (hop-by-hop headers).
pub(super) fn strip_hop_by_hop_headers(mut headers: http::HeaderMap) -> http::HeaderMap {
    for name in ["connection", "keep-alive", "transfer-encoding", "content-length", "te", "upgrade"]
    {
        headers.remove(name);
    }
    headers
}
