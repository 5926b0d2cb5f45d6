use super::Regions;
use crate::prelude::*;

/// Whether a request may run more than once.
#[wire]
#[derive(Copy)]
pub enum RepeatPolicy {
    /// Running twice does no harm.
    Idempotent,
    /// At most one run.
    AtMostOnce,
    /// At most one run, answered by a stream of events.
    Stream,
    /// Answered by a stream of events that may go on at another endpoint from the last whole event.
    ResumableStream,
}

impl RepeatPolicy {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RepeatPolicy::Stream | RepeatPolicy::ResumableStream)
    }

    /// Whether another endpoint may run what one may have run already.
    pub fn may_run_again(self) -> bool {
        matches!(self, RepeatPolicy::Idempotent | RepeatPolicy::ResumableStream)
    }
}

/// One of the services that share a route.
#[value]
pub struct Backend {
    /// The service.
    pub service: Arc<str>,
    /// Its share against the other backends of the route.
    pub weight: u64,
}

/// Where requests of one host and path prefix go, and under which limits.
#[value]
pub struct Route {
    /// The host that it answers for.
    pub host: Arc<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether its requests may run more than once.
    pub repeat: RepeatPolicy,
    /// The longest that a request may be kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer has its full value.
    pub target_ms: u64,
    /// The longest pause between events of a stream that is still on time.
    pub gap_target_ms: u64,
    /// Rank: zero is served first.
    pub priority: u8,
    /// The most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether the system keeps what was said, and puts it before the next turn.
    pub keeps_history: bool,
    /// How long histories and the accounts of programs are kept after their last use.
    pub retention_ms: u64,
    /// Whether an endpoint that has lately handled an object is faster at the next request about it.
    pub sticky: bool,
    /// Where its requests may run.
    pub regions: Regions,
    /// Whether no key is asked for.
    pub public: bool,
    /// The services, one or several.
    pub backends: Vec<Backend>,
}

impl Route {
    /// The service for a request whose affinity hash is `hash`: the same hash, the same service.
    pub fn service(&self, hash: u64) -> Option<&Arc<str>> {
        let total: u64 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut left = hash.checked_rem(total)?;
        for backend in &self.backends {
            if left < backend.weight {
                return Some(&backend.service);
            }
            left -= backend.weight;
        }
        None
    }
}

/// What is declared of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The most connections that one of its endpoints accepts from all callers together.
    pub max_connections: u32,
    /// Tokens that one event of a stream stands for; zero for services without an engine.
    pub tokens_per_event: u64,
    /// The longest that an endpoint keeps a pause's memory when asked to; zero: it doesn't.
    pub pin_ms: u64,
    /// How long an endpoint is cold after it has started.
    pub cold_start_ms: u64,
    /// Requests a second that a cold endpoint bears; zero: as many as a warm one.
    pub cold_per_s: f64,
}
