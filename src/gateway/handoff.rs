//! Handoff of turns that finished after their shard had gone to another owner.
//!
//! An owner that is cut off from the store, or whose shard is reassigned, may have run turns that
//! it can no longer record. The tokens are generated and the caller is waiting, so the next owner
//! records such a turn, and only then does the end of its answer reach the caller.

use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::ResponseBody;
use super::owned_shard::{OwnedShard, Stage};
use super::read_body::NO_WORKSPACE;
use super::server::{read_message, status_response};
use super::state::Gateway;
use crate::catalog::Regions;
use crate::http::CallerContext;
use crate::http::RequestBody;
use crate::prelude::*;
use crate::turns::{BudgetExhausted, Ledger, ProgramKey, Record, Turn, TurnKey};

/// The path of requests that hand off a turn to another entry.
pub(super) const HANDOFF_PATH: &str = "/record-turn";

/// Time limit of one handoff request. The other entry appends the turn to the store, which takes
/// about 10 ms, and 250 ms when the store is slow.
const HANDOFF_TIMEOUT_MS: u64 = 600;

/// Pause between two checks for the next owner.
const OWNER_POLL_MS: u64 = 20;

/// The largest turn in bytes: room for the largest request of a caller and an answer.
const MAX_HANDOFF_BYTES: usize = 8 << 20;

/// A finished turn that its owner could not record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct TurnHandoff {
    /// The turn with its input and output; none if its history is not kept.
    pub(super) turn: Option<(TurnKey, Turn)>,
    /// The turn's program, whose account is charged.
    pub(super) program: ProgramKey,
    /// The token budget of the whole program.
    pub(super) budget: u64,
    /// The tokens of the turn that no durable record has reserved.
    pub(super) unreserved: u64,
    /// The time until which the program's account must be kept at least.
    pub(super) kept_until: UnixMs,
}

/// Hands a turn off to the shard's next owner, which may be this process again, and waits until it
/// is recorded. Returns `false` if that has not happened by `ends_at`, or the next owner has
/// rejected it.
pub(super) async fn hand_off(
    gateway: &Rc<Gateway>,
    handoff: &TurnHandoff,
    regions: &Regions,
    ends_at: TimeMs,
) -> bool {
    let shard = handoff.program.shard(gateway.shards.count());
    let Ok(body) = postcard::to_allocvec(handoff).map(Bytes::from) else {
        log::error!("encoding a turn for handoff failed; it stays unrecorded");
        return false;
    };
    while gateway.now() < ends_at {
        if let Some(owned) =
            gateway.shards.owned(shard).filter(|shard| shard.stage() == Stage::Serving)
        {
            let left = Duration::from_millis(ends_at.since(gateway.now()));
            return timeout(left, record(&owned, handoff)).await.unwrap_or(false);
        }
        let owner = gateway.shards.remote_owner(shard);
        if let Some(owner) = owner.filter(|owner| gateway.may_forward_to(owner.address, regions)) {
            let answer = send(gateway, owner.address, body.clone());
            match timeout(Duration::from_millis(HANDOFF_TIMEOUT_MS), answer).await {
                Ok(Some(StatusCode::OK)) => return true,
                Ok(Some(StatusCode::CONFLICT)) => return false,
                Ok(Some(_)) => gateway.shards.forget_owner(owner.address, Some(shard)),
                Ok(None) | Err(_) => {}
            }
        }
        tokio::select! {
            () = gateway.shards.changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(OWNER_POLL_MS)) => {}
        }
    }
    false
}

async fn send(
    gateway: &Rc<Gateway>,
    address: std::net::SocketAddr,
    body: Bytes,
) -> Option<StatusCode> {
    let request = Request::post(HANDOFF_PATH).body(RequestBody::full(body)).ok()?;
    let mut connection = gateway.connections.take(gateway.now(), address).await.ok()?;
    let answer = connection.sender.send_request(request).await.ok()?;
    let (head, body) = answer.into_parts();
    body.collect().await.ok()?;
    gateway.connections.put_back(gateway.now(), connection);
    Some(head.status)
}

/// Records a turn handed off by the shard's previous owner. Returns whether it is durable now.
///
/// A turn whose parent is not in the ledger is rejected, since its chain would have a gap. So is a
/// turn whose tokens were never reserved and no longer fit the budget: other turns of the same
/// program may have started here in the meantime.
async fn record(shard: &OwnedShard, handoff: &TurnHandoff) -> bool {
    let (is_accepted, recorded) = shard.change(|ledger, records| {
        let parent = handoff.turn.as_ref().and_then(|(_, turn)| turn.parent);
        if parent.is_some_and(|parent| ledger.turn(parent).is_none()) {
            return false;
        }
        // The previous owner's append may have succeeded although it got no answer.
        let already_recorded =
            handoff.turn.as_ref().is_some_and(|(key, _)| ledger.turn(*key).is_some());
        already_recorded || charge_and_complete(ledger, handoff, records).is_ok()
    });
    if !is_accepted {
        return false;
    }
    // An empty append only confirms that this process still owns the shard.
    recorded.unwrap_or_else(|| shard.writer.append(Vec::new())).await.is_ok()
}

/// Charges a turn's tokens and stores the turn, unless its tokens do not fit the budget.
fn charge_and_complete(
    ledger: &mut Ledger,
    handoff: &TurnHandoff,
    records: &mut Vec<Record>,
) -> Result<(), BudgetExhausted> {
    let TurnHandoff { program, budget, unreserved, kept_until, .. } = *handoff;
    records.extend(ledger.charge(program, budget, unreserved, kept_until)?);
    let turn = handoff.turn.clone();
    records.extend(turn.map(|(key, turn)| ledger.complete(key, turn)));
    Ok(())
}

/// Serves the request of another entry that hands off a turn.
pub(super) async fn accept_handoff(
    gateway: &Gateway,
    caller: &CallerContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let handoff: TurnHandoff = match read_message(gateway, caller, request, MAX_HANDOFF_BYTES).await
    {
        Ok(handoff) => handoff,
        Err(refused) => return refused,
    };
    let shard = gateway.shards.owned(handoff.program.shard(gateway.shards.count()));
    let Some(shard) = shard.filter(|shard| shard.stage() == Stage::Serving) else {
        return status_response(StatusCode::MISDIRECTED_REQUEST);
    };
    let recorded = record(&shard, &handoff).await;
    if let Some((key, turn)) = handoff.turn.as_ref().filter(|_| recorded) {
        shard.count_history(&gateway.caller_memory, &NO_WORKSPACE.into(), *key, turn.bytes());
    }
    log::info!(shard = shard.number, epoch = shard.epoch, recorded;
        "turn handed off by the previous owner of its shard");
    match recorded {
        true => status_response(StatusCode::OK),
        false if shard.stage() == Stage::Lost => status_response(StatusCode::MISDIRECTED_REQUEST),
        false => status_response(StatusCode::CONFLICT),
    }
}
