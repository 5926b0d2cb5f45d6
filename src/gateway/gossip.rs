use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::attach_message::AttachMessage;
use super::forward::deregister;
use super::hub::{self, answer_question};
use super::hubs::Role;
use super::leaf;
use super::load_reports::{apply_load_report, compose_load_report};
use super::message::{
    ClearedReport, CountReport, Datagram, EvacuationState, GossipMessage, rotating_slice,
};
use super::owned_shard::Stage;
use super::rates::{RowSelection, SenderAge};
use super::shard_table::Owner;
use super::silent_entries::probe_silent_entries;
use super::state::Gateway;
use super::writer::end_ownership;
use crate::mechanisms::Mechanism;
use crate::prelude::*;
use crate::replicas::AnswerCounts;

/// Interval between two messages while requests are running, as long as the entries are few. What
/// an entry admits for a workspace within this time must be small compared with the workspace's
/// burst.
const GOSSIP_INTERVAL_MS: u64 = 100;

/// Messages per second that an entry sends to all others together, which bounds what they cost. With
/// more entries, each sends less often and also admits fewer requests in between.
const MESSAGES_PER_S: u64 = 150;

/// Longest interval between two messages: an entry not heard from for half a second counts as out
/// of touch.
const MAX_GOSSIP_INTERVAL_MS: u64 = 200;

/// The largest datagram in bytes: what a link carries in one frame.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// The most rows in one message of each list that is limited, so that the message fits into a
/// datagram. Longer lists are spread over several messages.
pub(super) const MAX_ROWS: usize = 50;

/// Shortest pause between two messages, also if one is due at once: changes within it go out in one
/// message. It is ten times the latency between two entries.
const MIN_GOSSIP_PAUSE_MS: u64 = 20;

/// How long a suspected poison request is included in messages after the last update of its crash
/// count.
pub(super) const SUSPECT_GOSSIP_MS: u64 = 5_000;

/// Sends the other hubs what this one owns, runs and admits, from the moment when this entry becomes
/// a hub until the process ends.
pub(super) async fn send_gossip(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut last_sent = None;
    let mut last_sent_at = TimeMs::default();
    let mut round = 0;
    let mut hears_half = true;
    loop {
        let Role::Hub { instance, .. } = gateway.role() else {
            gateway.hub_begun.notified().await;
            continue;
        };
        let now = gateway.now();
        let pause_ms = pause_ms(gateway.peers.borrow().addresses().len() as u64);
        if let Some((gossip, bytes)) = encode(&gateway, instance, round)
            && (last_sent.as_ref() != Some(&gossip)
                || now.since(last_sent_at) >= MAX_GOSSIP_INTERVAL_MS)
        {
            gateway.rates.borrow_mut().mark_reported(&gossip.admitted);
            send_to_peers(&gateway, &socket, &bytes).await;
            last_sent = Some(gossip);
            last_sent_at = now;
            round += 1;
        }
        let heard_entry_hashes = gateway.peers.borrow().heard_entry_hashes();
        gateway.directory.borrow_mut().update_entries(now, heard_entry_hashes);
        forget_silent_entries(&gateway, now);
        hears_half = record_contact(&gateway, now, hears_half);
        probe_silent_entries(&gateway);
        tokio::time::sleep(Duration::from_millis(MIN_GOSSIP_PAUSE_MS)).await;
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(pause_ms - MIN_GOSSIP_PAUSE_MS)) => {}
            () = gateway.gossip_due.notified() => {}
        }
    }
}

/// Logs when this entry begins or ceases to hear at least half of the others, which changes how it
/// admits requests. Returns whether it hears them now.
fn record_contact(gateway: &Gateway, now: TimeMs, heard_before: bool) -> bool {
    let peer_counts = gateway.peers.borrow().peer_counts(now);
    let hears_half = peer_counts.hears_half();
    gateway.rates.borrow_mut().record_contact(now, hears_half);
    if hears_half != heard_before {
        log::info!(hears_half, entries = peer_counts.entries, heard = peer_counts.heard;
            "contact with half of the entries lost or regained; it decides how rates are kept");
    }
    hears_half
}

/// Forgets the shards and the running requests of entries from which no message came for too long.
pub(super) fn forget_silent_entries(gateway: &Gateway, now: TimeMs) {
    let silent = gateway.peers.borrow_mut().take_silent(now);
    for address in silent.addresses {
        log::info!(address:display; "no recent message from an entry; forgetting its shards");
        gateway.shards.forget_owner(address, None);
    }
    update_others_in_flight(gateway, now, &silent.changed_endpoints);
}

/// Updates the number of requests that the other entries have running at these endpoints.
fn update_others_in_flight(gateway: &Gateway, now: TimeMs, endpoints: &[u64]) {
    let (mut directory, peers) = (gateway.directory.borrow_mut(), gateway.peers.borrow());
    for endpoint in endpoints {
        if let Some(key) = directory.find_by_hash(*endpoint) {
            directory.set_others_in_flight(now, key, peers.running(*endpoint));
        }
    }
}

