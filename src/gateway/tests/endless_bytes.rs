//! Endpoints that send bytes without end that are no answer, until their connection is closed.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use http::Method;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::LocalSet;

use super::attempts::{announcement, endpoint_request};
use super::fakes::{FakeStore, gateway_on};
use crate::catalog::RepeatPolicy;
use crate::gateway::Refusal;
use crate::gateway::attempt::EndpointRequest;
use crate::gateway::buffered::serve_buffered;
use crate::gateway::event_stream::{EventStream, ResponseStart};
use crate::gateway::state::Gateway;
use crate::prelude::*;
use crate::replicas::EndpointChange;
use crate::turns::EventReader;

/// Time limit of the requests, far beyond the silence after which an endpoint counts as failed.
const DEADLINE_MS: u64 = 120_000;

/// Time within which an endpoint that sends no answer must be given up.
const GIVEN_UP_MS: u64 = 60_000;

/// Size of the pieces in which the endless bytes are sent.
const PIECE_BYTES: usize = 16 << 10;

/// What the sound endpoint answers to lookups.
const LOOKUP_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// What the sound endpoint answers to turns.
const TURN_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\nid: 1\ndata: x\n\n";

/// A gateway whose only endpoint sends `head` and then `endless` again and again. A second, sound one
/// is listed once the first has a request.
struct Setup {
    gateway: Rc<Gateway>,
    endless: TcpListener,
    sound: TcpListener,
    /// Notified when the gateway has closed the connection to the endless one.
    closed: Notify,
}

impl Setup {
    async fn open() -> Setup {
        let bind = || TcpListener::bind("127.0.0.1:0");
        let endless = bind().await.expect("a port is free");
        let sound = bind().await.expect("a port is free");
        let gateway = gateway_on(Rc::new(FakeStore::default()));
        let setup = Setup { gateway, endless, sound, closed: Notify::new() };
        setup.list("endless", &setup.endless);
        setup
    }

    fn list(&self, id: &str, listener: &TcpListener) {
        let change = EndpointChange::Announcement(id.into(), announcement(listener, false));
        self.gateway.directory.borrow_mut().apply(self.gateway.now(), change);
    }

    fn request(&self, repeat: RepeatPolicy) -> Rc<EndpointRequest> {
        let deadline = self.gateway.now().plus(DEADLINE_MS);
        let mut request = EndpointRequest { method: Method::GET, deadline, ..endpoint_request() };
        request.routing.target_ms = 100;
        request.routing.attempts = 2;
        request.routing.repeat = repeat;
        Rc::new(request)
    }

    /// Serves both endpoints until `asking` has an answer and the connection to the endless one is
    /// closed, within a limit. Returns the answer, and the failures of the endless one that are counted
    /// by then.
    async fn serve<T>(
        &self,
        head: &str,
        endless: &str,
        answer: &[u8],
        asking: impl Future<Output = T>,
    ) -> (T, u32) {
        let send_endless = async {
            loop {
                let mut connection = accept(&self.endless).await;
                self.list("sound", &self.sound);
                let sent = connection.write_all(head.as_bytes()).await;
                let piece = endless.repeat(PIECE_BYTES / endless.len());
                while sent.is_ok() && connection.write_all(piece.as_bytes()).await.is_ok() {}
                self.closed.notify_one();
            }
        };
        let answer_at_once = async {
            let mut connection = accept(&self.sound).await;
            connection.write_all(answer).await.expect("the gateway reads the answer");
            std::future::pending::<()>().await;
        };
        let asking = async {
            let answered = (asking.await, self.failures_of_endless());
            self.closed.notified().await;
            answered
        };
        let asking = tokio::time::timeout(Duration::from_millis(GIVEN_UP_MS), asking);
        let served = async {
            tokio::select! {
                asked = asking => asked.expect("the endpoint was not given up"),
                () = send_endless => unreachable!("it never ends"),
                () = answer_at_once => unreachable!("it never ends"),
            }
        };
        LocalSet::new().run_until(served).await
    }

