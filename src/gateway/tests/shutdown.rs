use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join;
use http::{Response, StatusCode};
use hyper::body::Bytes;
use hyper::service::service_fn;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::Instant;

use super::fakes::{self, FakeStore};
use crate::gateway::ResponseBody;
use crate::gateway::current_response::CurrentResponse;
use crate::gateway::in_flight::Progress;
use crate::gateway::server::{drive_connection, status_response};
use crate::gateway::shutdown::{ShutdownSchedule, finish_in_flight, until_answers_are_due};
use crate::gateway::state::Gateway;
use crate::http::BodyGate;
use crate::prelude::*;

/// The grace period of the gateways in these tests.
const GRACE_MS: u64 = 8_000;

/// Time after SIGTERM until which a request may be sent that an endpoint still runs at the exit.
const LAST_ACCEPT_MS: u64 = 3_000;

/// How often a choice that may be random is tried.
const TRIES: usize = 50;

/// By how much a busy process is late.
const DELAY_MS: u64 = 200;

/// Time after SIGTERM at which a late reader goes on reading: before answers are due.
const LATE_MS: u64 = 6_000;

/// A response that is far larger than what the connection buffers.
const LONG_BYTES: usize = 1 << 20;

/// What was done with a request before it is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Sent,
    NotRun,
    Forwarded,
    BodyForwarded,
    ForwardEnded,
}

fn apply(progress: &Progress, gate: &Arc<BodyGate>, step: Step) {
    match step {
        Step::Sent => assert!(progress.begin_send()),
        Step::NotRun => progress.record_not_run(),
        Step::Forwarded => assert!(progress.begin_forward(gate)),
        Step::BodyForwarded => gate.open(),
        Step::ForwardEnded => progress.end_forward(),
    }
}

/// Opens a connection whose requests are answered by `service`, as a listener of the gateway does.
fn connect(gateway: &Rc<Gateway>, close: &watch::Sender<bool>, answer: Answer) -> DuplexStream {
    let (client, server) = duplex(1_024);
    let (serving, closing) = (gateway.clone(), close.subscribe());
    gateway.served_connections.spawn_local(async move {
        let service = service_fn(|_| {
            let gateway = serving.clone();
            async move { Ok::<_, Infallible>(serve(&gateway, answer).await) }
        });
        drive_connection(server, service, &CurrentResponse::default(), closing).await;
    });
    client
}

/// How a request of these tests is served.
#[derive(Debug, Clone, Copy)]
enum Answer {
    AtLength,
    Never,
    /// After this many milliseconds.
    After(u64),
}

async fn serve(gateway: &Gateway, answer: Answer) -> Response<ResponseBody> {
    let (progress, running) = gateway.begin_request();
    let served = async {
        match answer {
            Answer::AtLength => Ok(Bytes::from(vec![b'-'; LONG_BYTES])),
            Answer::Never => std::future::pending().await,
            Answer::After(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                Ok(Bytes::new())
            }
        }
    };
    match until_answers_are_due(gateway, &progress, served).await {
        Ok(bytes) => Response::new(ResponseBody::buffered(bytes).with_running_guard(running)),
        Err(refusal) => status_response(match refusal.guarantees_not_run() {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::BAD_GATEWAY,
        }),
    }
}

async fn request(client: &mut DuplexStream) {
    client.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("sent");
}

async fn response(mut client: DuplexStream) -> String {
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.expect("the connection ends");
    String::from_utf8(received).expect("text")
}

// Guards against an exit that comes before the answers were due, and against answers that end a
// request well before the process has to exit.
#[test_case(4_000)]
#[test_case(8_000)]
#[test_case(30_000)]
fn what_is_left_is_answered_in_the_last_sixth_of_the_grace_period(grace_ms: u64) {
    let ShutdownSchedule { accept_ms, answer_ms, exit_ms } = ShutdownSchedule::of_grace(grace_ms);
    assert!(accept_ms < answer_ms && answer_ms < exit_ms && exit_ms < grace_ms);
    assert!(accept_ms + DELAY_MS <= LAST_ACCEPT_MS, "a later stream that is cut off is lost");
    assert!(answer_ms * 6 >= grace_ms * 5, "{answer_ms}");
}

