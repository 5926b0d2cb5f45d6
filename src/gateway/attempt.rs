use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use http::{HeaderMap, Method, Request, StatusCode, Uri, response};
use hyper::body::{Bytes, Incoming};
use tokio::sync::Notify;

use super::in_flight::{Progress, Wait};
use super::ports::RequestContext;
use super::state::Gateway;
use super::suspects::CrashKey;
use super::{ResponseKind, RoutingDecision};
use crate::http::{ConnectError, Connection, RequestBody, is_body_decoded};
use crate::load::Work;
use crate::prelude::*;
use crate::replicas::ReplicaKey;

/// A request to be sent to an endpoint.
#[derive(Clone)]
pub(super) struct EndpointRequest {
    /// The request's ID.
    pub(super) request: Arc<str>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// The caller's headers, without those that must not reach an endpoint.
    pub(super) headers: HeaderMap,
    /// What the endpoint runs: the caller's body, after the history if that is kept.
    pub(super) body: Bytes,
    pub(super) routing: RoutingDecision,
    /// Parts of the prompt: hash and number of tokens of each.
    pub(super) parts: Vec<(u64, u64)>,
    /// Key under which endpoint crashes caused by this request are counted.
    pub(super) crash_key: CrashKey,
    /// The request's deadline.
    pub(super) deadline: TimeMs,
    pub(super) progress: Rc<Progress>,
}

impl EndpointRequest {
    /// Replaces the body, and with it what the request may be suspected of.
    pub(super) fn set_body(&mut self, body: Bytes) {
        self.crash_key = CrashKey::of(&self.routing.workspace, self.uri.path(), &body);
        self.body = body;
    }
}

/// An endpoint counts as silent after this many times the route's target latency without a byte. A
/// loaded endpoint takes up to about twice the target.
const SILENCE_TARGET_FACTOR: u64 = 3;

/// Lower bound for the time until an endpoint counts as silent: twice the delay caused by a lost
/// packet.
const MIN_SILENCE_MS: u64 = 500;

/// The most informational responses (status 1xx) before a response. Endpoints have no reason to send
/// more than a few.
const MAX_INFORMATIONAL_RESPONSES: u32 = 20;

/// Extra wait before an endpoint is judged silent. Its response may have arrived while this process
/// was paused; a busy process takes this long to read everything that is queued.
const READ_BACKLOG_MS: u64 = 30;

/// Counts a request as in flight at an endpoint until dropped, and holds the connection.
pub(super) struct InFlightGuard {
    gateway: Rc<Gateway>,
    pub(super) endpoint: ReplicaKey,
    pub(super) endpoint_id: Arc<str>,
    pub(super) sent_at: TimeMs,
    /// What decides how long the endpoint takes, if its service is under load control.
    pub(super) work: Option<Work>,
    connection: Option<Connection>,
    /// Since when the request has been waiting for the endpoint; none while it waits for its caller
    /// or for the store.
    waiting_since: Cell<Option<TimeMs>>,
    silent_after_ms: u64,
    /// Whether the outcome of this request was already counted for or against the endpoint.
    outcome_recorded: Cell<bool>,
}

impl InFlightGuard {
    fn open(
        gateway: &Rc<Gateway>,
        endpoint_request: &EndpointRequest,
        endpoint: ReplicaKey,
        id: Arc<str>,
    ) -> InFlightGuard {
        let now = gateway.now();
        let work = gateway.work_to_measure(endpoint_request, endpoint);
        gateway.directory.borrow_mut().record_sent(now, endpoint);
        InFlightGuard {
            gateway: gateway.clone(),
            endpoint,
            endpoint_id: id,
            sent_at: now,
            work,
            connection: None,
            waiting_since: Cell::new(Some(now)),
            silent_after_ms: (SILENCE_TARGET_FACTOR * endpoint_request.routing.target_ms)
                .max(MIN_SILENCE_MS),
            outcome_recorded: Cell::new(false),
        }
    }

    /// Stops the silence timer: part of the response has arrived.
    pub(super) fn stop_silence_timer(&self) {
        self.waiting_since.set(None);
    }

    /// Restarts the silence timer: more of the response is expected from now on.
    pub(super) fn start_silence_timer(&self) {
        self.waiting_since.set(Some(self.gateway.now()));
    }

    /// Records that the response was read completely, and returns the connection to the pool.
    /// Status 500 is the endpoint's own error and counts as a failure.
    pub(super) fn finish(mut self, status: StatusCode) {
        let now = self.gateway.now();
        let failed = status == StatusCode::INTERNAL_SERVER_ERROR;
        match (failed, self.outcome_recorded.replace(true)) {
            (true, false) => self.gateway.record_endpoint_failure(self.endpoint),
            (true, true) => {}
            (false, _) => self.gateway.directory.borrow_mut().record_success(now, self.endpoint),
        }
        if let Some(connection) = self.connection.take() {
            self.gateway.connections.put_back(now, connection);
        }
    }

