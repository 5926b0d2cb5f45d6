//! How a leaf stays attached to a hub, and learns from it who owns the shards.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::Notify;

use super::attach_message::{Attach, AttachMessage, HubRow, HubState};
use super::feed_message::{FeedStatus, ListPosition};
use super::gossip::{MAX_ROWS, SUSPECT_GOSSIP_MS, forget_silent_entries};
use super::hub::{send, send_cleared};
use super::hubs::{Attachment, Recruitment};
use super::leaf_feed::apply_status;
use super::message::rotating_slice;
use super::operator_feed::boot_time_ms;
use super::shard_table::Owner;
use super::state::Gateway;
use crate::prelude::*;

/// Interval between two messages of a leaf to its hub.
const ATTACH_INTERVAL_MS: u64 = 250;

/// Shortest time between two of them.
const MIN_ATTACH_PAUSE_MS: u64 = 20;

/// While no hub is known, the announcements are read again in one of this many intervals.
const UNATTACHED_READS: usize = 4;

/// For how long no hub of any failure domain must have answered before a leaf takes all of them to
/// be gone: several of them were tried.
const ALL_HUBS_SILENT_MS: u64 = 2_500;

/// What a leaf knows from its hub.
#[derive(Debug, Default)]
pub(super) struct LeafState {
    attachment: RefCell<Attachment>,
    /// The hub's state as last received.
    pub(super) hub_state: RefCell<HubState>,
    /// Whether the hub's state shows too few hubs in this failure domain.
    is_short_of_hubs: Cell<bool>,
    recruitment: RefCell<Recruitment>,
    /// Notified when the hub should be asked for its state at once.
    pub(super) attach_due: Notify,
    round: Cell<usize>,
    /// How far the leaf has the hub's changes of the endpoint list.
    pub(super) endpoints: Cell<ListPosition>,
    /// Whether the leaf is reading what it lacks from its hub.
    pub(super) is_fetching: Cell<bool>,
}

impl LeafState {
    /// Whether a hub has answered recently.
    pub(super) fn is_attached(&self, now: TimeMs) -> bool {
        self.attachment.borrow().is_established(now)
    }
}

/// Keeps the leaf attached to a hub while this entry is a leaf, until the process ends.
pub(super) async fn stay_attached(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        if gateway.is_leaf() {
            attach(&gateway, &socket).await;
            check_recruitment(&gateway);
            forget_silent_entries(&gateway, gateway.now());
        }
        tokio::time::sleep(Duration::from_millis(MIN_ATTACH_PAUSE_MS)).await;
        tokio::select! {
            () = gateway.leaf.attach_due.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(ATTACH_INTERVAL_MS)) => {}
        }
    }
}

async fn attach(gateway: &Gateway, socket: &UdpSocket) {
    let now = gateway.now();
    let Some(hub) = choose_hub(gateway) else {
        if gateway.leaf.round.replace(gateway.leaf.round.get() + 1).is_multiple_of(UNATTACHED_READS)
        {
            gateway.roster_due.notify_one();
        }
        return;
    };
    let round = gateway.leaf.round.get();
    gateway.leaf.round.set(round + 1);
    let suspects = gateway.suspects.borrow().recent(now, SUSPECT_GOSSIP_MS);
    let version = match gateway.leaf.is_attached(now) {
        true => gateway.leaf.hub_state.borrow().version,
        false => 0,
    };
    let suspects = rotating_slice(suspects, round, MAX_ROWS);
    let attach = Attach { version, sent_at_ms: boot_time_ms(), suspects };
    send(socket, hub, &AttachMessage::Attach(attach)).await;
    send_cleared(gateway, socket, hub, round).await;
}

/// The hub that the leaf is attached to, or that it now tries to attach to.
pub(super) fn choose_hub(gateway: &Gateway) -> Option<SocketAddr> {
    let roster = gateway.roster.borrow();
    let domain = &gateway.settings.topology.domain;
    let hubs = roster.hubs().filter(|hub| hub.name != gateway.settings.name);
    let mut attachment = gateway.leaf.attachment.borrow_mut();
    attachment.choose(gateway.now(), gateway.name_hash(), domain, hubs)
}

