use super::Regions;
use crate::prelude::*;

/// Whether a request may run more than once.
#[wire]
#[derive(Copy)]
pub enum RepeatPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
    /// It runs at most once and is answered by a stream of events.
    Stream,
    /// It is answered by a stream of events, which another endpoint may continue after the last
    /// complete event.
    ResumableStream,
}

impl RepeatPolicy {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RepeatPolicy::Stream | RepeatPolicy::ResumableStream)
    }

    /// Whether a request that may be sent to `attempts` endpoints is under load control: a stream
    /// with a single attempt. A second attempt can't correct a bad choice there, so the choice has to
    /// be good before anything is sent.
    pub fn is_load_controlled(self, attempts: u32) -> bool {
        self.is_stream() && attempts == 1
    }

    /// Whether a request that one endpoint may have run already may be sent to another one.
    pub fn may_run_again(self) -> bool {
        matches!(self, RepeatPolicy::Idempotent | RepeatPolicy::ResumableStream)
    }
}

/// One of the services that share the requests of a route.
#[wire]
pub struct Backend {
    /// The service.
    pub service: Arc<str>,
    /// Its weight relative to the other backends of the route.
    pub weight: u64,
}

/// The services and limits for the requests of one host and path prefix.
#[wire]
pub struct Route {
    /// The host that requests are addressed to.
    pub host: Arc<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether its requests may run more than once.
    pub repeat: RepeatPolicy,
    /// Maximum time until a request is answered or refused.
    pub timeout_ms: u64,
    /// Latency target: the time within which an answer has its full value to the caller.
    pub target_ms: u64,
    /// Latency target for the pause between two events of a stream.
    pub gap_target_ms: u64,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether the proxy stores the history of turns and prepends it to the next turn.
    pub keeps_history: bool,
    /// Time after their last use for which histories and token accounts of programs are kept.
    pub retention_ms: u64,
    /// Whether an endpoint is faster at requests about an object that it has recently handled.
    pub sticky: bool,
    /// The regions in which its requests may run.
    pub regions: Regions,
    /// Whether callers need no API key.
    pub public: bool,
    /// The services that process its requests.
    pub backends: Vec<Backend>,
}

impl Route {
    /// Whether the route is under load control; see [`RepeatPolicy::is_load_controlled`].
    pub fn is_load_controlled(&self) -> bool {
        self.repeat.is_load_controlled(self.attempts)
    }

    /// The service for a request with this affinity hash; the same hash always gives the same
    /// service.
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

/// The configuration of a service.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Maximum number of connections that one of its endpoints accepts from all callers together.
    pub max_connections: u32,
    /// Number of tokens that one event of a stream represents; zero for services without an engine.
    pub tokens_per_event: u64,
    /// Maximum time for which an endpoint keeps a paused program's cache when asked to; zero if it
    /// does not support this.
    pub pin_ms: u64,
    /// Time for which an endpoint is cold after its start.
    pub cold_start_ms: u64,
    /// Request rate that a cold endpoint can serve, per second; zero if it can serve as many as a
    /// warm one.
    pub cold_per_s: f64,
}