/// The interval between two messages if there are this many other entries.
fn pause_ms(others: u64) -> u64 {
    (others * 1_000 / MESSAGES_PER_S).clamp(GOSSIP_INTERVAL_MS, MAX_GOSSIP_INTERVAL_MS)
}

/// Builds the message of this round, with at most `rows` rows in each list that may be sent in parts.
/// The owned shards and the evacuated domains are always sent completely, and so are the counts of
/// running requests up to [`MAX_ROWS`].
pub(super) fn compose(
    gateway: &Gateway,
    instance: u64,
    round: usize,
    rows: usize,
) -> GossipMessage {
    let owned = gateway.shards.all_owned();
    let serving = owned.iter().filter(|shard| shard.stage() == Stage::Serving);
    let now = gateway.now();
    let include_all = gateway.peers.borrow().has_newcomer(now);
    let selection = RowSelection { round, include_all, max_rows: rows };
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
        store_unreachable: gateway.reachability.is_unreachable(now),
        recently_started: gateway.is_recent_hub(),
        generation: gateway.shards.generation(),
        shards: serving.map(|shard| (shard.number, shard.epoch)).collect(),
        running: largest_counts(running.map(|(_, r)| (r.hash, r.in_flight)).collect()),
        answers: rotating_slice(answers.collect(), round, rows),
        evacuated: EvacuationState {
            as_of: directory.evacuations().as_of(),
            domains: directory.evacuations().domains().clone(),
        },
        admitted: gateway.rates.borrow_mut().rows_to_send(now, selection),
        suspects: rotating_slice(
            gateway.suspects.borrow().recent(now, SUSPECT_GOSSIP_MS),
            round,
            rows,
        ),
    }
}

/// The [`MAX_ROWS`] endpoints with the most requests. A receiver takes an endpoint that is not in a
/// message to have none; with rows in turn, most of its counts would fall to zero and rise again with
/// every message.
fn largest_counts(mut running: Vec<(u64, u32)>) -> Vec<(u64, u32)> {
    if running.len() > MAX_ROWS {
        running.sort_unstable_by_key(|(endpoint, count)| (std::cmp::Reverse(*count), *endpoint));
        running.truncate(MAX_ROWS);
    }
    running
}

/// Encodes the message, with fewer rows in each list until it fits into a datagram.
fn encode(gateway: &Gateway, instance: u64, round: usize) -> Option<(GossipMessage, Vec<u8>)> {
    let load = compose_load_report(gateway, round).unwrap_or_default();
    let mut rows = MAX_ROWS;
    while rows > 0 {
        let gossip = compose(gateway, instance, round, rows);
        let counts = Some(compose_counts(gateway, &gossip));
        let cleared = gateway.suspects.borrow().recently_cleared(gateway.now(), SUSPECT_GOSSIP_MS);
        let cleared = ClearedReport { cleared: rotating_slice(cleared, round, rows) };
        let datagram = Datagram { gossip, load: load.clone(), counts, cleared };
        match datagram.encode(MAX_DATAGRAM_BYTES) {
            Ok(Some(bytes)) => return Some((datagram.gossip, bytes)),
            Ok(None) => rows /= 2,
            Err(fault) => {
                log::error!(fault:display; "encoding a gossip message failed; sending nothing");
                return None;
            }
        }
    }
    log::error!("gossip message too large for a datagram with one row per list; sending nothing");
    None
}

/// What belongs to the counts of workspaces in a message.
fn compose_counts(gateway: &Gateway, gossip: &GossipMessage) -> CountReport {
    let now = gateway.now();
    let mut rates = gateway.rates.borrow_mut();
    let workspaces = gossip.admitted.iter().map(|row| row.workspace);
    let refunds = rates.refunds_to_send(now, workspaces);
    CountReport { knows_windows: !gateway.is_recent_hub() && rates.knows_windows(now), refunds }
}

async fn send_to_peers(gateway: &Gateway, socket: &UdpSocket, bytes: &[u8]) {
    let addresses = gateway.peers.borrow().addresses();
    for address in addresses {
        if let Err(fault) = socket.send_to(bytes, address).await {
            log::debug!(address:display, fault:display; "sending a gossip message failed");
        }
    }
}

/// Receives the messages of the other hubs, and those between a leaf and its hub, until the process
/// ends.
pub(super) async fn receive_gossip(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) if AttachMessage::is_in(&buffer[..length]) => {
                receive_attach_message(&gateway, &socket, from, &buffer[..length]).await;
            }
            Ok((length, from)) => receive_gossip_message(&gateway, from, &buffer[..length]),
            Err(fault) => {
                log::warn!(fault:display; "receiving gossip messages failed; retrying");
                tokio::time::sleep(Duration::from_millis(GOSSIP_INTERVAL_MS)).await;
            }
        }
    }
}