// Guards against an answer that says a request has not run, though an endpoint may run it, and against
// one that leaves it open although it was never sent.
#[test_case(&[], false; "it was never sent")]
#[test_case(&[Step::Sent], true; "an endpoint has it")]
#[test_case(&[Step::Sent, Step::NotRun], false; "an endpoint has refused it")]
#[test_case(&[Step::Sent, Step::Sent, Step::NotRun], true; "the second endpoint has refused it")]
#[test_case(&[Step::Forwarded], false; "another entry has its head")]
#[test_case(&[Step::Forwarded, Step::BodyForwarded], true; "another entry has its body")]
#[test_case(&[Step::Forwarded, Step::ForwardEnded], false; "another entry does not own its shard")]
#[test_case(&[Step::Sent, Step::Forwarded], true; "both")]
fn a_request_that_is_given_up_may_have_run(steps: &[Step], may_have_run: bool) {
    let (progress, gate) = (Progress::open(TimeMs(0)), Arc::new(BodyGate::default()));
    steps.iter().for_each(|step| apply(&progress, &gate, *step));
    assert_eq!(!progress.give_up().guarantees_not_run(), may_have_run);
    assert!(!progress.begin_send(), "it must not be sent after its answer");
    assert!(!progress.begin_forward(&gate), "it must not be forwarded after its answer");
    if steps == [Step::Forwarded] {
        assert!(!gate.close(), "its body must not be sent after its answer");
    }
}

// Guards against a connection that is closed without an answer because the process exits, and against
// an answer that is given up although it comes in time.
#[test_case(Answer::Never, "HTTP/1.1 503", 6_960; "it is answered when the process has to exit")]
#[test_case(Answer::After(6_500), "HTTP/1.1 200", 6_500; "its own answer comes in time")]
#[tokio::test(start_paused = true)]
async fn a_request_in_flight_is_answered_before_the_exit(
    answer: Answer,
    expected: &str,
    exit_ms: u64,
) {
    let gateway = fakes::gateway(FakeStore::default());
    let (close, _) = watch::channel(false);
    let started = Instant::now();
    let exchange = async {
        let mut client = connect(&gateway, &close, answer);
        request(&mut client).await;
        let stopping = finish_in_flight(&gateway, &close, started);
        join(response(client), stopping).await.0
    };
    let received = LocalSet::new().run_until(exchange).await;
    assert!(received.starts_with(expected), "{received:?}");
    let took_ms = started.elapsed().as_millis() as u64;
    assert!((exit_ms..exit_ms + GRACE_MS / 50).contains(&took_ms), "{took_ms}");
}

// Guards against a response that is cut off because its request does not count as in flight any more
// once the connection has taken its bytes, although they are not written.
#[tokio::test(start_paused = true)]
async fn a_response_is_written_to_its_end_before_the_exit() {
    let gateway = fakes::gateway(FakeStore::default());
    let (close, _) = watch::channel(false);
    let started = Instant::now();
    let tasks = LocalSet::new();
    let begun = async {
        let mut client = connect(&gateway, &close, Answer::AtLength);
        request(&mut client).await;
        let mut begin = [0; 512];
        client.read_exact(&mut begin).await.expect("the response begins");
        client
    };
    let client = tasks.run_until(begun).await;
    assert_eq!(gateway.requests.count(), 0, "the connection has taken all of its bytes");
    let reading = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(LATE_MS)).await;
        response(client).await
    });
    tasks.run_until(finish_in_flight(&gateway, &close, started)).await;
    // The exit ends all connections.
    drop(tasks);
    let received = reading.await.expect("no panic");
    assert!(received.len() > LONG_BYTES - 512, "cut off after {} bytes", received.len());
}

// Guards against a connection that closes as idle although a request has arrived on it: both come to a
// process that was held up.
#[tokio::test(start_paused = true)]
async fn a_request_that_has_arrived_is_read_before_its_connection_closes() {
    for _ in 0..TRIES {
        let gateway = fakes::gateway(FakeStore::default());
        let (close, _) = watch::channel(false);
        let exchange = async {
            let mut client = connect(&gateway, &close, Answer::After(0));
            request(&mut client).await;
            let mut first = [0; 512];
            let read = client.read(&mut first).await.expect("the first request is answered");
            assert!(first[..read].starts_with(b"HTTP/1.1 200"), "the first request is served");
            request(&mut client).await;
            close.send_replace(true);
            response(client).await
        };
        let received = LocalSet::new().run_until(exchange).await;
        assert!(received.starts_with("HTTP/1.1 200"), "{received:?}");
    }
}

// Guards against an exit that waits for callers which neither read nor disconnect.
#[tokio::test(start_paused = true)]
async fn the_exit_waits_for_no_reader() {
    let gateway = fakes::gateway(FakeStore::default());
    let (close, _) = watch::channel(false);
    let started = Instant::now();
    let stopping = async {
        let mut client = connect(&gateway, &close, Answer::AtLength);
        request(&mut client).await;
        finish_in_flight(&gateway, &close, started).await;
        drop(client);
    };
    LocalSet::new().run_until(stopping).await;
    assert!(started.elapsed() < Duration::from_millis(GRACE_MS), "{:?}", started.elapsed());
}
