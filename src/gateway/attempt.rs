use std::rc::Rc;

use http::{HeaderMap, Method, Request, Uri, response};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};

use super::ports::Addressed;
use super::state::Gateway;
use super::{Order, Reply};
use crate::catalog::Repeat;
use crate::http::{ConnectFault, Connection};
use crate::prelude::*;
use crate::replicas::ReplicaKey;

/// A request on its way to an endpoint.
pub(super) struct Job {
    pub(super) request: Arc<str>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// The caller's headers that an endpoint may see.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) order: Order,
    pub(super) repeat: Repeat,
    /// Parts of its prompt, as hashes, with their tokens.
    pub(super) parts: Vec<(u64, u64)>,
    /// What its crashes are counted under.
    pub(super) suspect: u64,
    /// When its time is over.
    pub(super) ends_at: TimeMs,
}

/// Marks a request as running at an endpoint, and holds its connection.
pub(super) struct Lease {
    gateway: Rc<Gateway>,
    pub(super) endpoint: ReplicaKey,
    pub(super) endpoint_id: Arc<str>,
    connection: Option<Connection>,
}

impl Lease {
    /// The answer was read whole: the connection serves the next request.
    pub(super) fn finish(mut self) {
        self.gateway.directory.borrow_mut().served(self.gateway.now(), self.endpoint);
        if let Some(connection) = self.connection.take() {
            self.gateway.connections.keep(self.gateway.now(), connection);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.gateway.directory.borrow_mut().over(self.endpoint);
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
    /// Nothing was sent; whether a kept connection had gone stale.
    NeverSent {
        /// The endpoint may still be sound: only the kept connection was not.
        stale_connection: bool,
    },
    /// It was sent and may have run.
    Unknown,
}

/// Sends a request to one endpoint and waits for the head of its answer.
pub(super) async fn attempt(gateway: &Rc<Gateway>, job: &Job, endpoint: ReplicaKey) -> Attempted {
    let Some((address, id)) = gateway.endpoint(endpoint) else {
        return Attempted::NeverSent { stale_connection: false };
    };
    let mut connection = match gateway.connections.take(gateway.now(), address).await {
        Ok(connection) => connection,
        Err(ConnectFault::Refused | ConnectFault::Unreachable) => {
            return Attempted::NeverSent { stale_connection: false };
        }
    };
    let Some(request) = compose(gateway, job, &id) else {
        return Attempted::NeverSent { stale_connection: false };
    };
    gateway.directory.borrow_mut().sent(endpoint);
    let mut lease = Lease { gateway: gateway.clone(), endpoint, endpoint_id: id, connection: None };
    match connection.sender.try_send_request(request).await {
        Ok(answer) => {
            let (head, body) = answer.into_parts();
            match gateway.protocol.judge(&head, &job.request) {
                Reply::NotRun => Attempted::NotRun,
                Reply::Foreign => Attempted::Unknown,
                Reply::Own => {
                    if let Some(idle_ms) = keep_alive_ms(&head.headers) {
                        connection.idle_most_ms = idle_ms;
                    }
                    lease.connection = Some(connection);
                    Attempted::Answered(Box::new(Answer { head, body, lease }))
                }
            }
        }
        Err(mut fault) => match fault.take_message() {
            Some(_) => Attempted::NeverSent { stale_connection: connection.reused },
            None => Attempted::Unknown,
        },
    }
}

fn compose(gateway: &Gateway, job: &Job, id: &str) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = job.headers.clone();
    let left_ms = job.ends_at.since(gateway.now());
    let addressed = Addressed {
        endpoint: id,
        workspace: &job.order.workspace,
        left_ms,
        priority: (job.repeat == Repeat::Stream).then_some(job.order.priority),
        pin_ms: None,
    };
    gateway.protocol.address(request.headers_mut(), &addressed);
    (left_ms > 0).then_some(request)
}

/// Half of the time for which the other end keeps a connection, so that a request never meets its
/// closing.
fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse::<u64>().ok().map(|seconds| seconds * 500)
}
