mod fakes;

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use fakes::FakeStore;

use super::PeerRecord;
use super::endpoint_feed::follow_endpoints;
use super::gossip::{announce_and_follow_peers, apply_message, instance_id};
use super::membership::Membership;
use super::message::{EvacuationState, GossipMessage, WorkspaceUsage};
use super::peers::Peers;
use super::rates::{RateLimiter, SenderAge};
use super::suspects::Suspects;
use super::wait_until::wait_until;
use crate::catalog::{Regions, Workspace};
use crate::prelude::*;
use crate::quota::{Claim, PeerCounts, UsageTotals};
use crate::replicas::Topology;

// Two VMs start in the same millisecond. Under one number, each message of the one looked like news
// of the other, the copies of all rates swung between empty and full, and workspaces were admitted
// far above their limits or refused far below.
#[test]
fn entries_that_start_together_have_lives_of_their_own() {
    assert_ne!(instance_id("a", UnixMs(5)), instance_id("b", UnixMs(5)));
    assert_ne!(instance_id("a", UnixMs(5)), instance_id("a", UnixMs(6)));
}

#[test]
fn a_request_is_given_up_after_its_third_crash_wherever_they_were_seen() {
    let mut suspects = Suspects::default();
    suspects.record_crash(TimeMs(0), 1);
    suspects.record_crash(TimeMs(0), 1);
    assert!(!suspects.is_poison(TimeMs(0), 1));
    suspects.merge(TimeMs(0), 1, 3);
    assert!(suspects.is_poison(TimeMs(1), 1));
    suspects.clear_suspect(1);
    assert!(!suspects.is_poison(TimeMs(1), 1));
}

// An entry starts while the store is away, and hears the others for seconds before it knows any
// workspace. Each count that it then heard for the first time was all that an entry had taken in its
// life; counted as taken now, it filled every window, and callers were refused for five seconds.
#[test]
fn counts_heard_before_the_workspaces_are_known_are_not_news() {
    let workspace = Workspace {
        name: "w".into(),
        priority: None,
        rate_per_s: 10.0,
        burst: 10.0,
        regions: Regions::default(),
    };
    let mut rates = RateLimiter::open(5_000);
    let known = SenderAge { since: TimeMs(0), recently_started: false };
    let row = |taken, in_window| {
        let workspace = Digest::of(&[b"w"]).prefix();
        let taken = UsageTotals { requests: taken, ..UsageTotals::default() };
        vec![WorkspaceUsage { workspace, taken, in_window }]
    };
    rates.apply_remote(TimeMs(3_000), 1, &row(5_000, None), known);
    rates.declared(TimeMs(3_100), &workspace);
    for now in [3_200, 3_400, 3_600, 3_800] {
        rates.apply_remote(TimeMs(now), 1, &row(5_000, Some(20)), known);
    }
    let alone = PeerCounts { entries: 2, heard: 2 };
    let takes =
        |_: &u32| rates.try_admit(TimeMs(3_900), &workspace, alone, Claim::Continues).is_ok();
    let room = (0..100).filter(takes).count();
    assert!((39..=44).contains(&room), "{room}");
}

// All entries were restarted at once. Each joins the group and is dealt nothing, since the earlier lives
// have not let go yet; at the usual pace of renewals a shard was taken most of a second later, and every
// turn of its programs waited for that.
#[tokio::test(start_paused = true)]
async fn a_shard_that_changes_hands_is_taken_soon_after_the_deal() {
    let gateway = fakes::gateway(FakeStore::default());
    let started = Instant::now();
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(follow_endpoints(gateway.clone()));
    tasks.spawn_local(Membership::open(gateway.clone()).maintain());
    let served = async {
        while gateway.shards.owned(0).is_none() {
            gateway.gossip_due.notified().await;
        }
    };
    tasks.run_until(served).await;
    assert!(started.elapsed() <= Duration::from_millis(100), "{:?}", started.elapsed());
}

// An entry is restarted while the endpoints' list can't be read. Dealt shards all the same, it refused every
// turn that the other entries sent it, for want of an endpoint; they would have kept the shards.
#[tokio::test(start_paused = true)]
async fn an_entry_that_knows_no_endpoints_owns_no_shard() {
    let gateway = fakes::gateway(FakeStore::hiding_endpoints());
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(follow_endpoints(gateway.clone()));
    tasks.spawn_local(Membership::open(gateway.clone()).maintain());
    tasks.run_until(tokio::time::sleep(Duration::from_secs(3))).await;
    assert!(gateway.shards.owned(0).is_none());
}

// All entries start while the store says nothing, with its connections standing. Their first calls had no
// limit and never ended, so that no entry heard of another until its process was replaced: shards were
// served, and seven of eight turns found no owner for the rest of the day.
#[tokio::test(start_paused = true)]
async fn an_entry_that_starts_while_the_store_is_silent_meets_the_others() {
    let gateway = fakes::gateway(FakeStore::silent_at_first());
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(announce_and_follow_peers(gateway.clone()));
    let met = async {
        while gateway.peers.borrow().addresses().is_empty() {
            gateway.gossip_due.notified().await;
        }
    };
    let met = tokio::time::timeout(Duration::from_secs(5), met);
    assert!(tasks.run_until(met).await.is_ok(), "it never hears of another entry");
}

