mod attempts;
mod caller_limits;
mod contact;
mod contradictory_framing;
mod counting;
mod cut_heads;
mod cut_peers;
mod endless_bytes;
mod endpoint_list;
mod endpoint_reports;
mod fakes;
mod feeds;
mod gossip;
mod hub_feeds;
mod hubs;
mod leaving;
mod ledger_model;
mod load_admission;
mod load_metrics;
mod load_reports;
mod odd_datagrams;
mod rates_model;
mod shutdown;
mod slow_readers;
mod status;
mod stream_times;

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use fakes::{FakeStore, RATE_WINDOW};

use super::PeerRecord;
use super::endpoint_feed::follow_endpoint_list;
use super::gossip::apply_message;
use super::membership::Membership;
use super::message::{EvacuationState, GossipMessage, WorkspaceUsage};
use super::peers::Peers;
use super::rates::{RateLimiter, SenderAge, workspace_hash};
use super::role::instance_id;
use super::roster_feed::announce_and_follow_roster;
use super::state::Gateway;
use super::suspects::{CrashKey, Suspects};
use super::wait_until::wait_until;
use crate::catalog::{Regions, Workspace};
use crate::prelude::*;
use crate::quota::{Claim, PeerCounts, UsageTotals};
use crate::replicas::Topology;

// Two VMs may start in the same millisecond. When both processes had the same instance id, each
// message of one was taken for an update from the other: the counts of all rates swung between
// empty and full, and workspaces were admitted far above their limits or refused far below them.
#[test]
fn process_instances_that_start_together_have_different_ids() {
    assert_ne!(instance_id("a", UnixMs(5)), instance_id("b", UnixMs(5)));
    assert_ne!(instance_id("a", UnixMs(5)), instance_id("a", UnixMs(6)));
}

#[test]
fn a_request_is_not_sent_again_after_three_crashes_seen_by_any_entry() {
    let mut suspects = Suspects::default();
    suspects.record_crash(TimeMs(0), CrashKey(1));
    suspects.record_crash(TimeMs(0), CrashKey(1));
    assert!(!suspects.is_poison(TimeMs(0), CrashKey(1)));
    suspects.merge(TimeMs(0), CrashKey(1), 3);
    assert!(suspects.is_poison(TimeMs(1), CrashKey(1)));
    suspects.clear_suspect(TimeMs(1), CrashKey(1));
    assert!(!suspects.is_poison(TimeMs(1), CrashKey(1)));
}

// Two running entries renewed each other's counts: a request that had crashed three endpoints was
// refused for as long as they ran, and one that had been cleared was suspected again.
#[test]
fn crash_counts_expire_and_stay_cleared_while_entries_exchange_them() {
    let mut entries = [Suspects::default(), Suspects::default()];
    let exchange = |entries: &mut [Suspects; 2], now| {
        let rows = entries.each_ref().map(|entry| entry.recent(now, 5_000));
        for (entry, rows) in entries.iter_mut().zip(rows.iter().rev()) {
            rows.iter().for_each(|(request, crashes)| entry.merge(now, *request, *crashes));
        }
    };
    for request in [CrashKey(1), CrashKey(2)] {
        for crashes in 1..=3 {
            assert_eq!(entries[0].record_crash(TimeMs(0), request), crashes);
        }
    }
    exchange(&mut entries, TimeMs(100));
    entries[0].clear_suspect(TimeMs(100), CrashKey(2));
    for now in (200..80_000).step_by(200).map(TimeMs) {
        exchange(&mut entries, now);
        assert!(entries.iter().all(|entry| entry.is_poison(now, CrashKey(1))));
        assert!(!entries[0].is_poison(now, CrashKey(2)));
    }
    for now in (80_000..200_000).step_by(200).map(TimeMs) {
        exchange(&mut entries, now);
    }
    assert!(!entries.iter().any(|entry| entry.is_poison(TimeMs(91_000), CrashKey(1))));
    assert_eq!(
        entries[1].record_crash(TimeMs(200_000), CrashKey(1)),
        1,
        "the earlier crashes have expired"
    );
}

