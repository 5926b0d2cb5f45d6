use crate::prelude::*;
use crate::programs::{AppendedAt, ReadPage, Record, ShardState, StoredRecord};

/// One stream of the log, in memory.
#[derive(Default)]
pub struct FakeLog {
    pub records: Vec<StoredRecord<Record>>,
    pub earliest: u64,
    pub unavailable: bool,
    pub appends: usize,
}

impl FakeLog {
    pub fn append(&mut self, time: u64, batch: &[Record]) -> AppendedAt {
        let first = self.end();
        let time_ms = UnixMs(time);
        for (offset, data) in (first..).zip(batch.iter().cloned()) {
            self.records.push(StoredRecord { offset: Offset(offset), time_ms, data });
        }
        self.appends += 1;
        AppendedAt { first: Offset(first), time_ms }
    }

    fn end(&self) -> u64 {
        self.earliest.max(1) + self.records.len() as u64
    }

    /// The shard's state after replaying the whole stream.
    pub fn shard_state(&self) -> ShardState {
        ShardState::from_records(Offset(self.earliest.max(1)), &self.records)
    }

    pub fn read(&self, from: Option<Offset>, limit: usize) -> ReadPage {
        let from = from.unwrap_or(Offset(0));
        let later = self.records.iter().filter(|stored| stored.offset >= from);
        let records: Vec<StoredRecord<Record>> = later.take(limit).cloned().collect();
        let at_end = records.last().is_none_or(|last| last.offset.0 + 1 >= self.end());
        ReadPage { earliest: Offset(self.earliest.max(1)), records, at_end }
    }

    /// Removes records appended before `before`, as the log's retention does.
    pub fn expire(&mut self, before: u64) {
        let kept = self.records.iter().position(|stored| stored.time_ms.0 >= before);
        let dropped = kept.unwrap_or(self.records.len());
        self.records.drain(..dropped);
        self.earliest = self.earliest.max(1) + dropped as u64;
    }
}
