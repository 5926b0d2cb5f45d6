//! How a leaf has a hub admit the requests of its callers.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::oneshot;

use super::attach_message::{AttachMessage, Decision, Question};
use super::hub::send;
use super::state::Gateway;
use crate::catalog::Workspace;
use crate::prelude::*;
use crate::quota::Claim;
use crate::replicas::rendezvous_weight;

/// Pause before a question is asked again, for each time that it is asked. The first time it goes to
/// one hub; then also to another one, as a datagram may be lost or the hub may have died.
const QUESTION_TIMEOUTS_MS: [u64; 4] = [60, 100, 140, 200];

/// The most hubs that are asked for one admission.
const MAX_HUBS_ASKED: usize = 2;

/// Retry delay if no hub has answered. By then, the leaf is attached to another one.
const NO_HUB_RETRY_MS: u64 = 400;

/// An admission that a hub has granted, to be returned if the request does not run.
#[value]
#[must_use]
pub(super) struct HubGrant {
    hubs: Vec<SocketAddr>,
    number: u64,
}

/// Why a hub has not admitted a request.
#[value]
#[derive(Copy)]
pub(super) enum NotAdmitted {
    /// The workspace's rate has no room.
    NoRoom {
        /// Time until there may be room.
        retry_after_ms: u64,
    },
    /// No hub has decided in time.
    Undecided {
        /// Time until one can be asked again.
        retry_after_ms: u64,
    },
}

/// Has a hub decide on the admission of a request.
pub(super) async fn ask_hub(
    gateway: &Gateway,
    workspace: &Workspace,
    claim: Claim,
) -> Result<HubGrant, NotAdmitted> {
    let question = Question {
        number: gateway.leaf.take_number(),
        workspace: Digest::of(&[workspace.name.as_bytes()]).prefix(),
        claim,
    };
    let mut asked = Vec::new();
    let mut unknown_at = Vec::new();
    for (attempt, timeout_ms) in QUESTION_TIMEOUTS_MS.into_iter().enumerate() {
        let (sender, answer) = oneshot::channel();
        gateway.leaf.unanswered.borrow_mut().insert(question.number, sender);
        let mut hubs = hubs_to_ask(gateway, question.workspace, attempt);
        hubs.retain(|hub| !unknown_at.contains(hub));
        for hub in &hubs {
            send_question(gateway, *hub, question).await;
        }
        asked.extend(hubs.iter().copied().filter(|hub| !asked.contains(hub)).collect::<Vec<_>>());
        match tokio::time::timeout(Duration::from_millis(timeout_ms), answer).await {
            Ok(Ok((hub, Decision::Admitted))) => {
                asked.retain(|other| *other != hub);
                refund(gateway, HubGrant { hubs: asked, number: question.number });
                return Ok(HubGrant { hubs: vec![hub], number: question.number });
            }
            Ok(Ok((_, Decision::NoRoom { retry_after_ms }))) => {
                return Err(NotAdmitted::NoRoom { retry_after_ms });
            }
            Ok(Ok((hub, Decision::Unknown { retry_after_ms }))) => {
                unknown_at.push(hub);
                if unknown_at.len() == MAX_HUBS_ASKED {
                    return Err(NotAdmitted::NoRoom { retry_after_ms });
                }
            }
            Ok(Err(_)) | Err(_) => {}
        }
    }
    gateway.leaf.unanswered.borrow_mut().remove(&question.number);
    // A hub may have admitted it without the answer having arrived.
    refund(gateway, HubGrant { hubs: asked, number: question.number });
    Err(NotAdmitted::Undecided { retry_after_ms: NO_HUB_RETRY_MS })
}

/// The hubs that a question is sent to in its `attempt`, counted from zero. The first is the same for
/// all leaves, so that one hub counts all requests of a workspace, and no request of other hubs is
/// unknown to it.
fn hubs_to_ask(gateway: &Gateway, workspace: u64, attempt: usize) -> Vec<SocketAddr> {
    let state = gateway.leaf.hub_state.borrow();
    let live = state.hubs.iter().filter(|hub| !hub.leaving).map(|hub| hub.address);
    let count = if attempt == 0 { 1 } else { MAX_HUBS_ASKED };
    preferred_hubs(workspace, live, count)
}

/// The `count` hubs that are the first ones to count the requests of a workspace.
pub(super) fn preferred_hubs(
    workspace: u64,
    hubs: impl Iterator<Item = SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let weight = |hub: &SocketAddr| {
        let hash = Digest::of(&[hub.to_string().as_bytes()]).prefix();
        rendezvous_weight(workspace, hash)
    };
    let mut by_weight: Vec<_> = hubs.map(|hub| (Reverse(weight(&hub)), hub)).collect();
    by_weight.sort_unstable();
    by_weight.into_iter().take(count).map(|(_, hub)| hub).collect()
}

async fn send_question(gateway: &Gateway, hub: SocketAddr, question: Question) {
    let socket = gateway.leaf.socket.borrow().clone();
    if let Some(socket) = socket {
        send(&socket, hub, &AttachMessage::Question(question)).await;
    }
}

/// Passes a hub's decision to the request that waits for it.
pub(super) fn apply_answer(gateway: &Gateway, hub: SocketAddr, number: u64, decision: Decision) {
    if let Some(sender) = gateway.leaf.unanswered.borrow_mut().remove(&number) {
        // The request may have given up meanwhile.
        sender.send((hub, decision)).unwrap_or_default();
    }
}

/// Returns an admission, as the request has not run and never will.
pub(super) fn refund(gateway: &Gateway, grant: HubGrant) {
    let Some(socket) = gateway.leaf.socket.borrow().clone().filter(|_| !grant.hubs.is_empty())
    else {
        return;
    };
    tokio::task::spawn_local(async move {
        for hub in &grant.hubs {
            send(&socket, *hub, &AttachMessage::Refund { number: grant.number }).await;
        }
    });
}
