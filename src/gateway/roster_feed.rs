//! Announces this entry in the store, follows the announcements of the others, and decides from them
//! whether this entry is a hub.

use std::rc::Rc;
use std::time::Duration;

use super::call_store::{NEXT_PART_PAUSE_MS, STORE_CALL_TIMEOUT_MS, call_store};
use super::state::Gateway;
use super::{Feed, PeerRecord, Position, StoreError};

/// Pause before a failed call is retried. The list matters only to an entry that starts, and more
/// frequent calls would add to the load of a store in trouble.
const RETRY_MS: u64 = 400;

/// Pause between two reads of the announcements. A new hub sends messages to all hubs that it reads
/// of; further reads only find hubs that announced themselves at the same moment.
const POLL_MS: u64 = 10_000;

/// How often a hub checks whether the surges that it has recorded have ended.
const SURGE_CHECK_MS: u64 = 2_000;

/// Pause after which an entry that has never run before reads the list again, until no other one
/// was added: when all start together, the first list is not complete.
const SETTLE_MS: u64 = 100;

/// The most reads until the list counts as complete.
const MAX_SETTLE_READS: usize = 20;

/// Announces this entry and follows the announcements of the others until the process ends.
pub(super) async fn announce_and_follow_roster(gateway: Rc<Gateway>) {
    let mut feed = RosterFeed {
        gateway: gateway.clone(),
        position: None,
        epoch: 0,
        sequence: gateway.first_sequence,
        failing: false,
    };
    feed.read_until_answered().await;
    feed.begin_epoch();
    let has_run_before = gateway.roster.borrow().contains(&gateway.settings.name);
    if !has_run_before {
        feed.announce(false).await;
        feed.read_until_complete().await;
    }
    let record = gateway.own_record(false);
    let is_elected = gateway.roster.borrow().is_elected(&record, gateway.hub_limit());
    match is_elected {
        true => feed.begin_hub().await,
        false => {
            feed.announce(false).await;
            gateway.become_leaf();
            gateway.leaf.attach_due.notify_one();
        }
    }
    log::info!(is_hub = gateway.is_hub(); "role among the entries decided");
    let mut read_at = gateway.now();
    loop {
        let is_due = tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(SURGE_CHECK_MS)) => false,
            () = gateway.roster_due.notified() => !gateway.rates.borrow().is_surge_record_due(),
        };
        if gateway.hub_wanted.take() && gateway.is_leaf() {
            feed.begin_hub().await;
        }
        feed.record_surges().await;
        if !is_due && gateway.now().since(read_at) < POLL_MS {
            continue;
        }
        read_at = gateway.now();
        if feed.read().await.is_ok() {
            feed.add_hubs_to_peers();
        }
    }
}

struct RosterFeed {
    gateway: Rc<Gateway>,
    position: Option<Position>,
    /// The epoch of this entry's announcements, and the number of the last one. By them the store
    /// executes an announcement whose answer was lost at most once, and not after a later one.
    epoch: u64,
    sequence: u64,
    failing: bool,
}

impl RosterFeed {
    /// Announces this entry as a hub, then reads which others there are, and makes it one. Of two
    /// hubs that begin together, the later announced one thus knows the other.
    async fn begin_hub(&mut self) {
        self.announce(true).await;
        self.read_until_answered().await;
        self.gateway.become_hub();
        self.add_hubs_to_peers();
    }

    /// Announces this hub again if it admits surges of other workspaces than it has announced.
    async fn record_surges(&mut self) {
        let surges = self.gateway.surges_to_record();
        if self.gateway.is_hub() && self.gateway.rates.borrow().has_other_surges_recorded(&surges) {
            log::info!(workspaces = surges.len(); "recording the workspaces that send a surge");
            self.announce(true).await;
        }
    }

    /// Announces this entry, until the store answers. A repeat keeps its number.
    async fn announce(&mut self, is_hub: bool) {
        self.sequence += 1;
        let mut record = PeerRecord { epoch: self.epoch, ..self.gateway.own_record(is_hub) };
        while let Err(fault) = self.try_announce(&record).await {
            self.log_failure(&fault);
            tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            if matches!(fault, StoreError::Fenced | StoreError::OutOfSequence { .. }) {
                self.read_until_answered().await;
                self.begin_epoch();
                record.epoch = self.epoch;
            }
        }
        self.gateway.rates.borrow_mut().confirm_surges(&record.surges);
    }

    async fn try_announce(&self, record: &PeerRecord) -> Result<(), StoreError> {
        let announced = self.gateway.store.announce(record, self.sequence);
        call_store(STORE_CALL_TIMEOUT_MS, announced).await
    }

    /// Begins an epoch of announcements, later than all that were read. One that an earlier process
    /// instance has begun without its announcement having been read is left after a rejection.
    fn begin_epoch(&mut self) {
        let announced = self.gateway.roster.borrow().epoch_of(&self.gateway.settings.name);
        self.epoch = self.epoch.max(announced) + 1;
    }

    /// Reads the announcements until the store answers.
    async fn read_until_answered(&mut self) -> bool {
        loop {
            match self.read().await {
                Ok(has_changed) => return has_changed,
                Err(_) => tokio::time::sleep(Duration::from_millis(RETRY_MS)).await,
            }
        }
    }

    async fn read_until_complete(&mut self) {
        for _ in 0..MAX_SETTLE_READS {
            if !self.read_until_answered().await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
        }
    }

    /// Reads all that was announced since the last read. Returns whether an entry was added.
    async fn read(&mut self) -> Result<bool, StoreError> {
        let mut has_changed = false;
        loop {
            let peers = self.gateway.store.peers(self.position);
            match call_store(STORE_CALL_TIMEOUT_MS, peers).await {
                Ok(feed) => {
                    has_changed |= self.apply(&feed);
                    if feed.reaches_end() {
                        return Ok(has_changed);
                    }
                    tokio::time::sleep(Duration::from_millis(NEXT_PART_PAUSE_MS)).await;
                }
                Err(StoreError::Expired) if self.position.take().is_some() => has_changed = true,
                Err(fault) => {
                    self.log_failure(&fault);
                    return Err(fault);
                }
            }
        }
    }

    /// Takes announcements over. Returns whether an entry was added.
    fn apply(&mut self, feed: &Feed<PeerRecord>) -> bool {
        self.failing = false;
        self.position = Some(feed.next);
        let mut roster = self.gateway.roster.borrow_mut();
        feed.items.iter().filter(|record| roster.upsert((*record).clone())).count() > 0
    }

    /// Adds the hubs to the entries that messages are sent to, if this entry is one.
    fn add_hubs_to_peers(&self) {
        if !self.gateway.is_hub() {
            return;
        }
        let (roster, now) = (self.gateway.roster.borrow(), self.gateway.now());
        let mut peers = self.gateway.peers.borrow_mut();
        let others = roster.hubs().filter(|hub| hub.address != self.gateway.settings.peers);
        others.for_each(|hub| peers.upsert(now, hub.clone()));
        drop(peers);
        self.gateway.gossip_due.notify_one();
    }

    fn log_failure(&mut self, fault: &StoreError) {
        if !std::mem::replace(&mut self.failing, true) {
            log::warn!(fault:display; "announcing this entry or reading the others failed; retrying");
        }
    }
}
