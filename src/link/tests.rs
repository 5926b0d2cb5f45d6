use std::net::SocketAddr;
use std::time::Duration;

use super::{ControlReply, ControlRequest, Link, LinkError, LinkServer};
use crate::prelude::*;

const LONG: Duration = Duration::from_secs(20);

fn question() -> ControlRequest {
    let attempt = AttemptId { shard: ShardId(1), epoch: Epoch(2), sequence: 3 };
    ControlRequest::Cancel { attempt }
}

async fn bind(address: SocketAddr) -> LinkServer {
    LinkServer::bind(address, |_| async { ControlReply::Done }).await.unwrap()
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// The peer is killed and a new run listens under the same address. Questions in between fail;
/// the link then dials a new socket by itself, because the old one never would.
#[tokio::test]
async fn a_link_finds_a_restarted_peer() {
    let server = bind(any_port()).await;
    let address = server.address;
    let link = Link::spawn(address);
    assert_eq!(link.ask(question(), LONG).await, Ok(ControlReply::Done));
    drop(server);
    let mut restarted = None;
    let mut answered = false;
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        if restarted.is_none() {
            restarted = LinkServer::bind(address, |_| async { ControlReply::Done }).await.ok();
        }
        let reply = link.ask(question(), Duration::from_millis(500)).await;
        answered = restarted.is_some() && reply == Ok(ControlReply::Done);
        if answered {
            break;
        }
    }
    assert!(answered);
}

/// A frozen peer takes the connection and never answers. Each asker is let go when its own time
/// is up, and the next question does not wait behind the first.
#[tokio::test]
async fn a_frozen_peer_holds_nobody() {
    let frozen = std::net::TcpListener::bind(any_port()).unwrap();
    let link = Link::spawn(frozen.local_addr().unwrap());
    let wait = Duration::from_millis(50);
    let (first, second) = tokio::join!(link.ask(question(), wait), link.ask(question(), wait));
    assert_ne!(first, Ok(ControlReply::Done));
    assert_eq!(second, Err(LinkError::TimedOut));
}

/// One handler that never returns must not hold the answers to other questions.
#[tokio::test]
async fn a_slow_answer_holds_no_other() {
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
    let (slow, quick) = tokio::join!(slow, link.ask(question(), LONG));
    assert_eq!(slow, Err(LinkError::TimedOut));
    assert_eq!(quick, Ok(ControlReply::Done));
}
