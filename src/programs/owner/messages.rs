use crate::prelude::*;
use crate::programs::{
    CallId, Message, Record, Refusal, Reply, StoredRecord, TurnRequest, TurnResult,
};

/// An input of [`ShardOwner::handle`](super::ShardOwner::handle).
#[value]
pub enum Event {
    /// Claim the shard.
    Claim,
    /// Release the shard once no turn is in flight.
    Release,
    /// Release the shard with its turns in flight, and refuse every waiting call.
    HandOver,
    /// Read the log to confirm that no other entry has claimed the shard.
    ConfirmOwnership,
    /// A caller requested a turn.
    Request {
        /// The caller.
        call: CallId,
        /// The requested turn.
        request: TurnRequest,
    },
    /// A caller asked to end a program.
    End {
        /// The caller.
        call: CallId,
        /// The program.
        program: ProgramId,
    },
    /// A caller disconnected. Its turn continues, so that a resend gets the result.
    CallerGone {
        /// The caller.
        call: CallId,
    },
    /// The append in flight completed or failed.
    Appended(Result<AppendedAt, LogCallError>),
    /// The read in flight completed or failed.
    Read(Result<ReadPage, LogCallError>),
    /// An attempt sent a frame.
    Frame {
        /// The attempt.
        attempt: AttemptId,
        /// The frame.
        frame: AttemptFrame,
    },
    /// The connection that streams an attempt's frames broke before the last one.
    ConnectionLost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The answer to [`Action::QueryAttempt`].
    Report {
        /// The attempt.
        attempt: AttemptId,
        /// What the endpoint process knows of it.
        report: AttemptReport,
    },
    /// The time requested with [`Action::Wake`] has elapsed.
    Wake,
    /// Periodic timer: checks deadlines, retries, backoffs and retention.
    Tick,
}

/// The log's acknowledgement of an appended batch.
#[value]
#[derive(Copy)]
pub struct AppendedAt {
    /// Offset of the batch's first record.
    pub first: Offset,
    /// When the log stored the batch, by the log's clock.
    pub time_ms: UnixMs,
}

/// Why an append or a read failed.
#[value]
#[derive(Copy)]
pub enum LogCallError {
    /// The request could not be sent, or the log answered that it does not accept it now.
    Unavailable,
    /// No answer arrived: the request may have taken effect, or may still do so later.
    NoAnswer,
}

/// One page of a shard's stream.
#[value]
pub struct ReadPage {
    /// The earliest offset that the log still retains.
    pub earliest: Offset,
    /// The records, in offset order.
    pub records: Vec<StoredRecord<Record>>,
    /// Whether the page reached the end of the stream.
    pub at_end: bool,
}

/// An output of [`ShardOwner::handle`](super::ShardOwner::handle), carried out by the caller.
#[value]
pub enum Action {
    /// Append these records as one batch. At most one append is in flight.
    Append(Vec<Record>),
    /// Send [`Event::Wake`] after a delay.
    Wake {
        /// The delay.
        in_ms: u64,
    },
    /// Read the stream from an offset; `None` reads from the earliest retained record.
    Read(Option<Offset>),
    /// Send an attempt to its endpoint process.
    Dispatch(Attempt),
    /// Query the endpoint process for the state of an attempt.
    QueryAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The endpoint process that it was dispatched to.
        endpoint: EndpointRef,
        /// The owner's epoch: the endpoint process rejects earlier owners from now on.
        epoch: Epoch,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The endpoint process that it was dispatched to.
        endpoint: EndpointRef,
    },
    /// Free the engine caches held for a program that has ended.
    FreeCache {
        /// The program.
        program: ProgramId,
    },
    /// Send a reply to a caller.
    Reply {
        /// The caller.
        call: CallId,
        /// The reply.
        reply: Reply,
    },
}