    fn failures_of_endless(&self) -> u32 {
        let directory = self.gateway.directory.borrow();
        let key = directory.find("endless").expect("it is known");
        let replica = directory.get(key).expect("it is known");
        // Counts lapse some seconds after a failure; at time zero, none has lapsed yet.
        replica.answers_to_share(TimeMs(0)).map_or(0, |answers| answers.failures)
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    let (mut connection, _) = listener.accept().await.expect("the gateway connects");
    let mut request = BytesMut::new();
    connection.read_buf(&mut request).await.expect("the gateway sends a request");
    connection
}

// A lookup waited until its time was over for an endpoint that never came to an end, and its bytes were
// kept in memory.
#[test_case("HTTP/1.1 200 ", "a"; "status line")]
#[test_case("HTTP/1.1 200 OK\r\nx: ", "a"; "header line")]
#[test_case("HTTP/1.1 200 OK\r\n", "x: y\r\n"; "headers")]
#[test_case("", "\r\n"; "empty lines")]
#[test_case("", "HTTP/1.1 103 Early Hints\r\n\r\n"; "informational responses")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0"; "chunk size")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1", " "; "spaces after a chunk size")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "a"; "chunk extension")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n"; "trailers")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"; "chunks")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "a"; "body without a length")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "a"; "body of a huge length")]
#[tokio::test]
async fn a_lookup_leaves_an_endpoint_whose_bytes_never_end(head: &str, endless: &str) {
    let setup = Setup::open().await;
    let request = setup.request(RepeatPolicy::Idempotent);
    let asking = serve_buffered(&setup.gateway, &request);
    let (answered, failures) = setup.serve(head, endless, LOOKUP_ANSWER, asking).await;
    assert!(answered.is_ok(), "not answered by the sound endpoint");
    assert_eq!(failures, 1);
}

// A turn waited until its time was over for an endpoint that never came to an end, and a line of its
// events was kept in memory however long it was.
#[test_case("HTTP/1.1 200 OK\r\nx: ", "a"; "header line")]
#[test_case("", "HTTP/1.1 103 Early Hints\r\n\r\n"; "informational responses")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1", " "; "spaces after a chunk size")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "a"; "line of an event")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "data: a\n"; "lines of an event")]
#[tokio::test]
async fn a_resumable_turn_leaves_an_endpoint_whose_bytes_never_end(head: &str, endless: &str) {
    let setup = Setup::open().await;
    let request = setup.request(RepeatPolicy::ResumableStream);
    let asking = first_chunk(&setup.gateway, &request);
    let (answered, failures) = setup.serve(head, endless, TURN_ANSWER, asking).await;
    assert!(answered.is_ok(), "not answered by the sound endpoint");
    assert_eq!(failures, 1);
}

// The same, for a turn that may not run twice: its caller was not told before its time was over.
#[test_case("HTTP/1.1 200 OK\r\nx: ", "a"; "header line")]
#[test_case("", "HTTP/1.1 103 Early Hints\r\n\r\n"; "informational responses")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "a"; "line of an event")]
#[tokio::test]
async fn a_turn_breaks_off_when_the_bytes_of_its_endpoint_never_end(head: &str, endless: &str) {
    let setup = Setup::open().await;
    let request = setup.request(RepeatPolicy::Stream);
    let asking = whole(&setup.gateway, &request);
    let (answered, failures) = setup.serve(head, endless, TURN_ANSWER, asking).await;
    assert_eq!(answered, Err(Refusal::OutcomeUnknown));
    assert_eq!(failures, 1);
}

/// Opens the stream of a turn.
async fn open(
    gateway: &Rc<Gateway>,
    request: &Rc<EndpointRequest>,
) -> Result<Box<EventStream>, Refusal> {
    match EventStream::open(gateway, request, EventReader::collecting_output()).await?.1 {
        ResponseStart::Events(events) => Ok(events),
        ResponseStart::Failure(_) => panic!("the endpoint has not answered with an error"),
    }
}

async fn first_chunk(gateway: &Rc<Gateway>, request: &Rc<EndpointRequest>) -> Result<(), Refusal> {
    open(gateway, request).await?.next_chunk().await.map(drop)
}

async fn whole(gateway: &Rc<Gateway>, request: &Rc<EndpointRequest>) -> Result<(), Refusal> {
    let mut events = open(gateway, request).await?;
    while events.next_chunk().await?.is_some() {}
    Ok(())
}
