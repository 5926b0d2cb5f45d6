use std::collections::HashSet;

use super::fakes;
use crate::gateway::load_reports::{apply_load_report, compose_load_report};
use crate::load::tests::turn;
use crate::prelude::*;
use crate::replicas::{Announcement, EndpointChange};

// Entries of deployments without load control must not send longer messages, and a report must not
// change what they know.
#[tokio::test]
async fn paces_are_shared_only_for_services_under_load_control() {
    let sender = fakes::gateway(fakes::FakeStore::default());
    let receiver = fakes::gateway(fakes::FakeStore::default());
    let announcement = Announcement {
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "d".into(),
        slots: 6,
        draining: false,
        cold_left_ms: 0,
        started_at_ms: 5,
        sequence: 1,
    };
    let change = EndpointChange::Announcement("e".into(), announcement);
    for gateway in [&sender, &receiver] {
        gateway.directory.borrow_mut().apply(TimeMs(0), change.clone());
    }
    let key = sender.directory.borrow().find("e").expect("known");
    let sample = turn(5);
    sender.record_turn_times(key, "e", &sample);
    assert_eq!(compose_load_report(&sender, 0), None);
    let controlled = HashSet::from(["s".into()]);
    sender.placement.borrow_mut().set_load_controlled(&controlled);
    sender.record_turn_times(key, "e", &sample);
    let report = compose_load_report(&sender, 0).expect("something was measured");
    let pace = || receiver.placement.borrow().paces().pace(receiver.now(), key);
    apply_load_report(&receiver, 7, &report);
    assert_eq!(pace(), 1.0);
    receiver.placement.borrow_mut().set_load_controlled(&controlled);
    apply_load_report(&receiver, 7, &report);
    assert!(pace() > 1.5, "{}", pace());
}
