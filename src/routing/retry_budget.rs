use std::collections::HashMap;

use crate::prelude::*;

/// Part of a retry that a successful attempt earns, in thousandths.
const EARNED_PER_SUCCESS_MILLI: u64 = 100;
/// Cost of one retry, in thousandths.
const COST_MILLI: u64 = 1_000;
/// Retries that a workspace starts with and can accumulate at most, in thousandths.
const MAX_SAVED_MILLI: u64 = 10_000;

/// Limits the retries of each workspace to an initial budget plus a tenth of its successful
/// attempts.
///
/// Without a limit, each call would be run several times when most attempts fail, and the load
/// added by the retries would keep the endpoints from recovering.
#[derive(Default)]
pub struct RetryBudget {
    spent_milli: HashMap<WorkspaceId, u64>,
}

impl RetryBudget {
    /// Counts a successful attempt.
    pub fn record_success(&mut self, workspace: &WorkspaceId) {
        if let Some(spent) = self.spent_milli.get_mut(workspace) {
            *spent = spent.saturating_sub(EARNED_PER_SUCCESS_MILLI);
            if *spent == 0 {
                self.spent_milli.remove(workspace);
            }
        }
    }

    /// Takes one retry from the workspace's budget; returns false if none is left.
    pub fn try_acquire(&mut self, workspace: &WorkspaceId) -> bool {
        let spent = self.spent_milli.entry(workspace.clone()).or_default();
        let is_available = *spent + COST_MILLI <= MAX_SAVED_MILLI;
        if is_available {
            *spent += COST_MILLI;
        }
        is_available
    }
}