// An entry that starts while the store is unreachable receives gossip messages for seconds before
// it knows any workspace. The first count that it then gets for a workspace is all that the sender
// has admitted since its start. Counted as admitted now, it filled every window, and callers were
// refused for five seconds.
#[test]
fn counts_received_before_a_workspace_is_known_do_not_fill_its_window() {
    let workspace = Workspace {
        name: "w".into(),
        priority: None,
        rate_per_s: 10.0,
        burst: 10.0,
        regions: Regions::default(),
    };
    let mut rates = RateLimiter::open(RATE_WINDOW);
    let sender = SenderAge { since: TimeMs(0), recently_started: false };
    let row = |admitted, in_window| {
        let workspace = Digest::of(&[b"w"]).prefix();
        let admitted = UsageTotals { requests: admitted, ..UsageTotals::default() };
        vec![WorkspaceUsage { workspace, admitted, in_window }]
    };
    rates.apply_remote(TimeMs(3_000), 1, &row(5_000, None), sender);
    rates.open_window(TimeMs(3_100), &workspace);
    for now in [3_200, 3_400, 3_600, 3_800] {
        rates.apply_remote(TimeMs(now), 1, &row(5_000, Some(20)), sender);
    }
    let both_heard = PeerCounts { entries: 2, heard: 2 };
    let is_admitted = |_: &u32| {
        rates.try_admit(TimeMs(3_900), workspace_hash("w"), both_heard, Claim::Call).is_ok()
    };
    let admitted = (0..100).filter(is_admitted).count();
    assert!((39..=44).contains(&admitted), "{admitted}");
}

// Counts of a workspace that had become idle went on to count, and hid that another one used more
// than its share.
#[test]
fn the_share_of_a_workspace_does_not_depend_on_requests_that_left_the_window() {
    let workspace = |name: &str| Workspace {
        name: name.into(),
        priority: None,
        rate_per_s: 10.0,
        burst: 10.0,
        regions: Regions::default(),
    };
    let (idle, busy) = (workspace("idle"), workspace("busy"));
    let mut rates = RateLimiter::open(RATE_WINDOW);
    rates.open_window(TimeMs(0), &idle);
    rates.open_window(TimeMs(0), &busy);
    let alone = PeerCounts { entries: 1, heard: 1 };
    let mut admit = |now, workspace: &Workspace| {
        let hash = workspace_hash(&workspace.name);
        for _ in 0..30 {
            let _grant = rates.try_admit(now, hash, alone, Claim::Call).expect("the rate has room");
        }
        rates.use_level(now, &workspace.name).is_over_share()
    };
    admit(TimeMs(10_000), &idle);
    assert!(admit(TimeMs(30_000), &busy));
}

// After a restart of all entries, each joins the group and is assigned nothing, since the earlier
// process instances still hold the shards. At the usual renewal interval a shard was taken most of
// a second later, and every turn of its programs waited for that.
#[tokio::test(start_paused = true)]
async fn a_shard_is_taken_soon_after_its_assignment_changes() {
    let gateway = fakes::gateway(FakeStore::default());
    let started = Instant::now();
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(follow_endpoint_list(gateway.clone()));
    tasks.spawn_local(Membership::open(gateway.clone()).maintain());
    let served = async {
        while gateway.shards.owned(0).is_none() {
            gateway.gossip_due.notified().await;
        }
    };
    tasks.run_until(served).await;
    assert!(started.elapsed() <= Duration::from_millis(100), "{:?}", started.elapsed());
}