/// One attempt at a turn, as sent to the endpoint process.
#[wire]
pub struct Attempt {
    /// The attempt.
    pub id: AttemptId,
    /// The process instance it is meant for; any other rejects it.
    pub target: EndpointRef,
    /// The program.
    pub program: ProgramId,
    /// The turn.
    pub turn: TurnNo,
    /// Digest of the requested work.
    pub digest: Digest,
    /// What to run.
    pub work: AttemptWork,
    /// Tokens charged to the program's account so far; the endpoint schedules by them.
    pub attained_tokens: u64,
    /// Time left until the last caller stops waiting.
    pub deadline_in_ms: u64,
    /// Whether it must run with no other call on the engine, because it is suspected of crashing
    /// engines.
    pub alone: bool,
}

/// The work of an attempt, with everything the engine needs to run it.
#[wire]
pub enum AttemptWork {
    /// A completion.
    Model {
        /// The model.
        model: ModelName,
        /// The whole conversation, including earlier turns.
        messages: Vec<Message>,
        /// Text already generated by earlier attempts; the engine continues from its end.
        resume_text: Arc<str>,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
        /// Further parameters, passed through unchanged.
        parameters: serde_json::Map<String, serde_json::Value>,
    },
    /// A call of a service.
    Service {
        /// The service.
        service: ModelName,
        /// The action at that service.
        action: Arc<str>,
        /// The request body.
        body: Arc<str>,
        /// Whether the call may be repeated after an unknown outcome.
        idempotent: bool,
    },
}

/// One message of an attempt's response stream. `Done` and `Failed` are final.
#[wire]
pub enum AttemptFrame {
    /// More generated text.
    Delta {
        /// The text.
        text: Arc<str>,
    },
    /// The attempt completed. The text is that of this attempt only.
    Done {
        /// The result.
        result: TurnResult,
    },
    /// The attempt failed.
    Failed {
        /// Why it failed.
        cause: FailureCause,
        /// Number of tokens generated, if known.
        spent_tokens: Option<u64>,
    },
}

/// Why an attempt failed. [`FailureCause::certainly_not_run`] tells whether the call had no effect.
#[wire]
#[derive(Copy)]
pub enum FailureCause {
    /// Rejected before it started: the owner's epoch is fenced, it is meant for another process
    /// instance, the endpoint is draining, or its queue is full.
    Rejected,
    /// The deadline passed while it was queued.
    Expired,
    /// The engine crashed while the attempt ran, alone or together with others.
    Crashed {
        /// The engine run that crashed.
        run: u64,
    },
    /// The engine broke the stream or did not finish it in time; the call may have run.
    Interrupted,
    /// The attempt was cancelled.
    Cancelled,
}

impl FailureCause {
    /// Whether the call certainly had no effect.
    pub fn certainly_not_run(self) -> bool {
        matches!(self, FailureCause::Rejected | FailureCause::Expired)
    }
}

/// What an endpoint process knows of an attempt.
#[wire]
pub enum AttemptReport {
    /// It never received the attempt, and rejects it from now on.
    NeverSeen,
    /// The attempt is queued or running.
    Running,
    /// The attempt ended with this frame.
    Over(AttemptFrame),
    /// The process received the attempt but no longer keeps its result, or it is a different
    /// process instance.
    Forgotten,
    /// The endpoint process did not answer.
    NoAnswer,
}

