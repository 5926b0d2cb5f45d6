use std::fmt;

use serde_json::{Map, Value};

use crate::prelude::*;

/// Identifies a waiting caller; unique within the entry's process.
#[key]
pub struct CallId(pub u64);

/// One message of a conversation, stored as the caller sent it.
#[wire]
pub struct Message {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: Arc<str>,
    /// A text, or an array of parts as the chat protocol allows.
    pub content: Value,
    /// All other fields, passed through unread.
    #[serde(flatten)]
    pub other_fields: Map<String, Value>,
}

impl Message {
    /// A plain text message.
    pub fn text(role: &str, content: &str) -> Message {
        Message { role: role.into(), content: content.into(), other_fields: Map::new() }
    }

    /// Approximate size, to estimate cost: the length of a text, or a constant for other content.
    pub fn approx_bytes(&self) -> usize {
        const NON_TEXT_BYTES: usize = 256;
        self.content.as_str().map_or(NON_TEXT_BYTES, str::len)
    }
}

/// The work that a call requests.
#[wire]
pub enum Work {
    /// A chat completion. It carries only the messages that are new in this turn.
    Model {
        /// The model to run.
        model: ModelName,
        /// New messages; the owner prepends the recorded history.
        messages: Vec<Message>,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
        /// Further parameters, such as `temperature`, passed through unread.
        parameters: Map<String, Value>,
    },
    /// A call of a service.
    Service {
        /// The service.
        service: ModelName,
        /// The action to perform at the service.
        action: Arc<str>,
        /// The body, as the caller sent it.
        body: Arc<str>,
        /// Whether the workspace's contract declares the action idempotent. If not, it is run at
        /// most once.
        idempotent: bool,
    },
}

impl Work {
    /// The model or service that the work is for.
    pub fn target(&self) -> &ModelName {
        match self {
            Work::Model { model, .. } => model,
            Work::Service { service, .. } => service,
        }
    }

    /// The class of work, for metrics.
    pub fn class(&self) -> &'static str {
        match self {
            Work::Model { .. } => "model",
            Work::Service { .. } => "service",
        }
    }

    /// Limits the tokens to generate to the program's total budget.
    pub fn limit_tokens(&mut self, budget_tokens: u64) {
        if let Work::Model { max_tokens, .. } = self {
            let budget = u32::try_from(budget_tokens).unwrap_or(u32::MAX);
            *max_tokens = (*max_tokens).min(budget);
        }
    }

    /// Whether the work may be run again if its outcome is unknown.
    pub fn idempotent(&self) -> bool {
        match self {
            Work::Model { .. } => true,
            Work::Service { idempotent, .. } => *idempotent,
        }
    }

    /// Maximum number of tokens that the work can generate.
    pub fn worst_case_tokens(&self) -> u64 {
        match self {
            Work::Model { max_tokens, .. } => u64::from(*max_tokens),
            Work::Service { .. } => 0,
        }
    }

    /// The messages that the work adds to the conversation.
    pub fn messages(&self) -> Vec<Message> {
        match self {
            Work::Model { messages, .. } => messages.clone(),
            Work::Service { .. } => Vec::new(),
        }
    }
}

/// Limits of a program, from its workspace's contract.
#[wire]
#[derive(Copy)]
pub struct ProgramLimits {
    /// Tokens that the program and its sub-agents may generate in total.
    pub budget_tokens: u64,
    /// Turns that the program and each of its sub-agents may make.
    pub max_turns: u32,
}

/// A validated and admitted call, as sent to the owner of the program's shard.
#[value]
pub struct TurnRequest {
    /// The program.
    pub program: ProgramId,
    /// The turn number, if the caller numbers its calls.
    pub turn: Option<TurnNo>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Digest of the requested work, to tell a repeat from another call with the same number.
    pub digest: Digest,
    /// The work to run.
    pub work: Work,
    /// Time at which the caller stops waiting, on the owner's clock.
    pub deadline: TimeMs,
    /// The program's limits.
    pub limits: ProgramLimits,
    /// The workspace's weight when endpoints are shared between workspaces: its contracted rate.
    pub weight: u32,
}

