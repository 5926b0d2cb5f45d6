//! Endpoints whose answers contradict themselves or go on after their end.

use std::rc::Rc;
use std::time::Duration;

use http::Method;
use hyper::body::Bytes;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::sync::Notify;
use tokio::task::LocalSet;

use super::cut_heads::{FIRST_ANSWER, Setup, accept, body, receive, send};
use crate::catalog::RepeatPolicy;
use crate::gateway::Refusal;
use crate::gateway::buffered::serve_buffered;

/// Time after which the connection must be closed: far longer than a busy machine takes.
const CLOSE_LIMIT: Duration = Duration::from_secs(20);

/// Serves a call that may run once with an answer that is sent whole, on a connection that then closes.
async fn answered(method: Method, answer: &str) -> Result<(u16, Bytes), Refusal> {
    let setup = Setup::open().await;
    let mut request = (*setup.request(RepeatPolicy::AtMostOnce)).clone();
    request.method = method;
    let request = Rc::new(request);
    let serve_once = async {
        let mut connection = accept(&setup.cutting).await;
        receive(&mut connection).await;
        send(&mut connection, answer.as_bytes()).await;
        drop(connection);
        std::future::pending::<()>().await;
    };
    let asking = async {
        let response = serve_buffered(&setup.gateway, &request).await?;
        Ok((response.status().as_u16(), body(response).await))
    };
    let served = async {
        tokio::select! {
            asked = asking => asked,
            () = serve_once => unreachable!("it never ends"),
        }
    };
    LocalSet::new().run_until(served).await
}

const UNKNOWN: Result<(u16, &str), Refusal> = Err(Refusal::OutcomeUnknown);

// The framing of an answer contradicts itself or what follows it. What a success has as its body must be
// all that the endpoint has sent as the body.
#[test_case(Method::POST, "200 OK\r\ncontent-length: 2\r\n\r\nbody", Ok((200, "bo")); "more than its length")]
#[test_case(Method::POST, "200 OK\r\ncontent-length: 9\r\n\r\nbody", UNKNOWN; "less than its length")]
#[test_case(Method::POST, "200 OK\r\ncontent-length: 4\r\ncontent-length: 4\r\n\r\nbody", Ok((200, "body")); "the same length twice")]
#[test_case(Method::POST, "200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nbody", UNKNOWN; "two lengths")]
#[test_case(Method::POST, "200 OK\r\ncontent-length: 4, 2\r\n\r\nbody", UNKNOWN; "two lengths in a line")]
#[test_case(Method::POST, "200 OK\r\ncontent-length: 4x\r\n\r\nbody", UNKNOWN; "length that is no number")]
#[test_case(Method::POST, "200 OK\r\ncontent-length: +4\r\n\r\nbody", UNKNOWN; "length with a sign")]
#[test_case(Method::POST, "200 OK\r\ncontent-length:\r\n\r\nbody", UNKNOWN; "length without a value")]
#[test_case(Method::POST, "200 OK\r\ncontent-length: 18446744073709551620\r\n\r\nbody", UNKNOWN; "length beyond 64 bits")]
#[test_case(Method::POST, "200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", Ok((200, "body")); "length and chunks")]
#[test_case(Method::POST, "200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbo", UNKNOWN; "length and a chunk that is cut")]
#[test_case(Method::POST, "200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody", UNKNOWN; "no last chunk")]
#[test_case(Method::POST, "200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbodyx\r\n0\r\n\r\n", UNKNOWN; "chunk longer than its size")]
#[test_case(Method::POST, "200 OK\r\ntransfer-encoding: chunked\r\n\r\nbody", UNKNOWN; "body that is no chunk")]
#[test_case(Method::POST, "200 OK\r\ncontent-length: 9\r\ntransfer-encoding: identity\r\n\r\nbody", UNKNOWN; "coding without chunks less than its length")]
#[test_case(Method::POST, "200 OK\r\ntransfer-encoding: gzip\r\n\r\nzipped", UNKNOWN; "coding without chunks")]
#[test_case(Method::POST, "200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n6\r\nzipped\r\n0\r\n\r\n", UNKNOWN; "coding in chunks")]
#[test_case(Method::POST, "200 OK\r\ntransfer-encoding: Chunked \r\n\r\n4\r\nbody\r\n0\r\n\r\n", Ok((200, "body")); "chunks in other letters")]
#[test_case(Method::POST, "101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\nbody", UNKNOWN; "change of the protocol")]
#[test_case(Method::POST, "103 Early Hints\r\n\r\n", UNKNOWN; "informational answer only")]
#[test_case(Method::POST, "204 No Content\r\ncontent-length: 4\r\n\r\nbody", Ok((204, "")); "body of a 204")]
#[test_case(Method::POST, "304 Not Modified\r\ncontent-length: 4\r\n\r\n", Ok((304, "")); "length of a 304")]
#[test_case(Method::HEAD, "200 OK\r\ncontent-length: 4\r\n\r\n", Ok((200, "")); "length of the answer to a HEAD")]
#[test_case(Method::HEAD, "200 OK\r\ncontent-length: 4\r\n\r\nbody", Ok((200, "")); "body of the answer to a HEAD")]
#[test_case(Method::HEAD, "200 OK\r\ncontent-length: 4\r\n", UNKNOWN; "cut head of the answer to a HEAD")]
#[tokio::test]
async fn an_answer_with_a_contradictory_framing(
    method: Method,
    answer: &str,
    expected: Result<(u16, &str), Refusal>,
) {
    let got = answered(method, &format!("HTTP/1.1 {answer}")).await;
    let expected = expected.map(|(status, body)| (status, Bytes::from(body.to_string())));
    assert_eq!(got, expected);
}

// What follows the end of an answer must not become the answer to the next request on its connection.
#[test_case(true; "sent with the answer")]
#[test_case(false; "sent while the connection is idle")]
#[tokio::test]
async fn a_connection_with_bytes_after_an_answer_is_closed(is_sent_at_once: bool) {
    let setup = Setup::open().await;
    let surplus = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong";
    let next = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nright";
    let (answered, closed) = (Notify::new(), Notify::new());
    let serve_both = async {
        let mut connection = accept(&setup.cutting).await;
        receive(&mut connection).await;
        match is_sent_at_once {
            true => send(&mut connection, &[FIRST_ANSWER, surplus].concat()).await,
            false => {
                send(&mut connection, FIRST_ANSWER).await;
                answered.notified().await;
                send(&mut connection, surplus).await;
            }
        }
        let mut rest = Vec::new();
        let read = connection.read_to_end(&mut rest).await;
        assert!(read.is_err() || rest.is_empty(), "another request: {rest:?}");
        closed.notify_one();
        let mut other = accept(&setup.cutting).await;
        receive(&mut other).await;
        send(&mut other, next).await;
        std::future::pending::<()>().await;
    };
    let asking = async {
        let request = setup.request(RepeatPolicy::AtMostOnce);
        let first = serve_buffered(&setup.gateway, &request).await.expect("it is whole");
        answered.notify_one();
        closed.notified().await;
        let second = serve_buffered(&setup.gateway, &request).await.expect("it is whole");
        (body(first).await, body(second).await)
    };
    let served = async {
        tokio::select! {
            bodies = asking => bodies,
            () = serve_both => unreachable!("it never ends"),
        }
    };
    let served = tokio::time::timeout(CLOSE_LIMIT, served);
    let bodies = LocalSet::new().run_until(served).await;
    assert_eq!(bodies, Ok((Bytes::from("first"), Bytes::from("right"))));
}