// The store is away for longer than a caller's tries last if each is refused at once. A request waits
// for a part of its time, and leaves its caller enough of the rest to come back.
#[tokio::test(start_paused = true)]
async fn a_request_waits_for_a_part_of_its_time_only() {
    let started = Instant::now();
    assert!(!wait_until(3_000, &Notify::new(), || false).await);
    assert_eq!(started.elapsed(), Duration::from_millis(1_200));
    let started = Instant::now();
    assert!(!wait_until(60_000, &Notify::new(), || false).await);
    assert!(started.elapsed() < Duration::from_millis(2_000));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_waits_goes_on_once_the_wait_is_over() {
    let changed = Rc::new(Notify::new());
    let over = Rc::new(std::cell::Cell::new(false));
    let tasks = tokio::task::LocalSet::new();
    let (sets, notifies) = (over.clone(), changed.clone());
    tasks.spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(700)).await;
        sets.set(true);
        notifies.notify_waiters();
    });
    let started = Instant::now();
    assert!(tasks.run_until(wait_until(4_000, &changed, || over.get())).await);
    assert_eq!(started.elapsed(), Duration::from_millis(700));
}

fn gossip(instance: u64, store_unreachable: bool) -> GossipMessage {
    GossipMessage {
        instance,
        name: format!("entry-{instance}").into(),
        leaving: false,
        store_unreachable,
        recently_started: false,
        generation: 1,
        shards: vec![],
        running: vec![],
        taken: vec![],
        answers: vec![],
        evacuated: EvacuationState::default(),
        suspects: vec![],
    }
}

fn peer(port: u16, region: Option<&str>) -> PeerRecord {
    let address = ([127, 0, 0, 1], port).into();
    PeerRecord { name: format!("entry-{port}").into(), address, region: region.map(Arc::from) }
}

// A request may be sent neither to an entry in a region that its operator does not allow, nor to one whose
// region is not known; its caller's own region knows it already.
#[test]
fn a_body_stays_in_its_regions() {
    let gateway = fakes::gateway_at(FakeStore::default(), two_regions());
    let address = |port| ([127, 0, 0, 1], port).into();
    for (port, region) in [(1, Some("near")), (2, Some("far")), (3, None)] {
        gateway.peers.borrow_mut().upsert(TimeMs(0), peer(port, region));
        gateway.peers.borrow_mut().record_message(
            TimeMs(0),
            address(port),
            &gossip(u64::from(port), false),
        );
    }
    let carried = |names: &[&str]| {
        let regions = Regions::only(names.iter().copied());
        [1, 2, 3].map(|port| gateway.may_forward_to(address(port), &regions))
    };
    assert_eq!(carried(&["near"]), [true, false, false]);
    assert_eq!(carried(&["far"]), [true, true, false]);
    assert_eq!(carried(&[]), [true, true, true]);
    let near = |region: Option<&str>| gateway.is_local_region(region);
    assert_eq!(gateway.peers.borrow().entries_reaching_store(TimeMs(100), near), [address(1)]);
}

fn two_regions() -> Topology {
    let regions =
        [("d", "near"), ("e", "far")].map(|(domain, region)| (domain.into(), region.into()));
    Topology { domain: "d".into(), region: "near".into(), regions: regions.into() }
}

// A request is relayed to an entry that can decide on it: not to one that has lost the store too, that is
// shutting down, or that was not heard of late.
#[test]
fn requests_are_relayed_to_entries_that_reach_the_store_and_stay() {
    let address = |port| ([127, 0, 0, 1], port).into();
    let mut peers = Peers::default();
    peers.record_message(TimeMs(0), address(1), &gossip(1, false));
    peers.record_message(TimeMs(900), address(2), &gossip(2, true));
    peers.record_message(
        TimeMs(900),
        address(3),
        &GossipMessage { leaving: true, ..gossip(3, false) },
    );
    peers.record_message(TimeMs(900), address(4), &gossip(4, false));
    peers.upsert(TimeMs(900), peer(5, None));
    assert_eq!(peers.entries_reaching_store(TimeMs(1_000), |_| true), [address(4)]);
}

// A caller that meets the one entry that is cut off from the store is better served by another, and must
// be told so at once; while all are cut off, there is no other.
#[test]
fn an_entry_tells_its_own_cut_from_an_outage() {
    let address = |port| ([127, 0, 0, 1], port).into();
    let mut peers = Peers::default();
    assert!(peers.store_unreachable_for_most(TimeMs(0)), "alone, it has nobody to send callers to");
    for port in 1..=4 {
        peers.record_message(TimeMs(0), address(port), &gossip(u64::from(port), false));
    }
    assert!(!peers.store_unreachable_for_most(TimeMs(100)));
    for port in 1..=3 {
        peers.record_message(TimeMs(200), address(port), &gossip(u64::from(port), true));
    }
    assert!(peers.store_unreachable_for_most(TimeMs(300)));
    assert!(
        !peers.store_unreachable_for_most(TimeMs(900)),
        "nobody was heard for long: it is cut off itself"
    );
}

// An entry has lost the store when a failure domain is evacuated. It would go on sending turns of its
// shards there, since it never reads the operator's word.
#[test]
fn an_entry_learns_from_others_what_is_evacuated() {
    let gateway = fakes::gateway(FakeStore::default());
    let other = ([127, 0, 0, 2], 1).into();
    let told = |as_of, names: &[&str]| {
        let domains = names.iter().map(|name| Arc::from(*name)).collect();
        GossipMessage { evacuated: EvacuationState { as_of, domains }, ..gossip(1, false) }
    };
    apply_message(&gateway, other, &told(7, &["d"]));
    assert!(gateway.directory.borrow().evacuations().contains("d"));
    apply_message(&gateway, other, &told(9, &[]));
    assert!(!gateway.directory.borrow().evacuations().contains("d"));
}