/// What an owner needs from its entry while it handles an event.
pub trait OwnerEnvironment {
    /// Chooses an endpoint for an attempt.
    fn place(&mut self, request: &PlaceRequest<'_>) -> Result<EndpointRef, PlaceRefusal>;

    /// Whether a call is suspected of crashing engines.
    fn crash_status(&self, workspace: &WorkspaceId, digest: &Digest) -> CrashStatus;

    /// Records that the engine running a call crashed. The call's status reflects it at once.
    fn record_crash(&mut self, workspace: &WorkspaceId, digest: &Digest, crash: Crash);

    /// Records that a suspected call ran alone and succeeded: it is no longer a suspect.
    fn clear_suspect(&mut self, workspace: &WorkspaceId, digest: &Digest);

    /// Counts a successful attempt, which adds to the workspace's retry budget.
    fn record_success(&mut self, workspace: &WorkspaceId);

    /// Takes one retry from the workspace's retry budget; returns whether one was left.
    fn try_acquire_retry(&mut self, workspace: &WorkspaceId) -> bool;

    /// Reserves the next append within this entry's share of the log's append rate; returns how
    /// many milliseconds to wait before sending it.
    fn reserve_append(&mut self) -> u64;

    /// A random number, for jitter in retry delays.
    fn random(&mut self) -> u64;
}

/// What the router needs to know to choose an endpoint for an attempt.
#[value]
pub struct PlaceRequest<'a> {
    /// The program.
    pub program: &'a ProgramId,
    /// The model or service.
    pub target: &'a ModelName,
    /// Digest of the requested work. Suspected calls are placed by it, so that the same call of
    /// several programs goes to one endpoint.
    pub digest: &'a Digest,
    /// The workspace's share of the capacity relative to other workspaces.
    pub weight: u32,
    /// Whether it is the program's first turn.
    pub is_first: bool,
    /// Whether it is suspected of crashing engines.
    pub is_suspect: bool,
    /// The VM to avoid if another can serve the call, because the last attempt failed there.
    pub avoid: Option<&'a VmName>,
}

/// Why no endpoint was chosen.
#[value]
#[derive(Copy)]
pub enum PlaceRefusal {
    /// No live endpoint serves the model or service.
    NoEndpoint,
    /// The endpoints that serve it have more work queued than they can run in time.
    Overloaded,
}

/// Whether a call is suspected of crashing engines.
#[value]
#[derive(Copy)]
pub enum CrashStatus {
    /// No crash is known, or the call was cleared since.
    Clear,
    /// It was running when an engine crashed: from now on it runs alone.
    Suspect,
    /// An engine crashed while the call ran alone: it is not run again.
    Poison,
}

/// How the shard's previous ownership ended.
#[value]
#[derive(Copy)]
pub enum Predecessor {
    /// The shard was never owned before.
    None,
    /// The previous owner released it.
    Released,
    /// The previous owner may not know yet that it has been replaced.
    Unknown,
}

/// Limits and intervals of a shard owner.
#[value]
#[derive(Copy)]
pub struct OwnerLimits {
    /// Maximum number of attempts for one turn.
    pub max_attempts: u32,
    /// Backoff after the first failed attempt. It doubles with each further attempt, to at most 64
    /// times this value; with jitter, the delay is between half and one and a half times as long.
    pub backoff_ms: u64,
    /// Interval between two queries about one attempt.
    pub query_interval_ms: u64,
    /// Unanswered queries in a row after which an attempt's outcome counts as unknown.
    pub max_unanswered_queries: u32,
    /// Delay before the log is tried again after a failure.
    pub log_retry_ms: u64,
    /// Age at which a program's records are replaced by a snapshot; well below the log's retention.
    pub snapshot_age_ms: u64,
    /// Maximum number of snapshots written in one tick.
    pub snapshots_per_tick: usize,
    /// Idle time after which a program counts as abandoned and is ended.
    pub program_idle_ms: u64,
    /// How long the id of an ended program stays reserved.
    pub tombstone_ms: u64,
    /// Whether new calls wait while the log fails, rather than being refused.
    pub waits_for_log: bool,
}

impl Default for OwnerLimits {
    fn default() -> OwnerLimits {
        const HOUR_MS: u64 = 3_600_000;
        OwnerLimits {
            max_attempts: 3,
            backoff_ms: 50,
            query_interval_ms: 200,
            max_unanswered_queries: 5,
            log_retry_ms: 250,
            snapshot_age_ms: 6 * HOUR_MS,
            snapshots_per_tick: 8,
            program_idle_ms: 24 * HOUR_MS,
            tombstone_ms: 24 * HOUR_MS,
            waits_for_log: false,
        }
    }
}

/// A refusal that is held back until a read of the log confirms that this entry still owns the
/// shard: another owner could have recorded turns that make the refusal wrong.
#[value]
#[derive(Copy)]
pub(super) struct UnconfirmedRefusal {
    pub call: CallId,
    pub refusal: Refusal,
    pub deadline: TimeMs,
}
