use std::collections::HashMap;

use crate::prelude::*;
use crate::programs::{AttemptFrame, FailureCause};

/// Maximum number of calls that are remembered; beyond it, all are forgotten.
const MAX_CRASH_SUSPECTS: usize = 10_000;

/// Identifies a call: its workspace, and the digest of its content.
pub(super) type CallKey = (WorkspaceId, Digest);

/// A call that was running when the engine crashed.
#[derive(Debug, Clone, Copy)]
struct CrashSuspect {
    /// The engine's run that ended.
    run: u64,
    /// Whether the call was running alone, so that it must have caused the crash.
    alone: bool,
}

/// The calls that were running when the engine crashed. The same call may be queued for other
/// callers, or be submitted later, and would crash the engine again before the owners have notified
/// each other.
#[derive(Debug, Default)]
pub(super) struct CrashSuspects {
    calls: HashMap<CallKey, CrashSuspect>,
}

impl CrashSuspects {
    /// The engine's run that ended while this call was running, if there was one.
    pub(super) fn run_ended_by(&self, call: &CallKey) -> Option<u64> {
        self.calls.get(call).map(|suspect| suspect.run)
    }

    /// The engine's run to report as ended by this call, if the call must not run again. A call that
    /// is only suspected may still run alone.
    pub(super) fn run_to_report(&self, call: &CallKey, runs_alone: bool) -> Option<u64> {
        let suspect = self.calls.get(call)?;
        (suspect.alone || !runs_alone).then_some(suspect.run)
    }

    /// Records the end of a call. One that completes while running alone is cleared.
    pub(super) fn update(&mut self, call: CallKey, alone: bool, final_frame: &AttemptFrame) {
        match final_frame {
            AttemptFrame::Failed { cause: FailureCause::Crashed { run }, .. } => {
                if self.calls.len() >= MAX_CRASH_SUSPECTS {
                    self.calls.clear();
                }
                let known_alone = self.calls.get(&call).is_some_and(|known| known.alone);
                self.calls.insert(call, CrashSuspect { run: *run, alone: alone || known_alone });
            }
            AttemptFrame::Done { .. } if alone => {
                self.calls.remove(&call);
            }
            _ => {}
        }
    }
}
