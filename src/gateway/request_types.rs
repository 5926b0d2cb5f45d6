use serde::{Deserialize, Serialize};

use crate::catalog::{Regions, RepeatPolicy};
use crate::prelude::*;

/// What the head of a request says, decoded.
#[value]
pub struct RequestHead {
    /// The request's id: one attempt of its caller.
    pub request: Arc<str>,
    /// The host it is meant for.
    pub host: Arc<str>,
    /// How long its caller waits.
    pub wait_ms: Option<u64>,
    /// The digest of the key it bears.
    pub key: Option<Digest>,
    /// The program it belongs to.
    pub program: Option<Arc<str>>,
    /// Tokens that the program may generate in all.
    pub budget: Option<u64>,
    /// Tokens of its prompt, as far as the caller knows.
    pub prompt_tokens: u64,
    /// The most tokens that it may generate.
    pub max_output_tokens: u64,
    /// The turn that it continues from.
    pub previous: Option<Arc<str>>,
    /// Parts of its prompt as hashes, with their tokens.
    pub parts: Vec<(u64, u64)>,
    /// What is left until its program should be finished.
    pub finish_ms: Option<u64>,
    /// Stands for the object that it is about.
    pub object: Option<u64>,
}

/// How a request is to be served, as decided where it arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingDecision {
    /// The workspace that holds the key.
    pub workspace: Arc<str>,
    /// The service that runs it.
    pub service: Arc<str>,
    /// What is left of its time.
    pub left_ms: u64,
    /// The most endpoints it may be sent to.
    pub attempts: u32,
    /// The time to its first byte that its operator aims at.
    pub target_ms: u64,
    /// Whether it may run more than once.
    pub repeat: RepeatPolicy,
    /// Whether what was said is kept.
    pub keeps_history: bool,
    /// How long its history and its program's account are kept.
    pub retention_ms: u64,
    /// Tokens that one event stands for.
    pub tokens_per_event: u64,
    /// Its rank: zero is first.
    pub priority: u8,
    /// Where it may run, and to which entries it may be sent.
    pub regions: Regions,
    /// Stands for its object, if an endpoint that has lately handled that is faster.
    pub object: Option<u64>,
}

/// Why a request is not answered by an endpoint.
#[value]
#[derive(Copy, Hash)]
pub enum Refusal {
    /// Its head can't be understood.
    BadRequest,
    /// Its body is larger than allowed.
    TooLarge,
    /// No route. Only said with a configuration in force.
    NoRoute,
    /// Its key is of no workspace.
    UnknownKey,
    /// Its workspace has used up its rate.
    RateLimited {
        /// When there may be room.
        retry_after_ms: u64,
    },
    /// Its program's budget is spent.
    BudgetExhausted,
    /// There is no such turn in its workspace.
    NoSuchTurn,
    /// It can't be served now.
    Unavailable {
        /// When it may be served.
        retry_after_ms: u64,
    },
    /// It has crashed endpoints and is not tried again.
    CrashesEndpoints,
    /// It was sent and may have run.
    OutcomeUnknown,
    /// Its time is over; it may have run.
    TimedOut,
}

impl Refusal {
    /// Its name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Refusal::BadRequest => "bad_call",
            Refusal::TooLarge => "too_large",
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::RateLimited { .. } => "over_rate",
            Refusal::BudgetExhausted => "budget_spent",
            Refusal::NoSuchTurn => "no_such_turn",
            Refusal::Unavailable { .. } => "unavailable",
            Refusal::CrashesEndpoints => "crashes_endpoints",
            Refusal::OutcomeUnknown => "outcome_unknown",
            Refusal::TimedOut => "timed_out",
        }
    }

    /// Whether it promises that the request has not run and never will.
    pub fn promises(&self) -> bool {
        !matches!(self, Refusal::OutcomeUnknown | Refusal::TimedOut)
    }
}

/// What an endpoint's answer is worth.
#[value]
#[derive(Copy)]
pub enum ResponseKind {
    /// The endpoint has not run the request, and says so.
    NotRun,
    /// The request's own answer.
    Own,
    /// An answer to another request, or one that can't be trusted.
    Untrusted,
}