pub(super) fn receive_gossip_message(gateway: &Rc<Gateway>, from: SocketAddr, datagram: &[u8]) {
    if !gateway.is_hub() {
        return;
    }
    match Datagram::decode(datagram) {
        Ok(Datagram { gossip, load, counts, cleared }) => {
            apply_message(gateway, from, &gossip);
            gateway.merge_cleared_suspects(&cleared.cleared);
            if let Some(counts) = counts {
                let now = gateway.now();
                gateway.peers.borrow_mut().record_knowledge(from, counts.knows_windows);
                gateway.rates.borrow_mut().apply_refunds(now, gossip.instance, &counts.refunds);
            }
            apply_load_report(gateway, gossip.instance, &load);
        }
        Err(fault) => {
            log::warn!(from:display, fault:display; "discarding an undecodable gossip message")
        }
    }
}

/// Applies a message between a leaf and a hub, and answers it if it asks for an answer.
async fn receive_attach_message(
    gateway: &Rc<Gateway>,
    socket: &UdpSocket,
    from: SocketAddr,
    datagram: &[u8],
) {
    let answer = match AttachMessage::decode(datagram) {
        Ok(AttachMessage::Attach(attach)) => {
            return hub::attach(gateway, socket, from, &attach).await;
        }
        Ok(AttachMessage::Cleared(report)) => {
            return gateway.merge_cleared_suspects(&report.cleared);
        }
        Ok(AttachMessage::Question(question)) => answer_question(gateway, from, &question),
        Ok(AttachMessage::Refund { number }) => return hub::refund(gateway, from, number),
        Ok(AttachMessage::State { state, feeds }) => {
            return leaf::apply_state(gateway, from, state, feeds);
        }
        Ok(AttachMessage::Unchanged { version, feeds }) => {
            return leaf::confirm_state(gateway, from, version, feeds);
        }
        Ok(AttachMessage::NotHub) => return leaf::give_up_hub(gateway, from),
        Ok(AttachMessage::Answer { number, decision }) => {
            return gateway.questions.apply_answer(from, number, decision);
        }
        Err(fault) => {
            log::warn!(from:display, fault:display;
                "discarding an undecodable message between a leaf and a hub");
            return;
        }
    };
    hub::send(socket, from, &answer).await;
}

/// Updates what this entry knows of the others from a message of one of them.
pub(super) fn apply_message(gateway: &Rc<Gateway>, from: SocketAddr, gossip: &GossipMessage) {
    let now = gateway.now();
    let outcome = gateway.peers.borrow_mut().record_message(now, from, gossip);
    if outcome.first_message {
        log::info!(peer:% = gossip.name;
            "first gossip message from a process instance of an entry");
        gateway.gossip_due.notify_one();
    }
    for (shard, epoch) in &gossip.shards {
        gateway.shards.update_remote_owner(*shard, Owner { address: from, epoch: *epoch });
        give_up_fenced_shard(gateway, *shard, *epoch);
    }
    let renews_early = gateway.is_enabled(Mechanism::FastReassignment);
    if renews_early && gossip.generation > gateway.shards.generation() {
        gateway.renew_membership();
    }
    let deregisters_peers = gateway.is_enabled(Mechanism::PeerDeregistration);
    if deregisters_peers
        && gossip.store_unreachable
        && !gossip.shards.is_empty()
        && gateway.reachability.is_stable(now)
    {
        deregister_cut_off_entry(gateway, from);
    }
    let sender_age =
        SenderAge { since: outcome.first_heard_at, recently_started: gossip.recently_started };
    gateway.rates.borrow_mut().apply_remote(now, gossip.instance, &gossip.admitted, sender_age);
    let mut suspects = gateway.suspects.borrow_mut();
    gossip.suspects.iter().for_each(|(request, crashes)| suspects.merge(now, *request, *crashes));
    update_others_in_flight(gateway, now, &outcome.changed_endpoints);
    let mut directory = gateway.directory.borrow_mut();
    directory.update_evacuations(now, gossip.evacuated.as_of, gossip.evacuated.domains.clone());
    let shares_health =
        gateway.is_enabled(Mechanism::Health) && gateway.is_enabled(Mechanism::SharedHealth);
    for (endpoint, failures, served) in gossip.answers.iter().filter(|_| shares_health) {
        if let Some(key) = directory.find_by_hash(*endpoint) {
            let answers = AnswerCounts { failures: *failures, served: *served };
            directory.merge_answers(now, key, gossip.instance, answers, outcome.first_message);
        }
    }
}

/// Gives up a shard that another entry serves under a later epoch: the store rejects this entry's
/// appends. An entry that is cut off from the store learns this only by gossip, and would otherwise
/// go on running turns that it can't record.
fn give_up_fenced_shard(gateway: &Gateway, shard: u32, epoch: u64) {
    if let Some(owned) = gateway.shards.owned(shard).filter(|owned| owned.epoch < epoch) {
        log::info!(shard, epoch = owned.epoch, later = epoch;
            "another entry owns the shard under a later epoch; giving it up");
        end_ownership(gateway, &owned);
    }
}

/// Deregisters an entry that owns shards but can't reach the store, while this one can. Its shards
/// are then reassigned at once instead of when its membership expires.
fn deregister_cut_off_entry(gateway: &Rc<Gateway>, address: SocketAddr) {
    let now = gateway.now();
    if gateway.peers.borrow_mut().should_deregister(now, address, gateway.settings.peers) {
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move { deregister(&gateway, address).await });
    }
}
