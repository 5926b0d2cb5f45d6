use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::PeerRecord;
use super::call_store::{STORE_CALL_TIMEOUT_MS, call_store};
use super::forward::deregister;
use super::message::{EvacuationState, GossipMessage, rotating_slice};
use super::owned_shard::Stage;
use super::rates::{RowSelection, SenderAge};
use super::shard_table::Owner;
use super::state::Gateway;
use super::writer::lose;
use crate::mechanisms::Mechanism;
use crate::prelude::*;
use crate::replicas::AnswerCounts;

/// Pause between two messages to the others while requests are running: what an entry takes
/// out of a workspace's rate in this time must be small against its burst.
const TELL_EVERY_MS: u64 = 100;

/// Messages that an entry sends in a second, to all others together: a tenth of a percent of
/// a core; with more entries, each tells less often, and takes less in between.
const MESSAGES_PER_S: u64 = 150;

/// The longest pause between two messages: an entry that is silent for half a second counts
/// as out of touch.
const TELL_MOST_MS: u64 = 200;

/// The most bytes of a datagram: what a link carries in one frame.
const DATAGRAM_MOST_BYTES: usize = 1_400;

/// The most rows of each list in one message, so that it fits a datagram; lists that are longer are
/// told in turn.
const ROWS_MOST: usize = 50;

/// Shortest pause between two messages, whatever happens: what happens within it is told
/// in one; ten times the way between two entries.
const TELL_LEAST_MS: u64 = 20;

/// Crashing requests are told for this long.
const SUSPECTS_TOLD_MS: u64 = 5_000;

/// Pause between two reads of the list of entries while it can't be read: it only matters to
/// an entry that starts; calls to a store in trouble are part of the trouble.
const PEERS_RETRY_MS: u64 = 400;

/// Pause between two reads of the list of entries: a new entry tells all that it knows of;
/// the list only finds those that were announced at the same moment.
const PEERS_EVERY_MS: u64 = 10_000;

/// Distinguishes the life of a process from its earlier ones and from those of other VMs, some of
/// which start within the same millisecond: entries that shared a number would have their counts
/// mixed up, and rates would be exceeded. It orders nothing.
pub(super) fn instance_id(vm: &str, started: UnixMs) -> u64 {
    Digest::of(&[vm.as_bytes(), &started.0.to_be_bytes()]).prefix()
}

/// Announces this entry and follows the list of the others.
pub(super) async fn announce_and_follow_peers(gateway: Rc<Gateway>) {
    let own = PeerRecord {
        name: gateway.settings.name.clone(),
        address: gateway.settings.peers,
        region: Some(gateway.settings.topology.region.clone()),
    };
    while let Err(fault) = call_store(STORE_CALL_TIMEOUT_MS, gateway.store.announce(&own)).await {
        log::warn!(fault:display; "this entry can't be announced");
        tokio::time::sleep(Duration::from_millis(PEERS_RETRY_MS)).await;
    }
    let mut failing = false;
    loop {
        let pause_ms = match call_store(STORE_CALL_TIMEOUT_MS, gateway.store.peers()).await {
            Ok(records) => {
                failing = false;
                let others = records.into_iter().filter(|record| record.address != own.address);
                let mut peers = gateway.peers.borrow_mut();
                others.for_each(|peer| peers.upsert(gateway.now(), peer));
                PEERS_EVERY_MS
            }
            Err(fault) => {
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(fault:display; "the list of entries can't be read");
                }
                PEERS_RETRY_MS
            }
        };
        gateway.gossip_due.notify_one();
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Tells the other entries what this one owns, runs and admits, for as long as the process lives.
pub(super) async fn send_gossip(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, instance: u64) {
    let mut told = None;
    let mut told_at = TimeMs::default();
    let mut round = 0;
    loop {
        let now = gateway.now();
        let pause_ms = pause_ms(gateway.peers.borrow().addresses().len() as u64);
        if let Some((gossip, bytes)) = encode(&gateway, instance, round)
            && (told.as_ref() != Some(&gossip) || now.since(told_at) >= TELL_MOST_MS)
        {
            tell(&gateway, &socket, &bytes).await;
            told = Some(gossip);
            told_at = now;
            round += 1;
        }
        let senders = gateway.peers.borrow().senders();
        gateway.directory.borrow_mut().update_entries(now, senders);
        for address in gateway.peers.borrow_mut().fallen_silent(now) {
            log::info!(address:display; "an entry has fallen silent");
            gateway.shards.forget_owner(address, None);
        }
        tokio::time::sleep(Duration::from_millis(TELL_LEAST_MS)).await;
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(pause_ms - TELL_LEAST_MS)) => {}
            () = gateway.gossip_due.notified() => {}
        }
    }
}

/// The pause between two messages to so many others.
fn pause_ms(others: u64) -> u64 {
    (others * 1_000 / MESSAGES_PER_S).clamp(TELL_EVERY_MS, TELL_MOST_MS)
}

