use std::collections::VecDeque;

use crate::prelude::*;

/// How long counts are remembered: the greatest age of a report, and the age of its values.
const RETENTION_MS: u64 = 1_700;

/// Changes within this time share one entry, which bounds the memory at any request rate.
const RESOLUTION_MS: u64 = 20;

/// The counts between a change and the next entry.
#[value]
#[derive(Copy)]
struct Counts {
    since: TimeMs,
    low: u32,
    high: u32,
}

/// The recent values of a count that changes over time.
#[value]
pub(super) struct CountHistory {
    entries: VecDeque<Counts>,
}

impl CountHistory {
    /// The history of a count that is `count` at the start.
    pub(super) fn start(now: TimeMs, count: u32) -> CountHistory {
        CountHistory { entries: [Counts { since: now, low: count, high: count }].into() }
    }

    /// Records that the count has changed.
    pub(super) fn record(&mut self, now: TimeMs, count: u32) {
        match self.entries.back_mut() {
            Some(last) if now.since(last.since) < RESOLUTION_MS => {
                last.low = last.low.min(count);
                last.high = last.high.max(count);
            }
            _ => self.entries.push_back(Counts { since: now, low: count, high: count }),
        }
        while self.entries.get(1).is_some_and(|second| now.since(second.since) > RETENTION_MS) {
            self.entries.pop_front();
        }
    }

    /// The lowest and the highest count between two times; `None` if the history starts later.
    pub(super) fn range(&self, from: TimeMs, to: TimeMs) -> Option<(u32, u32)> {
        let before = self.entries.iter().rposition(|entry| entry.since <= from)?;
        let within = self.entries.iter().skip(before).take_while(|entry| entry.since <= to);
        within.fold(None, |range, entry| {
            let (low, high) = range.unwrap_or((entry.low, entry.high));
            Some((low.min(entry.low), high.max(entry.high)))
        })
    }
}
