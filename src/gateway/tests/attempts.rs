use std::time::Duration;

use http::{HeaderMap, Method, Uri};
use test_case::test_case;
use tokio::net::TcpListener;

use super::fakes;
use crate::gateway::attempt::{AttemptOutcome, EndpointRequest, attempt};
use crate::prelude::*;
use crate::replicas::{Announcement, EndpointChange};

fn endpoint_request() -> EndpointRequest {
    EndpointRequest {
        request: "r".into(),
        method: Method::POST,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: "x".into(),
        routing: fakes::routing_decision(),
        parts: vec![],
        crash_key: 0,
        deadline: TimeMs(60_000),
    }
}

// An endpoint leaves after it was chosen, while the request waits for a connection: it must not get
// the request any more.
#[test_case(true; "it announces that it is draining")]
#[test_case(false; "its record is removed")]
#[tokio::test]
async fn a_request_is_withheld_from_an_endpoint_that_leaves_after_it_was_chosen(announces: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let gateway = fakes::gateway(fakes::FakeStore::default());
    let announcement = |draining| Announcement {
        service: "s".into(),
        address: listener.local_addr().expect("the listener is bound"),
        failure_domain: "d".into(),
        slots: 2,
        draining,
        cold_left_ms: 0,
        started_at_ms: 5,
        sequence: 1 + u64::from(draining),
    };
    let apply = |change| gateway.directory.borrow_mut().apply(gateway.now(), change);
    apply(EndpointChange::Announcement("a".into(), announcement(false)));
    let chosen = gateway.directory.borrow().find("a").expect("it is known");
    let leave = async {
        match announces {
            true => apply(EndpointChange::Announcement("a".into(), announcement(true))),
            false => apply(EndpointChange::Removed("a".into())),
        }
    };
    let request = endpoint_request();
    let attempted = async {
        let attempt = attempt(&gateway, &request, chosen, None);
        let (outcome, _) = futures_util::future::join(attempt, leave).await;
        outcome
    };
    // The listener never answers, so a request that was sent would wait for its deadline.
    let attempted = tokio::time::timeout(Duration::from_secs(5), attempted);
    let outcome = tokio::task::LocalSet::new().run_until(attempted).await;
    assert!(matches!(outcome, Ok(AttemptOutcome::Withheld)), "the request was sent");
}
