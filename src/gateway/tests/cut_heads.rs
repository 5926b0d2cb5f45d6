//! Endpoints that break off their answers, at any byte and in any framing.

use std::cell::Cell;
use std::rc::Rc;

use http::Response;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use test_case::test_matrix;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

use super::attempts::{announcement, endpoint_request};
use super::fakes::{FakeStore, gateway_on};
use crate::catalog::RepeatPolicy;
use crate::gateway::attempt::EndpointRequest;
use crate::gateway::buffered::serve_buffered;
use crate::gateway::event_stream::{EventStream, ResponseStart};
use crate::gateway::state::Gateway;
use crate::gateway::{Refusal, ResponseBody};
use crate::replicas::EndpointChange;
use crate::turns::EventReader;

/// The body of the answer that is cut: two events.
const BODY: &str = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";

/// The body of the sound endpoint's answers: one more event.
const SOUND_BODY: &str = "id: 3\ndata: z\n\n";

/// The end of each request.
const REQUEST_END: &[u8] = b"\r\n\r\nx";

/// An answer before the one that is cut, on the same connection.
pub(super) const FIRST_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";

/// How the recipient of an answer can tell where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    LengthAfterInformational,
    Chunked,
    ChunkedWithTrailers,
    /// The body ends with the connection.
    None,
}

impl Framing {
    fn head(self) -> &'static str {
        match self {
            Framing::Length => "HTTP/1.1 200 OK\r\nx-id: r\r\ncontent-length: 30\r\n\r\n",
            Framing::LengthAfterInformational => {
                "HTTP/1.1 103 Early Hints\r\nx-id: r\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\n"
            }
            Framing::Chunked | Framing::ChunkedWithTrailers => {
                "HTTP/1.1 200 OK\r\nx-id: r\r\ntransfer-encoding: chunked\r\n\r\n"
            }
            Framing::None => "HTTP/1.1 200 OK\r\nx-id: r\r\nconnection: close\r\n\r\n",
        }
    }

    fn body(self) -> String {
        let (first, second) = BODY.split_at(18);
        let chunks = format!("12\r\n{first}\r\nc\r\n{second}\r\n0\r\n");
        match self {
            Framing::Length | Framing::LengthAfterInformational | Framing::None => BODY.to_string(),
            Framing::Chunked => format!("{chunks}\r\n"),
            Framing::ChunkedWithTrailers => format!("{chunks}x-sum: 1\r\n\r\n"),
        }
    }

    fn answer(self) -> String {
        format!("{}{}", self.head(), self.body())
    }
}

/// How the connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Closed,
    Reset,
}

/// Which request of its connection is answered incompletely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connection {
    Fresh,
    Reused,
}

/// An answer of which only the first bytes are sent.
#[derive(Debug, Clone, Copy)]
struct Cut {
    framing: Framing,
    ending: Ending,
    connection: Connection,
    /// The number of bytes that are sent.
    sent: usize,
}

impl Cut {
    /// All cuts of an answer, up to the one that lacks nothing; on a connection that is reused, every
    /// third.
    fn all(framing: Framing, ending: Ending, connection: Connection) -> impl Iterator<Item = Cut> {
        let step = match connection {
            Connection::Fresh => 1,
            Connection::Reused => 3,
        };
        let sent = (0..=framing.answer().len()).rev().step_by(step);
        sent.map(move |sent| Cut { framing, ending, connection, sent })
    }

    /// The bytes of the body that are sent, in an answer without a length.
    fn body_sent(self) -> Option<&'static str> {
        let sent = self.sent.checked_sub(self.framing.head().len())?;
        Some(&BODY[..sent])
    }

    /// Whether the whole answer is sent, in a framing that shows it.
    fn is_whole(self) -> bool {
        self.framing != Framing::None && self.sent == self.framing.answer().len()
    }

    /// The body that the answer has, if its recipient may take it for complete. An answer without a
    /// length ends with its connection, unless that is reset.
    fn complete_body(self) -> Option<&'static str> {
        match (self.framing, self.ending) {
            (Framing::None, Ending::Closed) => self.body_sent(),
            _ if self.is_whole() => Some(BODY),
            _ => None,
        }
    }

    /// The complete events among the bytes that are sent.
    fn events_sent(self) -> &'static str {
        let answer = self.framing.answer();
        let received: String =
            answer[..self.sent].chars().skip(self.framing.head().len()).collect();
        match (received.contains("data: y\n\n"), received.contains("data: x\n\n")) {
            (true, _) => BODY,
            (false, true) => &BODY[..BODY.len() / 2],
            (false, false) => "",
        }
    }

    /// Whether the reset may overtake the end of a whole answer, so that it counts as incomplete.
    fn may_count_as_cut(self) -> bool {
        self.ending == Ending::Reset
    }
}

/// A gateway whose only endpoint cuts its answer. A second, sound one is listed once the first has the
/// request whose answer is cut.
pub(super) struct Setup {
    pub(super) gateway: Rc<Gateway>,
    pub(super) cutting: TcpListener,
    sound: TcpListener,
    /// The number of requests whose answer was cut.
    requests: Cell<u32>,
    /// The number of requests that the sound endpoint has answered.
    sound_requests: Cell<u32>,
}

