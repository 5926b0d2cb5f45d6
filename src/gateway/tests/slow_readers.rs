use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::LocalSet;

use super::fakes;
use crate::gateway::chunk_channel::{ChunkSender, chunk_channel};
use crate::gateway::collect_response::collect_response;
use crate::gateway::current_response::CurrentResponse;
use crate::gateway::forward::{ForwardTarget, ForwardedRequest, SendOutcome, send};
use crate::gateway::in_flight::Progress;
use crate::gateway::reader_limits::ReaderLimits;
use crate::gateway::server::drive_connection;
use crate::gateway::{BodyTruncated, Refusal, ResponseBody};
use crate::mechanisms::Mechanisms;
use crate::prelude::*;

/// Limits: 250 KB for the entry, 125 KB for a workspace.
const MEMORY_BYTES: u64 = 1_000_000;
const NOW: TimeMs = TimeMs(0);

/// Longer than anything in a test takes; only a failing test waits for it.
const GUARD: Duration = Duration::from_secs(10);

fn limits() -> Rc<ReaderLimits> {
    Rc::new(ReaderLimits::open(MEMORY_BYTES))
}

fn open(limits: &Rc<ReaderLimits>, workspace: &str) -> (ChunkSender, ResponseBody) {
    chunk_channel(Some(limits), &"r".into(), &workspace.into())
}

async fn send_chunk(sender: &ChunkSender, now: TimeMs, bytes: usize) -> bool {
    match sender.hold(now, vec![b'x'; bytes].into()) {
        Ok(chunk) => sender.send(Some(chunk)).await.is_ok(),
        Err(_) => false,
    }
}

// Without the limits, the channel must stop the reading from the endpoint at 32 chunks as before;
// with them, a slow reader must not stop it.
#[tokio::test(start_paused = true)]
async fn a_full_channel_blocks_its_sender_only_without_the_limits() {
    let gateway = fakes::gateway(fakes::FakeStore::default());
    assert!(gateway.reader_limits.is_none(), "no memory limit is set");
    let mut settings = fakes::gateway_with_memory(MEMORY_BYTES).settings.clone();
    settings.mechanisms = Mechanisms::without("reader-limits").expect("known");
    assert!(ReaderLimits::from_settings(&settings).is_none(), "the mechanism is off");
    let (sender, _body) = chunk_channel(None, &"r".into(), &"w".into());
    for _ in 0..32 {
        assert_eq!(send_chunk(&sender, NOW, 10).now_or_never(), Some(true));
    }
    let blocked = tokio::time::timeout(Duration::from_secs(60), send_chunk(&sender, NOW, 10)).await;
    assert!(blocked.is_err(), "the 33rd chunk waits for the reader");
    let (sender, _body) = open(&limits(), "w");
    for _ in 0..200 {
        assert_eq!(send_chunk(&sender, NOW, 10).now_or_never(), Some(true));
    }
}

// A response that was cut off must fail at its reader, also if its end was already in the channel,
// and its sender must stop. Others go on.
#[tokio::test(start_paused = true)]
async fn a_disconnected_response_does_not_look_complete_and_stops_its_sender() {
    let limits = limits();
    let (slow, mut slow_body) = open(&limits, "w");
    assert!(send_chunk(&slow, NOW, 60_000).await);
    slow.send(None).await.expect("the body exists");
    let (fast, mut fast_body) = open(&limits, "w");
    for _ in 0..10 {
        assert!(send_chunk(&fast, TimeMs(5), 20_000).await);
        let chunk = fast_body.frame().await.expect("not at its end").expect("not truncated");
        assert_eq!(chunk.into_data().map(|data| data.len()).ok(), Some(20_000));
    }
    assert!(slow.closed().now_or_never().is_none(), "a fast reader costs nobody anything");
    assert!(send_chunk(&fast, TimeMs(9), 70_000).await);
    assert_eq!(slow_body.frame().await.map(|frame| frame.err()), Some(Some(BodyTruncated)));
    tokio::time::timeout(GUARD, slow.closed()).await.expect("the sender is told");
    assert!(!send_chunk(&slow, TimeMs(9), 1).await);
    assert_eq!((limits.disconnected(), limits.refused()), (1, 0));
    drop((slow_body, fast_body));
    assert_eq!(limits.held_bytes(), 0);
}

// The HTTP implementation takes a body's bytes before the connection has room for them. If they
// did not count until they are written, a large response to a slow reader would not count at all.
#[tokio::test]
async fn a_buffered_body_counts_until_its_bytes_are_dropped() {
    let limits = limits();
    let reader = limits.open_reader(&"r".into(), &"w".into());
    let body = Full::new(Bytes::from(vec![0; 50_000]));
    let bytes = collect_response(body, || NOW, Some(&reader)).await.expect("complete");
    let mut body = ResponseBody::buffered(bytes).with_reader(reader);
    let taken = body.frame().await;
    drop(body);
    assert!(limits.held_bytes() >= 50_000);
    drop(taken);
    assert_eq!(limits.held_bytes(), 0);
}

// While the limit is reached, a request must be refused before anything is sent, with a delay that
// its caller accepts. (That no body is read beyond its limit: `caller_limits`.)
#[tokio::test]
async fn requests_are_refused_while_the_limit_is_reached() {
    let limits = limits();
    let responses: Vec<_> = ["a", "b"].map(|workspace| open(&limits, workspace)).into();
    for (sender, _) in &responses {
        assert!(send_chunk(sender, NOW, 120_000).await);
    }
    let unavailable = Refusal::Unavailable { retry_after_ms: 400 };
    assert_eq!(limits.check(TimeMs(400)), Err(unavailable));
    assert_eq!((limits.disconnected(), limits.refused()), (0, 1));
    drop(responses);
    assert_eq!(limits.check(TimeMs(500)), Ok(()));
    assert_eq!(limits.held_bytes(), 0);
}