fn compose(gateway: &Gateway, instance: u64, round: usize, rows: usize) -> GossipMessage {
    let own = gateway.shards.all_owned();
    let serving = own.iter().filter(|shard| shard.stage() == Stage::Serving);
    let now = gateway.now();
    let include_all = gateway.peers.borrow().has_newcomer(now);
    let telling = RowSelection { round, include_all };
    let directory = gateway.directory.borrow();
    let running = directory.all().filter(|(_, replica)| replica.in_flight > 0);
    let answers = directory.all().filter_map(|(_, replica)| {
        let answers = replica.answers_to_share(now)?;
        Some((replica.hash, answers.failures, answers.served))
    });
    GossipMessage {
        instance,
        name: gateway.settings.name.clone(),
        leaving: gateway.draining.get(),
        store_unreachable: gateway.reachability.is_away(now),
        recently_started: now.0 < gateway.settings.bounds.rate_window_ms,
        generation: gateway.shards.generation(),
        shards: serving.map(|shard| (shard.number, shard.epoch)).collect(),
        running: rotating_slice(running.map(|(_, r)| (r.hash, r.in_flight)).collect(), round, rows),
        answers: rotating_slice(answers.collect(), round, rows),
        evacuated: EvacuationState {
            as_of: directory.evacuations().as_of(),
            domains: directory.evacuations().domains().clone(),
        },
        taken: rotating_slice(gateway.rates.borrow_mut().rows_to_send(now, telling), round, rows),
        suspects: rotating_slice(
            gateway.suspects.borrow().recent(now, SUSPECTS_TOLD_MS),
            round,
            rows,
        ),
    }
}

/// The largest message that fits a datagram.
fn encode(gateway: &Gateway, instance: u64, round: usize) -> Option<(GossipMessage, Vec<u8>)> {
    let mut rows = ROWS_MOST;
    while rows > 0 {
        let gossip = compose(gateway, instance, round, rows);
        match postcard::to_allocvec(&gossip) {
            Ok(bytes) if bytes.len() <= DATAGRAM_MOST_BYTES => return Some((gossip, bytes)),
            Ok(_) => rows /= 2,
            Err(fault) => {
                log::error!(fault:display; "a message to the peers can't be encoded");
                return None;
            }
        }
    }
    log::error!("a message to the peers is too long without any rows");
    None
}

async fn tell(gateway: &Gateway, socket: &UdpSocket, bytes: &[u8]) {
    let addresses = gateway.peers.borrow().addresses();
    for address in addresses {
        if let Err(fault) = socket.send_to(bytes, address).await {
            log::debug!(address:display, fault:display; "a message to a peer was not sent");
        }
    }
}

/// Takes the other entries' messages in, for as long as the process lives.
pub(super) async fn receive_gossip(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 2 * DATAGRAM_MOST_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match postcard::from_bytes::<GossipMessage>(&buffer[..length]) {
                Ok(gossip) => apply_message(&gateway, from, &gossip),
                Err(fault) => log::warn!(from:display, fault:display; "an unreadable message"),
            },
            Err(fault) => {
                log::warn!(fault:display; "messages of the peers can't be received");
                tokio::time::sleep(Duration::from_millis(TELL_EVERY_MS)).await;
            }
        }
    }
}

pub(super) fn apply_message(gateway: &Rc<Gateway>, from: SocketAddr, gossip: &GossipMessage) {
    let now = gateway.now();
    let heard = gateway.peers.borrow_mut().record_message(now, from, gossip);
    if heard.first {
        log::info!(peer:% = gossip.name; "an entry was heard for the first time");
        gateway.gossip_due.notify_one();
    }
    for (shard, epoch) in &gossip.shards {
        gateway.shards.told(*shard, Owner { address: from, epoch: *epoch });
        give_up_to(gateway, *shard, *epoch);
    }
    let settles = gateway.is_enabled(Mechanism::FastReassignment);
    if settles && gossip.generation > gateway.shards.generation() {
        gateway.renew_membership();
    }
    let relieves = gateway.is_enabled(Mechanism::PeerDeregistration);
    if relieves
        && gossip.store_unreachable
        && !gossip.shards.is_empty()
        && gateway.reachability.is_sound(now)
    {
        relieve(gateway, from);
    }
    let known = SenderAge { since: heard.since, recently_started: gossip.recently_started };
    gateway.rates.borrow_mut().apply_remote(now, gossip.instance, &gossip.taken, known);
    let mut suspects = gateway.suspects.borrow_mut();
    gossip.suspects.iter().for_each(|(request, crashes)| suspects.merge(now, *request, *crashes));
    let mut directory = gateway.directory.borrow_mut();
    directory.update_evacuations(now, gossip.evacuated.as_of, gossip.evacuated.domains.clone());
    let peers = gateway.peers.borrow();
    for endpoint in heard.changed {
        if let Some(key) = directory.find_by_hash(endpoint) {
            directory.set_others_in_flight(key, peers.running(endpoint));
        }
    }
    let shares =
        gateway.is_enabled(Mechanism::Health) && gateway.is_enabled(Mechanism::SharedHealth);
    for (endpoint, failures, served) in gossip.answers.iter().filter(|_| shares) {
        if let Some(key) = directory.find_by_hash(*endpoint) {
            let answers = AnswerCounts { failures: *failures, served: *served };
            directory.merge_answers(now, key, gossip.instance, answers, heard.first);
        }
    }
}

/// Another entry serves a shard under a later epoch: the store has fenced this one off. One that is
/// cut off from the store learns it from nobody else, and would run turns that it can't record.
fn give_up_to(gateway: &Gateway, shard: u32, epoch: u64) {
    if let Some(own) = gateway.shards.owned(shard).filter(|own| own.epoch < epoch) {
        log::info!(shard, epoch = own.epoch, later = epoch; "a shard has a later owner");
        lose(gateway, &own);
    }
}

/// An entry that owns shards does not reach the store, which is sound here: its shards are dealt anew
/// at once instead of after its membership has lapsed.
fn relieve(gateway: &Rc<Gateway>, address: SocketAddr) {
    let now = gateway.now();
    if gateway.peers.borrow_mut().takes_relief(now, address, gateway.settings.peers) {
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move { deregister(&gateway, address).await });
    }
}
