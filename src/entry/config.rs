use std::time::Duration;

use crate::contracts::{ConfigRecord, ConfigSnapshot, ConfigState};
use crate::entry::freshness::{Freshness, PeerConfig, evaluate_freshness};
use crate::entry::peers::CONFIG_PATH;
use crate::entry::state::Entry;
use crate::logstore::Page;
use crate::membership::RoleStatus;
use crate::prelude::*;

/// The log stream that holds the configuration. Operators publish changes to it; entries append
/// the crashes that they observed, and snapshots.
pub const CONFIG_STREAM: &str = "config";
/// Upper bound for the time that a read waits for new records.
const MAX_READ_WAIT_MS: u64 = 500;
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// How recent the configuration in force is known to be, and whether a snapshot is due.
#[value]
#[derive(Copy, Default)]
pub(super) struct ConfigStreamStatus {
    /// When the newest read was sent that reached the end of the stream, which showed that this
    /// configuration was the newest.
    pub read_at: Option<TimeMs>,
    /// When the oldest record was appended that is not covered by a snapshot.
    pub uncovered_since: Option<UnixMs>,
}

/// Updates the age of the oldest record that is not covered by a snapshot.
fn update_uncovered_since(status: &mut ConfigStreamStatus, page: &Page<ConfigRecord>) {
    for stored in &page.records {
        match stored.data {
            ConfigRecord::Snapshot(_) => status.uncovered_since = None,
            _ => {
                status.uncovered_since.get_or_insert(stored.time_ms);
            }
        }
    }
}

/// Fetches the configuration from a peer while the log is unavailable, and appends a snapshot
/// before records expire. Never returns.
pub(super) async fn maintain(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(RETRY_INTERVAL).await;
        if let Freshness::FetchFrom(address) = entry.config_freshness() {
            let fetched =
                entry.http.get::<ConfigSnapshot>(address, CONFIG_PATH, FETCH_TIMEOUT).await;
            if let Ok(snapshot) = fetched {
                entry.replace_config_state(ConfigState::from(&snapshot));
            }
        }
        if entry.should_write_snapshot() {
            let record = ConfigRecord::Snapshot(entry.current_config_state().snapshot());
            if entry.log.append(CONFIG_STREAM, &[record]).await.is_ok() {
                entry.config_stream_status().uncovered_since = None;
            }
        }
    }
}

/// Follows the configuration stream and applies its records. Never returns.
///
/// A read confirms the configuration as of the time at which the read was sent. On an idle stream
/// a confirmation is therefore up to two waits old before the next one comes, so a wait is at most
/// a quarter of the time after which an unconfirmed configuration is stale.
pub(super) async fn follow_stream(entry: Arc<Entry>) {
    let wait_ms = MAX_READ_WAIT_MS.min(entry.settings.config_stale_ms / 4);
    let wait = Duration::from_millis(wait_ms);
    loop {
        let from = entry.current_config_state().through().plus(1);
        let sent_at = entry.clock.now();
        match entry.log.read::<ConfigRecord>(CONFIG_STREAM, from, wait).await {
            Ok(page) => {
                entry.record_log_result(true);
                apply_page(&entry, sent_at, from, &page);
            }
            Err(fault) => {
                entry.record_log_result(false);
                log::warn!(
                    fault:?;
                    "cannot read the configuration stream; retrying in {RETRY_INTERVAL:?}"
                );
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

fn apply_page(entry: &Entry, sent_at: TimeMs, from: Offset, page: &Page<ConfigRecord>) {
    let records = page.records.iter().map(|stored| (stored.offset, &stored.data));
    let config_state = match page.earliest > from {
        true => ConfigState::from_records(page.earliest, records),
        false => {
            let mut config_state = ConfigState::clone(&entry.current_config_state());
            records.for_each(|(offset, record)| {
                config_state.apply(offset, record);
            });
            Some(config_state)
        }
    };
    let Some(config_state) = config_state else {
        log::error!(
            earliest = page.earliest.0;
            "configuration records expired unread; keeping the configuration in force"
        );
        return;
    };
    if page.at_end() {
        // Records accepted after the read was sent may be missing from its result, so the
        // configuration counts as confirmed at that time, not at the time of the answer.
        entry.config_stream_status().read_at = Some(sent_at);
    }
    update_uncovered_since(&mut entry.config_stream_status(), page);
    entry.replace_config_state(config_state);
}

impl Entry {
    /// Replaces the configuration in force if the given one is newer.
    fn replace_config_state(&self, config_state: ConfigState) {
        let through = config_state.through();
        let is_newer = self.config_state.send_if_modified(|current| {
            let is_newer = through > current.through();
            if is_newer {
                *current = Arc::new(config_state);
            }
            is_newer
        });
        if is_newer {
            log::info!(through = through.0; "configuration in force");
        }
    }

    /// Whether this entry should append a snapshot: the oldest uncovered record has reached half
    /// the retention period, and this entry's VM name sorts before those of all live entries. If
    /// two entries both conclude so, there is one snapshot too many, which does no harm.
    fn should_write_snapshot(&self) -> bool {
        let Some(since) = self.config_stream_status().uncovered_since else {
            return false;
        };
        let due = self.clock.unix().since(since) >= self.settings.log_retention_ms / 2;
        due && self.peers().live_entries().all(|peer| peer.heartbeat.vm > *self.vm())
    }

    /// Whether the configuration in force is fresh enough to admit callers.
    pub fn config_is_fresh(&self) -> bool {
        self.config_freshness() == Freshness::Fresh
    }

    fn config_freshness(&self) -> Freshness {
        let local = (self.current_config_state().through(), self.config_age_ms());
        let now = self.clock.now();
        let peers = self.peers();
        let pause_detector = self.pause_detector();
        let entry_configs = peers.live_entries().filter_map(|peer| {
            let max_message_age_ms = pause_detector.max_age_ms(now, peer.heard_at)?;
            match &peer.heartbeat.role_status {
                RoleStatus::Entry { config, log_age_ms, .. } => Some(PeerConfig {
                    config: *config,
                    age_ms: log_age_ms.map(|age_ms| age_ms + max_message_age_ms),
                    address: peer.heartbeat.address,
                }),
                RoleStatus::Endpoint { .. } => None,
            }
        });
        let entry_configs: Vec<PeerConfig> = entry_configs.collect();
        evaluate_freshness(
            local,
            self.settings.config_stale_ms,
            &entry_configs,
            peers.listed_entries(),
        )
    }

    /// How long ago the configuration was last confirmed to be the newest; `None` if never.
    pub fn config_age_ms(&self) -> Option<u64> {
        let read_at = self.config_stream_status().read_at?;
        Some(self.clock.now().since(read_at))
    }
}
