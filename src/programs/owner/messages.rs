use crate::prelude::*;
use crate::programs::{
    CallId, Message, Record, Refusal, Reply, StoredRecord, TurnRequest, TurnResult,
};

/// What an owner is told.
#[value]
pub enum Event {
    /// Take the shard.
    Claim,
    /// Give it up once nothing is under way.
    Release,
    /// Make sure that the shard is still ours.
    ConfirmOwnership,
    /// A caller wants a turn run.
    Request {
        /// The caller.
        call: CallId,
        /// The turn.
        request: TurnRequest,
    },
    /// A caller ends a program.
    End {
        /// The caller.
        call: CallId,
        /// The program.
        program: ProgramId,
    },
    /// A caller went away. Its turn goes on: a resend gets the result.
    CallerGone {
        /// The caller.
        call: CallId,
    },
    /// The append that was asked for is over.
    Appended(Result<AppendedAt, LogCallError>),
    /// The read that was asked for is over.
    Read(Result<ReadPage, LogCallError>),
    /// An attempt made progress.
    Frame {
        /// The attempt.
        attempt: AttemptId,
        /// The progress.
        frame: AttemptFrame,
    },
    /// The connection to an attempt broke before its last frame.
    ConnectionLost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The answer to a question about an attempt.
    Report {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        report: AttemptReport,
    },
    /// The time that was asked for with [`Action::Wake`] has come.
    Wake,
    /// Time has passed.
    Tick,
}

/// Where the log put a batch.
#[value]
#[derive(Copy)]
pub struct AppendedAt {
    /// Offset of the batch's first record.
    pub first: Offset,
    /// When the log took it.
    pub time_ms: UnixMs,
}

/// Why the log gave no answer.
#[value]
#[derive(Copy)]
pub enum LogCallError {
    /// It answered that it does not take records now.
    Unavailable,
    /// No answer came: the call may have taken effect, now or later.
    NoAnswer,
}

/// One page of a shard's stream.
#[value]
pub struct ReadPage {
    /// The first offset that the log still holds.
    pub earliest: Offset,
    /// The records, in order.
    pub records: Vec<StoredRecord<Record>>,
    /// Whether the page reached the end of the stream.
    pub at_end: bool,
}

/// What an owner wants done.
#[value]
pub enum Action {
    /// Append these records as one batch. One append is under way at a time.
    Append(Vec<Record>),
    /// Send [`Event::Wake`] after this time.
    Wake {
        /// The time.
        in_ms: u64,
    },
    /// Read the stream from an offset; `None` reads from the earliest that the log holds.
    Read(Option<Offset>),
    /// Send an attempt to the process beside its endpoint.
    Dispatch(Attempt),
    /// Ask the process beside an endpoint what became of an attempt.
    QueryAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Where it went.
        endpoint: EndpointRef,
        /// The epoch of the one who asks: fences the owners before it.
        epoch: Epoch,
    },
    /// Stop an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Where it went.
        endpoint: EndpointRef,
    },
    /// Free what engines hold for a program that has ended.
    FreeCache {
        /// The program.
        program: ProgramId,
    },
    /// Tell a caller.
    Reply {
        /// The caller.
        call: CallId,
        /// What.
        reply: Reply,
    },
}

/// One try at a turn, as the process beside the endpoint gets it.
#[wire]
pub struct Attempt {
    /// The attempt.
    pub id: AttemptId,
    /// The run of the process that alone may start it.
    pub target: EndpointRef,
    /// The program.
    pub program: ProgramId,
    /// The turn.
    pub turn: TurnNo,
    /// Digest of the call.
    pub digest: Digest,
    /// What to run.
    pub work: AttemptWork,
    /// Tokens that the program had used before, for the order of service.
    pub attained_tokens: u64,
    /// Time left until nobody waits for it.
    pub deadline_in_ms: u64,
    /// Whether it must run with nothing beside it: it is suspected of crashing engines.
    pub alone: bool,
}

/// The work of an attempt, with all that the engine needs.
#[wire]
pub enum AttemptWork {
    /// A completion.
    Model {
        /// The model.
        model: ModelName,
        /// The whole conversation.
        messages: Vec<Message>,
        /// Text of the answer that earlier attempts gave: the engine goes on from its end.
        resume_text: Arc<str>,
        /// The most tokens to generate.
        max_tokens: u32,
        /// Further parameters, passed through unread.
        parameters: serde_json::Map<String, serde_json::Value>,
    },
    /// A call of a service.
    Service {
        /// The service.
        service: ModelName,
        /// The action.
        action: Arc<str>,
        /// The body.
        body: Arc<str>,
        /// Whether it may be sent again.
        idempotent: bool,
    },
}

/// Progress of an attempt.
#[wire]
pub enum AttemptFrame {
    /// More text.
    Delta {
        /// The text.
        text: Arc<str>,
    },
    /// It is done. The text is that of this attempt alone.
    Done {
        /// The result.
        result: TurnResult,
    },
    /// It failed, and what is known of it.
    Failed {
        /// Why.
        cause: FailureCause,
        /// Tokens generated, if known.
        spent_tokens: Option<u64>,
    },
}

