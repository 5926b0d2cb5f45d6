use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Method, Uri};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::fakes;
use crate::catalog::RepeatPolicy;
use crate::gateway::Refusal;
use crate::gateway::attempt::{AttemptOutcome, EndpointRequest, attempt};
use crate::gateway::dispatch::Dispatch;
use crate::gateway::event_stream::{EventStream, ResponseStart};
use crate::gateway::in_flight::Progress;
use crate::gateway::state::Gateway;
use crate::gateway::suspects::CrashKey;
use crate::prelude::*;
use crate::replicas::{Announcement, ColdLimits, EndpointChange, ReplicaKey};
use crate::turns::EventReader;

pub(super) fn endpoint_request() -> EndpointRequest {
    EndpointRequest {
        request: "r".into(),
        method: Method::POST,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: "x".into(),
        routing: fakes::routing_decision(),
        parts: vec![],
        crash_key: CrashKey(0),
        deadline: TimeMs(60_000),
        progress: Progress::open(TimeMs(0)),
    }
}

pub(super) fn announcement(listener: &TcpListener, draining: bool) -> Announcement {
    Announcement {
        service: "s".into(),
        address: listener.local_addr().expect("the listener is bound"),
        failure_domain: "d".into(),
        slots: 2,
        draining,
        cold_left_ms: 0,
        started_at_ms: 5,
        sequence: 1 + u64::from(draining),
    }
}

/// A gateway and the only endpoint that it knows, at which the test listens.
async fn gateway_with_endpoint() -> (Rc<Gateway>, TcpListener, ReplicaKey) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let gateway = fakes::gateway(fakes::FakeStore::default());
    let change = EndpointChange::Announcement("a".into(), announcement(&listener, false));
    gateway.directory.borrow_mut().apply(gateway.now(), change);
    let endpoint = gateway.directory.borrow().find("a").expect("it is known");
    (gateway, listener, endpoint)
}

/// Receives a request and answers it with `response`, on a connection that stays open.
async fn answer(listener: &TcpListener, response: &[u8]) -> TcpStream {
    let (mut connection, _) = listener.accept().await.expect("the gateway connects");
    let mut head = bytes::BytesMut::new();
    connection.read_buf(&mut head).await.expect("the gateway sends a request");
    connection.write_all(response).await.expect("the gateway reads the response");
    connection
}

/// Sends a request, answers it with the head and the first event of a stream, and stops the time.
async fn open_stream(
    gateway: &Rc<Gateway>,
    listener: &TcpListener,
    request: &Rc<EndpointRequest>,
) -> (EventStream, TcpStream) {
    let head_and_event = b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nid: 1\ndata: x\n\n";
    let opened = EventStream::open(gateway, request, EventReader::default());
    let (opened, connection) =
        futures_util::future::join(opened, answer(listener, head_and_event)).await;
    let Ok((_, ResponseStart::Events(mut events))) = opened else {
        panic!("the endpoint has answered");
    };
    assert!(matches!(events.next_chunk().await, Ok(Some(_))));
    tokio::time::pause();
    (*events, connection)
}

/// Makes an endpoint with two slots busy, for as long as given.
async fn keep_busy(gateway: &Gateway, endpoint: ReplicaKey, busy_ms: u64) {
    for _ in 0..2 {
        gateway.directory.borrow_mut().record_sent(gateway.now(), endpoint);
    }
    tokio::time::sleep(Duration::from_millis(busy_ms)).await;
    for _ in 0..2 {
        gateway.directory.borrow_mut().record_finished(gateway.now(), endpoint);
    }
}

/// The failures that the gateway has counted at an endpoint within the last seconds.
fn failures(gateway: &Gateway, endpoint: ReplicaKey) -> u32 {
    let directory = gateway.directory.borrow();
    let replica = directory.get(endpoint).expect("it is known");
    replica.answers_to_share(gateway.now()).map_or(0, |answers| answers.failures)
}

// An endpoint leaves after it was chosen, while the request waits for a connection: it must not get
// the request any more.
#[test_case(true; "it announces that it is draining")]
#[test_case(false; "its record is removed")]
#[tokio::test]
async fn a_request_is_withheld_from_an_endpoint_that_leaves_after_it_was_chosen(announces: bool) {
    let (gateway, listener, chosen) = gateway_with_endpoint().await;
    let apply = |change| gateway.directory.borrow_mut().apply(gateway.now(), change);
    let leave = async {
        match announces {
            true => {
                let draining = announcement(&listener, true);
                apply(EndpointChange::Announcement("a".into(), draining))
            }
            false => apply(EndpointChange::Removed("a".into())),
        }
    };
    let request = endpoint_request();
    let attempted = async {
        let attempt = attempt(&gateway, &request, chosen, None);
        let (outcome, _) = futures_util::future::join(attempt, leave).await;
        outcome
    };
    // The listener never answers, so a request that was sent would wait for its deadline.
    let attempted = tokio::time::timeout(Duration::from_secs(5), attempted);
    let outcome = tokio::task::LocalSet::new().run_until(attempted).await;
    assert!(matches!(outcome, Ok(AttemptOutcome::Withheld)), "the request was sent");
}

