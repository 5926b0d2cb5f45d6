use std::net::SocketAddr;
use std::time::Duration;

use super::{ControlReply, ControlRequest, Link, LinkError, LinkServer};
use crate::prelude::*;

const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn cancel_request() -> ControlRequest {
    let attempt = AttemptId { shard: ShardId(1), epoch: Epoch(2), sequence: 3 };
    ControlRequest::Cancel { attempt }
}

async fn bind(address: SocketAddr) -> LinkServer {
    LinkServer::bind(address, |_| async { ControlReply::Done }).await.unwrap()
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// A peer is killed and a new process instance listens on its address. Requests in between fail.
/// The link must then connect a new socket, because a ZeroMQ dealer socket does not reconnect.
#[tokio::test]
async fn link_reconnects_to_restarted_peer() {
    let server = bind(any_port()).await;
    let address = server.address;
    let link = Link::spawn(address);
    assert_eq!(link.ask(cancel_request(), LONG_TIMEOUT).await, Ok(ControlReply::Done));
    drop(server);
    let mut restarted = None;
    let mut reconnected = false;
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        if restarted.is_none() {
            restarted = LinkServer::bind(address, |_| async { ControlReply::Done }).await.ok();
        }
        let reply = link.ask(cancel_request(), Duration::from_millis(500)).await;
        reconnected = restarted.is_some() && reply == Ok(ControlReply::Done);
        if reconnected {
            break;
        }
    }
    assert!(reconnected);
}

/// A frozen peer accepts the connection and never replies. Each caller must be released after its
/// own timeout, and the second request must not wait behind the first.
#[tokio::test]
async fn frozen_peer_does_not_block_callers() {
    let frozen = std::net::TcpListener::bind(any_port()).unwrap();
    let link = Link::spawn(frozen.local_addr().unwrap());
    let wait = Duration::from_millis(50);
    let (first, second) =
        tokio::join!(link.ask(cancel_request(), wait), link.ask(cancel_request(), wait));
    assert_ne!(first, Ok(ControlReply::Done));
    assert_eq!(second, Err(LinkError::TimedOut));
}

/// A handler that never returns must not delay the replies to other requests.
#[tokio::test]
async fn slow_reply_does_not_delay_others() {
    let server = LinkServer::bind(any_port(), |request| async move {
        if matches!(request, ControlRequest::Free { .. }) {
            std::future::pending::<()>().await;
        }
        ControlReply::Done
    });
    let server = server.await.unwrap();
    let link = Link::spawn(server.address);
    let workspace = WorkspaceId::parse("w").unwrap();
    let program = ProgramId::parse(workspace, "p").unwrap();
    let slow = link.ask(ControlRequest::Free { program }, Duration::from_millis(300));
    let (slow, fast) = tokio::join!(slow, link.ask(cancel_request(), LONG_TIMEOUT));
    assert_eq!(slow, Err(LinkError::TimedOut));
    assert_eq!(fast, Ok(ControlReply::Done));
}
