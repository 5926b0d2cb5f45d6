use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use crate::prelude::*;
use crate::quota::Grant;

/// How long a grant can be refunded, and a repeated question gets the same answer: longer than any
/// request waits.
const RETENTION_MS: u64 = 15_000;

/// Identifies the question of another entry.
#[key]
pub struct AskedQuestion {
    /// The entry that asks.
    pub asking: SocketAddr,
    /// Its number for the question, also unique between its process instances.
    pub number: u64,
}

/// The questions of other entries that a hub has answered with a grant. One that got no answer asks
/// again, and one request must not be counted twice.
#[derive(Debug, Default)]
pub struct GrantedQuestions {
    /// The workspace and the grant; no grant once it was refunded.
    granted: HashMap<AskedQuestion, (u64, Option<Grant>)>,
    by_age: VecDeque<(TimeMs, AskedQuestion)>,
}

impl GrantedQuestions {
    /// Whether the question was answered with a grant.
    pub fn contains(&self, question: AskedQuestion) -> bool {
        self.granted.contains_key(&question)
    }

    /// Records that the question was answered with a grant for a workspace.
    pub fn record(&mut self, now: TimeMs, question: AskedQuestion, workspace: u64, grant: Grant) {
        self.expire(now);
        self.granted.insert(question, (workspace, Some(grant)));
        self.by_age.push_back((now, question));
    }

    /// Takes a grant that is refunded, with its workspace, if there is one that was not refunded
    /// yet.
    pub fn take(&mut self, question: AskedQuestion) -> Option<(u64, Grant)> {
        let (workspace, grant) = self.granted.get_mut(&question)?;
        grant.take().map(|grant| (*workspace, grant))
    }

    fn expire(&mut self, now: TimeMs) {
        while let Some((at, question)) = self.by_age.front().copied()
            && now.since(at) >= RETENTION_MS
        {
            self.by_age.pop_front();
            self.granted.remove(&question);
        }
    }
}
