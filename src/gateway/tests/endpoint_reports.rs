//! Which endpoints are polled for their load, and how reports reach the other entries.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

use super::{fakes, gossip_message};
use crate::catalog::tests::{configuration, route};
use crate::catalog::{RepeatPolicy, Route};
use crate::gateway::endpoint_polls::{due_polls, poll_endpoints};
use crate::gateway::gossip::apply_message;
use crate::gateway::load_reports::{apply_load_report, compose_load_report};
use crate::gateway::operator_feed::apply_configuration;
use crate::gateway::state::Gateway;
use crate::prelude::*;
use crate::replicas::EndpointChange;
use crate::replicas::tests::announcement;

/// A gateway with a streaming route to the service `s`, which is under load control if the route
/// has one attempt.
fn gateway(attempts: u32, polls_endpoints: bool) -> Rc<Gateway> {
    let mut gateway = fakes::gateway(fakes::FakeStore::default());
    let settings = &mut Rc::get_mut(&mut gateway).expect("not shared yet").settings;
    settings.polls_endpoints = polls_endpoints;
    let route = Route { repeat: RepeatPolicy::Stream, attempts, ..route("h", "/", "s") };
    apply_configuration(&gateway, configuration(1, vec![route]));
    gateway
}

fn add_endpoint(gateway: &Gateway, id: &str, port: u16) {
    let change = EndpointChange::Announcement(id.into(), announcement("s", port, 1, 1));
    gateway.directory.borrow_mut().apply(gateway.now(), change);
}

/// A report of seven requests.
const REPORT: &str = r#"{"running":6,"waiting":1,"used_tokens":400,"total_tokens":1000,"born":1}"#;

/// Starts an endpoint `e` that answers each request with the same response. Returns the number of
/// its requests. Must be called within a `LocalSet`.
async fn start_engine(gateway: &Gateway, status: &str, body: &str) -> Rc<Cell<u32>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    add_endpoint(gateway, "e", listener.local_addr().expect("the listener is bound").port());
    let response = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let requests = Rc::new(Cell::new(0));
    let counted = requests.clone();
    spawn_local(async move {
        let mut buffer = [0; 4_096];
        while let Ok((mut connection, _)) = listener.accept().await {
            while connection.read(&mut buffer).await.is_ok_and(|read| read > 0) {
                counted.set(counted.get() + 1);
                connection.write_all(response.as_bytes()).await.expect("the poller reads");
            }
        }
    });
    requests
}

async fn run_ms(duration_ms: u64) {
    tokio::time::sleep(Duration::from_millis(duration_ms)).await;
}

/// The requests at the endpoint `e`, and its free tokens.
fn known(gateway: &Gateway) -> (u32, Option<u64>) {
    let directory = gateway.directory.borrow();
    let replica = directory.get(directory.find("e").expect("known")).expect("known");
    (replica.load(gateway.now()), replica.free_tokens(gateway.now()))
}

// Deployments without load control must not see a single additional request.
#[test_case(1, true => (5, (7, Some(600))); "under load control")]
#[test_case(2, true => (0, (0, None)); "not under load control")]
#[test_case(1, false => (0, (0, None)); "switched off")]
#[tokio::test(start_paused = true)]
async fn only_services_under_load_control_are_polled(
    attempts: u32,
    polls_endpoints: bool,
) -> (u32, (u32, Option<u64>)) {
    let gateway = gateway(attempts, polls_endpoints);
    let run = async {
        let engine = start_engine(&gateway, "200 OK", REPORT).await;
        spawn_local(poll_endpoints(gateway.clone()));
        run_ms(2_510).await;
        assert_eq!(compose_load_report(&gateway, 0).is_some(), engine.get() > 0);
        (engine.get(), known(&gateway))
    };
    LocalSet::new().run_until(run).await
}