/// Tokens used by a call.
#[wire]
#[derive(Copy, Default)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

/// Why generation ended.
#[wire]
#[derive(Copy)]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The answer reached its token limit.
    Length,
}

/// The final result of a turn. Every repeat of the call gets the same result.
#[wire]
pub enum TurnResult {
    /// A completion.
    Answered {
        /// The complete text.
        text: Arc<str>,
        /// Why generation ended.
        finish: FinishReason,
        /// Tokens used.
        usage: Usage,
    },
    /// A service's response.
    Served {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Arc<str>,
    },
    /// It is unknown whether the call ran, and it will not be run again.
    Unknown,
}

/// Whether a call ran.
#[wire]
#[derive(Copy)]
pub enum ExecutionStatus {
    /// The call did not run, and will not.
    NotRun,
    /// The call ran.
    Ran,
    /// The call may have run.
    Unknown,
}

/// Why a call was refused.
#[wire]
#[derive(Copy)]
pub enum RefusalReason {
    /// The turn number is greater than that of the next turn.
    TurnTooEarly {
        /// The number of the next turn.
        expected: TurnNo,
    },
    /// Another call was already made under this turn number or idempotency key.
    TurnConflict,
    /// Another call of the program is in flight.
    ProgramBusy,
    /// The program has ended.
    ProgramEnded,
    /// Part of the program's history has expired from the log.
    HistoryGap,
    /// The program's token budget can't cover the call.
    BudgetExhausted,
    /// The program has made its maximum number of turns.
    TurnsExhausted,
    /// No live endpoint serves the model or service.
    NoEndpoint,
    /// The endpoints have more work queued than they can run in time.
    Overloaded,
    /// The caller's deadline has passed.
    DeadlinePassed,
    /// The log does not accept records at present.
    LogUnavailable,
    /// This entry does not own the program's shard.
    NotOwner,
    /// The connection to the entry that owns the program's shard broke during the call.
    OwnerLost,
    /// Every attempt failed.
    AttemptsFailed,
    /// An engine crashed while it ran only this call, which is not run again.
    CrashesEndpoints,
}

impl RefusalReason {
    /// The error code sent to callers.
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

/// The refusal of a call.
#[wire]
#[derive(Copy)]
pub struct Refusal {
    /// Whether the call ran.
    pub ran: ExecutionStatus,
    /// Why the call was refused.
    pub reason: RefusalReason,
    /// Delay after which a retry can succeed; `None` if no retry can.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// The refusal of a call that did not run, and for which an unchanged retry is useless.
    pub fn not_run(reason: RefusalReason) -> Refusal {
        Refusal { ran: ExecutionStatus::NotRun, reason, retry_after_ms: None }
    }

    /// The refusal of a call that may have run.
    pub fn unknown(reason: RefusalReason) -> Refusal {
        Refusal { ran: ExecutionStatus::Unknown, reason, retry_after_ms: None }
    }

    /// Adds the delay after which the caller may retry.
    pub fn retry_after(self, retry_after_ms: u64) -> Refusal {
        Refusal { retry_after_ms: Some(retry_after_ms), ..self }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason.code())
    }
}

/// A message to a waiting caller. All but `Delta` are final.
#[wire]
pub enum Reply {
    /// The next part of the answer's text.
    Delta {
        /// The text.
        text: Arc<str>,
    },
    /// The recorded result of the turn.
    Answer {
        /// The turn's number.
        turn: TurnNo,
        /// The turn's result.
        result: TurnResult,
        /// Whether the result was recorded before this call arrived.
        replayed: bool,
    },
    /// The call was refused, or its outcome is not known.
    Refused(Refusal),
    /// The end of the program is recorded.
    Ended,
}

impl Reply {
    /// Whether this is the last message to the caller.
    pub fn is_final(&self) -> bool {
        !matches!(self, Reply::Delta { .. })
    }
}
