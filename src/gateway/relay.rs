//! Pattern: some entries lose the store and the others keep it, and callers go on coming to those that
//! lost it: their connections stand, and where most entries of a failure domain are cut off, all of them get
//! its callers. Such an entry may serve no key once its configuration has aged, but it still reaches the
//! other entries. It passes requests on whole, and an entry whose configuration is fresh decides.

use std::net::SocketAddr;
use std::rc::Rc;

use http::{Request, Response, request};
use hyper::body::{Bytes, Incoming};

use super::forward::{FORWARDED_MOST_BYTES, Forwarded, Sent, Towards, send};
use super::observe::RequestSummary;
use super::read_body::read_body;
use super::serve::{refuse, refuse_seen};
use super::state::Gateway;
use super::{Refusal, RequestHead, ResponseBody};
use crate::mechanisms::Mechanism;
use crate::prelude::*;

/// Entries that a request is passed on to, one after the other, until one takes it.
const ENTRIES_MOST: usize = 2;

/// When to return if no entry has taken a request: another entry is found by then.
const NOT_RELAYED_RETRY_MS: u64 = 400;

/// The longest time of a request whose caller says none.
const TIME_MOST_MS: u64 = 60_000;

/// Entries that decide on this one's requests; none while it decides itself, or nobody else can.
pub(super) fn deciders(gateway: &Gateway) -> Vec<SocketAddr> {
    let relays = gateway.is_enabled(Mechanism::Relaying)
        && !gateway.is_fresh()
        && !gateway.waits_for_store();
    match relays {
        // Where its body may go is not known here: it stays in its caller's region.
        true => {
            let is_local_region = |region: Option<&str>| gateway.is_local_region(region);
            gateway.peers.borrow().entries_reaching_store(gateway.now(), is_local_region)
        }
        false => Vec::new(),
    }
}

/// Has another entry serve a request; that one counts and logs it.
pub(super) async fn relay(
    gateway: &Rc<Gateway>,
    deciders: &[SocketAddr],
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let running = gateway.begin_request();
    let arrived = gateway.now();
    let (head, body) = request.into_parts();
    let Some(call) = gateway.protocol.parse_request(&head) else {
        return refuse(gateway, None, Refusal::BadRequest);
    };
    let relayed = match read_body(body, FORWARDED_MOST_BYTES).await {
        Ok(body) => pass_on(gateway, deciders, forwarded(&call, head, body, arrived)).await,
        Err(refusal) => Err(refusal),
    };
    match relayed {
        Ok(response) => response.map(|body| body.counted(running)),
        Err(refusal) => refuse_seen(gateway, &call, &RequestSummary::default(), refusal, arrived),
    }
}

fn forwarded(call: &RequestHead, head: request::Parts, body: Bytes, arrived: TimeMs) -> Forwarded {
    Forwarded {
        request: call.request.clone(),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        towards: Towards::Fresh,
        ends_at: arrived.plus(call.wait_ms.unwrap_or(TIME_MOST_MS)),
    }
}

async fn pass_on(
    gateway: &Rc<Gateway>,
    deciders: &[SocketAddr],
    request: Forwarded,
) -> Result<Response<ResponseBody>, Refusal> {
    // Each request begins at another entry, so that none gets all of them.
    let first = Digest::of(&[request.request.as_bytes()]).prefix() as usize % deciders.len();
    let in_turn = deciders.iter().cycle().skip(first).take(ENTRIES_MOST.min(deciders.len()));
    for address in in_turn {
        if let Sent::Answered(response) = send(gateway, *address, &request).await? {
            let status = response.status().as_u16();
            log::info!(request:% = request.request, entry:% = address, status;
                "a request was relayed");
            return Ok(response);
        }
        log::info!(request:% = request.request, entry:% = address;
            "an entry does not take a request");
    }
    Err(Refusal::Unavailable { retry_after_ms: NOT_RELAYED_RETRY_MS })
}
