//! Serving of a turn at the owner of its program's shard, to which another entry has forwarded it.

use std::rc::Rc;

use http::{HeaderValue, Request, Response, request};
use hyper::body::Incoming;

use super::forward::{NOT_RUN_HEADER, ROUTING_HEADER, forwarded_limits, not_owner_response};
use super::in_flight::{Progress, Wait};
use super::load_admission::admit_program;
use super::owned_shard::{OwnedShard, Stage};
use super::read_body::read_body;
use super::serve::{
    AdmittedRequest, check_held_bytes, program_key, refusal_response, serve_owned_turn,
};
use super::shutdown::until_answers_are_due;
use super::state::Gateway;
use super::{Refusal, RequestHead, ResponseBody, RoutingDecision};
use crate::http::CallerContext;

/// Serves a turn that another entry has forwarded here, to the owner of the program's shard.
pub(super) async fn serve_forwarded(
    gateway: &Rc<Gateway>,
    caller: &CallerContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (progress, running) = gateway.begin_request();
    let (mut head, body) = request.into_parts();
    let routing =
        head.headers.remove(ROUTING_HEADER).and_then(|value| decode_routing(value.as_bytes()));
    let request_head = gateway.protocol.parse_request(&head);
    let (Some(routing), Some(request_head)) = (routing, request_head) else {
        return refusal_response(gateway, None, Refusal::BadRequest);
    };
    progress.set_request(&request_head.request);
    let shard = program_key(&request_head, &routing).shard(gateway.shards.count());
    let Some(shard) = gateway.shards.owned(shard).filter(|s| s.stage() == Stage::Serving) else {
        return not_owner_response();
    };
    let head = (caller, head, &request_head);
    let served = admit_and_serve_forwarded(gateway, &progress, shard, head, routing, body);
    let served = until_answers_are_due(gateway, &progress, served).await;
    progress.set_wait(Wait::Response);
    let served = served.unwrap_or_else(|refusal| refuse_forwarded(gateway, &request_head, refusal));
    served.map(|body| body.with_running_guard(running))
}

async fn admit_and_serve_forwarded(
    gateway: &Rc<Gateway>,
    progress: &Rc<Progress>,
    shard: Rc<OwnedShard>,
    (caller, head, request_head): (&CallerContext, request::Parts, &RequestHead),
    routing: RoutingDecision,
    body: Incoming,
) -> Result<Response<ResponseBody>, Refusal> {
    check_held_bytes(gateway)?;
    let program = program_key(request_head, &routing);
    admit_program(gateway, &shard, program, request_head, &routing).await?;
    progress.set_wait(Wait::Body);
    let limits = forwarded_limits(routing.left_ms);
    let body = read_body(caller, &routing.workspace, body, limits).await?;
    caller.request.begin_service(gateway.now(), &routing.workspace)?;
    let deadline = progress.arrived().plus(routing.left_ms);
    let progress = progress.clone();
    let admitted = AdmittedRequest { head, request_head, routing, body, deadline, progress };
    serve_owned_turn(gateway, shard, admitted).await
}

/// Builds the response to a refused turn of another entry.
fn refuse_forwarded(
    gateway: &Gateway,
    request_head: &RequestHead,
    refusal: Refusal,
) -> Response<ResponseBody> {
    let mut refused = refusal_response(gateway, Some(&request_head.request), refusal);
    if refusal.guarantees_not_run() {
        refused.headers_mut().insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
    }
    refused
}

/// Decodes the value of [`ROUTING_HEADER`].
fn decode_routing(hex_text: &[u8]) -> Option<RoutingDecision> {
    postcard::from_bytes(&hex::decode(hex_text).ok()?).ok()
}