// A request whose time is over was counted as a failure of each endpoint that it was about to be
// sent to. Callers that send late requests could thus make healthy endpoints cold and ejected.
#[tokio::test]
async fn a_request_that_expires_before_it_is_sent_does_not_count_against_the_endpoint() {
    let (gateway, _listener, endpoint) = gateway_with_endpoint().await;
    let limits = ColdLimits { duration_ms: 3_000, ..ColdLimits::default() };
    gateway.directory.borrow_mut().set_cold_limits([("s".into(), limits)].into());
    let (address, _) = gateway.endpoint(endpoint).expect("it is known");
    let request = Rc::new(EndpointRequest { deadline: TimeMs(0), ..endpoint_request() });
    let attempted = async {
        let connection = gateway.connections.open(address).await.expect("the endpoint listens");
        gateway.connections.put_back(gateway.now(), connection);
        while !gateway.connections.has_idle(gateway.now(), address) {
            tokio::task::yield_now().await;
        }
        Dispatch::open(&gateway, &request).next_response().await
    };
    let tasks = tokio::task::LocalSet::new();
    let outcome = tasks.run_until(attempted).await;
    assert!(matches!(outcome, Err(Refusal::Unavailable { .. })), "it has not run");
    assert_eq!(failures(&gateway, endpoint), 0);
    let directory = gateway.directory.borrow();
    let replica = directory.get(endpoint).expect("it is known");
    assert!(!replica.is_cold(gateway.now()), "the endpoint was assumed to be cold");
    assert!(gateway.connections.has_idle(gateway.now(), address), "its connection was closed");
}

// Every stream that was still running at its deadline was counted as a failure of its endpoint. In
// an overload, when many streams are late, healthy endpoints could be ejected.
#[test_case(20_000, 0; "while the endpoint may still be silent")]
#[test_case(40_000, 1; "after the endpoint was silent for 30 s")]
#[tokio::test]
async fn a_deadline_counts_against_the_endpoint_of_a_stream_only_after_a_silence(
    left_ms: u64,
    expected: u32,
) {
    let (gateway, listener, endpoint) = gateway_with_endpoint().await;
    let mut request = EndpointRequest { deadline: TimeMs(left_ms), ..endpoint_request() };
    request.routing.target_ms = 10_000;
    let request = Rc::new(request);
    let served = async {
        let (mut events, _connection) = open_stream(&gateway, &listener, &request).await;
        events.next_chunk().await
    };
    let outcome = tokio::task::LocalSet::new().run_until(served).await;
    assert!(matches!(outcome, Err(Refusal::TimedOut)));
    assert_eq!(failures(&gateway, endpoint), expected);
}

// A request that waited at a busy endpoint was no longer judged by silence: an endpoint that stalled
// while it was busy was not counted as failed.
#[test_case(35_000, 1; "silent for 30 s after it was busy")]
#[test_case(61_000, 0; "still busy after 60 s")]
#[tokio::test]
async fn a_silence_after_an_endpoint_was_busy_counts_as_a_failure(busy_ms: u64, expected: u32) {
    let (gateway, listener, endpoint) = gateway_with_endpoint().await;
    let mut request = endpoint_request();
    request.routing.target_ms = 10_000;
    let stalled = async {
        let connection = answer(&listener, b"").await;
        tokio::time::pause();
        keep_busy(&gateway, endpoint, busy_ms).await;
        tokio::time::sleep(Duration::from_millis(62_000 - busy_ms)).await;
        drop(connection);
    };
    let attempted = async {
        tokio::select! {
            _ = attempt(&gateway, &request, endpoint, None) => panic!("it has not answered"),
            () = stalled => {}
        }
    };
    tokio::task::LocalSet::new().run_until(attempted).await;
    assert_eq!(failures(&gateway, endpoint), expected);
}

// A resumable stream waited until its deadline for an endpoint that stalled while it was busy.
#[tokio::test]
async fn a_stream_is_resumed_elsewhere_after_a_silence_that_load_does_not_explain() {
    let (gateway, listener, endpoint) = gateway_with_endpoint().await;
    let mut request = EndpointRequest { deadline: TimeMs(300_000), ..endpoint_request() };
    request.routing.target_ms = 10_000;
    request.routing.attempts = 2;
    request.routing.repeat = RepeatPolicy::ResumableStream;
    let request = Rc::new(request);
    let served = async {
        let (mut events, _connection) = open_stream(&gateway, &listener, &request).await;
        let busy = keep_busy(&gateway, endpoint, 35_000);
        futures_util::future::join(events.next_chunk(), busy).await.0
    };
    let outcome = tokio::task::LocalSet::new().run_until(served).await;
    assert!(matches!(outcome, Err(Refusal::OutcomeUnknown)), "no other endpoint is known");
    assert_eq!(failures(&gateway, endpoint), 1);
}
