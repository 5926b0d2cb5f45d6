use crate::prelude::*;
use crate::programs::{CallId, IntentRecord, TurnRequest};

/// Phase of a turn in flight.
#[value]
#[derive(Copy)]
pub enum Phase {
    /// The attempt's intent is being appended to the log; the attempt is not dispatched yet.
    RecordingIntent,
    /// An attempt was dispatched and its frames are awaited.
    Running,
    /// The attempt's outcome is not known to the owner, which queries the endpoint process for a
    /// report.
    AwaitingReport {
        /// Time of the next query.
        next_query_at: TimeMs,
        /// Number of consecutive queries without an answer.
        unanswered: u32,
    },
    /// The last attempt failed; the next one waits for its backoff.
    BackingOff {
        /// Earliest time of the next attempt.
        until: TimeMs,
    },
    /// The turn's outcome is being appended to the log.
    RecordingOutcome,
}

/// A caller that waits for a turn.
#[value]
#[derive(Copy)]
pub struct Waiter {
    /// The caller.
    pub call: CallId,
    /// Time at which the caller stops waiting.
    pub deadline: TimeMs,
}

/// A turn in flight: requested, but its outcome is not recorded yet.
#[value]
pub struct ActiveTurn {
    /// The turn's number.
    pub turn: TurnNo,
    /// Digest of the requested work.
    pub digest: Digest,
    /// The request; `None` if an earlier owner dispatched the turn and no caller has repeated the
    /// request since.
    pub request: Option<TurnRequest>,
    /// The latest attempt.
    pub attempt: AttemptId,
    /// Target of that attempt.
    pub endpoint: EndpointRef,
    /// Whether the call may be run again if its outcome is unknown.
    pub idempotent: bool,
    /// Tokens reserved by the latest attempt.
    pub reserve_tokens: u64,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Tokens that failed attempts reported as generated.
    pub generated_tokens: u64,
    /// Callers to answer.
    pub waiters: Vec<Waiter>,
    /// Text streamed so far by all attempts; a later attempt resumes at its end.
    pub text: String,
    /// Number of attempts dispatched so far.
    pub attempts: u32,
    /// Whether the latest attempt runs alone on its endpoint, because the call is suspected of
    /// crashing engines.
    pub alone: bool,
    /// The turn's current phase.
    pub phase: Phase,
}

impl ActiveTurn {
    /// A turn whose intent an earlier owner recorded without an outcome. The endpoint process has
    /// to be queried for what became of it.
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

    /// The latest deadline of the waiting callers.
    pub fn deadline(&self) -> Option<TimeMs> {
        self.waiters.iter().map(|waiter| waiter.deadline).max()
    }
}
