//! Turns that ended after their shard had gone to another owner.
//!
//! An owner that is cut off from the store, or whose shard is dealt anew, may have run turns that it
//! can no longer record. The tokens are generated and the caller waits: the next owner records such
//! a turn, and only then does its end reach the caller.

use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::ResponseBody;
use super::owned_shard::{OwnedShard, Stage};
use super::server::status_response;
use super::state::Gateway;
use crate::catalog::Regions;
use crate::http::Outgoing;
use crate::prelude::*;
use crate::turns::{Ledger, ProgramKey, Record, Turn, TurnKey};

/// Where an entry takes other entries' turns over.
pub(super) const HANDOFF_PATH: &str = "/record-turn";

/// The longest wait for one answer: the other entry appends the turn, which takes some ten
/// milliseconds, and a quarter of a second when the store is slow.
const ANSWER_MOST_MS: u64 = 600;

/// Pause between two looks for the next owner.
const LOOK_AGAIN_MS: u64 = 20;

/// The most bytes of a turn: what a caller may send, and an answer.
const BEQUEST_MOST_BYTES: usize = 8 << 20;

/// A turn that its owner could not record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct TurnHandoff {
    /// What was asked and answered, where the history is kept.
    pub(super) turn: Option<(TurnKey, Turn)>,
    /// Its program.
    pub(super) program: ProgramKey,
    /// Tokens that the program may generate in all.
    pub(super) budget: u64,
    /// Tokens of the turn that no durable record has reserved.
    pub(super) unreserved: u64,
    /// The program's account is kept at least until then.
    pub(super) kept_until: UnixMs,
}

/// Has the shard's next owner record the turn; `false` if the time was over before, or the next owner
/// must not.
pub(super) async fn hand_off(
    gateway: &Rc<Gateway>,
    handoff: &TurnHandoff,
    regions: &Regions,
    ends_at: TimeMs,
) -> bool {
    let shard = handoff.program.shard(gateway.shards.count());
    let Ok(body) = postcard::to_allocvec(handoff).map(Bytes::from) else {
        log::error!("a turn can't be encoded for its shard's next owner");
        return false;
    };
    while gateway.now() < ends_at {
        if let Some(own) = gateway.shards.owned(shard).filter(|own| own.stage() == Stage::Serving) {
            return record(&own, handoff).await;
        }
        let owner = gateway.shards.remote_owner(shard);
        if let Some(owner) = owner.filter(|owner| gateway.may_forward_to(owner.address, regions)) {
            let answer = send(gateway, owner.address, body.clone());
            match timeout(Duration::from_millis(ANSWER_MOST_MS), answer).await {
                Ok(Some(StatusCode::OK)) => return true,
                Ok(Some(StatusCode::CONFLICT)) => return false,
                Ok(Some(_)) => gateway.shards.forget_owner(owner.address, Some(shard)),
                Ok(None) | Err(_) => {}
            }
        }
        tokio::select! {
            () = gateway.shards.changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(LOOK_AGAIN_MS)) => {}
        }
    }
    false
}

async fn send(
    gateway: &Rc<Gateway>,
    address: std::net::SocketAddr,
    body: Bytes,
) -> Option<StatusCode> {
    let request = Request::post(HANDOFF_PATH).body(Outgoing::whole(body)).ok()?;
    let mut connection = gateway.connections.take(gateway.now(), address).await.ok()?;
    let answer = connection.sender.send_request(request).await.ok()?;
    let (head, body) = answer.into_parts();
    body.collect().await.ok()?;
    gateway.connections.keep(gateway.now(), connection);
    Some(head.status)
}

/// Records a turn of the shard's last owner.
///
/// A turn whose parent is not held here is refused: its chain would have a gap. So is one whose tokens
/// were never reserved and no longer fit the budget, since turns of the same program may have begun
/// here since.
async fn record(shard: &OwnedShard, handoff: &TurnHandoff) -> bool {
    let records = {
        let mut ledger = shard.ledger.borrow_mut();
        let parent = handoff.turn.as_ref().and_then(|(_, turn)| turn.parent);
        if parent.is_some_and(|parent| ledger.turn(parent).is_none()) {
            return false;
        }
        // The last owner's append may have been done although it was not answered.
        let known = handoff.turn.as_ref().is_some_and(|(key, _)| ledger.turn(*key).is_some());
        if known { Some(Vec::new()) } else { take_over(&mut ledger, handoff) }
    };
    match records {
        Some(records) => shard.writer.append(records).await.is_ok(),
        None => false,
    }
}

/// The records that make a turn durable; nothing if its tokens do not fit the budget.
fn take_over(ledger: &mut Ledger, handoff: &TurnHandoff) -> Option<Vec<Record>> {
    let TurnHandoff { program, budget, unreserved, kept_until, .. } = *handoff;
    let charged = ledger.charge(program, budget, unreserved, kept_until).ok()?;
    let turn = handoff.turn.clone();
    let completed = turn.map(|(key, turn)| ledger.complete(key, turn));
    Some(charged.into_iter().chain(completed).collect())
}

/// Answers another entry that has a turn to be recorded here.
pub(super) async fn accept_handoff(
    gateway: &Gateway,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let body = Limited::new(request.into_body(), BEQUEST_MOST_BYTES).collect().await;
    let handoff =
        body.ok().and_then(|body| postcard::from_bytes::<TurnHandoff>(&body.to_bytes()).ok());
    let Some(handoff) = handoff else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    let shard = gateway.shards.owned(handoff.program.shard(gateway.shards.count()));
    let Some(shard) = shard.filter(|shard| shard.stage() == Stage::Serving) else {
        return status_response(StatusCode::MISDIRECTED_REQUEST);
    };
    let recorded = record(&shard, &handoff).await;
    log::info!(shard = shard.number, epoch = shard.epoch, recorded; "a turn of the last owner");
    match recorded {
        true => status_response(StatusCode::OK),
        false if shard.stage() == Stage::Lost => status_response(StatusCode::MISDIRECTED_REQUEST),
        false => status_response(StatusCode::CONFLICT),
    }
}
