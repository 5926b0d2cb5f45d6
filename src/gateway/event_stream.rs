//! The event stream of one response, which may come from several endpoints in succession.

use std::rc::Rc;

use http::{StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};

use super::Refusal;
use super::attempt::{EndpointRequest, EndpointResponse, InFlightGuard, wait_unless_silent};
use super::collect_response::MAX_RESPONSE_BYTES;
use super::dispatch::Dispatch;
use super::held_for_callers::RequestBytes;
use super::state::Gateway;
use super::stream_times::StreamTimes;
use super::turn::until_deadline;
use crate::load::NoRoom;
use crate::prelude::*;
use crate::replicas::ReplicaKey;
use crate::turns::EventReader;

/// What an incomplete event takes at least to be counted.
const MIN_COUNTED_BYTES: usize = 16 * 1024;

/// How an endpoint's response begins.
pub(super) enum ResponseStart {
    /// With status 2xx, followed by events.
    Events(Box<EventStream>),
    /// With another status.
    Failure(Box<EndpointResponse>),
}

/// The events of a response, passed on as they arrive.
///
/// If the request may be resumed at another endpoint, only complete events are passed on, so that
/// the other endpoint can resume after the last one. An endpoint that breaks off, dies or stalls in
/// the middle of a response then costs the caller a pause instead of the turn.
pub(super) struct EventStream {
    gateway: Rc<Gateway>,
    endpoint_request: Rc<EndpointRequest>,
    dispatch: Dispatch,
    /// None after the endpoint has broken off.
    source: Option<Source>,
    reader: EventReader,
    /// The bytes of an event that is still incomplete.
    partial: Vec<u8>,
    /// Counts what incomplete events and the output take, once it is worth counting.
    assembly: Option<RequestBytes>,
    /// None if the service is not under load control, or the response was resumed.
    times: Option<StreamTimes>,
}

/// The response of the current endpoint.
struct Source {
    body: Incoming,
    in_flight: InFlightGuard,
}

/// Why an endpoint's response did not reach its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The connection failed, the response ended within an event or without any, or an event or the
    /// output to be kept is too long.
    Broken,
    /// The endpoint sent nothing for too long.
    Silent,
    /// The request's deadline has passed.
    TimedOut {
        /// Whether the endpoint had then sent nothing for as long as it may be silent. Otherwise,
        /// the deadline says nothing about the endpoint.
        endpoint_silent: bool,
    },
}

impl Fault {
    fn refusal(self) -> Refusal {
        match self {
            Fault::Broken | Fault::Silent => Refusal::OutcomeUnknown,
            Fault::TimedOut { .. } => Refusal::TimedOut,
        }
    }

    /// Whether the endpoint has failed and its failure is still to be counted. A silence is counted
    /// when it is noticed.
    fn is_uncounted_failure(self) -> bool {
        matches!(self, Fault::Broken | Fault::TimedOut { endpoint_silent: true })
    }
}

/// Summary of a complete response.
pub(super) struct CompletedResponse {
    /// The endpoint that sent the end of the response.
    pub(super) endpoint: ReplicaKey,
    /// The ID of that endpoint.
    pub(super) endpoint_id: Arc<str>,
    /// The data of all events, each followed by a line feed; empty unless the output is to be kept.
    pub(super) output: Vec<u8>,
    /// Time from sending the request to the first event, if it was measured.
    pub(super) first_event_ms: Option<u64>,
}