    /// Ends the request after the endpoint broke off. The caller of this function counts the
    /// failure.
    pub(super) fn abandon(self) {
        self.outcome_recorded.set(true);
    }

    /// Counts a silent endpoint as failed, at most once per request, and returns whether it did. A
    /// stalled endpoint may keep its requests until their callers disconnect, which produces no
    /// error. An endpoint with more requests than slots is busy and is not counted; it may then be
    /// silent for as long again.
    pub(super) fn check_silence(&self) -> bool {
        let now = self.gateway.now();
        let Some(since) = self.waiting_since.get() else {
            return false;
        };
        let silent_ms = now.since(since);
        if silent_ms < self.silent_after_ms || self.outcome_recorded.get() {
            return false;
        }
        let directory = self.gateway.directory.borrow();
        let replica = directory.get(self.endpoint);
        let busy = replica.is_none_or(|r| r.load(now) > r.announcement.slots);
        drop(directory);
        if busy {
            self.start_silence_timer();
            return false;
        }
        self.outcome_recorded.set(true);
        log::info!(endpoint:% = self.endpoint_id, silent_ms;
            "endpoint did not respond in time; counted as failed");
        self.gateway.record_endpoint_failure(self.endpoint);
        true
    }

    /// How long the endpoint may send nothing before it counts as silent.
    pub(super) fn silent_after_ms(&self) -> u64 {
        self.silent_after_ms
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.check_silence();
        let now = self.gateway.now();
        self.gateway.directory.borrow_mut().record_finished(now, self.endpoint);
    }
}

/// The head of an endpoint's verified response, with the body still to be read.
pub(super) struct EndpointResponse {
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) in_flight: InFlightGuard,
}

/// Outcome of one attempt at an endpoint.
pub(super) enum AttemptOutcome {
    /// The endpoint responded.
    Responded(Box<EndpointResponse>),
    /// The endpoint states that it has not run the request.
    NotRun,
    /// Nothing was sent: since the endpoint was chosen, it has left, its failure domain was
    /// evacuated, or this entry's limit for it while it is cold was used up; or the request was given
    /// up.
    Withheld,
    /// Nothing was sent: the request's deadline has passed. This says nothing about the endpoint.
    Expired,
    /// Nothing was sent: the connection failed, or the endpoint is gone.
    NeverSent {
        /// Whether the connection that failed came from the pool; the endpoint itself may then be
        /// healthy.
        stale_connection: bool,
    },
    /// The request was sent and the endpoint did not respond in time. It may have run.
    Silent,
    /// The request was sent and may have run.
    Unknown,
}

/// Sends a request to one endpoint and waits for the head of its response.
///
/// If the caller already has the first events of a stream, `last_event` is the ID of the last of
/// them, and the endpoint resumes after it.
pub(super) async fn attempt(
    gateway: &Rc<Gateway>,
    endpoint_request: &EndpointRequest,
    endpoint: ReplicaKey,
    last_event: Option<&str>,
) -> AttemptOutcome {
    let Some((address, id)) = gateway.endpoint(endpoint) else {
        return AttemptOutcome::NeverSent { stale_connection: false };
    };
    let mut connection = match gateway.connections.take(gateway.now(), address).await {
        Ok(connection) => connection,
        Err(ConnectError::Refused | ConnectError::Unreachable) => {
            return AttemptOutcome::NeverSent { stale_connection: false };
        }
    };
    let Some(mut request) = build_request(gateway, endpoint_request, &id, last_event) else {
        gateway.connections.put_back(gateway.now(), connection);
        log::info!(request:% = endpoint_request.request, endpoint:% = id;
            "request's deadline passed before it was sent");
        return AttemptOutcome::Expired;
    };
    // Opening the connection may have taken long: meanwhile, the endpoint may have begun to shut
    // down, its failure domain may have been evacuated, or other requests may have used up the
    // limit of a cold endpoint.
    if !gateway.directory.borrow().may_send(gateway.now(), endpoint) {
        gateway.connections.put_back(gateway.now(), connection);
        return AttemptOutcome::Withheld;
    }
    let progress = &endpoint_request.progress;
    if !progress.begin_send() {
        gateway.connections.put_back(gateway.now(), connection);
        return AttemptOutcome::Withheld;
    }
    log_sent(gateway, endpoint_request, &id);
    progress.set_wait(Wait::Endpoint);
    let mut in_flight = InFlightGuard::open(gateway, endpoint_request, endpoint, id);
    let too_many_informational = limit_informational_responses(&mut request);
    let response = connection.sender.try_send_request(request);
    let may_repeat = endpoint_request.routing.repeat.may_run_again();
    let response = tokio::select! {
        response = wait_for_response(&in_flight, response, may_repeat) => response,
        () = too_many_informational.notified() => {
            in_flight.abandon();
            return AttemptOutcome::Unknown;
        }
    };
    let Some(response) = response else {
        return AttemptOutcome::Silent;
    };
    match response {
        Ok(response) => {
            in_flight.stop_silence_timer();
            let (head, body) = response.into_parts();
            match gateway.protocol.classify_reply(&head, &endpoint_request.request) {
                ResponseKind::NotRun => {
                    progress.record_not_run();
                    AttemptOutcome::NotRun
                }
                ResponseKind::Untrusted => AttemptOutcome::Unknown,
                // The only such response that hyper returns is a change of the protocol (status 101),
                // which no request asks for.
                ResponseKind::Own if head.status.is_informational() => AttemptOutcome::Unknown,
                ResponseKind::Own if !is_body_decoded(&head.headers) => {
                    log::info!(request:% = endpoint_request.request,
                        endpoint:% = in_flight.endpoint_id;
                        "endpoint's response is in a transfer coding that is not decoded; not used");
                    AttemptOutcome::Unknown
                }
                ResponseKind::Own => {
                    if let Some(idle_ms) = keep_alive_ms(&head.headers) {
                        connection.max_idle_ms = idle_ms;
                    }
                    in_flight.connection = Some(connection);
                    AttemptOutcome::Responded(Box::new(EndpointResponse { head, body, in_flight }))
                }
            }
        }
        Err(mut fault) => {
            in_flight.abandon();
            match fault.take_message() {
                Some(_) => {
                    progress.record_not_run();
                    AttemptOutcome::NeverSent { stale_connection: connection.reused }
                }
                None => AttemptOutcome::Unknown,
            }
        }
    }
}

