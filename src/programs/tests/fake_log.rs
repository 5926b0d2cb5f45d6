use crate::prelude::*;
use crate::programs::{AppendedAt, ReadPage, Record, ShardState, StoredRecord};

/// One stream of a log, in memory.
#[derive(Default)]
pub struct FakeLog {
    pub records: Vec<StoredRecord<Record>>,
    pub earliest: u64,
    pub out: bool,
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

    /// What the whole stream says.
    pub fn shard_state(&self) -> ShardState {
        ShardState::from_records(Offset(self.earliest.max(1)), &self.records)
    }

    pub fn read(&self, from: Option<Offset>, limit: usize) -> ReadPage {
        let from = from.unwrap_or(Offset(0));
        let rest = self.records.iter().filter(|stored| stored.offset >= from);
        let records: Vec<StoredRecord<Record>> = rest.take(limit).cloned().collect();
        let at_end = records.last().is_none_or(|last| last.offset.0 + 1 >= self.end());
        ReadPage { earliest: Offset(self.earliest.max(1)), records, at_end }
    }

    /// Drops records older than `before`.
    pub fn expire(&mut self, before: u64) {
        let kept = self.records.iter().position(|stored| stored.time_ms.0 >= before);
        let dropped = kept.unwrap_or(self.records.len());
        self.records.drain(..dropped);
        self.earliest = self.earliest.max(1) + dropped as u64;
    }
}
