use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Method, Request, StatusCode, Uri, response};
use hyper::body::{Bytes, Incoming};

use super::ports::RequestContext;
use super::state::Gateway;
use super::{ResponseKind, RoutingDecision};
use crate::http::{ConnectFault, Connection, Outgoing};
use crate::prelude::*;
use crate::replicas::ReplicaKey;

/// A request on its way to an endpoint.
#[derive(Clone)]
pub(super) struct EndpointRequest {
    pub(super) request: Arc<str>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// The caller's headers that an endpoint may see.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) order: RoutingDecision,
    /// Parts of its prompt, as hashes, with their tokens.
    pub(super) parts: Vec<(u64, u64)>,
    /// What its crashes are counted under.
    pub(super) crash_key: u64,
    /// When its time is over.
    pub(super) ends_at: TimeMs,
}

/// An endpoint that says nothing for this many times its route's target is silent: a loaded
/// engine takes up to about twice the target.
const SILENT_TARGETS: u64 = 3;

/// The shortest silence that counts: what a lost packet costs, twice.
const SILENT_LEAST_MS: u64 = 500;

/// An answer may have come while this process stood still; it is looked for once more after this time:
/// what a busy process takes to read all that waits.
const OWN_DELAY_MS: u64 = 30;

/// Marks a request as running at an endpoint, and holds its connection.
pub(super) struct Lease {
    gateway: Rc<Gateway>,
    pub(super) endpoint: ReplicaKey,
    pub(super) endpoint_id: Arc<str>,
    connection: Option<Connection>,
    /// Since when something is awaited of the endpoint; none while the request waits for others: its
    /// caller, or the store.
    awaited_since: Cell<Option<TimeMs>>,
    silent_after_ms: u64,
    judged: Cell<bool>,
}

impl Lease {
    fn open(
        gateway: &Rc<Gateway>,
        job: &EndpointRequest,
        endpoint: ReplicaKey,
        id: Arc<str>,
    ) -> Lease {
        gateway.directory.borrow_mut().record_sent(gateway.now(), endpoint);
        Lease {
            gateway: gateway.clone(),
            endpoint,
            endpoint_id: id,
            connection: None,
            awaited_since: Cell::new(Some(gateway.now())),
            silent_after_ms: (SILENT_TARGETS * job.order.target_ms).max(SILENT_LEAST_MS),
            judged: Cell::new(false),
        }
    }

    /// Something of the answer came; nothing more is awaited for now.
    pub(super) fn heard(&self) {
        self.awaited_since.set(None);
    }

    /// More of the answer is awaited.
    pub(super) fn listen(&self) {
        self.awaited_since.set(Some(self.gateway.now()));
    }

    /// The answer was read whole: the connection serves the next request. An endpoint that answers
    /// with a fault of its own has not served it.
    pub(super) fn finish(mut self, status: StatusCode) {
        let now = self.gateway.now();
        let failed = status == StatusCode::INTERNAL_SERVER_ERROR;
        match (failed, self.judged.replace(true)) {
            (true, false) => self.gateway.record_endpoint_failure(self.endpoint),
            (true, true) => {}
            (false, _) => self.gateway.directory.borrow_mut().record_success(now, self.endpoint),
        }
        if let Some(connection) = self.connection.take() {
            self.gateway.connections.keep(now, connection);
        }
    }

    /// The endpoint broke off; whoever says so counts it.
    pub(super) fn broken(self) {
        self.judged.set(true);
    }

    /// Counts a silent endpoint as failing, once for a request: it may hold its requests until their
    /// callers leave, which no error ever tells. One that has more to run than slots is only busy.
    ///
    /// Yields whether it does.
    pub(super) fn judge_silence(&self) -> bool {
        let Some(since) = self.awaited_since.get() else {
            return false;
        };
        let silent_ms = self.gateway.now().since(since);
        if silent_ms < self.silent_after_ms || self.judged.get() {
            return false;
        }
        let directory = self.gateway.directory.borrow();
        let replica = directory.get(self.endpoint);
        let busy = replica.is_none_or(|r| r.load() > r.announcement.slots);
        drop(directory);
        self.judged.set(true);
        if !busy {
            log::info!(endpoint:% = self.endpoint_id, silent_ms; "an endpoint is silent");
            self.gateway.record_endpoint_failure(self.endpoint);
        }
        !busy
    }

    /// How long an endpoint may say nothing.
    pub(super) fn silent_after_ms(&self) -> u64 {
        self.silent_after_ms
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.judge_silence();
        self.gateway.directory.borrow_mut().record_finished(self.endpoint);
    }
}

