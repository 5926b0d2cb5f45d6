use serde::{Deserialize, Serialize};

use crate::catalog::{Regions, RepeatPolicy};
use crate::prelude::*;

/// The decoded head of a request.
#[value]
pub struct RequestHead {
    /// The request ID. Each attempt of a caller has its own.
    pub request: Arc<str>,
    /// The host that the request addresses, without a port.
    pub host: Arc<str>,
    /// How long the caller waits for the response.
    pub wait_ms: Option<u64>,
    /// The digest of the API key.
    pub key: Option<Digest>,
    /// The program that the request belongs to.
    pub program: Option<Arc<str>>,
    /// Total number of tokens that the program may generate.
    pub budget: Option<u64>,
    /// Number of prompt tokens, as far as the caller knows.
    pub prompt_tokens: u64,
    /// Maximum number of tokens that the request may generate.
    pub max_output_tokens: u64,
    /// The turn that this one continues.
    pub previous: Option<Arc<str>>,
    /// Parts of the prompt: hash and number of tokens of each.
    pub parts: Vec<(u64, u64)>,
    /// Time left until the program should be finished.
    pub finish_ms: Option<u64>,
    /// Hash of the request's affinity key, i.e. of the object that it is about.
    pub object: Option<u64>,
}

/// How a request is to be served, as decided by the entry where it arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingDecision {
    /// The workspace that the request's key belongs to.
    pub workspace: Arc<str>,
    /// The service that runs the request.
    pub service: Arc<str>,
    /// Time left until the deadline.
    pub left_ms: u64,
    /// Maximum number of endpoints that may run the request.
    pub attempts: u32,
    /// The operator's target for the time to the first byte.
    pub target_ms: u64,
    /// Whether the request may run more than once.
    pub repeat: RepeatPolicy,
    /// Whether the turn's input and output are kept as history.
    pub keeps_history: bool,
    /// How long the history and the program's account are kept.
    pub retention_ms: u64,
    /// Number of tokens that one event of the stream stands for.
    pub tokens_per_event: u64,
    /// Priority; zero is the highest. On routes under load control, the number of its
    /// [`crate::load::Rank`].
    pub priority: u8,
    /// Regions where the request may run and whose entries may receive it.
    pub regions: Regions,
    /// Hash of the affinity key, if an endpoint that recently handled the same object is faster.
    pub object: Option<u64>,
}

impl RoutingDecision {
    /// Whether the request came on a route under load control; see
    /// [`RepeatPolicy::is_load_controlled`].
    pub fn is_load_controlled(&self) -> bool {
        self.repeat.is_load_controlled(self.attempts)
    }
}

/// Why a request is not answered by an endpoint.
#[value]
#[derive(Copy, Hash)]
pub enum Refusal {
    /// The request is malformed.
    BadRequest,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time. The request has not run.
    BodyTimedOut,
    /// No route matches. Only returned if a configuration is in force.
    NoRoute,
    /// The key belongs to no workspace.
    UnknownKey,
    /// The workspace has used up its request rate.
    RateLimited {
        /// When the rate may have room again.
        retry_after_ms: u64,
    },
    /// The program's token budget is used up.
    BudgetExhausted,
    /// The workspace has no such turn.
    NoSuchTurn,
    /// The request cannot be served now.
    Unavailable {
        /// When to try again.
        retry_after_ms: u64,
    },
    /// What the process holds for callers has reached a limit.
    NoRoom {
        /// When to try again.
        retry_after_ms: u64,
    },
    /// The request has crashed endpoints and is not tried again.
    CrashesEndpoints,
    /// The request was sent to an endpoint and may have run.
    OutcomeUnknown,
    /// The deadline has passed; the request may have run.
    TimedOut,
}

impl Refusal {
    /// The name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Refusal::BadRequest => "bad_call",
            Refusal::TooLarge => "too_large",
            Refusal::BodyTimedOut => "body_timed_out",
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::RateLimited { .. } => "over_rate",
            Refusal::BudgetExhausted => "budget_spent",
            Refusal::NoSuchTurn => "no_such_turn",
            Refusal::Unavailable { .. } => "unavailable",
            Refusal::NoRoom { .. } => "no_room",
            Refusal::CrashesEndpoints => "crashes_endpoints",
            Refusal::OutcomeUnknown => "outcome_unknown",
            Refusal::TimedOut => "timed_out",
        }
    }

    /// Whether the request has certainly not run and never will.
    pub fn guarantees_not_run(&self) -> bool {
        !matches!(self, Refusal::OutcomeUnknown | Refusal::TimedOut)
    }
}

/// What an endpoint's response is, judged by its head.
#[value]
#[derive(Copy)]
pub enum ResponseKind {
    /// The endpoint states that it has not run the request.
    NotRun,
    /// The response to this request.
    Own,
    /// The response to another request, or one whose origin cannot be verified.
    Untrusted,
}
