//! What a hub does for the leaves that are attached to it, and for all entries that ask it to admit
//! requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::attach_message::{Attach, AttachMessage, Decision, HubRow, HubState, Question};
use super::count_here::{NotGranted, count_for_other};
use super::gossip::{MAX_ROWS, SUSPECT_GOSSIP_MS};
use super::hub_feed::feed_status;
use super::hubs::{AskedQuestion, GrantedQuestions};
use super::message::{ClearedReport, EvacuationState, rotating_slice};
use super::observe::record_rate_refund;
use super::owned_shard::Stage;
use super::state::Gateway;
use crate::prelude::*;

/// A leaf from which no message came for this long is no longer attached.
const LEAF_SILENT_AFTER_MS: u64 = 2_000;

/// Longest time until a change of the state is sent to the leaves.
const STATE_INTERVAL_MS: u64 = 200;

/// Shortest time between two states that are sent to all leaves.
const MIN_STATE_PAUSE_MS: u64 = 20;

/// The most suspected requests in one state.
const MAX_SUSPECT_ROWS: usize = MAX_ROWS / 4;

/// What a hub knows of its leaves.
#[derive(Debug, Default)]
pub(super) struct AttachedLeaves {
    /// When the last message of each leaf came.
    heard_at: RefCell<HashMap<SocketAddr, TimeMs>>,
    granted: RefCell<GrantedQuestions>,
    /// The state that was last sent.
    state: RefCell<HubState>,
    /// The number of states that suspects were taken into in turn.
    round: Cell<usize>,
}

impl AttachedLeaves {
    /// The number of attached leaves.
    pub(super) fn count(&self) -> usize {
        self.heard_at.borrow().len()
    }

    fn addresses(&self, now: TimeMs) -> Vec<SocketAddr> {
        let mut heard_at = self.heard_at.borrow_mut();
        heard_at.retain(|_, at| now.since(*at) < LEAF_SILENT_AFTER_MS);
        heard_at.keys().copied().collect()
    }
}

/// Sends the state to the leaves whenever it has changed, until the process ends.
pub(super) async fn serve_leaves(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        if gateway.is_hub() && update_state(&gateway) {
            send_state(&gateway, &socket).await;
        }
        tokio::time::sleep(Duration::from_millis(MIN_STATE_PAUSE_MS)).await;
        tokio::select! {
            () = gateway.shards.changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(STATE_INTERVAL_MS)) => {}
        }
    }
}

async fn send_state(gateway: &Gateway, socket: &UdpSocket) {
    let leaves = gateway.leaves.addresses(gateway.now());
    let state = gateway.leaves.state.borrow().clone();
    let state = AttachMessage::State { state, feeds: None };
    for leaf in leaves {
        send(socket, leaf, &state).await;
    }
}

/// Sends a message between a leaf and a hub. A lost one is made up for by the next.
pub(super) async fn send(socket: &UdpSocket, to: SocketAddr, message: &AttachMessage) {
    match message.encode() {
        Ok(bytes) => {
            if let Err(fault) = socket.send_to(&bytes, to).await {
                log::debug!(to:display, fault:display; "sending a message to an entry failed");
            }
        }
        Err(fault) => log::error!(fault:display; "encoding a message to an entry failed"),
    }
}

/// Tells a leaf, or the hub of a leaf, which requests were cleared just now, if there are any.
/// They are sent in parts, by `round`.
pub(super) async fn send_cleared(
    gateway: &Gateway,
    socket: &UdpSocket,
    to: SocketAddr,
    round: usize,
) {
    let cleared = gateway.suspects.borrow().recently_cleared(gateway.now(), SUSPECT_GOSSIP_MS);
    if !cleared.is_empty() {
        let report = ClearedReport { cleared: rotating_slice(cleared, round, MAX_ROWS) };
        send(socket, to, &AttachMessage::Cleared(report)).await;
    }
}

/// Updates the state for the leaves. Returns whether it has changed.
pub(super) fn update_state(gateway: &Gateway) -> bool {
    let round = gateway.leaves.round.get();
    gateway.leaves.round.set(round + 1);
    let mut state = compose_state(gateway, round);
    let mut current = gateway.leaves.state.borrow_mut();
    state.version = current.version;
    if state == *current {
        return false;
    }
    state.version = version_of(&state);
    *current = state;
    true
}

/// Identifies a state by its content, so that hubs in the same state have the same version.
fn version_of(state: &HubState) -> u64 {
    let content = postcard::to_allocvec(&HubState { version: 0, ..state.clone() });
    content.map_or(0, |bytes| Digest::of(&[&bytes]).prefix().max(1))
}

