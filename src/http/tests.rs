use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::{ConnectionPool, PendingCall};
use crate::prelude::*;

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