// An entry that restarts while the endpoint list can't be read has no endpoints. When it was
// assigned shards all the same, it refused every turn that the other entries forwarded to it; they
// would have kept the shards and served the turns.
#[tokio::test(start_paused = true)]
async fn an_entry_that_knows_no_endpoints_owns_no_shard() {
    let gateway = fakes::gateway(FakeStore::with_unreadable_endpoint_list());
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(follow_endpoint_list(gateway.clone()));
    tasks.spawn_local(Membership::open(gateway.clone()).maintain());
    tasks.run_until(tokio::time::sleep(Duration::from_secs(3))).await;
    assert!(gateway.shards.owned(0).is_none());
}

// All entries start while the store's connections stay open but nothing is answered. The first
// calls had no timeout and never ended, so that no entry learned of another until its process was
// replaced: shards were served, but seven of eight turns found no owner for the rest of the day.
#[tokio::test(start_paused = true)]
async fn an_entry_that_starts_while_the_store_is_silent_finds_the_others() {
    let gateway = fakes::gateway(FakeStore::ignoring_first_calls());
    assert!(learns_of_others(gateway).await);
}

// The store has seen announcements of an earlier process instance that this one has not read. It rejects
// those of this one, which is then unknown to all others.
#[tokio::test(start_paused = true)]
async fn an_entry_announces_itself_in_a_later_epoch_after_a_rejection() {
    let gateway = fakes::gateway(FakeStore::rejecting_epochs_before(3));
    assert!(learns_of_others(gateway).await);
}

/// Whether an entry that starts announces itself and learns of another one.
async fn learns_of_others(gateway: Rc<Gateway>) -> bool {
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(announce_and_follow_roster(gateway.clone()));
    let found = async {
        while gateway.peers.borrow().addresses().is_empty() {
            gateway.gossip_due.notified().await;
        }
    };
    let found = tokio::time::timeout(Duration::from_secs(5), found);
    tasks.run_until(found).await.is_ok()
}

// If requests were refused at once while the store is unreachable, a caller would use up its
// retries before the store is back. A request waits for a part of its time only, so that enough is
// left for its caller to retry.
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
async fn a_waiting_request_continues_as_soon_as_its_condition_holds() {
    let changed = Rc::new(Notify::new());
    let is_over = Rc::new(std::cell::Cell::new(false));
    let tasks = tokio::task::LocalSet::new();
    let (setter, notifier) = (is_over.clone(), changed.clone());
    tasks.spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(700)).await;
        setter.set(true);
        notifier.notify_waiters();
    });
    let started = Instant::now();
    assert!(tasks.run_until(wait_until(4_000, &changed, || is_over.get())).await);
    assert_eq!(started.elapsed(), Duration::from_millis(700));
}

fn gossip_message(instance: u64, store_unreachable: bool) -> GossipMessage {
    GossipMessage {
        instance,
        name: format!("entry-{instance}").into(),
        leaving: false,
        store_unreachable,
        recently_started: false,
        generation: 1,
        shards: vec![],
        running: vec![],
        admitted: vec![],
        answers: vec![],
        evacuated: EvacuationState::default(),
        suspects: vec![],
    }
}

fn peer(port: u16, region: Option<&str>) -> PeerRecord {
    let address = ([127, 0, 0, 1], port).into();
    PeerRecord {
        name: format!("entry-{port}").into(),
        address,
        region: region.map(Arc::from),
        domain: None,
        cpu_millicores: 500,
        is_hub: true,
        surges: vec![],
        epoch: 0,
    }
}

