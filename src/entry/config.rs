use std::time::Duration;

use crate::contracts::{Book, BookSnapshot, ConfigRecord};
use crate::entry::freshness::{Freshness, PeerConfig, judge};
use crate::entry::peers::CONFIG;
use crate::entry::state::Entry;
use crate::logstore::Page;
use crate::membership::RoleStatus;
use crate::prelude::*;

/// The stream that operators publish to.
pub const CONFIG_STREAM: &str = "config";
/// How long a read waits for something new, at most.
const MAX_READ_WAIT_MS: u64 = 500;
const RETRY: Duration = Duration::from_millis(250);
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// How far the configuration in force is confirmed.
#[value]
#[derive(Copy, Default)]
pub(super) struct Confirmation {
    /// When the end of the stream was last read, and so this book known to be the newest.
    pub read_at: Option<TimeMs>,
    /// When the log took the oldest record that no snapshot stands for.
    pub uncovered_since: Option<UnixMs>,
}

/// Takes note of how old the records are that no snapshot stands for.
fn note_covered(confirmation: &mut Confirmation, page: &Page<ConfigRecord>) {
    for stored in &page.records {
        match stored.data {
            ConfigRecord::Snapshot(_) => confirmation.uncovered_since = None,
            _ => {
                confirmation.uncovered_since.get_or_insert(stored.time_ms);
            }
        }
    }
}

/// While the log is out, takes what peers know; before records expire, writes a snapshot for
/// them. Never returns.
pub(super) async fn keep(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(RETRY).await;
        if let Freshness::Fetch(address) = entry.judge_config() {
            let fetched = entry.http.get::<BookSnapshot>(address, CONFIG, FETCH_TIMEOUT).await;
            if let Ok(snapshot) = fetched {
                entry.put_in_force(Book::from(&snapshot));
            }
        }
        if entry.owes_snapshot() {
            let record = ConfigRecord::Snapshot(entry.current_book().snapshot());
            if entry.log.append(CONFIG_STREAM, &[record]).await.is_ok() {
                entry.confirmation().uncovered_since = None;
            }
        }
    }
}

/// Keeps the book level with the log. Never returns.
///
/// A configuration is confirmed as of the question, so that two waits pass before an idle stream
/// confirms it anew: a wait must stay well below the time that it may go unconfirmed.
pub(super) async fn follow(entry: Arc<Entry>) {
    let wait_ms = MAX_READ_WAIT_MS.min(entry.settings.config_stale_ms / 4);
    let wait = Duration::from_millis(wait_ms);
    loop {
        let from = entry.current_book().through().plus(1);
        let asked = entry.clock.now();
        match entry.log.read::<ConfigRecord>(CONFIG_STREAM, from, wait).await {
            Ok(page) => {
                entry.note_log(true);
                take(&entry, asked, from, &page);
            }
            Err(fault) => {
                entry.note_log(false);
                log::warn!(fault:?; "the configuration could not be read");
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

fn take(entry: &Entry, asked: TimeMs, from: Offset, page: &Page<ConfigRecord>) {
    let records = page.records.iter().map(|stored| (stored.offset, &stored.data));
    let book = match page.earliest > from {
        true => Book::of_stream(page.earliest, records),
        false => {
            let mut book = Book::clone(&entry.current_book());
            records.for_each(|(offset, record)| {
                book.apply(offset, record);
            });
            Some(book)
        }
    };
    let Some(book) = book else {
        log::error!(earliest = page.earliest.0; "configuration records expired unread");
        return;
    };
    if page.at_end() {
        // What was accepted after the question may be missing: it is fresh as of the question.
        entry.confirmation().read_at = Some(asked);
    }
    note_covered(&mut entry.confirmation(), page);
    entry.put_in_force(book);
}

impl Entry {
    /// Puts a book in force, unless that would take the configuration back.
    fn put_in_force(&self, book: Book) {
        let through = book.through();
        let is_newer = self.book.send_if_modified(|current| {
            let is_newer = through > current.through();
            if is_newer {
                *current = Arc::new(book);
            }
            is_newer
        });
        if is_newer {
            log::info!(through = through.0; "configuration in force");
        }
    }

    /// Whether it is for this entry to write a snapshot: records are half-way to their end, and
    /// no other entry comes before it. Two that think so only write one too many.
    fn owes_snapshot(&self) -> bool {
        let Some(since) = self.confirmation().uncovered_since else {
            return false;
        };
        let due = self.clock.unix().since(since) >= self.settings.log_retention_ms / 2;
        due && self.peers().live_entries().all(|peer| peer.heartbeat.vm > *self.vm())
    }

    /// Whether callers may be let in by the configuration in force.
    pub fn config_is_fresh(&self) -> bool {
        self.judge_config() == Freshness::Fresh
    }

    fn judge_config(&self) -> Freshness {
        let own = (self.current_book().through(), self.config_age_ms());
        let now = self.clock.now();
        let peers = self.peers();
        let standstill = self.standstill();
        let entries = peers.live_entries().filter_map(|peer| {
            let said_ago_ms = standstill.age_ms(now, peer.heard_at)?;
            match &peer.heartbeat.role_status {
                RoleStatus::Entry { config, log_age_ms, .. } => Some(PeerConfig {
                    config: *config,
                    age_ms: log_age_ms.map(|age_ms| age_ms + said_ago_ms),
                    address: peer.heartbeat.address,
                }),
                RoleStatus::Endpoint { .. } => None,
            }
        });
        let entries: Vec<PeerConfig> = entries.collect();
        judge(own, self.settings.config_stale_ms, &entries, peers.listed_entries())
    }

    /// How long ago the configuration was known to be the newest.
    pub fn config_age_ms(&self) -> Option<u64> {
        let read_at = self.confirmation().read_at?;
        Some(self.clock.now().since(read_at))
    }
}
