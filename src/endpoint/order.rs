use std::collections::HashMap;

use crate::prelude::*;

/// In which order waiting attempts are started. The baselines stay for comparison.
#[value]
#[derive(Copy)]
pub enum OrderPolicy {
    /// First come, first served.
    Fifo,
    /// The workspace that has had the least service first; within it, first come.
    FairShare,
    /// The workspace that has had the least service first; within it, the program that has used
    /// the least.
    FairThenAttained,
}

/// An attempt that waits, as far as its order goes.
#[value]
pub struct SchedulingKey {
    /// Its workspace.
    pub workspace: WorkspaceId,
    /// When it came.
    pub since: TimeMs,
    /// Tokens that its program has used.
    pub attained_tokens: u64,
    /// What it will cost, in tokens, at a guess.
    pub cost_tokens: u64,
}

/// Waiting for so long puts an attempt before every rule of fairness: short programs that keep
/// coming would otherwise starve a long one.
const MAX_WAIT_MS: u64 = 5_000;

/// Decides the order of service.
pub struct QueueOrder {
    policy: OrderPolicy,
    /// Service that each workspace has had, in tokens, from a common start.
    served: HashMap<WorkspaceId, u64>,
    /// Service of the workspace whose attempt started last, before it: where idle ones start.
    level: u64,
}

impl QueueOrder {
    /// An order by this policy.
    pub fn new(policy: OrderPolicy) -> QueueOrder {
        QueueOrder { policy, served: HashMap::new(), level: 0 }
    }

    /// The index of the attempt to start next.
    pub fn next(&self, now: TimeMs, waiting: &[SchedulingKey]) -> Option<usize> {
        let indexed = waiting.iter().enumerate();
        let first = |key: &dyn Fn(&SchedulingKey) -> (u64, u64, TimeMs)| {
            indexed.clone().min_by_key(|(_, w)| key(w)).map(|(index, _)| index)
        };
        let overdue = waiting.iter().any(|w| now.since(w.since) >= MAX_WAIT_MS);
        match self.policy {
            OrderPolicy::Fifo => first(&|w| (0, 0, w.since)),
            _ if overdue => first(&|w| (0, 0, w.since)),
            OrderPolicy::FairShare => first(&|w| (self.service_of(w), 0, w.since)),
            OrderPolicy::FairThenAttained => {
                first(&|w| (self.service_of(w), w.attained_tokens, w.since))
            }
        }
    }

    /// Counts an attempt that starts.
    pub fn started(&mut self, attempt: &SchedulingKey) {
        let service = self.service_of(attempt);
        self.level = self.level.max(service);
        self.served.insert(attempt.workspace.clone(), service + attempt.cost_tokens.max(1));
        let level = self.level;
        self.served.retain(|_, service| *service > level);
    }

    /// A workspace that was idle starts level with the others: unused service is not saved up.
    fn service_of(&self, attempt: &SchedulingKey) -> u64 {
        self.served.get(&attempt.workspace).copied().unwrap_or(0).max(self.level)
    }
}
