//! Relaying of requests by an entry that cannot reach the store.
//!
//! If only some entries lose their connection to the store, callers keep sending requests to them:
//! their connections stay open, and if most entries of a failure domain are affected, all of them
//! still receive that domain's callers. Such an entry may not accept any key after its
//! configuration has become stale, but it still reaches the other entries. It relays complete
//! requests to an entry whose configuration is fresh, and that entry decides on them.

use std::net::SocketAddr;
use std::rc::Rc;

use http::{Request, Response, request};
use hyper::body::{Bytes, Incoming};

use super::forward::{ForwardTarget, ForwardedRequest, SendOutcome, forwarded_limits, send};
use super::in_flight::{Progress, Wait};
use super::observe::RequestSummary;
use super::read_body::{NO_WORKSPACE, body_time_ms, read_body};
use super::serve::{check_held_bytes, refusal_response, refuse_and_record, workspace_of};
use super::shutdown::until_answers_are_due;
use super::state::Gateway;
use super::{Refusal, RequestHead, ResponseBody};
use crate::http::CallerContext;
use crate::mechanisms::Mechanism;
use crate::prelude::*;

/// Maximum number of entries that are tried, one after the other, until one accepts the request.
const MAX_ENTRIES_TRIED: usize = 2;

/// Retry delay if no entry has accepted the request. By then, another entry is known.
const NOT_RELAYED_RETRY_MS: u64 = 400;

/// Time limit for a request whose caller states none.
const DEFAULT_TIMEOUT_MS: u64 = 60_000;

/// Entries to which requests are relayed; none while this entry decides itself, or while no other
/// entry can.
pub(super) fn relay_targets(gateway: &Gateway) -> Vec<SocketAddr> {
    let relays = gateway.is_enabled(Mechanism::Relaying)
        && !gateway.is_fresh()
        && !gateway.waits_for_store();
    match relays {
        // The regions allowed for the body are not known here, so it must stay in the caller's
        // region.
        true => {
            let is_local_region = |region: Option<&str>| gateway.is_local_region(region);
            gateway.peers.borrow().entries_reaching_store(gateway.now(), is_local_region)
        }
        false => Vec::new(),
    }
}

/// Relays a request to another entry, which serves, counts and logs it.
pub(super) async fn relay(
    gateway: &Rc<Gateway>,
    caller: &CallerContext,
    relay_targets: &[SocketAddr],
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (progress, running) = gateway.begin_request();
    let arrived = progress.arrived();
    let (head, body) = request.into_parts();
    let Some(request_head) = gateway.protocol.parse_request(&head) else {
        return refusal_response(gateway, None, Refusal::BadRequest);
    };
    progress.set_request(&request_head.request);
    let arrival = (caller, head, body);
    let relayed = read_and_relay(gateway, &progress, relay_targets, &request_head, arrival);
    let relayed = until_answers_are_due(gateway, &progress, relayed).await;
    progress.set_wait(Wait::Response);
    match relayed {
        Ok(response) => response.map(|body| body.with_running_guard(running)),
        Err(refusal) => {
            refuse_and_record(gateway, &request_head, &RequestSummary::default(), refusal, arrived)
        }
    }
}

async fn read_and_relay(
    gateway: &Rc<Gateway>,
    progress: &Rc<Progress>,
    relay_targets: &[SocketAddr],
    request_head: &RequestHead,
    (caller, head, body): (&CallerContext, request::Parts, Incoming),
) -> Result<Response<ResponseBody>, Refusal> {
    check_held_bytes(gateway)?;
    progress.set_wait(Wait::Body);
    let catalog = gateway.active_config.catalog();
    let workspace =
        catalog.map_or_else(|| NO_WORKSPACE.into(), |catalog| workspace_of(&catalog, request_head));
    let limits = forwarded_limits(body_time_ms(request_head));
    let body = read_body(caller, &workspace, body, limits).await?;
    caller.request.begin_service(gateway.now(), &workspace)?;
    let forwarded = forwarded_request(request_head, head, body, progress);
    try_targets(gateway, relay_targets, forwarded).await
}

fn forwarded_request(
    request_head: &RequestHead,
    head: request::Parts,
    body: Bytes,
    progress: &Rc<Progress>,
) -> ForwardedRequest {
    ForwardedRequest {
        request: request_head.request.clone(),
        workspace: NO_WORKSPACE.into(),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        target: ForwardTarget::FreshConfig,
        deadline: progress.arrived().plus(request_head.wait_ms.unwrap_or(DEFAULT_TIMEOUT_MS)),
        progress: progress.clone(),
    }
}

/// Sends a request to one entry after the other, until one accepts it or [`MAX_ENTRIES_TRIED`] were
/// tried.
async fn try_targets(
    gateway: &Rc<Gateway>,
    relay_targets: &[SocketAddr],
    request: ForwardedRequest,
) -> Result<Response<ResponseBody>, Refusal> {
    // The request's hash selects the first entry, so that the load spreads over all of them.
    let first = Digest::of(&[request.request.as_bytes()]).prefix() as usize % relay_targets.len();
    let candidates =
        relay_targets.iter().cycle().skip(first).take(MAX_ENTRIES_TRIED.min(relay_targets.len()));
    for address in candidates {
        if let SendOutcome::Responded(response) = send(gateway, *address, &request).await? {
            let status = response.status().as_u16();
            log::info!(request:% = request.request, entry:% = address, status;
                "a request was relayed");
            return Ok(response);
        }
        log::info!(request:% = request.request, entry:% = address;
            "another entry did not accept a relayed request; trying the next one, if any");
    }
    Err(Refusal::Unavailable { retry_after_ms: NOT_RELAYED_RETRY_MS })
}
