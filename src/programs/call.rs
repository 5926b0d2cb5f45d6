use std::fmt;

use serde_json::{Map, Value};

use crate::prelude::*;

/// A waiting caller, within one owner.
#[key]
pub struct CallId(pub u64);

/// One message of a conversation, kept as the caller wrote it.
#[wire]
pub struct Message {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: Arc<str>,
    /// Text, or parts as the protocol allows.
    pub content: Value,
    /// Further fields, passed through unread.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

impl Message {
    /// A message of plain text.
    pub fn text(role: &str, content: &str) -> Message {
        Message { role: role.into(), content: content.into(), rest: Map::new() }
    }

    /// Rough size: that of a text, or a constant for parts.
    pub fn approx_bytes(&self) -> usize {
        const PARTS_BYTES: usize = 256;
        self.content.as_str().map_or(PARTS_BYTES, str::len)
    }
}

/// What a call asks for.
#[wire]
pub enum Work {
    /// A completion; only the messages that are new in this turn.
    Model {
        /// The model to run.
        model: ModelName,
        /// New messages; the history before them is the system's.
        messages: Vec<Message>,
        /// The most tokens to generate.
        max_tokens: u32,
        /// Further parameters, such as `temperature`, passed through unread.
        parameters: Map<String, Value>,
    },
    /// A call of a plain service.
    Service {
        /// The service.
        service: ModelName,
        /// The action at that service.
        action: Arc<str>,
        /// The body, as the caller sent it.
        body: Arc<str>,
        /// Whether it is idempotent, by contract: if not, it is dispatched at most once.
        idempotent: bool,
    },
}

impl Work {
    /// The model or service that has to run it.
    pub fn target(&self) -> &ModelName {
        match self {
            Work::Model { model, .. } => model,
            Work::Service { service, .. } => service,
        }
    }

    /// The class that its metrics are counted under.
    pub fn class(&self) -> &'static str {
        match self {
            Work::Model { .. } => "model",
            Work::Service { .. } => "service",
        }
    }

    /// Lowers the token limit to what a whole budget allows.
    pub fn limit_tokens(&mut self, budget_tokens: u64) {
        if let Work::Model { max_tokens, .. } = self {
            let budget = u32::try_from(budget_tokens).unwrap_or(u32::MAX);
            *max_tokens = (*max_tokens).min(budget);
        }
    }

    /// Whether it may be run again after an outcome that nobody knows.
    pub fn idempotent(&self) -> bool {
        match self {
            Work::Model { .. } => true,
            Work::Service { idempotent, .. } => *idempotent,
        }
    }

    /// The most tokens it can generate.
    pub fn worst_case_tokens(&self) -> u64 {
        match self {
            Work::Model { max_tokens, .. } => u64::from(*max_tokens),
            Work::Service { .. } => 0,
        }
    }

    /// Its messages, as they enter the history.
    pub fn messages(&self) -> Vec<Message> {
        match self {
            Work::Model { messages, .. } => messages.clone(),
            Work::Service { .. } => Vec::new(),
        }
    }
}

/// What a program may use, by its workspace's contract.
#[wire]
#[derive(Copy)]
pub struct ProgramLimits {
    /// Tokens that the program and its sub-agents may generate.
    pub budget_tokens: u64,
    /// Calls that each of them may make.
    pub max_turns: u32,
}

/// A call, checked and admitted, on its way to the program's owner.
#[value]
pub struct TurnRequest {
    /// The program.
    pub program: ProgramId,
    /// Its place, if the caller numbers its calls.
    pub turn: Option<TurnNo>,
    /// The caller's key for repeats of one call.
    pub idempotency_key: Option<Arc<str>>,
    /// Digest of what was asked, to tell a repeat from another call under the same number.
    pub digest: Digest,
    /// What to run.
    pub work: Work,
    /// When the caller stops waiting, on the owner's clock.
    pub deadline: TimeMs,
    /// What the program may use.
    pub limits: ProgramLimits,
    /// The workspace's part of what there is, against the others': its contract's rate.
    pub weight: u32,
}

/// Tokens that a call used.
#[wire]
#[derive(Copy, Default)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

/// Why an answer ended.
#[wire]
#[derive(Copy)]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// It reached its token limit.
    Length,
}