fn compose_state(gateway: &Gateway, round: usize) -> HubState {
    let now = gateway.now();
    let own = HubRow {
        address: gateway.settings.peers,
        leaving: gateway.draining.get(),
        store_unreachable: gateway.reachability.is_unreachable(now),
    };
    let mut hubs = gateway.peers.borrow().heard_hubs();
    hubs.push(own);
    hubs.sort_unstable_by_key(|hub| hub.address);
    let position = |address| hubs.iter().position(|hub| hub.address == address);
    let owned = gateway.shards.all_owned();
    let serving = owned.iter().filter(|shard| shard.stage() == Stage::Serving);
    let mut shards: Vec<_> = serving.map(|s| (s.number, s.epoch, own.address)).collect();
    shards.extend(gateway.shards.remote_owners_by_shard());
    let located = shards.into_iter().filter_map(|(number, epoch, owner)| {
        Some((number, epoch, u16::try_from(position(owner)?).ok()?))
    });
    let mut located: Vec<_> = located.collect();
    located.sort_unstable();
    let directory = gateway.directory.borrow();
    let mut suspects = gateway.suspects.borrow().recent(now, SUSPECT_GOSSIP_MS);
    suspects.sort_unstable();
    HubState {
        version: 0,
        hubs,
        shards: located,
        evacuated: EvacuationState {
            as_of: directory.evacuations().as_of(),
            domains: directory.evacuations().domains().clone(),
        },
        suspects: rotating_slice(suspects, round, MAX_SUSPECT_ROWS),
    }
}

/// Answers a leaf that attaches.
pub(super) async fn attach(
    gateway: &Gateway,
    socket: &UdpSocket,
    leaf: SocketAddr,
    attach: &Attach,
) {
    send(socket, leaf, &answer_attach(gateway, leaf, attach)).await;
    if gateway.is_hub() {
        send_cleared(gateway, socket, leaf, gateway.leaves.round.get()).await;
    }
}

/// The answer to a leaf that attaches.
pub(super) fn answer_attach(gateway: &Gateway, leaf: SocketAddr, attach: &Attach) -> AttachMessage {
    if !gateway.is_hub() || gateway.draining.get() {
        return AttachMessage::NotHub;
    }
    let now = gateway.now();
    gateway.leaves.heard_at.borrow_mut().insert(leaf, now);
    let mut suspects = gateway.suspects.borrow_mut();
    attach.suspects.iter().for_each(|(request, crashes)| suspects.merge(now, *request, *crashes));
    let state = gateway.leaves.state.borrow();
    let feeds = feed_status(gateway, attach.sent_at_ms);
    match attach.version == state.version {
        true => AttachMessage::Unchanged { version: state.version, feeds },
        false => AttachMessage::State { state: state.clone(), feeds: Some(feeds) },
    }
}

/// The answer to an entry that asks for an admission.
pub(super) fn answer_question(
    gateway: &Gateway,
    asking: SocketAddr,
    question: &Question,
) -> AttachMessage {
    if !gateway.is_hub() {
        return AttachMessage::NotHub;
    }
    let decision = decide(gateway, asking, question);
    AttachMessage::Answer { number: question.number, decision }
}

fn decide(gateway: &Gateway, asking: SocketAddr, question: &Question) -> Decision {
    let now = gateway.now();
    let asked = AskedQuestion { asking, number: question.number };
    if gateway.leaves.granted.borrow().contains(asked) {
        return Decision::Admitted;
    }
    match count_for_other(gateway, question.workspace, question.claim) {
        Ok(grant) => {
            let mut granted = gateway.leaves.granted.borrow_mut();
            granted.record(now, asked, question.workspace, grant);
            Decision::Admitted
        }
        Err(not_granted) => {
            log_not_granted(gateway, asking, question, not_granted);
            not_granted.into()
        }
    }
}

fn log_not_granted(
    gateway: &Gateway,
    asking: SocketAddr,
    question: &Question,
    not_granted: NotGranted,
) {
    let NotGranted::NoRoom { retry_after_ms } = not_granted else {
        return;
    };
    let now = gateway.now();
    let usage = gateway.rates.borrow_mut().usage(now, question.workspace);
    let peer_counts = gateway.peers.borrow().peer_counts(now);
    log::info!(asking:%, workspace_hash = question.workspace, claim = question.claim.name(),
        retry_after_ms, used = usage.used(), limit = usage.limit, own = usage.own,
        others = usage.others, assumed = usage.assumed, known = usage.is_known,
        entries = peer_counts.entries, heard = peer_counts.heard;
        "workspace over its request rate; another entry's request is not admitted");
}

/// Refunds an admission to another entry.
pub(super) fn refund(gateway: &Gateway, asking: SocketAddr, number: u64) {
    let taken = gateway.leaves.granted.borrow_mut().take(AskedQuestion { asking, number });
    if let Some((workspace, grant)) = taken {
        record_rate_refund(grant.age_ms(gateway.now()));
        gateway.rates.borrow_mut().refund(gateway.now(), workspace, grant);
    }
}