// A request must not be sent to an entry in a region that its operator does not allow, nor to one
// of unknown region. The region in which it arrived is always allowed: the request is known there
// already.
#[test]
fn a_request_is_forwarded_only_to_entries_in_allowed_regions() {
    let gateway = fakes::gateway_in(Rc::default(), two_regions());
    let address = |port| ([127, 0, 0, 1], port).into();
    for (port, region) in [(1, Some("near")), (2, Some("far")), (3, None)] {
        gateway.peers.borrow_mut().upsert(TimeMs(0), peer(port, region));
        gateway.peers.borrow_mut().record_message(
            TimeMs(0),
            address(port),
            &gossip_message(u64::from(port), false),
        );
    }
    let may_receive = |names: &[&str]| {
        let regions = Regions::only(names.iter().copied());
        [1, 2, 3].map(|port| gateway.may_forward_to(address(port), &regions))
    };
    assert_eq!(may_receive(&["near"]), [true, false, false]);
    assert_eq!(may_receive(&["far"]), [true, true, false]);
    assert_eq!(may_receive(&[]), [true, true, true]);
    let is_local = |region: Option<&str>| gateway.is_local_region(region);
    assert_eq!(gateway.peers.borrow().entries_reaching_store(TimeMs(100), is_local), [address(1)]);
}

fn two_regions() -> Topology {
    let regions =
        [("d", "near"), ("e", "far")].map(|(domain, region)| (domain.into(), region.into()));
    Topology { domain: "d".into(), region: "near".into(), regions: regions.into() }
}

// A request is relayed only to an entry that can decide on it: not to one that can't reach the
// store either, that is shutting down, or that has not been heard from recently.
#[test]
fn requests_are_relayed_only_to_live_entries_that_reach_the_store() {
    let address = |port| ([127, 0, 0, 1], port).into();
    let mut peers = Peers::default();
    peers.record_message(TimeMs(0), address(1), &gossip_message(1, false));
    peers.record_message(TimeMs(900), address(2), &gossip_message(2, true));
    peers.record_message(
        TimeMs(900),
        address(3),
        &GossipMessage { leaving: true, ..gossip_message(3, false) },
    );
    peers.record_message(TimeMs(900), address(4), &gossip_message(4, false));
    peers.upsert(TimeMs(900), peer(5, None));
    assert_eq!(peers.entries_reaching_store(TimeMs(1_000), |_| true), [address(4)]);
}

// A caller of the one entry that is cut off from the store is served better by another entry, and
// must be told so at once. While all entries are cut off there is no better one, and the request
// waits.
#[test]
fn an_entry_distinguishes_its_own_disconnection_from_a_store_outage() {
    let address = |port| ([127, 0, 0, 1], port).into();
    let mut peers = Peers::default();
    assert!(
        peers.store_unreachable_for_most(TimeMs(0)),
        "no other entry is known that could serve the callers"
    );
    for port in 1..=4 {
        peers.record_message(TimeMs(0), address(port), &gossip_message(u64::from(port), false));
    }
    assert!(!peers.store_unreachable_for_most(TimeMs(100)));
    for port in 1..=3 {
        peers.record_message(TimeMs(200), address(port), &gossip_message(u64::from(port), true));
    }
    assert!(peers.store_unreachable_for_most(TimeMs(300)));
    assert!(
        !peers.store_unreachable_for_most(TimeMs(900)),
        "no entry was heard recently: this one is cut off itself"
    );
    peers.take_silent(TimeMs(2_000));
    assert!(
        !peers.store_unreachable_for_most(TimeMs(2_000)),
        "the others are silent for longer, but were heard before"
    );
}

// An entry that can't reach the store when a failure domain is evacuated does not read the
// operator's instruction. It would go on sending its shards' turns there unless the other entries
// tell it.
#[test]
fn an_entry_learns_of_evacuations_from_other_entries() {
    let gateway = fakes::gateway(FakeStore::default());
    let other = ([127, 0, 0, 2], 1).into();
    let evacuation_message = |as_of, names: &[&str]| {
        let domains = names.iter().map(|name| Arc::from(*name)).collect();
        GossipMessage { evacuated: EvacuationState { as_of, domains }, ..gossip_message(1, false) }
    };
    apply_message(&gateway, other, &evacuation_message(7, &["d"]));
    assert!(gateway.directory.borrow().evacuations().contains("d"));
    apply_message(&gateway, other, &evacuation_message(9, &[]));
    assert!(!gateway.directory.borrow().evacuations().contains("d"));
}
