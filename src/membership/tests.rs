use super::{Heartbeat, LivenessTimeouts, PeerState, PeerTable, RoleStatus, VmList};
use crate::membership::vm_list::ListedVm;
use crate::prelude::*;

fn heartbeat(vm: &str, instance: u64, started: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        vm: VmName::parse(vm).unwrap(),
        instance: Instance(instance),
        started: UnixMs(started),
        sequence,
        failure_domain: "a".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        control: "127.0.0.1:2".parse().unwrap(),
        state: PeerState::Live,
        role_status: RoleStatus::Endpoint {
            serves: ModelName::parse("small").unwrap(),
            running: 0,
            queued: 0,
            concurrency: 8,
        },
    }
}

fn table() -> PeerTable {
    PeerTable::new(LivenessTimeouts { suspect_ms: 300, dead_ms: 800, remove_ms: 10_000 })
}

fn live(table: &PeerTable) -> usize {
    table.live_endpoints(&ModelName::parse("small").unwrap()).count()
}

fn dead(table: &PeerTable) -> usize {
    table.all().filter(|peer| peer.is_dead()).count()
}

#[test]
fn silent_peer_is_suspected_before_it_is_dead() {
    let mut table = table();
    table.record_heartbeat(TimeMs(0), heartbeat("m1", 1, 0, 1));
    table.tick(TimeMs(400));
    assert_eq!((live(&table), dead(&table)), (0, 0));
    table.record_heartbeat(TimeMs(500), heartbeat("m1", 1, 0, 2));
    assert_eq!(live(&table), 1);
    table.tick(TimeMs(1_400));
    assert_eq!((live(&table), dead(&table)), (0, 1));
}

/// A leaving endpoint must get no new work, even if heartbeats that report it as live arrive after
/// the one that announced its leaving, whether delayed by the network or sent later.
#[test]
fn leaving_endpoint_gets_no_work_after_late_heartbeats() {
    let mut table = table();
    table.record_heartbeat(TimeMs(0), heartbeat("m1", 1, 0, 1));
    let leaving = Heartbeat { state: PeerState::Leaving, ..heartbeat("m1", 1, 0, 3) };
    table.record_heartbeat(TimeMs(10), leaving);
    table.record_heartbeat(TimeMs(20), heartbeat("m1", 1, 0, 2));
    table.record_heartbeat(TimeMs(30), heartbeat("m1", 1, 0, 4));
    assert_eq!(live(&table), 0);
}

/// A leaving endpoint that is taken for dead, because a connection was refused or its heartbeats were
/// late, is still leaving when it is heard again.
#[test]
fn leaving_endpoint_gets_no_work_after_it_was_taken_for_dead() {
    let mut table = table();
    let leaving = Heartbeat { state: PeerState::Leaving, ..heartbeat("m1", 1, 0, 1) };
    table.record_heartbeat(TimeMs(0), leaving);
    table.mark_dead(&VmName::parse("m1").unwrap());
    assert_eq!(dead(&table), 1);
    table.record_heartbeat(TimeMs(10), heartbeat("m1", 1, 0, 2));
    assert_eq!((live(&table), dead(&table)), (0, 0));
}

#[test]
fn replaced_vm_with_the_same_name_is_a_new_instance() {
    let mut table = table();
    assert!(table.record_heartbeat(TimeMs(0), heartbeat("m1", 1, 100, 50)));
    assert!(table.record_heartbeat(TimeMs(10), heartbeat("m1", 2, 200, 1)));
    assert!(!table.record_heartbeat(TimeMs(20), heartbeat("m1", 1, 100, 51)));
    let peer = table.peer_on(&VmName::parse("m1").unwrap()).unwrap();
    assert_eq!(peer.heartbeat.instance, Instance(2));
}

/// The list's record of the VM m1 in a state.
fn listed(state: &str) -> ListedVm {
    ListedVm {
        vm: "m1".to_string(),
        role: "endpoint".to_string(),
        address: "127.0.0.1:1".parse().unwrap(),
        state: state.to_string(),
    }
}

#[test]
fn endpoint_listed_as_leaving_gets_no_new_work() {
    let mut table = table();
    table.record_heartbeat(TimeMs(0), heartbeat("m1", 1, 0, 1));
    table.set_vm_list(VmList { vms: vec![listed("leaving")] });
    assert_eq!(live(&table), 0);
}

/// A VM is listed as leaving and then taken off the list while its process still sends heartbeats.
/// Only a process that was never listed as leaving counts as new and not listed yet.
#[test]
fn endpoint_taken_off_the_list_while_leaving_gets_no_new_work() {
    let mut table = table();
    table.record_heartbeat(TimeMs(0), heartbeat("m1", 1, 0, 1));
    table.set_vm_list(VmList { vms: vec![listed("leaving")] });
    table.set_vm_list(VmList::default());
    assert_eq!(live(&table), 0);
    table.set_vm_list(VmList { vms: vec![listed("live")] });
    assert_eq!(live(&table), 1, "the platform keeps the VM after all");
}

#[test]
fn heartbeat_round_trips_and_garbage_is_rejected() {
    let sent = heartbeat("m1", 7, 1, 2);
    assert_eq!(Heartbeat::decode(&sent.encode()), Some(sent));
    assert_eq!(Heartbeat::decode(&[1, 2, 3]), None);
}
