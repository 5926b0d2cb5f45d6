//! Turns that were answered under another program, and so lie in another shard.

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
use crate::http::Outgoing;
use crate::turns::{Record, Turn, TurnKey};

/// Where an entry is asked for a turn.
pub(super) const FIND_PATH: &str = "/find-turn";

/// The longest wait for another entry's search: it confirms its epochs at the store, which
/// takes some ten milliseconds, and a quarter of a second when the store is slow.
const FIND_TIMEOUT_MS: u64 = 600;

/// The longest wait for one shard's confirmation. The store may be out for some shards only: the others
/// are told as searched, within the time that the asker waits.
const CONFIRM_MOST_MS: u64 = 400;

/// The most bytes of a chain: 160,000 tokens at two bytes, with room for the framing.
const CHAIN_MOST_BYTES: usize = 1 << 20;

/// When to return if a search was not complete: a shard is between two owners.
const INCOMPLETE_RETRY_MS: u64 = 300;

/// How long a search is repeated while it is not complete: a shard that is dealt anew is
/// read by its next owner within some hundred milliseconds; a dead owner's lapses after longer, and
/// then its caller is better served by an answer.
const SEARCH_MOST_MS: u64 = 700;

/// Pause between two searches.
const SEARCH_AGAIN_MS: u64 = 60;

type Chain = Vec<(TurnKey, Turn)>;

/// The turn and all before it. Those of another shard are taken over: `records` then holds what
/// makes them durable here.
///
/// A search misses a shard that is between two owners, or whose owner is not yet known here. It is
/// repeated for a while: refused at once, the caller would lose a turn that exists and is found some
/// milliseconds later.
pub(super) async fn find_chain(
    gateway: &Rc<Gateway>,
    shard: &OwnedShard,
    turn: TurnKey,
    records: &mut Vec<Record>,
) -> Result<Chain, Refusal> {
    if let Some(chain) = held(shard, turn) {
        return Ok(chain);
    }
    let started = gateway.now();
    loop {
        match search_all(gateway, turn).await {
            Searched::Found(chain) => {
                records.extend(shard.ledger.borrow_mut().import_turns(chain.clone()));
                return Ok(chain);
            }
            Searched::Nowhere => return Err(Refusal::NoSuchTurn),
            Searched::InPart(shards) if gateway.now().since(started) >= SEARCH_MOST_MS => {
                log::info!(searched = shards, shards = gateway.shards.count();
                    "a search for a turn was not complete");
                return Err(Refusal::Unavailable { retry_after_ms: INCOMPLETE_RETRY_MS });
            }
            Searched::InPart(_) => tokio::select! {
                () = gateway.shards.changed.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(SEARCH_AGAIN_MS)) => {}
            },
        }
    }
}

/// What a search of all shards has found.
enum Searched {
    Found(Chain),
    /// No shard holds the turn.
    Nowhere,
    /// So many shards do not hold it; the others could not be searched.
    InPart(usize),
}

/// That there is no such turn is said only after all shards were searched, each by an owner that
/// the store has just confirmed: a process that was paused past its tenure holds an old state and
/// would deny turns that its successor has answered.
async fn search_all(gateway: &Rc<Gateway>, turn: TurnKey) -> Searched {
    let own = search_own(gateway, turn).await;
    if let Some(chain) = own.chain {
        return Searched::Found(chain);
    }
    let mut searched: HashSet<u32> = own.searched.into_iter().collect();
    let asked = gateway.shards.remote_owners();
    let answers = asked.into_iter().map(|address| ask(gateway, address, turn));
    for found in futures_util::future::join_all(answers).await.into_iter().flatten() {
        if let Some(chain) = found.chain {
            return Searched::Found(chain);
        }
        searched.extend(found.searched);
    }
    match searched.len() {
        shards if shards as u32 >= gateway.shards.count() => Searched::Nowhere,
        shards => Searched::InPart(shards),
    }
}

fn held(shard: &OwnedShard, turn: TurnKey) -> Option<Chain> {
    let ledger = shard.ledger.borrow();
    let chain = ledger.chain(turn)?;
    Some(chain.into_iter().map(|(key, turn)| (key, turn.clone())).collect())
}

/// Searches this process's shards.
pub(super) async fn search_own(gateway: &Gateway, turn: TurnKey) -> FoundTurn {
    let serving = gateway.shards.all_owned();
    let serving: Vec<_> = serving.into_iter().filter(|s| s.stage() == Stage::Serving).collect();
    if let Some(chain) = serving.iter().find_map(|shard| held(shard, turn)) {
        return FoundTurn { chain: Some(chain), searched: Vec::new() };
    }
    let limit = Duration::from_millis(CONFIRM_MOST_MS);
    let confirmed = serving.iter().map(|shard| timeout(limit, shard.writer.append(Vec::new())));
    let answers = futures_util::future::join_all(confirmed).await;
    // A turn may have been recorded while the confirmations were under way.
    let chain = serving.iter().find_map(|shard| held(shard, turn));
    let searched = serving.iter().zip(answers).filter(|(_, answer)| matches!(answer, Ok(Ok(()))));
    FoundTurn { chain, searched: searched.map(|(shard, _)| shard.number).collect() }
}

async fn ask(gateway: &Rc<Gateway>, address: SocketAddr, turn: TurnKey) -> Option<FoundTurn> {
    let answer =
        timeout(Duration::from_millis(FIND_TIMEOUT_MS), call(gateway, address, turn)).await;
    match answer {
        Ok(Some(found)) => Some(found),
        Ok(None) | Err(_) => {
            log::warn!(address:display; "an entry could not be asked for a turn");
            None
        }
    }
}

async fn call(gateway: &Rc<Gateway>, address: SocketAddr, turn: TurnKey) -> Option<FoundTurn> {
    let question = postcard::to_allocvec(&FindTurn { turn }).ok()?;
    let request = Request::post(FIND_PATH).body(Outgoing::whole(question)).ok()?;
    let mut connection = gateway.connections.take(gateway.now(), address).await.ok()?;
    let answer = connection.sender.send_request(request).await.ok()?;
    let whole = Limited::new(answer.into_body(), CHAIN_MOST_BYTES).collect().await.ok()?;
    gateway.connections.keep(gateway.now(), connection);
    postcard::from_bytes(&whole.to_bytes()).ok()
}