/// Applies the state of a hub, if the leaf is attached to it.
pub(super) fn apply_state(
    gateway: &Rc<Gateway>,
    hub: SocketAddr,
    state: HubState,
    feeds: Option<FeedStatus>,
) {
    let is_attached = gateway.leaf.attachment.borrow_mut().record_answer(gateway.now(), hub);
    if !gateway.is_leaf() || !is_attached {
        return;
    }
    let is_short = is_short_of_hubs(gateway, &state);
    gateway.leaf.is_short_of_hubs.set(is_short);
    rebalance(gateway, &state);
    gateway.leaf.hub_state.replace(state);
    apply_hub_state(gateway);
    if let Some(feeds) = feeds {
        apply_status(gateway, hub, feeds);
    }
    if is_better_attached_elsewhere(&gateway.leaf.hub_state.borrow(), hub) {
        log::info!(hub:display; "the hub can't reach the store; attaching to another one");
        give_up_hub(gateway, hub);
    }
}

/// Confirms the state that the leaf has, if it is the hub's.
pub(super) fn confirm_state(
    gateway: &Rc<Gateway>,
    hub: SocketAddr,
    version: u64,
    feeds: FeedStatus,
) {
    let is_attached = gateway.leaf.attachment.borrow_mut().record_answer(gateway.now(), hub);
    if !gateway.is_leaf() || !is_attached {
        return;
    }
    if gateway.leaf.hub_state.borrow().version == version {
        apply_hub_state(gateway);
    }
    apply_status(gateway, hub, feeds);
}

/// Gives up a hub that is none any more.
pub(super) fn give_up_hub(gateway: &Gateway, hub: SocketAddr) {
    gateway.leaf.attachment.borrow_mut().give_up(gateway.now(), hub);
    gateway.leaf.attach_due.notify_one();
}

fn apply_hub_state(gateway: &Gateway) {
    let now = gateway.now();
    let state = gateway.leaf.hub_state.borrow();
    gateway.peers.borrow_mut().record_hubs(now, &state.hubs);
    for (shard, epoch, owner) in &state.shards {
        if let Some(hub) = state.hubs.get(usize::from(*owner)) {
            let owner = Owner { address: hub.address, epoch: *epoch };
            gateway.shards.update_remote_owner(*shard, owner);
        }
    }
    let mut directory = gateway.directory.borrow_mut();
    directory.update_evacuations(now, state.evacuated.as_of, state.evacuated.domains.clone());
    let mut suspects = gateway.suspects.borrow_mut();
    state.suspects.iter().for_each(|(request, crashes)| suspects.merge(now, *request, *crashes));
}

/// Moves to the hub that this leaf prefers among those that reach the store.
fn rebalance(gateway: &Gateway, state: &HubState) {
    let reach_store = state.hubs.iter().filter(|hub| !hub.leaving && !hub.store_unreachable);
    let reach_store: HashSet<_> = reach_store.map(|hub| hub.address).collect();
    let roster = gateway.roster.borrow();
    let live = roster.hubs().filter(|hub| reach_store.contains(&hub.address));
    let domain = &gateway.settings.topology.domain;
    let mut attachment = gateway.leaf.attachment.borrow_mut();
    attachment.rebalance(gateway.now(), gateway.name_hash(), domain, live);
}

/// Whether a hub can't reach the store while others can: it confirms no configuration.
fn is_better_attached_elsewhere(state: &HubState, hub: SocketAddr) -> bool {
    let is_cut_off = |row: &HubRow| row.address == hub && row.store_unreachable;
    let reaches_store = |row: &HubRow| !row.store_unreachable && !row.leaving;
    state.hubs.iter().any(is_cut_off) && state.hubs.iter().any(reaches_store)
}

fn is_short_of_hubs(gateway: &Gateway, state: &HubState) -> bool {
    let roster = gateway.roster.borrow();
    let domain = &gateway.settings.topology.domain;
    let live: Vec<_> = state.hubs.iter().filter(|hub| !hub.leaving).map(|h| h.address).collect();
    let live_here = roster.hubs_in(domain, &live);
    Recruitment::is_short(live_here, gateway.hub_limit().per_domain, roster.entries_in(domain))
}

/// Makes this leaf a hub if too few are left, unless it is shutting down.
fn check_recruitment(gateway: &Gateway) {
    if gateway.draining.get() {
        return;
    }
    let now = gateway.now();
    let leaf = &gateway.leaf;
    let are_all_gone = leaf.attachment.borrow().unanswered_ms(now) >= ALL_HUBS_SILENT_MS;
    let is_short = are_all_gone || leaf.is_short_of_hubs.get();
    let position = match is_short {
        true => gateway.roster.borrow().rank(&gateway.own_record(false)),
        false => 0,
    };
    let position = position.saturating_sub(gateway.hub_limit().per_domain);
    if leaf.recruitment.borrow_mut().is_due(now, is_short, position) {
        log::info!(are_all_gone; "too few hubs in the failure domain; becoming one");
        gateway.hub_wanted.set(true);
        gateway.roster_due.notify_one();
    }
}
