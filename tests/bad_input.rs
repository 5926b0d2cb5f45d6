//! Malformed input gets a typed error, and later calls are served as usual.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;

use common::{Deployment, ICE_KEY};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use trefoil_standins::caller::{Answer, Caller, completion};

/// Sends bytes over a new connection and reads until the entry closes it.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_calls_get_typed_errors_and_the_next_call_is_served() {
    let flags = ["--max-body-bytes", "4096", "--receive-timeout-ms", "300"];
    let deployment = Deployment::start_with(Default::default(), &flags, &[]).await;
    let entry = deployment.entries()[0];
    let caller = deployment.caller();

    assert!(send_raw(entry, b"NOT HTTP\r\n\r\n").await.starts_with("HTTP/1.1 400"));
    let long_header = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(200_000));
    assert!(send_raw(entry, long_header.as_bytes()).await.starts_with("HTTP/1.1 431"));
    let incomplete_body = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer {ICE_KEY}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    let answer = send_raw(entry, incomplete_body.as_bytes()).await;
    assert!(answer.contains("too_slow") && answer.contains("not_run"), "{answer}");
    // Headers that never end: the entry closes the connection after the receive timeout.
    send_raw(entry, b"POST /v1/chat/completions HTTP/1.1\r\nx:").await;

    let mut oversized = completion("b", 1, "x");
    oversized.body["messages"][0]["content"] = json!("y".repeat(10_000));
    assert_eq!(caller.call(entry, &oversized).await.code(), "too_large");
    let mut malformed = completion("b", 1, "x");
    malformed.body = json!({ "model": "small", "messages": "none" });
    assert_eq!(caller.call(entry, &malformed).await.code(), "bad_request");
    malformed.body = json!({ "model": "small", "messages": [] });
    assert_eq!(caller.call(entry, &malformed).await.code(), "bad_request");
    let mut unknown_model = completion("b", 1, "x");
    unknown_model.body["model"] = json!("other");
    assert_eq!(caller.call(entry, &unknown_model).await.code(), "not_allowed");
    assert_eq!(caller.call(entry, &completion("b b", 1, "x")).await.code(), "bad_request");
    assert_eq!(caller.call(entry, &completion("b", 0, "x")).await.code(), "bad_request");
    let mut unknown_path = completion("b", 1, "x");
    unknown_path.path = "/v2/nothing".to_string();
    assert_eq!(caller.call(entry, &unknown_path).await.code(), "no_such_call");
    assert_eq!(Caller::new("nobody").call(entry, &unknown_path).await.code(), "no_such_call");

    let answer = caller.call(entry, &completion("b", 1, "x")).await;
    assert!(matches!(answer, Answer::Whole(_)), "{answer:?}");
}
