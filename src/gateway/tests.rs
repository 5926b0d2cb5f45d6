mod fakes;

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use fakes::FakeStore;

use super::PeerRecord;
use super::endpoint_feed::follow_endpoints;
use super::gossip::{follow_peers, hear, life_number};
use super::hold::hold;
use super::message::{Evacuated, Gossip, Taken};
use super::peers::Peers;
use super::rates::{Known, Rates};
use super::suspects::Suspects;
use super::tenure::Tenure;
use crate::catalog::{Regions, Workspace};
use crate::prelude::*;
use crate::quota::{Claim, Peering, Tally};
use crate::replicas::Places;

// Two VMs start in the same millisecond. Under one number, each message of the one looked like news
// of the other, the copies of all rates swung between empty and full, and workspaces were admitted
// far above their limits or refused far below.
#[test]
fn entries_that_start_together_have_lives_of_their_own() {
    assert_ne!(life_number("a", UnixMs(5)), life_number("b", UnixMs(5)));
    assert_ne!(life_number("a", UnixMs(5)), life_number("a", UnixMs(6)));
}

#[test]
fn a_request_is_given_up_after_its_third_crash_wherever_they_were_seen() {
    let mut suspects = Suspects::default();
    suspects.crashed(TimeMs(0), 1);
    suspects.crashed(TimeMs(0), 1);
    assert!(!suspects.guilty(TimeMs(0), 1));
    suspects.told(TimeMs(0), 1, 3);
    assert!(suspects.guilty(TimeMs(1), 1));
    suspects.cleared(1);
    assert!(!suspects.guilty(TimeMs(1), 1));
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
    let mut rates = Rates::open(5_000);
    let known = Known { since: TimeMs(0), young: false };
    let row = |taken, in_window| {
        let workspace = Digest::of(&[b"w"]).prefix();
        let taken = Tally { requests: taken, ..Tally::default() };
        vec![Taken { workspace, taken, in_window }]
    };
    rates.tell(TimeMs(3_000), 1, &row(5_000, None), known);
    rates.declared(TimeMs(3_100), &workspace);
    for now in [3_200, 3_400, 3_600, 3_800] {
        rates.tell(TimeMs(now), 1, &row(5_000, Some(20)), known);
    }
    let alone = Peering { entries: 2, heard: 2 };
    let takes = |_: &u32| rates.take(TimeMs(3_900), &workspace, alone, Claim::GoesOn).is_ok();
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
    tasks.spawn_local(Tenure::open(gateway.clone()).keep());
    let served = async {
        while gateway.shards.own(0).is_none() {
            gateway.news.notified().await;
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
    tasks.spawn_local(Tenure::open(gateway.clone()).keep());
    tasks.run_until(tokio::time::sleep(Duration::from_secs(3))).await;
    assert!(gateway.shards.own(0).is_none());
}

// All entries start while the store says nothing, with its connections standing. Their first calls had no
// limit and never ended, so that no entry heard of another until its process was replaced: shards were
// served, and seven of eight turns found no owner for the rest of the day.
#[tokio::test(start_paused = true)]
async fn an_entry_that_starts_while_the_store_is_silent_meets_the_others() {
    let gateway = fakes::gateway(FakeStore::silent_at_first());
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(follow_peers(gateway.clone()));
    let met = async {
        while gateway.peers.borrow().addresses().is_empty() {
            gateway.news.notified().await;
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
    assert!(!hold(3_000, &Notify::new(), || false).await);
    assert_eq!(started.elapsed(), Duration::from_millis(1_200));
    let started = Instant::now();
    assert!(!hold(60_000, &Notify::new(), || false).await);
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
    assert!(tasks.run_until(hold(4_000, &changed, || over.get())).await);
    assert_eq!(started.elapsed(), Duration::from_millis(700));
}

fn gossip(life: u64, store_away: bool) -> Gossip {
    Gossip {
        life,
        name: format!("entry-{life}").into(),
        leaving: false,
        store_away,
        young: false,
        generation: 1,
        shards: vec![],
        running: vec![],
        taken: vec![],
        answers: vec![],
        evacuated: Evacuated::default(),
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
        gateway.peers.borrow_mut().know(TimeMs(0), peer(port, region));
        gateway.peers.borrow_mut().heard(TimeMs(0), address(port), &gossip(u64::from(port), false));
    }
    let carried = |names: &[&str]| {
        let regions = Regions::only(names.iter().copied());
        [1, 2, 3].map(|port| gateway.may_carry(address(port), &regions))
    };
    assert_eq!(carried(&["near"]), [true, false, false]);
    assert_eq!(carried(&["far"]), [true, true, false]);
    assert_eq!(carried(&[]), [true, true, true]);
    let near = |region: Option<&str>| gateway.is_near(region);
    assert_eq!(gateway.peers.borrow().that_reach_store(TimeMs(100), near), [address(1)]);
}

fn two_regions() -> Places {
    let regions =
        [("d", "near"), ("e", "far")].map(|(domain, region)| (domain.into(), region.into()));
    Places { domain: "d".into(), region: "near".into(), regions: regions.into() }
}

// A request is relayed to an entry that can decide on it: not to one that has lost the store too, that is
// shutting down, or that was not heard of late.
#[test]
fn requests_are_relayed_to_entries_that_reach_the_store_and_stay() {
    let address = |port| ([127, 0, 0, 1], port).into();
    let mut peers = Peers::default();
    peers.heard(TimeMs(0), address(1), &gossip(1, false));
    peers.heard(TimeMs(900), address(2), &gossip(2, true));
    peers.heard(TimeMs(900), address(3), &Gossip { leaving: true, ..gossip(3, false) });
    peers.heard(TimeMs(900), address(4), &gossip(4, false));
    peers.know(TimeMs(900), peer(5, None));
    assert_eq!(peers.that_reach_store(TimeMs(1_000), |_| true), [address(4)]);
}

// A caller that meets the one entry that is cut off from the store is better served by another, and must
// be told so at once; while all are cut off, there is no other.
#[test]
fn an_entry_tells_its_own_cut_from_an_outage() {
    let address = |port| ([127, 0, 0, 1], port).into();
    let mut peers = Peers::default();
    assert!(peers.miss_store(TimeMs(0)), "alone, it has nobody to send callers to");
    for port in 1..=4 {
        peers.heard(TimeMs(0), address(port), &gossip(u64::from(port), false));
    }
    assert!(!peers.miss_store(TimeMs(100)));
    for port in 1..=3 {
        peers.heard(TimeMs(200), address(port), &gossip(u64::from(port), true));
    }
    assert!(peers.miss_store(TimeMs(300)));
    assert!(!peers.miss_store(TimeMs(900)), "nobody was heard for long: it is cut off itself");
}

// An entry has lost the store when a failure domain is evacuated. It would go on sending turns of its
// shards there, since it never reads the operator's word.
#[test]
fn an_entry_learns_from_others_what_is_evacuated() {
    let gateway = fakes::gateway(FakeStore::default());
    let other = ([127, 0, 0, 2], 1).into();
    let told = |as_of, names: &[&str]| {
        let domains = names.iter().map(|name| Arc::from(*name)).collect();
        Gossip { evacuated: Evacuated { as_of, domains }, ..gossip(1, false) }
    };
    hear(&gateway, other, &told(7, &["d"]));
    assert!(gateway.directory.borrow().evacuations().contains("d"));
    hear(&gateway, other, &told(9, &[]));
    assert!(!gateway.directory.borrow().evacuations().contains("d"));
}