impl Setup {
    pub(super) async fn open() -> Setup {
        let bind = || TcpListener::bind("127.0.0.1:0");
        let cutting = bind().await.expect("a port is free");
        let sound = bind().await.expect("a port is free");
        let gateway = gateway_on(Rc::new(FakeStore::default()));
        let (requests, sound_requests) = (Cell::new(0), Cell::new(0));
        let setup = Setup { gateway, cutting, sound, requests, sound_requests };
        setup.list("cutting", &setup.cutting);
        setup
    }

    fn list(&self, id: &str, listener: &TcpListener) {
        let change = EndpointChange::Announcement(id.into(), announcement(listener, false));
        self.gateway.directory.borrow_mut().apply(self.gateway.now(), change);
    }

    pub(super) fn request(&self, repeat: RepeatPolicy) -> Rc<EndpointRequest> {
        let mut request = endpoint_request();
        request.routing.attempts = 2;
        request.routing.repeat = repeat;
        Rc::new(request)
    }

    /// Serves both endpoints until `asking` has an outcome.
    async fn serve<T>(&self, cut: Cut, asking: impl Future<Output = T>) -> T {
        let cut_answers = async {
            loop {
                let mut connection = accept(&self.cutting).await;
                if cut.connection == Connection::Reused && self.requests.get() == 0 {
                    receive(&mut connection).await;
                    send(&mut connection, FIRST_ANSWER).await;
                }
                receive(&mut connection).await;
                self.requests.set(self.requests.get() + 1);
                self.list("sound", &self.sound);
                send(&mut connection, &cut.framing.answer().as_bytes()[..cut.sent]).await;
                if cut.ending == Ending::Reset {
                    connection.set_zero_linger().expect("the socket is open");
                }
            }
        };
        let answer_soundly = async {
            loop {
                let mut connection = accept(&self.sound).await;
                receive(&mut connection).await;
                self.sound_requests.set(self.sound_requests.get() + 1);
                let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\n{SOUND_BODY}");
                send(&mut connection, answer.as_bytes()).await;
            }
        };
        let asking = async {
            if cut.connection == Connection::Reused {
                let request = self.request(RepeatPolicy::AtMostOnce);
                let first = serve_buffered(&self.gateway, &request).await.expect("it is whole");
                assert_eq!(body(first).await, "first");
            }
            asking.await
        };
        let served = async {
            tokio::select! {
                asked = asking => asked,
                () = cut_answers => unreachable!("it never ends"),
                () = answer_soundly => unreachable!("it never ends"),
            }
        };
        LocalSet::new().run_until(served).await
    }

    /// The body of the answer to a call, or its refusal.
    async fn call(&self, cut: Cut, repeat: RepeatPolicy) -> Result<Bytes, Refusal> {
        let request = self.request(repeat);
        let asking = async {
            match serve_buffered(&self.gateway, &request).await {
                Ok(response) => Ok(body(response).await),
                Err(refusal) => Err(refusal),
            }
        };
        self.serve(cut, asking).await
    }

    /// What a stream has passed on, and whether it has ended as complete.
    async fn stream(&self, cut: Cut, repeat: RepeatPolicy) -> (String, Result<(), Refusal>) {
        let request = self.request(repeat);
        let mut passed_on = Vec::new();
        let outcome = self.serve(cut, read_stream(&self.gateway, &request, &mut passed_on)).await;
        (String::from_utf8(passed_on).expect("ASCII"), outcome)
    }
}

pub(super) async fn accept(listener: &TcpListener) -> TcpStream {
    listener.accept().await.expect("the gateway connects").0
}

/// Receives a request. A connection without one waits until the test ends.
pub(super) async fn receive(connection: &mut TcpStream) {
    let mut received = Vec::new();
    while !received.ends_with(REQUEST_END) {
        let read = connection.read_buf(&mut received).await.expect("the connection is open");
        if read == 0 {
            std::future::pending::<()>().await;
        }
    }
}

pub(super) async fn send(connection: &mut TcpStream, bytes: &[u8]) {
    connection.write_all(bytes).await.expect("the gateway reads the answer");
}

pub(super) async fn body(response: Response<ResponseBody>) -> Bytes {
    response.into_body().collect().await.expect("it is buffered").to_bytes()
}

async fn read_stream(
    gateway: &Rc<Gateway>,
    request: &Rc<EndpointRequest>,
    passed_on: &mut Vec<u8>,
) -> Result<(), Refusal> {
    let (_, start) = EventStream::open(gateway, request, EventReader::collecting_output()).await?;
    let ResponseStart::Events(mut events) = start else {
        panic!("the endpoint has not answered with an error");
    };
    while let Some(chunk) = events.next_chunk().await? {
        passed_on.extend_from_slice(&chunk);
    }
    events.finish().map(drop).ok_or(Refusal::OutcomeUnknown)
}

