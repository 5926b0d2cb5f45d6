//! Services and engines that break off their replies, at any byte and in any framing.

use std::net::SocketAddr;

use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::attempt;
use crate::endpoint::Backend;
use crate::http::Client;
use crate::prelude::*;
use crate::programs::{Attempt, AttemptFrame, AttemptWork, FailureCause, TurnResult};

/// The reply of an engine to the health check.
const HEALTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"run\":1}";

/// An engine's stream: a piece of text and the end.
const STREAM: &str = concat!(
    "data: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n",
    "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
);

fn call() -> Attempt {
    let service = ModelName::parse("desk").unwrap();
    let (action, body) = ("act".into(), "x".into());
    let work = AttemptWork::Service { service, action, body, idempotent: false };
    Attempt { work, ..attempt(1, 1) }
}

/// Answers health checks, and each other request with the first bytes of a reply, after which the
/// connection closes or is reset.
async fn reply(listener: TcpListener, sent: &[u8], is_reset: bool) {
    loop {
        let (mut connection, _) = listener.accept().await.expect("connected");
        while let Some(request) = receive(&mut connection).await {
            if request.starts_with(b"GET /health") {
                connection.write_all(HEALTH.as_bytes()).await.expect("sent");
                continue;
            }
            connection.write_all(sent).await.expect("sent");
            if is_reset {
                connection.set_zero_linger().expect("the socket is open");
            }
            break;
        }
    }
}

/// The next request on a connection, as far as it arrives at once; none at the end of the connection.
async fn receive(connection: &mut TcpStream) -> Option<Vec<u8>> {
    let mut received = Vec::new();
    while !is_complete(&received) {
        if connection.read_buf(&mut received).await.ok()? == 0 {
            return None;
        }
    }
    Some(received)
}

fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.map_or(0, |text| text.parse().expect("a number"))
}

/// How an attempt ends whose reply is `sent`.
async fn run(attempt: &Attempt, sent: &[u8], is_reset: bool) -> AttemptFrame {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address: SocketAddr = listener.local_addr().expect("bound");
    let backend = Backend::open(Client::open(), address);
    tokio::select! {
        frame = backend.run(attempt, drop) => frame,
        () = reply(listener, sent, is_reset) => unreachable!("it never ends"),
    }
}

/// The body of the reply, or none if the outcome is unknown.
fn served(frame: &AttemptFrame) -> Option<&str> {
    match frame {
        AttemptFrame::Done { result: TurnResult::Served { body, .. } } => Some(body),
        AttemptFrame::Failed { cause: FailureCause::Interrupted, .. } => None,
        other => panic!("{other:?}"),
    }
}

// A reply that is cut anywhere must not be taken for the service's, nor the call for one that has not run.
#[test_case("content-length: 4\r\n\r\nbody"; "with a length")]
#[test_case("transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"; "in chunks")]
#[tokio::test]
async fn a_cut_reply_of_a_service_is_an_unknown_outcome(rest: &str) {
    let reply = format!("HTTP/1.1 200 OK\r\n{rest}");
    for sent in 0..reply.len() {
        for is_reset in [false, true] {
            let frame = run(&call(), &reply.as_bytes()[..sent], is_reset).await;
            assert_eq!(served(&frame), None, "{sent} {is_reset}");
        }
    }
    assert_eq!(served(&run(&call(), reply.as_bytes(), false).await), Some("body"));
}

// The body of a reply without a length ends with its connection, unless that is reset.
#[test_case(false, Some("bo"); "closed")]
#[test_case(true, None; "reset")]
#[tokio::test]
async fn a_reply_without_a_length(is_reset: bool, expected: Option<&str>) {
    let frame = run(&call(), b"HTTP/1.1 200 OK\r\n\r\nbo", is_reset).await;
    assert_eq!(served(&frame), expected);
}

// A stream that is cut before its end must not be taken for a complete answer.
#[test_case(String::new(); "without a length")]
#[test_case(format!("content-length: {}\r\n", STREAM.len()); "with a length")]
#[tokio::test]
async fn a_cut_stream_of_an_engine_is_no_answer(framing: String) {
    let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n");
    let reply = format!("{head}{STREAM}");
    let end = reply.len() - "\n".len();
    for sent in 0..end {
        let frame = run(&attempt(1, 1), &reply.as_bytes()[..sent], sent % 2 == 0).await;
        let failed =
            matches!(&frame, AttemptFrame::Failed { cause: FailureCause::Interrupted, .. });
        assert!(failed, "{sent}: {frame:?}");
    }
    let frame = run(&attempt(1, 1), &reply.as_bytes()[..end], false).await;
    let AttemptFrame::Done { result: TurnResult::Answered { text, .. } } = frame else {
        panic!("{frame:?}");
    };
    assert_eq!(&*text, "word");
}

// A reply with a length and a transfer coding other than chunks was read until the connection closed: a
// part of its body, or its coded bytes, became the reply.
#[test_case("content-length: 9\r\ntransfer-encoding: identity\r\n\r\nbody"; "less than its length")]
#[test_case("transfer-encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"; "coded")]
#[tokio::test]
async fn a_reply_in_another_transfer_coding_is_an_unknown_outcome(rest: &str) {
    let reply = format!("HTTP/1.1 200 OK\r\n{rest}");
    assert_eq!(served(&run(&call(), reply.as_bytes(), false).await), None);
}

// A change of the protocol, which no request asks for, became the reply: an empty body with status 101.
#[tokio::test]
async fn a_change_of_the_protocol_is_an_unknown_outcome() {
    let reply = b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n";
    assert_eq!(served(&run(&call(), reply, false).await), None);
}