/// The final result of a turn. The same is given on every resend.
#[wire]
pub enum TurnResult {
    /// A completion.
    Answered {
        /// The whole text.
        text: Arc<str>,
        /// Why it ended.
        finish: FinishReason,
        /// What it used.
        usage: Usage,
    },
    /// A service's reply.
    Served {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Arc<str>,
    },
    /// Nobody knows whether it ran; it is not run again.
    Unknown,
}

/// Whether a call ran.
#[wire]
#[derive(Copy)]
pub enum ExecutionStatus {
    /// It did not, and will not.
    NotRun,
    /// It did.
    Ran,
    /// It may have.
    Unknown,
}

/// Why a call was refused.
#[wire]
#[derive(Copy)]
pub enum RefusalReason {
    /// Its number lies beyond the next.
    TurnTooEarly {
        /// The number that comes next.
        expected: TurnNo,
    },
    /// Another call already has this number.
    TurnConflict,
    /// Another call of the program is under way.
    ProgramBusy,
    /// The program has ended.
    ProgramEnded,
    /// Part of the program's history has left the log.
    HistoryGap,
    /// The program's token budget can't cover the call.
    BudgetExhausted,
    /// The program has made all the calls that it may.
    TurnsExhausted,
    /// No live endpoint serves the model or service.
    NoEndpoint,
    /// The endpoints have more than they can run in time.
    Overloaded,
    /// The deadline has passed.
    DeadlinePassed,
    /// The log takes no records at present.
    LogUnavailable,
    /// This entry does not own the program's shard.
    NotOwner,
    /// The entry that owned the program was lost with the call.
    OwnerLost,
    /// Every attempt failed.
    AttemptsFailed,
    /// The call crashed two endpoints and is not run again.
    CrashesEndpoints,
}

impl RefusalReason {
    /// The code that callers see.
    pub fn code(&self) -> &'static str {
        match self {
            RefusalReason::TurnTooEarly { .. } => "turn_too_early",
            RefusalReason::TurnConflict => "turn_conflict",
            RefusalReason::ProgramBusy => "program_busy",
            RefusalReason::ProgramEnded => "program_ended",
            RefusalReason::HistoryGap => "history_gap",
            RefusalReason::BudgetExhausted => "budget_exhausted",
            RefusalReason::TurnsExhausted => "turns_exhausted",
            RefusalReason::NoEndpoint => "no_endpoint",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::DeadlinePassed => "deadline_passed",
            RefusalReason::LogUnavailable => "log_unavailable",
            RefusalReason::NotOwner => "not_owner",
            RefusalReason::OwnerLost => "owner_lost",
            RefusalReason::AttemptsFailed => "attempts_failed",
            RefusalReason::CrashesEndpoints => "crashes_endpoints",
        }
    }
}

/// A refusal: whether the call ran, why, and when to come back if that is worth it.
#[wire]
#[derive(Copy)]
pub struct Refusal {
    /// Whether the call ran.
    pub ran: ExecutionStatus,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// When a repeat can succeed; `None` if it can't.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a call that did not run and is not worth repeating as it is.
    pub fn not_run(reason: RefusalReason) -> Refusal {
        Refusal { ran: ExecutionStatus::NotRun, reason, retry_after_ms: None }
    }

    /// A refusal of a call that may have run.
    pub fn unknown(reason: RefusalReason) -> Refusal {
        Refusal { ran: ExecutionStatus::Unknown, reason, retry_after_ms: None }
    }

    /// The same, worth repeating after a while.
    pub fn retry_after(self, retry_after_ms: u64) -> Refusal {
        Refusal { retry_after_ms: Some(retry_after_ms), ..self }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason.code())
    }
}

/// What a waiting caller is told. `Answer` and `Refused` are final.
#[wire]
pub enum Reply {
    /// More text of the answer.
    Delta {
        /// The text.
        text: Arc<str>,
    },
    /// The recorded result.
    Answer {
        /// The turn's number.
        turn: TurnNo,
        /// The result.
        result: TurnResult,
        /// Whether it had been recorded before this call came.
        replayed: bool,
    },
    /// The call was refused, or its outcome is not known.
    Refused(Refusal),
    /// The program has ended, and this is recorded.
    Ended,
}

impl Reply {
    /// Whether nothing follows.
    pub fn is_final(&self) -> bool {
        !matches!(self, Reply::Delta { .. })
    }
}