/// Waits for a part of a response. When the endpoint is silent, it is counted as failed unless it is
/// busy, and if `may_give_up`, [`None`] is returned.
pub(super) async fn wait_unless_silent<T>(
    in_flight: &InFlightGuard,
    may_give_up: bool,
    part: impl Future<Output = T>,
) -> Option<T> {
    let mut part = std::pin::pin!(part);
    let silent_after = Duration::from_millis(in_flight.silent_after_ms);
    loop {
        tokio::select! {
            biased;
            part = part.as_mut() => return Some(part),
            () = tokio::time::sleep(silent_after) => {}
        }
        if in_flight.check_silence() && may_give_up {
            return None;
        }
    }
}

/// Waits for a response. When it does not arrive in time, the endpoint is counted as failed unless
/// it is busy. A request that may be repeated then gives up on it (returns [`None`]), even if it is
/// busy; any other request waits on, and a busy endpoint is judged again.
async fn wait_for_response<T>(
    in_flight: &InFlightGuard,
    response: impl Future<Output = T>,
    may_repeat: bool,
) -> Option<T> {
    let mut response = std::pin::pin!(response);
    loop {
        for wait_ms in [in_flight.silent_after_ms, READ_BACKLOG_MS] {
            tokio::select! {
                biased;
                response = response.as_mut() => return Some(response),
                () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
            }
        }
        in_flight.check_silence();
        if may_repeat {
            return None;
        }
    }
}

/// Limits the informational responses to a request, which the client skips. Returns what is notified
/// when there are more.
fn limit_informational_responses(request: &mut Request<RequestBody>) -> Arc<Notify> {
    let exceeded = Arc::new(Notify::new());
    let (received, notify) = (AtomicU32::new(0), exceeded.clone());
    hyper::ext::on_informational(request, move |_| {
        if received.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL_RESPONSES {
            notify.notify_one();
        }
    });
    exceeded
}

/// Logs which endpoint gets a request, and the state of the endpoint list that it was chosen by.
fn log_sent(gateway: &Gateway, endpoint_request: &EndpointRequest, endpoint: &str) {
    let version = gateway.endpoint_list.version();
    let list_position = version.map_or(0, |version| version.position.0);
    let list_age_ms = version.map_or(u64::MAX, |version| gateway.now().since(version.read_at));
    log::info!(request:% = endpoint_request.request, endpoint, list_position, list_age_ms;
        "request sent to an endpoint");
}

/// Builds the request to an endpoint; [`None`] if the request's deadline has passed.
fn build_request(
    gateway: &Gateway,
    endpoint_request: &EndpointRequest,
    id: &str,
    last_event: Option<&str>,
) -> Option<Request<RequestBody>> {
    let mut request = Request::new(RequestBody::full(endpoint_request.body.clone()));
    *request.method_mut() = endpoint_request.method.clone();
    *request.uri_mut() = endpoint_request.uri.clone();
    *request.headers_mut() = endpoint_request.headers.clone();
    let left_ms = endpoint_request.deadline.since(gateway.now());
    let context = RequestContext {
        endpoint: id,
        workspace: &endpoint_request.routing.workspace,
        left_ms,
        priority: endpoint_request
            .routing
            .repeat
            .is_stream()
            .then_some(endpoint_request.routing.priority),
        pin_ms: None,
        last_event,
    };
    gateway.protocol.set_endpoint_headers(request.headers_mut(), &context);
    (left_ms > 0).then_some(request)
}

/// Half of the idle timeout that the server announces in `keep-alive`, in milliseconds. With this
/// margin, no request is sent on a connection that the server is about to close.
pub(super) fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse::<u64>().ok().map(|seconds| seconds * 500)
}