// While a connection is blocked by its reader, the body is not polled and can't report that it is
// to be disconnected: the connection itself has to be closed, in the middle of the response.
#[tokio::test(start_paused = true)]
async fn a_blocked_connection_is_closed_when_its_response_is_disconnected() {
    let limits = limits();
    let (sender, body) = open(&limits, "w");
    assert!(send_chunk(&sender, NOW, 100_000).await);
    sender.send(None).await.expect("the body exists");
    let (mut caller, stream) = tokio::io::duplex(1_000);
    caller.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("there is room");
    let current = Rc::new(CurrentResponse::default());
    let (body, shared) = (std::cell::Cell::new(Some(body)), current.clone());
    let service = service_fn(move |_: Request<Incoming>| {
        let body = body.take().expect("one request");
        shared.set(body.reader().cloned());
        async move { Ok::<_, Infallible>(Response::new(body)) }
    });
    let (_close, closing) = watch::channel(false);
    let other = open(&limits, "w");
    let disconnect = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(limits.held_bytes() >= 100_000, "the reader has taken little");
        assert!(send_chunk(&other.0, TimeMs(100), 50_000).await);
    };
    let driven = drive_connection(stream, service, &current, closing);
    let both = futures_util::future::join(driven, disconnect);
    tokio::time::timeout(GUARD, both).await.expect("the connection ends");
    let mut received = Vec::new();
    caller.read_to_end(&mut received).await.expect("the connection is closed");
    assert!(received.len() < 100_000 && !received.ends_with(b"0\r\n\r\n"));
}

/// Another entry that answers one request with chunks of 1,000 bytes, as long as they are taken;
/// returns how many it has sent.
async fn answer(listener: TcpListener, max_chunks: usize) -> usize {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut head = [0; 4_096];
    assert!(stream.read(&mut head).await.expect("a request") > 0);
    let start = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(start).await.expect("the connection is open");
    let chunk = [b"3e8\r\n".as_slice(), &[b'x'; 1_000], b"\r\n"].concat();
    for sent in 0..max_chunks {
        if stream.write_all(&chunk).await.is_err() {
            return sent;
        }
    }
    stream.write_all(b"0\r\n\r\n").await.expect("the connection is open");
    wait_until_closed(stream).await;
    max_chunks
}

async fn wait_until_closed(mut stream: TcpStream) {
    while stream.read(&mut [0; 16]).await.is_ok_and(|read| read > 0) {}
}

pub(super) fn forwarded_request() -> ForwardedRequest {
    ForwardedRequest {
        request: "r".into(),
        workspace: "w".into(),
        method: Method::GET,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        target: ForwardTarget::FreshConfig,
        deadline: TimeMs(60_000),
        progress: Progress::open(NOW),
    }
}

// A response must be read from its source although its caller takes nothing, and its connection
// must be usable again; the source would otherwise keep the request in a slot, and abort it.
#[tokio::test]
async fn a_response_is_read_to_its_end_although_its_caller_takes_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let gateway = fakes::gateway_with_memory(MEMORY_BYTES);
    let tasks = LocalSet::new();
    tasks.spawn_local(answer(listener, 80));
    let read = async {
        let Ok(SendOutcome::Responded(response)) =
            send(&gateway, address, &forwarded_request()).await
        else {
            panic!("no response");
        };
        while !gateway.connections.has_idle(gateway.now(), address) {
            tokio::task::yield_now().await;
        }
        let body = response.into_body().collect().await.expect("complete");
        assert_eq!(body.to_bytes().len(), 80_000);
    };
    tasks.run_until(tokio::time::timeout(GUARD, read)).await.expect("the source is not blocked");
}

// The source of a response that was disconnected must stop working on it: its connection closes.
#[tokio::test]
async fn the_connection_to_the_source_of_a_disconnected_response_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let gateway = fakes::gateway_with_memory(MEMORY_BYTES);
    let tasks = LocalSet::new();
    let answered = tasks.spawn_local(answer(listener, usize::MAX));
    let disconnected = async {
        let Ok(SendOutcome::Responded(response)) =
            send(&gateway, address, &forwarded_request()).await
        else {
            panic!("no response");
        };
        answered.await.expect("the source does not panic");
        assert!(response.into_body().collect().await.is_err(), "the response looks complete");
    };
    tasks.run_until(tokio::time::timeout(GUARD, disconnected)).await.expect("the source is told");
    let limits = gateway.reader_limits.as_ref().expect("the limits are on");
    assert_eq!((limits.disconnected(), limits.held_bytes()), (1, 0));
}

// Readers of two workspaces that never read on filled the limit, and everyone else was refused for as long as
// they stayed connected.
#[tokio::test]
async fn readers_that_never_read_on_do_not_refuse_everyone_for_good() {
    let limits = limits();
    let responses: Vec<_> = ["a", "b"].map(|workspace| open(&limits, workspace)).into();
    for (number, (sender, _)) in responses.iter().enumerate() {
        assert!(send_chunk(sender, TimeMs(number as u64), 120_000).await);
    }
    assert!(limits.check(TimeMs(9_999)).is_err());
    assert_eq!(limits.disconnected(), 0);
    assert_eq!(limits.check(TimeMs(10_000)), Ok(()));
    assert_eq!(limits.disconnected(), 1, "no more than necessary");
    assert!(responses[0].0.closed().now_or_never().is_some(), "the one held for the longest");
    assert!(responses[1].0.closed().now_or_never().is_none());
}
