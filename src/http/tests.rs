use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::{Instant, timeout};

use super::{Client, ConnectionPool, PendingCall, ServerLimits, ServerMemory, empty, serve};
use crate::load::CallerLimits;
use crate::prelude::*;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit of a call, far longer than a busy machine takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A pool with two idle connections to a server that never answers.
async fn pool_with_idle_connections(server: SocketAddr) -> Rc<ConnectionPool> {
    let pool = Rc::<ConnectionPool>::default();
    for _ in 0..2 {
        let connection = pool.open(server).await.expect("the server listens");
        pool.put_back(TimeMs(0), connection);
    }
    pool
}

// All connections to the store went silent at once. Each call found out about one of them by its own
// timeout, and for up to three seconds nothing was read or written.
#[tokio::test]
async fn a_call_without_an_answer_closes_the_idle_connections_to_its_server() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let server = listener.local_addr().expect("the listener is bound");
    let calls = async {
        let pool = pool_with_idle_connections(server).await;
        PendingCall::begin(&pool, server).finish();
        assert!(pool.has_idle(TimeMs(1), server), "an answered call keeps them");
        drop(PendingCall::begin(&pool, server));
        assert!(!pool.has_idle(TimeMs(1), server));
        assert_eq!(pool.opened(), 2);
        assert!(!pool.take(TimeMs(1), server).await.expect("the server listens").reused);
    };
    LocalSet::new().run_until(calls).await;
}

// A server whose connections were all in use did not notice that it was to stop, and its idle
// connections kept the process from exiting.
#[tokio::test]
async fn a_server_with_all_connections_in_use_stops() {
    let limits = ServerLimits {
        connections: 1,
        header_timeout: Duration::from_secs(3_600),
        ..ServerLimits::default()
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let memory = ServerMemory::open(CallerLimits::of_process(1 << 30, 8_192));
    let server = serve(listen, limits, &memory, |_| async { Response::new(empty()) }).await;
    let server = server.expect("a port is free");
    let mut connection = TcpStream::connect(server.address).await.expect("the server listens");
    connection.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("the server reads");
    connection.read_u8().await.expect("the server answers");
    timeout(TEST_TIMEOUT, server.shut_down(Instant::now())).await.expect("it stops");
}

// A call whose answer is cut at any byte fails, whether the answer has a length or ends with its
// connection.
#[test_case("content-length: 7\r\n"; "with a length")]
#[test_case(""; "without a length")]
#[tokio::test]
async fn a_cut_answer_to_a_call_is_an_error(framing: &str) {
    let answer = format!("HTTP/1.1 200 OK\r\n{framing}\r\n{{\"a\":1}}");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    for sent in 0..=answer.len() {
        let serving = async {
            let (mut connection, _) = listener.accept().await.expect("connected");
            let mut request = bytes::BytesMut::new();
            while !request.ends_with(b"null") {
                connection.read_buf(&mut request).await.expect("received");
            }
            connection.write_all(&answer.as_bytes()[..sent]).await.expect("sent");
        };
        let client = Client::open();
        let call = client.get::<HashMap<String, u32>>(address, "/", CALL_TIMEOUT);
        let (called, ()) = futures_util::future::join(call, serving).await;
        assert_eq!(called.is_ok(), sent == answer.len(), "{sent}: {called:?}");
    }
}