// An answer that is cut anywhere must not reach the caller as a success, and the call must not run again.
#[test_matrix(
    [Framing::Length, Framing::LengthAfterInformational, Framing::Chunked,
        Framing::ChunkedWithTrailers, Framing::None],
    [Ending::Closed, Ending::Reset],
    [Connection::Fresh, Connection::Reused]
)]
#[tokio::test]
async fn a_call_that_may_run_once_is_told_of_a_cut_answer(
    framing: Framing,
    ending: Ending,
    connection: Connection,
) {
    for cut in Cut::all(framing, ending, connection) {
        let setup = Setup::open().await;
        let answered = setup.call(cut, RepeatPolicy::AtMostOnce).await;
        let expected = cut.complete_body().map(Bytes::from).ok_or(Refusal::OutcomeUnknown);
        let counted_as_cut = cut.may_count_as_cut() && answered == Err(Refusal::OutcomeUnknown);
        assert!(answered == expected || counted_as_cut, "{cut:?}: {answered:?}");
        assert_eq!((setup.requests.get(), setup.sound_requests.get()), (1, 0), "{cut:?}");
    }
}

// A lookup whose answer is cut anywhere must get the whole answer of another endpoint.
#[test_matrix(
    [Framing::Length, Framing::LengthAfterInformational, Framing::Chunked,
        Framing::ChunkedWithTrailers, Framing::None],
    [Ending::Closed, Ending::Reset],
    [Connection::Fresh, Connection::Reused]
)]
#[tokio::test]
async fn a_lookup_whose_answer_is_cut_is_answered_by_another_endpoint(
    framing: Framing,
    ending: Ending,
    connection: Connection,
) {
    for cut in Cut::all(framing, ending, connection) {
        let setup = Setup::open().await;
        let answered = setup.call(cut, RepeatPolicy::Idempotent).await.expect("it is answered");
        let expected = cut.complete_body().unwrap_or(SOUND_BODY);
        let counted_as_cut = cut.may_count_as_cut() && answered == SOUND_BODY;
        assert!(answered == expected || counted_as_cut, "{cut:?}: {answered:?}");
        let from_sound = u32::from(answered == SOUND_BODY);
        assert_eq!((setup.requests.get(), setup.sound_requests.get()), (1, from_sound), "{cut:?}");
    }
}

// A stream that is cut anywhere must not end as complete, nor run again.
#[test_matrix(
    [Framing::Length, Framing::LengthAfterInformational, Framing::Chunked,
        Framing::ChunkedWithTrailers, Framing::None],
    [Ending::Closed, Ending::Reset],
    [Connection::Fresh, Connection::Reused]
)]
#[tokio::test]
async fn a_stream_that_is_cut_does_not_end_as_complete(
    framing: Framing,
    ending: Ending,
    connection: Connection,
) {
    for cut in Cut::all(framing, ending, connection) {
        let setup = Setup::open().await;
        let (passed_on, ended) = setup.stream(cut, RepeatPolicy::Stream).await;
        // Without a length, a stream may end after any of its events.
        let events = cut.complete_body().filter(|body| body.ends_with("\n\n"));
        let expected = events.map(drop).ok_or(Refusal::OutcomeUnknown);
        let counted_as_cut = cut.may_count_as_cut() && ended == Err(Refusal::OutcomeUnknown);
        assert!(ended == expected || counted_as_cut, "{cut:?}: {ended:?}");
        assert!(BODY.starts_with(&passed_on), "{cut:?}: {passed_on:?}");
        assert!(ended.is_err() || Some(&*passed_on) == events, "{cut:?}: {passed_on:?}");
        assert_eq!((setup.requests.get(), setup.sound_requests.get()), (1, 0), "{cut:?}");
    }
}

// A stream that is cut anywhere goes on at another endpoint after its last complete event, with none
// missing, none twice and no part of one.
#[test_matrix(
    [Framing::Length, Framing::LengthAfterInformational, Framing::Chunked,
        Framing::ChunkedWithTrailers, Framing::None],
    [Ending::Closed, Ending::Reset],
    [Connection::Fresh, Connection::Reused]
)]
#[tokio::test]
async fn a_resumable_stream_that_is_cut_goes_on_at_another_endpoint(
    framing: Framing,
    ending: Ending,
    connection: Connection,
) {
    for cut in Cut::all(framing, ending, connection) {
        let setup = Setup::open().await;
        let (passed_on, ended) = setup.stream(cut, RepeatPolicy::ResumableStream).await;
        assert_eq!(ended, Ok(()), "{cut:?}");
        let resumed = format!("{}{SOUND_BODY}", cut.events_sent());
        let complete = cut.complete_body().filter(|body| body.ends_with("\n\n"));
        let counted_as_cut = cut.may_count_as_cut() && passed_on.ends_with(SOUND_BODY);
        let expected = complete.unwrap_or(&resumed);
        let is_resumed = passed_on == resumed;
        assert!(passed_on == expected || (counted_as_cut && is_resumed), "{cut:?}: {passed_on:?}");
        let from_sound = u32::from(passed_on.ends_with(SOUND_BODY));
        assert_eq!((setup.requests.get(), setup.sound_requests.get()), (1, from_sound), "{cut:?}");
    }
}