/// Why an attempt failed. For each cause it is certain whether the call ran.
#[wire]
#[derive(Copy)]
pub enum FailureCause {
    /// Rejected before it started: fenced, for another instance, draining or no room.
    Rejected,
    /// The deadline passed in the queue.
    Expired,
    /// The engine crashed under it, alone or beside others.
    Crashed {
        /// The engine's run that ended.
        run: u64,
    },
    /// The engine broke the stream or did not end it in time: it may have run.
    Interrupted,
    /// It was cancelled.
    Cancelled,
}

impl FailureCause {
    /// Whether the call certainly had no effect.
    pub fn certainly_not_run(self) -> bool {
        matches!(self, FailureCause::Rejected | FailureCause::Expired)
    }
}

/// What the process beside an endpoint knows of an attempt.
#[wire]
pub enum AttemptReport {
    /// It never saw it, and will reject it from now on.
    NeverSeen,
    /// It is queued or running.
    Running,
    /// It ended like this.
    Over(AttemptFrame),
    /// It saw it and has forgotten the end, or is another instance.
    Forgotten,
    /// Nobody answered.
    NoAnswer,
}

/// What an owner asks of its surroundings while it decides.
pub trait OwnerEnvironment {
    /// Picks an endpoint for an attempt.
    fn place(&mut self, request: &PlaceRequest<'_>) -> Result<EndpointRef, PlaceRefusal>;

    /// What is known of a call that may crash engines.
    fn crash_status(&self, workspace: &WorkspaceId, digest: &Digest) -> CrashStatus;

    /// A call crashed the engine that ran it. From now on `standing` counts it.
    fn record_crash(&mut self, workspace: &WorkspaceId, digest: &Digest, crash: Crash);

    /// A suspected call ran alone and ended well: it is no suspect any more.
    fn clear_suspect(&mut self, workspace: &WorkspaceId, digest: &Digest);

    /// Counts an attempt that succeeded.
    fn record_success(&mut self, workspace: &WorkspaceId);

    /// Takes a retry from the workspace's budget, if there is one left.
    fn try_acquire_retry(&mut self, workspace: &WorkspaceId) -> bool;

    /// Reserves the next append of this entry's part of the log's rate; returns how long to wait
    /// for it.
    fn reserve_append(&mut self) -> u64;

    /// A random number, for back-off.
    fn random(&mut self) -> u64;
}

/// What routing needs to know of an attempt.
#[value]
pub struct PlaceRequest<'a> {
    /// The program.
    pub program: &'a ProgramId,
    /// The model or service.
    pub target: &'a ModelName,
    /// Digest of the call: the same calls of several programs are kept together.
    pub digest: &'a Digest,
    /// The workspace's part of what there is, against the others'.
    pub weight: u32,
    /// Whether the program starts with it.
    pub is_first: bool,
    /// Whether it is suspected of crashing engines.
    pub is_suspect: bool,
    /// The endpoint to avoid: the last attempt failed there.
    pub avoid: Option<&'a VmName>,
}

/// Why no endpoint was picked.
#[value]
#[derive(Copy)]
pub enum PlaceRefusal {
    /// No live endpoint serves the model or service.
    NoEndpoint,
    /// Those that do have more than they can run in time.
    Overloaded,
}

/// What is known of a call that may crash engines.
#[value]
#[derive(Copy)]
pub enum CrashStatus {
    /// Nothing.
    Clear,
    /// It was running when an engine crashed: it runs alone from now on.
    Suspect,
    /// It crashed one while it ran alone: it is not run again.
    Poison,
}

/// Who owned a shard before.
#[value]
#[derive(Copy)]
pub enum Predecessor {
    /// Nobody, ever.
    None,
    /// An owner that gave it up.
    Released,
    /// An owner that may not know yet that it has been replaced.
    Unknown,
}

/// Bounds of an owner.
#[value]
#[derive(Copy)]
pub struct OwnerLimits {
    /// Attempts for one turn.
    pub max_attempts: u32,
    /// First back-off between attempts; doubles each time.
    pub backoff_ms: u64,
    /// Time between two questions about one attempt.
    pub ask_every_ms: u64,
    /// Unanswered questions after which an attempt's outcome counts as unknown.
    pub max_unanswered: u32,
    /// Pause before the log is tried again.
    pub log_retry_ms: u64,
    /// Age at which records are replaced by a snapshot: well below the log's retention.
    pub snapshot_age_ms: u64,
    /// Snapshots begun in one tick.
    pub snapshots_per_tick: usize,
    /// Idle time after which a program counts as abandoned and is ended.
    pub program_idle_ms: u64,
    /// Time for which an ended program's name stays taken.
    pub tombstone_ms: u64,
    /// Whether new calls wait for a log that fails.
    pub waits_for_log: bool,
}

impl Default for OwnerLimits {
    fn default() -> OwnerLimits {
        const HOUR_MS: u64 = 3_600_000;
        OwnerLimits {
            max_attempts: 3,
            backoff_ms: 50,
            ask_every_ms: 200,
            max_unanswered: 5,
            log_retry_ms: 250,
            snapshot_age_ms: 6 * HOUR_MS,
            snapshots_per_tick: 8,
            program_idle_ms: 24 * HOUR_MS,
            tombstone_ms: 24 * HOUR_MS,
            waits_for_log: false,
        }
    }
}

/// A refusal that is given only once the log has confirmed that the shard is still ours.
#[value]
#[derive(Copy)]
pub(super) struct UnconfirmedRefusal {
    pub call: CallId,
    pub refusal: Refusal,
    pub deadline: TimeMs,
}