// Endpoints of a service without engines would answer every poll in vain.
#[test_case("404 Not Found", "" => 2; "without engines")]
#[test_case("200 OK", "{\"running\":" => 2; "a body that can't be decoded")]
#[tokio::test(start_paused = true)]
async fn a_service_without_reports_is_polled_once_in_30_s(status: &str, body: &str) -> u32 {
    let gateway = gateway(1, true);
    let run = async {
        let engine = start_engine(&gateway, status, body).await;
        spawn_local(poll_endpoints(gateway.clone()));
        run_ms(45_000).await;
        assert_eq!(known(&gateway), (0, None));
        engine.get()
    };
    LocalSet::new().run_until(run).await
}

// A response that broke off was taken for an endpoint without reports: one crash stopped the polls
// of its service for 30 s.
#[tokio::test(start_paused = true)]
async fn a_response_that_breaks_off_does_not_pause_the_polls() {
    let gateway = gateway(1, true);
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        add_endpoint(&gateway, "e", listener.local_addr().expect("the listener is bound").port());
        let polls = Rc::new(Cell::new(0));
        let counted = polls.clone();
        spawn_local(async move {
            while let Ok((mut connection, _)) = listener.accept().await {
                let _ = connection.read(&mut [0; 4_096]).await;
                counted.set(counted.get() + 1);
                let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 70\r\n\r\n{\"running\":";
                connection.write_all(cut).await.expect("the poller reads");
            }
        });
        spawn_local(poll_endpoints(gateway.clone()));
        run_ms(2_510).await;
        assert_eq!(polls.get(), 5);
    };
    LocalSet::new().run_until(run).await
}

fn due_ids(gateway: &Gateway) -> Vec<Arc<str>> {
    let targets = due_polls(gateway, TimeMs(900), TimeMs(1_400));
    let mut ids: Vec<_> = targets.into_iter().map(|target| target.id).collect();
    ids.sort();
    ids
}

// The polls must follow the list of endpoints and the entries heard. An endpoint that has left or
// is evacuated must get no request of any kind.
#[tokio::test(start_paused = true)]
async fn polls_follow_the_endpoints_and_the_entries() {
    let gateway = gateway(1, true);
    run_ms(1_000).await;
    ["a", "b", "c"].iter().for_each(|id| add_endpoint(&gateway, id, 1));
    assert_eq!(due_ids(&gateway), ["a".into(), "b".into(), "c".into()]);
    let evacuate = |as_of, domains: &[&str]| {
        let domains = domains.iter().map(|domain| Arc::from(*domain)).collect();
        gateway.directory.borrow_mut().update_evacuations(TimeMs(1_000), as_of, domains);
    };
    evacuate(1, &["d"]);
    assert!(due_ids(&gateway).is_empty());
    evacuate(2, &[]);
    gateway.directory.borrow_mut().apply(TimeMs(1_000), EndpointChange::Removed("b".into()));
    add_endpoint(&gateway, "f", 1);
    assert_eq!(due_ids(&gateway), ["a".into(), "c".into(), "f".into()]);
    for port in 1..200 {
        let message = gossip_message(u64::from(port), false);
        apply_message(&gateway, ([127, 0, 0, 2], port).into(), &message);
    }
    assert!(due_ids(&gateway).len() < 3, "200 entries share the polls");
}

// The other entries get an endpoint's report from its poller only. If each passed on what it has
// received, reports would circulate and look fresh.
#[tokio::test(start_paused = true)]
async fn reports_reach_the_other_entries_once() {
    let (poller, other, unconcerned) = (gateway(1, true), gateway(1, true), gateway(2, true));
    let run = async {
        let _engine = start_engine(&poller, "200 OK", REPORT).await;
        for gateway in [&other, &unconcerned] {
            add_endpoint(gateway, "e", 1);
        }
        spawn_local(poll_endpoints(poller.clone()));
        run_ms(1_600).await;
        let report = compose_load_report(&poller, 0).expect("a report");
        assert_eq!(report.endpoints.len(), 1);
        apply_load_report(&other, 1, &report);
        apply_load_report(&unconcerned, 1, &report);
        assert_eq!(known(&other), (0, Some(600)));
        assert_eq!(known(&unconcerned), (0, None), "the service is not under load control there");
        assert_eq!(compose_load_report(&other, 0), None);
        run_ms(1_500).await;
        assert_eq!(known(&other), (0, None), "the report is too old");
    };
    LocalSet::new().run_until(run).await;
}
