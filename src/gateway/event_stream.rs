//! The events of one answer, whichever endpoints they come from.

use std::rc::Rc;
use std::time::Duration;

use http::{StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};

use super::Refusal;
use super::attempt::{Answer, EndpointRequest, Lease};
use super::dispatch::Dispatch;
use super::state::Gateway;
use super::turn::within;
use crate::prelude::*;
use crate::replicas::ReplicaKey;
use crate::turns::EventReader;

/// What an endpoint's answer begins as.
pub(super) enum Opened {
    /// Events.
    Events(Box<EventStream>),
    /// The endpoint's own failure.
    Failure(Box<Answer>),
}

/// Events as they come. Those of a request that may go on elsewhere are passed on whole only, so that
/// another endpoint can go on behind the last one: an endpoint that breaks off, dies or falls silent in
/// the middle of an answer costs the caller a pause, where else it loses its turn.
pub(super) struct EventStream {
    gateway: Rc<Gateway>,
    job: Rc<EndpointRequest>,
    dispatch: Dispatch,
    /// The endpoint under way; none once it has broken off.
    source: Option<Source>,
    reader: EventReader,
    /// The bytes of an event that is not whole yet.
    partial: Vec<u8>,
}

struct Source {
    body: Incoming,
    lease: Lease,
}

/// Why an endpoint's answer did not come to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Broken,
    Silent,
    TimedOut,
}

impl Fault {
    fn refusal(self) -> Refusal {
        match self {
            Fault::Broken | Fault::Silent => Refusal::OutcomeUnknown,
            Fault::TimedOut => Refusal::TimedOut,
        }
    }
}

/// What is known of an answer once it has ended.
pub(super) struct Ended {
    /// The endpoint that ended it.
    pub(super) endpoint: ReplicaKey,
    /// Its id.
    pub(super) endpoint_id: Arc<str>,
    /// The data of its events, each followed by a line feed, if it was to be kept.
    pub(super) output: Vec<u8>,
}

impl EventStream {
    /// Sends the request out; yields the head of the first endpoint's answer, and what follows it.
    pub(super) async fn open(
        gateway: &Rc<Gateway>,
        job: &Rc<EndpointRequest>,
        reader: EventReader,
    ) -> Result<(response::Parts, Opened), Refusal> {
        let mut dispatch = Dispatch::open(gateway, job);
        let mut answer = within(gateway, job.ends_at, dispatch.answer()).await??;
        while answer.head.status == StatusCode::INTERNAL_SERVER_ERROR && dispatch.may_go_on() {
            log::info!(request:% = job.request; "failed at an endpoint; tried at another");
            answer.lease.finish(answer.head.status);
            answer = within(gateway, job.ends_at, dispatch.answer()).await??;
        }
        let head = answer.head.clone();
        if !answer.head.status.is_success() {
            return Ok((head, Opened::Failure(Box::new(answer))));
        }
        let source = Some(Source { body: answer.body, lease: answer.lease });
        let (gateway, job, partial) = (gateway.clone(), job.clone(), Vec::new());
        let stream = EventStream { gateway, job, dispatch, source, reader, partial };
        Ok((head, Opened::Events(Box::new(stream))))
    }

    /// Events that have come so far, the one under way included.
    pub(super) fn begun(&self) -> u64 {
        self.reader.events() + u64::from(!self.reader.at_event_boundary())
    }

