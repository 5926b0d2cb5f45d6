use std::collections::{HashMap, HashSet, VecDeque};

use crate::prelude::*;
use crate::programs::{AttemptFrame, TurnResult};

/// What is known about an attempt that is neither queued nor running.
#[value]
pub enum FinishedLookup {
    /// It ended, with this final frame.
    Ended(AttemptFrame),
    /// It may have run here: its result may be among those dropped to bound memory.
    Forgotten,
    /// It has never been submitted.
    NeverSeen,
}

/// The results of recent attempts, within bounded memory.
///
/// When results are dropped, the highest dropped attempt of each shard is kept. Without it, an
/// attempt whose result was dropped would look as if it had never been submitted, and would run
/// twice.
pub struct FinishedAttempts {
    max_bytes: usize,
    bytes: usize,
    results: HashMap<AttemptId, AttemptFrame>,
    insertion_order: VecDeque<AttemptId>,
    highest_dropped: HashMap<ShardId, AttemptId>,
    denied: HashSet<AttemptId>,
}

/// Approximate memory for one stored result, apart from its text.
const RESULT_OVERHEAD_BYTES: usize = 160;
/// Maximum number of denied attempts kept; when it is reached, all are forgotten. The query to
/// which an owner gets the answer "never seen" also fences the shard's earlier owners, so old
/// denials protect against nothing that the fence does not.
const MAX_DENIED: usize = 65_536;

impl FinishedAttempts {
    /// Creates a store that keeps results up to about `max_bytes`.
    pub fn new(max_bytes: usize) -> FinishedAttempts {
        FinishedAttempts {
            max_bytes,
            bytes: 0,
            results: HashMap::new(),
            insertion_order: VecDeque::new(),
            highest_dropped: HashMap::new(),
            denied: HashSet::new(),
        }
    }

    /// Stores the final frame of an attempt and drops the oldest results if memory is exceeded.
    pub fn insert_result(&mut self, attempt: AttemptId, frame: AttemptFrame) {
        self.bytes += frame_bytes(&frame);
        if self.results.insert(attempt, frame).is_none() {
            self.insertion_order.push_back(attempt);
        }
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.insertion_order.pop_front() else {
                break;
            };
            self.drop_result(oldest);
        }
    }

    fn drop_result(&mut self, attempt: AttemptId) {
        if let Some(frame) = self.results.remove(&attempt) {
            self.bytes -= frame_bytes(&frame);
        }
        let highest = self.highest_dropped.entry(attempt.shard).or_insert(attempt);
        *highest = attempt.max(*highest);
    }

    /// What is known about an attempt.
    pub fn lookup(&self, attempt: AttemptId) -> FinishedLookup {
        if let Some(frame) = self.results.get(&attempt) {
            return FinishedLookup::Ended(frame.clone());
        }
        match self.highest_dropped.get(&attempt.shard) {
            Some(highest) if attempt <= *highest => FinishedLookup::Forgotten,
            _ => FinishedLookup::NeverSeen,
        }
    }

    /// Marks an attempt so that it is rejected if it is submitted later.
    pub fn deny(&mut self, attempt: AttemptId) {
        if self.denied.len() >= MAX_DENIED {
            self.denied.clear();
        }
        self.denied.insert(attempt);
    }

    /// Whether an attempt must be rejected if it is submitted.
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
    text + RESULT_OVERHEAD_BYTES
}
