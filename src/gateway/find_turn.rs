//! Lookup of turns that belong to another program, and are therefore stored in another shard.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;

use super::Refusal;
use super::message::{FindTurn, FoundTurn};
use super::owned_shard::{OwnedShard, Stage};
use super::state::Gateway;
use crate::http::RequestBody;
use crate::turns::{Turn, TurnKey};

/// Path at which an entry answers turn lookups of its peers.
pub(super) const FIND_TURN_PATH: &str = "/find-turn";

/// Time limit for a lookup at another entry. That entry first confirms with the store that its
/// epochs are current, i.e. that it still owns its shards, which takes about 10 ms, or 250 ms when
/// the store is slow.
const PEER_LOOKUP_TIMEOUT_MS: u64 = 600;

/// Time limit for confirming the epoch of one shard. The store may be unavailable for some shards
/// only; the limit is shorter than [`PEER_LOOKUP_TIMEOUT_MS`], so that the other shards are still
/// reported as searched while the requesting entry waits.
const CONFIRM_TIMEOUT_MS: u64 = 400;

/// Limit for an encoded chain: 160,000 tokens of two bytes each, with room for the framing.
const MAX_CHAIN_BYTES: usize = 1 << 20;

/// Retry delay for the caller if a search was incomplete because a shard had no owner at that
/// moment.
const INCOMPLETE_RETRY_MS: u64 = 300;

/// How long an incomplete search is repeated. The next owner of a reassigned shard reads it within
/// a few hundred milliseconds. The membership of a dead owner takes longer to expire; in that case
/// the caller is better served by a refusal than by a longer wait.
const MAX_SEARCH_MS: u64 = 700;

/// Pause between two searches, unless the shard table changes earlier.
const SEARCH_INTERVAL_MS: u64 = 60;

/// A turn and its predecessors, oldest first.
pub(super) type Chain = Vec<(TurnKey, Turn)>;

/// Returns a turn and all its predecessors, from `shard` or from another one.
///
/// A search misses a shard that has no owner at the moment, or whose owner this entry does not know
/// yet. It is repeated for a while: an immediate refusal would deny a turn that exists and can be
/// found a few milliseconds later.
pub(super) async fn find_chain(
    gateway: &Rc<Gateway>,
    shard: &OwnedShard,
    turn: TurnKey,
) -> Result<Chain, Refusal> {
    if let Some(chain) = local_chain(shard, turn) {
        return Ok(chain);
    }
    let started = gateway.now();
    loop {
        match search_all_shards(gateway, turn).await {
            SearchResult::Found(chain) => return Ok(chain),
            SearchResult::NotFound => return Err(Refusal::NoSuchTurn),
            SearchResult::Incomplete(shards) if gateway.now().since(started) >= MAX_SEARCH_MS => {
                log::info!(searched = shards, shards = gateway.shards.count();
                    "turn lookup did not reach all shards; request refused as unavailable");
                return Err(Refusal::Unavailable { retry_after_ms: INCOMPLETE_RETRY_MS });
            }
            SearchResult::Incomplete(_) => tokio::select! {
                () = gateway.shards.changed.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(SEARCH_INTERVAL_MS)) => {}
            },
        }
    }
}

/// Result of a search of all shards.
enum SearchResult {
    Found(Chain),
    /// All shards were searched; none has the turn.
    NotFound,
    /// This many shards were searched and do not have the turn; the others could not be searched.
    Incomplete(usize),
}

/// Searches all shards, here and at the other owners.
///
/// A turn is reported as nonexistent only after each shard was searched by an owner whose epoch the
/// store has just confirmed: a process that was paused until after it lost ownership has outdated
/// state and would deny turns that its successor has answered.
async fn search_all_shards(gateway: &Rc<Gateway>, turn: TurnKey) -> SearchResult {
    let own = search_owned_shards(gateway, turn).await;
    if let Some(chain) = own.chain {
        return SearchResult::Found(chain);
    }
    let mut searched: HashSet<u32> = own.searched.into_iter().collect();
    let owners = gateway.shards.remote_owners();
    let responses = owners.into_iter().map(|address| look_up_at_peer(gateway, address, turn));
    for found in futures_util::future::join_all(responses).await.into_iter().flatten() {
        if let Some(chain) = found.chain {
            return SearchResult::Found(chain);
        }
        searched.extend(found.searched);
    }
    match searched.len() {
        shards if shards as u32 >= gateway.shards.count() => SearchResult::NotFound,
        shards => SearchResult::Incomplete(shards),
    }
}

fn local_chain(shard: &OwnedShard, turn: TurnKey) -> Option<Chain> {
    let ledger = shard.ledger();
    let chain = ledger.chain(turn)?;
    Some(chain.into_iter().map(|(key, turn)| (key, turn.clone())).collect())
}

/// Searches the shards that this process owns. Only those whose epoch the store confirms are
/// reported as searched.
pub(super) async fn search_owned_shards(gateway: &Gateway, turn: TurnKey) -> FoundTurn {
    let serving = gateway.shards.all_owned();
    let serving: Vec<_> = serving.into_iter().filter(|s| s.stage() == Stage::Serving).collect();
    if let Some(chain) = serving.iter().find_map(|shard| local_chain(shard, turn)) {
        return FoundTurn { chain: Some(chain), searched: Vec::new() };
    }
    let limit = Duration::from_millis(CONFIRM_TIMEOUT_MS);
    let confirmations = serving.iter().map(|shard| timeout(limit, shard.writer.append(Vec::new())));
    let responses = futures_util::future::join_all(confirmations).await;
    // A turn may have been recorded while the confirmations were in flight.
    let chain = serving.iter().find_map(|shard| local_chain(shard, turn));
    let searched =
        serving.iter().zip(responses).filter(|(_, response)| matches!(response, Ok(Ok(()))));
    FoundTurn { chain, searched: searched.map(|(shard, _)| shard.number).collect() }
}

/// Looks a turn up at another entry; none if the lookup failed.
async fn look_up_at_peer(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    turn: TurnKey,
) -> Option<FoundTurn> {
    let response = timeout(
        Duration::from_millis(PEER_LOOKUP_TIMEOUT_MS),
        request_lookup(gateway, address, turn),
    )
    .await;
    match response {
        Ok(Some(found)) => Some(found),
        Ok(None) | Err(_) => {
            log::warn!(address:display;
                "turn lookup at another entry failed; its shards count as not searched");
            None
        }
    }
}

async fn request_lookup(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    turn: TurnKey,
) -> Option<FoundTurn> {
    let lookup = postcard::to_allocvec(&FindTurn { turn }).ok()?;
    let request = Request::post(FIND_TURN_PATH).body(RequestBody::full(lookup)).ok()?;
    let mut connection = gateway.connections.take(gateway.now(), address).await.ok()?;
    let response = connection.sender.send_request(request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_CHAIN_BYTES).collect().await.ok()?;
    gateway.connections.put_back(gateway.now(), connection);
    postcard::from_bytes(&body.to_bytes()).ok()
}
