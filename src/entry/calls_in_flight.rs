//! The calls that are being served, and what each of them waits for.

use std::sync::{Mutex, MutexGuard};

use slotmap::{SlotMap, new_key_type};

use crate::prelude::*;

new_key_type! { struct CallKey; }

/// What a call waits for.
#[value]
#[derive(Copy)]
pub(super) enum Wait {
    /// Its admission by its workspace's rate.
    Rate,
    /// The rest of its body.
    Body,
    /// A reply of the entry that owns its program.
    Owner,
    /// Its caller, which has yet to read the response.
    Caller,
}

impl Wait {
    /// The name in logs.
    fn name(self) -> &'static str {
        match self {
            Wait::Rate => "rate",
            Wait::Body => "body",
            Wait::Owner => "owner",
            Wait::Caller => "caller",
        }
    }
}

struct Progress {
    /// Known once the headers are understood.
    program: Option<ProgramId>,
    turn: Option<TurnNo>,
    wait: Wait,
    arrived: TimeMs,
}

/// All calls that are being served.
#[derive(Default)]
pub(super) struct CallsInFlight(Mutex<SlotMap<CallKey, Progress>>);

impl CallsInFlight {
    /// Counts a call as in flight until the returned guard is dropped.
    pub fn begin(self: &Arc<Self>, arrived: TimeMs) -> CallInFlight {
        let progress = Progress { program: None, turn: None, wait: Wait::Rate, arrived };
        let key = self.lock().insert(progress);
        CallInFlight { calls: self.clone(), key }
    }

    /// Logs each call with `message` and what the call waits for.
    pub fn log_each(&self, now: TimeMs, message: &str) {
        for call in self.lock().values() {
            let program = call.program.as_ref().map(ToString::to_string).unwrap_or_default();
            log::warn!(
                program, turn = call.turn.map_or(0, |turn| turn.0), waits_for = call.wait.name(),
                age_ms = now.since(call.arrived);
                "{message}"
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<CallKey, Progress>> {
        self.0.lock().expect("lock poisoned: a holder panicked")
    }
}

/// A call that is being served.
pub(super) struct CallInFlight {
    calls: Arc<CallsInFlight>,
    key: CallKey,
}

impl CallInFlight {
    pub fn set_turn(&self, program: &ProgramId, turn: Option<TurnNo>) {
        if let Some(progress) = self.calls.lock().get_mut(self.key) {
            progress.program = Some(program.clone());
            progress.turn = turn;
        }
    }

    pub fn set_wait(&self, wait: Wait) {
        if let Some(progress) = self.calls.lock().get_mut(self.key) {
            progress.wait = wait;
        }
    }
}

impl Drop for CallInFlight {
    fn drop(&mut self) {
        self.calls.lock().remove(self.key);
    }
}
