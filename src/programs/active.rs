use crate::prelude::*;
use crate::programs::{CallId, IntentRecord, TurnRequest};

/// Where an active turn stands.
#[value]
#[derive(Copy)]
pub enum Phase {
    /// Its intent is on the way to the log; nothing was dispatched.
    RecordingIntent,
    /// An attempt was dispatched.
    Running,
    /// The attempt's outcome is not known; the process beside the endpoint is being asked.
    AwaitingReport {
        /// When to ask again.
        next_query_at: TimeMs,
        /// How often nobody answered.
        unanswered: u32,
    },
    /// The last attempt failed; another may start at this time.
    BackingOff {
        /// When.
        until: TimeMs,
    },
    /// The result is on the way to the log.
    RecordingOutcome,
}

/// A caller waiting for a turn.
#[value]
#[derive(Copy)]
pub struct Waiter {
    /// The caller.
    pub call: CallId,
    /// When it stops waiting.
    pub deadline: TimeMs,
}

/// A turn that is not recorded as done yet.
#[value]
pub struct ActiveTurn {
    /// Its number.
    pub turn: TurnNo,
    /// Digest of the call.
    pub digest: Digest,
    /// The call; `None` if an earlier owner dispatched it and no caller has come back yet.
    pub request: Option<TurnRequest>,
    /// The newest attempt.
    pub attempt: AttemptId,
    /// Where that attempt goes.
    pub endpoint: EndpointRef,
    /// Whether it may run again after an unknown outcome.
    pub idempotent: bool,
    /// Tokens that the attempt has reserved.
    pub reserve_tokens: u64,
    /// The caller's key for repeats of the call.
    pub idempotency_key: Option<Arc<str>>,
    /// Tokens that failed attempts are known to have generated.
    pub generated_tokens: u64,
    /// Callers to answer.
    pub waiters: Vec<Waiter>,
    /// Text streamed so far, over all attempts: a later attempt goes on from its end.
    pub text: String,
    /// Attempts dispatched so far.
    pub attempts: u32,
    /// Whether the newest attempt runs alone.
    pub alone: bool,
    /// Where it stands.
    pub phase: Phase,
}

impl ActiveTurn {
    /// A turn that an earlier owner left open, to be asked about.
    pub fn from_open_intent(open: &IntentRecord, now: TimeMs) -> ActiveTurn {
        ActiveTurn {
            turn: open.turn,
            digest: open.digest,
            request: None,
            attempt: open.attempt,
            endpoint: open.endpoint.clone(),
            idempotent: open.idempotent,
            reserve_tokens: open.reserve_tokens,
            idempotency_key: open.idempotency_key.clone(),
            generated_tokens: 0,
            waiters: Vec::new(),
            text: String::new(),
            attempts: 1,
            alone: false,
            phase: Phase::AwaitingReport { next_query_at: now, unanswered: 0 },
        }
    }

    /// The latest time at which a caller still waits.
    pub fn deadline(&self) -> Option<TimeMs> {
        self.waiters.iter().map(|waiter| waiter.deadline).max()
    }
}