/// The head of an endpoint's own answer; its body is still to come.
pub(super) struct Answer {
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) lease: Lease,
}

/// What became of one attempt.
pub(super) enum Attempted {
    /// The endpoint's own answer.
    Answered(Box<Answer>),
    /// The endpoint says that it has not run the request.
    NotRun,
    /// Nothing was sent: by now the endpoint may get nothing, or nothing more.
    Withheld,
    /// Nothing was sent; whether a kept connection had gone stale.
    NeverSent {
        /// The endpoint may still be sound: only the kept connection was not.
        stale_connection: bool,
    },
    /// It was sent, and the endpoint has said nothing for too long. It may have run.
    Silent,
    /// It was sent and may have run.
    Unknown,
}

/// Sends a request to one endpoint and waits for the head of its answer.
///
/// An answer whose first events the caller has goes on behind the event named `last_event`.
pub(super) async fn attempt(
    gateway: &Rc<Gateway>,
    job: &EndpointRequest,
    endpoint: ReplicaKey,
    last_event: Option<&str>,
) -> Attempted {
    let Some((address, id)) = gateway.endpoint(endpoint) else {
        return Attempted::NeverSent { stale_connection: false };
    };
    let mut connection = match gateway.connections.take(gateway.now(), address).await {
        Ok(connection) => connection,
        Err(ConnectFault::Refused | ConnectFault::Unreachable) => {
            return Attempted::NeverSent { stale_connection: false };
        }
    };
    let Some(request) = compose(gateway, job, &id, last_event) else {
        return Attempted::NeverSent { stale_connection: false };
    };
    // Opening the connection may have taken long, and other requests went there meanwhile.
    if !gateway.directory.borrow().may_send(gateway.now(), endpoint) {
        gateway.connections.keep(gateway.now(), connection);
        return Attempted::Withheld;
    }
    let mut lease = Lease::open(gateway, job, endpoint, id);
    let answer = connection.sender.try_send_request(request);
    let answer = match heard_within(&lease, answer, job.order.repeat.may_run_again()).await {
        Some(answer) => answer,
        None => return Attempted::Silent,
    };
    match answer {
        Ok(answer) => {
            lease.heard();
            let (head, body) = answer.into_parts();
            match gateway.protocol.classify_reply(&head, &job.request) {
                ResponseKind::NotRun => Attempted::NotRun,
                ResponseKind::Untrusted => Attempted::Unknown,
                ResponseKind::Own => {
                    if let Some(idle_ms) = keep_alive_ms(&head.headers) {
                        connection.idle_most_ms = idle_ms;
                    }
                    lease.connection = Some(connection);
                    Attempted::Answered(Box::new(Answer { head, body, lease }))
                }
            }
        }
        Err(mut fault) => {
            lease.broken();
            match fault.take_message() {
                Some(_) => Attempted::NeverSent { stale_connection: connection.reused },
                None => Attempted::Unknown,
            }
        }
    }
}

/// Waits for an answer. A silent endpoint is counted as failing while the request still waits; what
/// may run again is not left to it.
async fn heard_within<T>(
    lease: &Lease,
    answer: impl Future<Output = T>,
    may_repeat: bool,
) -> Option<T> {
    let mut answer = std::pin::pin!(answer);
    for wait_ms in [lease.silent_after_ms, OWN_DELAY_MS] {
        tokio::select! {
            biased;
            answer = answer.as_mut() => return Some(answer),
            () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
        }
    }
    lease.judge_silence();
    match may_repeat {
        true => None,
        false => Some(answer.await),
    }
}

fn compose(
    gateway: &Gateway,
    job: &EndpointRequest,
    id: &str,
    last_event: Option<&str>,
) -> Option<Request<Outgoing>> {
    let mut request = Request::new(Outgoing::whole(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = job.headers.clone();
    let left_ms = job.ends_at.since(gateway.now());
    let addressed = RequestContext {
        endpoint: id,
        workspace: &job.order.workspace,
        left_ms,
        priority: job.order.repeat.is_stream().then_some(job.order.priority),
        pin_ms: None,
        last_event,
    };
    gateway.protocol.set_endpoint_headers(request.headers_mut(), &addressed);
    (left_ms > 0).then_some(request)
}

/// Half of the time for which the other end keeps a connection, so that a request never meets its
/// closing.
fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse::<u64>().ok().map(|seconds| seconds * 500)
}
