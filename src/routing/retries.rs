use std::collections::HashMap;

use crate::prelude::*;

/// Retries that a success earns, in thousandths.
const EARNED_MILLI: u64 = 100;
/// What one retry costs, in thousandths.
const COST_MILLI: u64 = 1_000;
/// What a workspace starts with and can save up, in thousandths.
const SAVED_MILLI: u64 = 10_000;

/// How many attempts of each workspace may be made again: a tenth of its successes.
///
/// When most attempts fail, each call would otherwise be run several times over, and the load that
/// the retries add keeps the endpoints from recovering.
#[derive(Default)]
pub struct RetryBudget {
    spent_milli: HashMap<WorkspaceId, u64>,
}

impl RetryBudget {
    /// Counts an attempt that succeeded.
    pub fn record_success(&mut self, workspace: &WorkspaceId) {
        if let Some(spent) = self.spent_milli.get_mut(workspace) {
            *spent = spent.saturating_sub(EARNED_MILLI);
            if *spent == 0 {
                self.spent_milli.remove(workspace);
            }
        }
    }

    /// Takes one retry, if the workspace has one left.
    pub fn try_acquire(&mut self, workspace: &WorkspaceId) -> bool {
        let spent = self.spent_milli.entry(workspace.clone()).or_default();
        let has_one = *spent + COST_MILLI <= SAVED_MILLI;
        if has_one {
            *spent += COST_MILLI;
        }
        has_one
    }
}
