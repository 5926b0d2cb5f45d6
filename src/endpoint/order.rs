use std::collections::HashMap;

use crate::prelude::*;

/// The order in which queued attempts are started. `Fifo` and `FairShare` are baselines, kept for
/// comparison.
#[value]
#[derive(Copy)]
pub enum OrderPolicy {
    /// First come, first served.
    Fifo,
    /// The workspace that has received the least service first; first come, first served within it.
    FairShare,
    /// The workspace that has received the least service first; within it, the program that has
    /// used the fewest tokens.
    FairThenAttained,
}

/// The properties of a queued attempt that decide its place in the order.
#[value]
pub struct SchedulingKey {
    /// Workspace of the attempt's program.
    pub workspace: WorkspaceId,
    /// When the attempt was queued.
    pub queued_at: TimeMs,
    /// Tokens that the attempt's program has used so far.
    pub attained_tokens: u64,
    /// Estimated cost of the attempt, in tokens.
    pub cost_tokens: u64,
}

/// After an attempt has waited this long, the queue is served first come, first served, whatever
/// the policy. Otherwise a steady flow of short programs would starve a long one.
const MAX_WAIT_MS: u64 = 5_000;

/// Decides which queued attempt starts next.
pub struct QueueOrder {
    policy: OrderPolicy,
    /// Tokens of service that each workspace has received, on a common scale. Workspaces at or
    /// below `level` are left out.
    served: HashMap<WorkspaceId, u64>,
    /// The highest service that a workspace had when one of its attempts started; workspaces that
    /// were idle start from here.
    level: u64,
}

impl QueueOrder {
    /// Creates an order that follows `policy`.
    pub fn new(policy: OrderPolicy) -> QueueOrder {
        QueueOrder { policy, served: HashMap::new(), level: 0 }
    }

    /// Index of the attempt in `queued` to start next; `None` if `queued` is empty.
    pub fn next(&self, now: TimeMs, queued: &[SchedulingKey]) -> Option<usize> {
        let indexed = queued.iter().enumerate();
        let first = |key: &dyn Fn(&SchedulingKey) -> (u64, u64, TimeMs)| {
            indexed.clone().min_by_key(|(_, q)| key(q)).map(|(index, _)| index)
        };
        let overdue = queued.iter().any(|q| now.since(q.queued_at) >= MAX_WAIT_MS);
        match self.policy {
            OrderPolicy::Fifo => first(&|q| (0, 0, q.queued_at)),
            _ if overdue => first(&|q| (0, 0, q.queued_at)),
            OrderPolicy::FairShare => first(&|q| (self.service_of(q), 0, q.queued_at)),
            OrderPolicy::FairThenAttained => {
                first(&|q| (self.service_of(q), q.attained_tokens, q.queued_at))
            }
        }
    }

    /// Adds the cost of an attempt that starts to the service of its workspace.
    pub fn record_start(&mut self, attempt: &SchedulingKey) {
        let service = self.service_of(attempt);
        self.level = self.level.max(service);
        self.served.insert(attempt.workspace.clone(), service + attempt.cost_tokens.max(1));
        let level = self.level;
        self.served.retain(|_, service| *service > level);
    }

    /// The service that the attempt's workspace has received. A workspace that was idle starts at
    /// `level`, so it can't save up service that it did not use.
    fn service_of(&self, attempt: &SchedulingKey) -> u64 {
        self.served.get(&attempt.workspace).copied().unwrap_or(0).max(self.level)
    }
}
