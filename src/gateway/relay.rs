//! Pattern: some entries lose the store and the others keep it, and callers go on coming to those that
//! lost it: their connections stand, and where most entries of a failure domain are cut off, all of them get
//! its callers. Such an entry may serve no key once its configuration has aged, but it still reaches the
//! other entries. It passes requests on whole, and an entry whose configuration is fresh decides.

use std::rc::Rc;

use http::{Response, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::forward::{Forwarded, Sent, Towards, send};
use super::state::Gateway;
use super::{AnswerBody, Call, Refusal};
use crate::mechanisms::Mechanism;
use crate::prelude::*;

/// Entries that a request is passed on to, one after the other, until one takes it.
const ENTRIES_MOST: usize = 2;

/// The most bytes of a relayed request: what a forwarded turn may have.
const RELAYED_MOST_BYTES: usize = 4 << 20;

/// When to return if no entry has taken a request: another entry is found by then.
const NOT_RELAYED_RETRY_MS: u64 = 400;

/// The longest time of a request whose caller says none.
const TIME_MOST_MS: u64 = 60_000;

/// Whether requests must be passed on: this entry may not decide, and others can.
pub(super) fn must_relay(gateway: &Gateway) -> bool {
    gateway.has(Mechanism::Relaying)
        && !gateway.is_fresh()
        && !gateway.waits_for_store()
        && !gateway.peers.borrow().that_reach_store(gateway.now()).is_empty()
}

/// Passes a request on to an entry whose configuration is fresh.
pub(super) async fn relay(
    gateway: &Rc<Gateway>,
    head: request::Parts,
    call: &Call,
    body: Incoming,
) -> Result<Response<AnswerBody>, Refusal> {
    let ends_at = gateway.now().plus(call.wait_ms.unwrap_or(TIME_MOST_MS));
    let not_taken = Refusal::Unavailable { retry_after_ms: NOT_RELAYED_RETRY_MS };
    let body = match Limited::new(body, RELAYED_MOST_BYTES).collect().await {
        Ok(whole) => whole.to_bytes(),
        Err(fault) if fault.is::<http_body_util::LengthLimitError>() => {
            return Err(Refusal::TooLarge);
        }
        Err(_) => return Err(Refusal::BadCall),
    };
    let request = Forwarded {
        request: call.request.clone(),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        towards: Towards::Fresh,
        ends_at,
    };
    let mut entries = gateway.peers.borrow().that_reach_store(gateway.now());
    // Each request begins at another entry, so that none gets all of them.
    let first = Digest::of(&[call.request.as_bytes()]).prefix() as usize % entries.len().max(1);
    entries.rotate_left(first);
    for address in entries.into_iter().take(ENTRIES_MOST) {
        if let Sent::Answered(response) = send(gateway, address, &request).await? {
            log::info!(request:% = call.request, entry:% = address; "a request was relayed");
            return Ok(response);
        }
        log::info!(request:% = call.request, entry:% = address; "an entry does not take a request");
    }
    Err(not_taken)
}