    /// The next bytes to pass on; nothing at the answer's end.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        loop {
            match self.read().await {
                Ok(Some(piece)) => {
                    if let Some(bytes) = self.take_in(piece) {
                        return Ok(Some(bytes));
                    }
                }
                Ok(None) if self.is_whole() => return Ok(None),
                Ok(None) => self.go_on_elsewhere(Fault::Broken).await?,
                Err(fault) => self.go_on_elsewhere(fault).await?,
            }
        }
    }

    /// The answer is over; the endpoint's connection serves the next request.
    pub(super) fn finish(self) -> Option<Ended> {
        let Source { lease, .. } = self.source?;
        let (endpoint, endpoint_id) = (lease.endpoint, lease.endpoint_id.clone());
        lease.finish(StatusCode::OK);
        self.gateway.clear_suspect(self.job.crash_key);
        Some(Ended { endpoint, endpoint_id, output: self.reader.into_output() })
    }

    fn is_whole(&self) -> bool {
        self.reader.at_event_boundary() && self.reader.events() > 0
    }

    fn take_in(&mut self, piece: Bytes) -> Option<Bytes> {
        let whole = self.reader.push(&piece);
        if !self.job.order.repeat.may_run_again() {
            return Some(piece);
        }
        if whole == 0 {
            self.partial.extend_from_slice(&piece);
            return None;
        }
        let begun = std::mem::replace(&mut self.partial, piece[whole..].to_vec());
        match begun.is_empty() {
            true => Some(piece.slice(..whole)),
            false => Some([&begun, &piece[..whole]].concat().into()),
        }
    }

    /// The next bytes of the endpoint under way. Silence ends an answer that may go on elsewhere.
    async fn read(&mut self) -> Result<Option<Bytes>, Fault> {
        let Source { body, lease } = self.source.as_mut().ok_or(Fault::Broken)?;
        lease.listen();
        let next = within(&self.gateway, self.job.ends_at, next_frame(body));
        let piece = match self.dispatch.may_go_on() {
            true => unless_silent(lease, next).await,
            false => Some(next.await),
        };
        lease.heard();
        match piece {
            Some(Ok(Ok(piece))) => Ok(piece),
            Some(Ok(Err(_))) => Err(Fault::Broken),
            Some(Err(_)) => Err(Fault::TimedOut),
            None => Err(Fault::Silent),
        }
    }

    /// The endpoint broke off; another goes on behind the last whole event. Its connection is closed
    /// first, so that the run there is over before the next begins.
    async fn go_on_elsewhere(&mut self, fault: Fault) -> Result<(), Refusal> {
        let Some(Source { body, lease }) = self.source.take() else {
            return Err(fault.refusal());
        };
        let endpoint = lease.endpoint;
        drop(body);
        lease.broken();
        if fault != Fault::Silent {
            self.dispatch.broke_off(endpoint).await;
        }
        let last_event = self.reader.last_id().map(|id| String::from_utf8_lossy(id).into_owned());
        let is_named = self.reader.events() == 0 || last_event.is_some();
        if fault == Fault::TimedOut || !is_named || !self.dispatch.may_go_on() {
            return Err(fault.refusal());
        }
        self.partial.clear();
        self.reader.discard_partial_event();
        self.dispatch.go_on_behind(last_event);
        let answer = within(&self.gateway, self.job.ends_at, self.dispatch.answer()).await??;
        let (status, events) = (answer.head.status.as_u16(), self.reader.events());
        log::info!(request:% = self.job.request, endpoint:% = answer.lease.endpoint_id, status, events,
            fault:?; "an answer goes on at another endpoint");
        if !answer.head.status.is_success() {
            return Err(fault.refusal());
        }
        self.source = Some(Source { body: answer.body, lease: answer.lease });
        Ok(())
    }
}

/// Waits for something of an endpoint; nothing if the endpoint is silent. One that is only busy is
/// waited for.
async fn unless_silent<T>(lease: &Lease, something: impl Future<Output = T>) -> Option<T> {
    let mut something = std::pin::pin!(something);
    let silent_after = Duration::from_millis(lease.silent_after_ms());
    tokio::select! {
        biased;
        something = something.as_mut() => return Some(something),
        () = tokio::time::sleep(silent_after) => {}
    }
    match lease.judge_silence() {
        true => None,
        false => Some(something.await),
    }
}

/// The next bytes of an endpoint's answer; nothing at its end.
pub(super) async fn next_frame(body: &mut Incoming) -> Result<Option<Bytes>, Refusal> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(_)) => return Err(Refusal::OutcomeUnknown),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if data.is_empty() => {}
                Ok(data) => return Ok(Some(data)),
                Err(_trailers) => {}
            },
        }
    }
}