impl EventStream {
    /// Sends the request, and tries another endpoint if one responds with status 500. Returns the
    /// head of the response, and what follows it.
    pub(super) async fn open(
        gateway: &Rc<Gateway>,
        endpoint_request: &Rc<EndpointRequest>,
        reader: EventReader,
    ) -> Result<(response::Parts, ResponseStart), Refusal> {
        let mut dispatch = Dispatch::open(gateway, endpoint_request);
        let mut response =
            until_deadline(gateway, endpoint_request.deadline, dispatch.next_response()).await??;
        while response.head.status == StatusCode::INTERNAL_SERVER_ERROR
            && dispatch.may_try_another()
        {
            log::info!(request:% = endpoint_request.request;
                "endpoint answered with status 500; trying another endpoint");
            response.in_flight.finish(response.head.status);
            response = until_deadline(gateway, endpoint_request.deadline, dispatch.next_response())
                .await??;
        }
        let head = response.head.clone();
        if !response.head.status.is_success() {
            return Ok((head, ResponseStart::Failure(Box::new(response))));
        }
        let sent_at = response.in_flight.sent_at;
        let times = response.in_flight.work.map(|work| StreamTimes::open(work, sent_at));
        let stream = EventStream {
            gateway: gateway.clone(),
            endpoint_request: endpoint_request.clone(),
            dispatch,
            source: Some(Source { body: response.body, in_flight: response.in_flight }),
            reader,
            partial: Vec::new(),
            assembly: None,
            times,
        };
        Ok((head, ResponseStart::Events(Box::new(stream))))
    }

    /// Number of events so far, including one that is still incomplete.
    pub(super) fn events_begun(&self) -> u64 {
        self.reader.events() + u64::from(!self.reader.at_event_boundary())
    }

    /// The next bytes to pass on; [`None`] at the end of the response.
    pub(super) async fn next_chunk(&mut self) -> Result<Option<Bytes>, Refusal> {
        loop {
            if self.reader.holds_more_than(MAX_RESPONSE_BYTES) {
                self.resume_elsewhere(Fault::Broken).await?;
            }
            match self.read_chunk().await {
                Ok(Some(chunk)) => {
                    let complete = self.complete_events(chunk);
                    self.count_assembly()?;
                    if complete.is_some() {
                        return Ok(complete);
                    }
                }
                Ok(None) if self.is_complete() => return Ok(None),
                Ok(None) => self.resume_elsewhere(Fault::Broken).await?,
                Err(fault) => self.resume_elsewhere(fault).await?,
            }
        }
    }

    /// Finishes a complete response, and returns the connection to the pool.
    pub(super) fn finish(self) -> Option<CompletedResponse> {
        let Source { in_flight, .. } = self.source?;
        let (endpoint, endpoint_id) = (in_flight.endpoint, in_flight.endpoint_id.clone());
        in_flight.finish(StatusCode::OK);
        let service = &self.endpoint_request.routing.service;
        let sample = self.times.and_then(|times| times.sample(service));
        if let Some(sample) = &sample {
            self.gateway.record_turn_times(endpoint, &endpoint_id, sample);
        }
        let first_event_ms = sample.map(|sample| sample.first_event_ms);
        self.gateway.clear_suspect(self.endpoint_request.crash_key);
        let output = self.reader.into_output();
        Some(CompletedResponse { endpoint, endpoint_id, output, first_event_ms })
    }

    /// Whether the response may end here: after a complete event.
    fn is_complete(&self) -> bool {
        self.reader.at_event_boundary() && self.reader.events() > 0
    }

    /// Adds a chunk from the endpoint, and returns what can be passed on now: the whole chunk or,
    /// if the response may be resumed at another endpoint, the events that are complete.
    fn complete_events(&mut self, chunk: Bytes) -> Option<Bytes> {
        let complete_len = self.reader.push(&chunk);
        if let Some(times) = &mut self.times {
            times.record_events(self.reader.events());
        }
        if !self.endpoint_request.routing.repeat.may_run_again() {
            return Some(chunk);
        }
        if complete_len == 0 {
            self.partial.extend_from_slice(&chunk);
            return None;
        }
        let event_start = std::mem::replace(&mut self.partial, chunk[complete_len..].to_vec());
        match event_start.is_empty() {
            true => Some(chunk.slice(..complete_len)),
            false => Some([&event_start, &chunk[..complete_len]].concat().into()),
        }
    }

