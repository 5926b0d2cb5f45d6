use std::time::Duration;

use crate::contracts::{Book, ConfigRecord};
use crate::entry::state::Entry;
use crate::logstore::Page;
use crate::prelude::*;

/// The stream that operators publish to.
pub const CONFIG_STREAM: &str = "config";
/// How long a read waits for something new.
const READ_WAIT: Duration = Duration::from_millis(500);
const RETRY: Duration = Duration::from_millis(250);

/// How far the configuration in force is confirmed.
#[value]
#[derive(Copy, Default)]
pub(super) struct Freshness {
    /// When the end of the stream was last read, and so this book known to be the newest.
    pub confirmed: Option<TimeMs>,
}

/// Keeps the book level with the log. Never returns.
pub(super) async fn follow(entry: Arc<Entry>) {
    loop {
        let from = entry.current_book().through().plus(1);
        let asked = entry.clock.now();
        match entry.log.read::<ConfigRecord>(CONFIG_STREAM, from, READ_WAIT).await {
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
        entry.freshness.lock().expect("no holder panics").confirmed = Some(asked);
    }
    if book.through() > entry.current_book().through() {
        log::info!(through = book.through().0; "configuration in force");
        entry.book.send_replace(Arc::new(book));
    }
}

impl Entry {
    /// Whether the configuration is known to be the newest, or lately was.
    pub fn config_is_fresh(&self) -> bool {
        self.config_age_ms().is_some_and(|age_ms| age_ms <= self.settings.config_stale_ms)
    }

    /// How long ago the configuration was known to be the newest.
    pub fn config_age_ms(&self) -> Option<u64> {
        let confirmed = self.freshness.lock().expect("no holder panics").confirmed?;
        Some(self.clock.now().since(confirmed))
    }
}
