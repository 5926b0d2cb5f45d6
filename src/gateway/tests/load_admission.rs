use std::rc::Rc;

use metrics_exporter_prometheus::PrometheusBuilder;
use test_case::test_case;

use super::fakes;
use crate::catalog::tests::{configuration, route};
use crate::catalog::{RepeatPolicy, Route};
use crate::gateway::load_admission::admit_program;
use crate::gateway::operator_feed::apply_configuration;
use crate::gateway::owned_shard::{OwnedShard, Stage};
use crate::gateway::state::Gateway;
use crate::gateway::{Refusal, RequestHead, RoutingDecision};
use crate::prelude::*;
use crate::replicas::tests::announcement;
use crate::replicas::{Announcement, EndpointChange, ReplicaKey};
use crate::turns::ProgramKey;

fn routing(attempts: u32) -> RoutingDecision {
    RoutingDecision {
        left_ms: 3_000,
        attempts,
        target_ms: 100,
        repeat: RepeatPolicy::Stream,
        ..fakes::routing_decision()
    }
}

fn request_head(program: &str) -> RequestHead {
    RequestHead {
        request: "r".into(),
        host: "h".into(),
        wait_ms: Some(3_000),
        key: None,
        program: Some(program.into()),
        budget: Some(100),
        prompt_tokens: 0,
        max_output_tokens: 10,
        previous: None,
        parts: vec![],
        finish_ms: None,
        object: None,
    }
}

/// An owner of all shards, and an endpoint with two slots that has `in_flight` requests.
fn owner(in_flight: u32) -> (Rc<Gateway>, Rc<OwnedShard>, ReplicaKey) {
    let gateway = fakes::gateway(fakes::FakeStore::default());
    let shard = OwnedShard::open(0, 1);
    shard.set_stage(Stage::Serving);
    gateway.shards.insert_owned(shard.clone());
    let change = EndpointChange::Announcement("e".into(), announcement("s", 1, 1, 1));
    gateway.directory.borrow_mut().apply(TimeMs(0), change);
    let key = gateway.directory.borrow().find("e").expect("known");
    (0..in_flight).for_each(|_| gateway.directory.borrow_mut().record_sent(TimeMs(0), key));
    (gateway, shard, key)
}

async fn admit(
    gateway: &Gateway,
    shard: &Rc<OwnedShard>,
    program: &str,
    attempts: u32,
) -> Result<(), Refusal> {
    let key = ProgramKey::of("w", program);
    admit_program(gateway, shard, key, &request_head(program), &routing(attempts)).await
}

// A first turn was sent although all slots were taken; a later turn of a program was refused, and
// with it all the work that the program had done.
#[tokio::test(start_paused = true)]
async fn at_full_load_first_turns_are_refused_unsent_and_later_turns_pass() {
    let (gateway, shard, endpoint) = owner(20);
    let begun = ProgramKey::of("w", "begun");
    let reserved = shard.change(|ledger, _| ledger.reserve(begun, 100, 10, UnixMs(1)));
    reserved.0.expect("there is budget");
    let mut refused = 0;
    for number in 0..10 {
        let first = admit(&gateway, &shard, &format!("p{number}"), 1).await;
        assert!(first.is_ok() || matches!(first, Err(refusal) if refusal.guarantees_not_run()));
        refused += u32::from(first.is_err());
        assert_eq!(admit(&gateway, &shard, "begun", 1).await, Ok(()));
    }
    assert!(refused >= 8, "{refused}");
    let sent = gateway.directory.borrow().get(endpoint).map(|replica| replica.in_flight);
    assert_eq!(sent, Some(20));
}

// Deployments without load control got refusals, state or further metrics.
#[tokio::test(start_paused = true)]
async fn without_load_control_nothing_is_decided() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let (gateway, shard, _) = owner(20);
    let guard = metrics::set_default_local_recorder(&recorder);
    for number in 0..10 {
        assert_eq!(admit(&gateway, &shard, &format!("p{number}"), 2).await, Ok(()));
    }
    drop(guard);
    assert!(gateway.program_admissions.borrow().is_empty());
    assert_eq!(recorder.handle().render(), "");
}

// The state of services that were renamed or taken out of load control was kept for good, or that
// of the others was lost with each new configuration.
#[test_case("s", 1, true; "still under load control")]
#[test_case("s", 2, false; "no longer under load control")]
#[test_case("other", 1, false; "service is gone")]
#[tokio::test(start_paused = true)]
async fn a_configuration_drops_only_the_state_of_services_not_under_load_control(
    service: &str,
    attempts: u32,
    is_kept: bool,
) {
    let (gateway, shard, _) = owner(0);
    assert_eq!(admit(&gateway, &shard, "p", 1).await, Ok(()));
    let route = Route { repeat: RepeatPolicy::Stream, attempts, ..route("h", "/", service) };
    apply_configuration(&gateway, configuration(1, vec![route]));
    assert_eq!(gateway.program_admissions.borrow().contains_key("s"), is_kept);
}

// Turns of other routes, with other targets, lowered the limit of the service.
#[tokio::test(start_paused = true)]
async fn turns_on_routes_without_load_control_do_not_change_the_limit() {
    let (gateway, shard, _) = owner(0);
    assert_eq!(admit(&gateway, &shard, "p", 1).await, Ok(()));
    let state = |gateway: &Gateway| format!("{:?}", gateway.program_admissions.borrow());
    let before = state(&gateway);
    gateway.record_ended_turn(&routing(2), ProgramKey::of("w", "p"), Some(5_000));
    assert_eq!(state(&gateway), before);
}

// Two endpoints that announce absurd numbers of slots made the sum overflow.
#[tokio::test]
async fn the_sum_of_absurd_slots_does_not_overflow() {
    let (gateway, _, _) = owner(0);
    let absurd = Announcement { slots: u32::MAX, ..announcement("s", 2, 1, 1) };
    let change = EndpointChange::Announcement("f".into(), absurd);
    gateway.directory.borrow_mut().apply(TimeMs(0), change);
    assert_eq!(gateway.service_load("s").slots, u32::MAX);
}