    /// Counts what incomplete events and the output take. The response ends if there is no room for it.
    fn count_assembly(&mut self) -> Result<(), Refusal> {
        let bytes = self.reader.buffered_bytes() + self.partial.capacity();
        if bytes < MIN_COUNTED_BYTES {
            self.assembly = None;
            return Ok(());
        }
        let now = self.gateway.now();
        let workspace = &self.endpoint_request.routing.workspace;
        let counted = match &mut self.assembly {
            Some(assembly) => assembly.grow_to(now, bytes),
            None => {
                let held = self.gateway.caller_memory.hold_request_bytes(now, workspace, bytes);
                held.map(|held| self.assembly = Some(held))
            }
        };
        counted.map_err(|NoRoom| {
            log::info!(request:% = self.endpoint_request.request, bytes;
                "no room to assemble the events of a response; response broken off");
            Refusal::OutcomeUnknown
        })
    }

    /// The next bytes from the current endpoint. If the response may be resumed at another
    /// endpoint, silence counts as a fault.
    async fn read_chunk(&mut self) -> Result<Option<Bytes>, Fault> {
        let Source { body, in_flight } = self.source.as_mut().ok_or(Fault::Broken)?;
        in_flight.start_silence_timer();
        let read_from = self.gateway.now();
        if let Some(times) = &mut self.times {
            times.begin_read(self.gateway.now());
        }
        let next = until_deadline(&self.gateway, self.endpoint_request.deadline, next_data(body));
        let chunk = match self.dispatch.may_try_another() {
            true => wait_unless_silent(in_flight, true, next).await,
            false => Some(next.await),
        };
        in_flight.stop_silence_timer();
        if let Some(times) = &mut self.times {
            times.end_read(self.gateway.now());
        }
        match chunk {
            Some(Ok(Ok(chunk))) => Ok(chunk),
            Some(Ok(Err(_))) => Err(Fault::Broken),
            Some(Err(_)) => {
                let silent_ms = self.gateway.now().since(read_from);
                let endpoint_silent = silent_ms >= in_flight.silent_after_ms();
                Err(Fault::TimedOut { endpoint_silent })
            }
            None => Err(Fault::Silent),
        }
    }

    /// Resumes the response at another endpoint, after the last complete event. The connection to
    /// the current endpoint is closed first, so that its run ends before the next one begins.
    async fn resume_elsewhere(&mut self, fault: Fault) -> Result<(), Refusal> {
        let Some(Source { body, in_flight }) = self.source.take() else {
            return Err(fault.refusal());
        };
        let endpoint = in_flight.endpoint;
        drop(body);
        in_flight.abandon();
        if fault.is_uncounted_failure() {
            self.dispatch.record_broken_attempt(endpoint).await;
        }
        let last_event = self.reader.last_id().map(|id| String::from_utf8_lossy(id).into_owned());
        let can_resume = self.reader.events() == 0 || last_event.is_some();
        let timed_out = matches!(fault, Fault::TimedOut { .. });
        if timed_out || !can_resume || !self.dispatch.may_try_another() {
            return Err(fault.refusal());
        }
        self.times = None;
        self.partial.clear();
        self.reader.discard_partial_event();
        self.dispatch.resume_after(last_event);
        let response = until_deadline(
            &self.gateway,
            self.endpoint_request.deadline,
            self.dispatch.next_response(),
        )
        .await??;
        let (status, events) = (response.head.status.as_u16(), self.reader.events());
        log::info!(request:% = self.endpoint_request.request,
            endpoint:% = response.in_flight.endpoint_id, status, events, fault:?;
            "another endpoint answered the resume request");
        if !response.head.status.is_success() {
            return Err(fault.refusal());
        }
        self.source = Some(Source { body: response.body, in_flight: response.in_flight });
        Ok(())
    }
}

/// The next data of a body; [`None`] at its end. Trailers and empty frames are skipped.
pub(super) async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, Refusal> {
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
