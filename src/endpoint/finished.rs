use std::collections::{HashMap, HashSet, VecDeque};

use crate::prelude::*;
use crate::programs::{AttemptFrame, TurnResult};

/// What is known of an attempt that neither waits nor runs.
#[value]
pub enum Recall {
    /// How it ended.
    Over(AttemptFrame),
    /// It may have ended, but that was dropped to bound memory.
    Forgotten,
    /// It never came.
    NeverSeen,
}

/// The ends of recent attempts, within bounded memory.
///
/// What is dropped is remembered by the highest number dropped for each shard. Without it, an
/// attempt that ran and was forgotten would look as if it had never come, and would run twice.
pub struct Finished {
    max_bytes: usize,
    bytes: usize,
    ends: HashMap<AttemptId, AttemptFrame>,
    order: VecDeque<AttemptId>,
    dropped: HashMap<ShardId, AttemptId>,
    denied: HashSet<AttemptId>,
}

/// What an entry costs beside its text.
const ENTRY_BYTES: usize = 160;
/// Denials kept. An owner that was told "never seen" fences its predecessors by the same
/// question, so that old denials protect nothing that the fence does not.
const MAX_DENIED: usize = 65_536;

impl Finished {
    /// A memory of about `max_bytes`.
    pub fn new(max_bytes: usize) -> Finished {
        Finished {
            max_bytes,
            bytes: 0,
            ends: HashMap::new(),
            order: VecDeque::new(),
            dropped: HashMap::new(),
            denied: HashSet::new(),
        }
    }

    /// Remembers how an attempt ended.
    pub fn remember(&mut self, attempt: AttemptId, end: AttemptFrame) {
        self.bytes += frame_bytes(&end);
        if self.ends.insert(attempt, end).is_none() {
            self.order.push_back(attempt);
        }
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.drop_end(oldest);
        }
    }

    fn drop_end(&mut self, attempt: AttemptId) {
        if let Some(end) = self.ends.remove(&attempt) {
            self.bytes -= frame_bytes(&end);
        }
        let highest = self.dropped.entry(attempt.shard).or_insert(attempt);
        *highest = attempt.max(*highest);
    }

    /// What is known of an attempt.
    pub fn recall(&self, attempt: AttemptId) -> Recall {
        if let Some(end) = self.ends.get(&attempt) {
            return Recall::Over(end.clone());
        }
        match self.dropped.get(&attempt.shard) {
            Some(highest) if attempt <= *highest => Recall::Forgotten,
            _ => Recall::NeverSeen,
        }
    }

    /// Makes sure that an attempt which never came will not run if it comes yet.
    pub fn deny(&mut self, attempt: AttemptId) {
        if self.denied.len() >= MAX_DENIED {
            self.denied.clear();
        }
        self.denied.insert(attempt);
    }

    /// Whether an attempt was denied.
    pub fn is_denied(&self, attempt: AttemptId) -> bool {
        self.denied.contains(&attempt)
    }
}

fn frame_bytes(frame: &AttemptFrame) -> usize {
    let text = match frame {
        AttemptFrame::Delta { text } => text.len(),
        AttemptFrame::Done { result: TurnResult::Answered { text, .. } } => text.len(),
        AttemptFrame::Done { result: TurnResult::Served { body, .. } } => body.len(),
        AttemptFrame::Done { result: TurnResult::Unknown } | AttemptFrame::Failed { .. } => 0,
    };
    text + ENTRY_BYTES
}
