//! Until when an endpoint that has left is still chosen, whatever the reads of the list meet.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use test_case::test_case;
use tokio::task::LocalSet;

use super::fakes::{FakeStore, ReadFault, gateway_on};
use super::gossip_message;
use crate::catalog::Regions;
use crate::gateway::endpoint_feed::follow_endpoint_list;
use crate::gateway::gossip::apply_message;
use crate::gateway::state::Gateway;
use crate::replicas::{Announcement, EndpointChange, PlacementRequest};

/// How long an endpoint that has left may still be chosen: the fake gateway's bound.
const DRAIN_MS: u64 = 2_000;

/// How long it takes a running endpoint until it is listed again after an outage of the store.
const LISTED_AGAIN_MS: u64 = 1_900;

/// Interval between the gossip messages of the other entries.
const GOSSIP_MS: u64 = 100;

/// An entry that follows the endpoint list, in a fleet with some other entries.
struct Entry {
    store: Rc<FakeStore>,
    gateway: Rc<Gateway>,
    tasks: LocalSet,
    others: Vec<SocketAddr>,
}

impl Entry {
    async fn start(others: u16, endpoints: &[&str]) -> Entry {
        let store = Rc::new(FakeStore::default());
        endpoints.iter().for_each(|id| store.endpoint_list.append(announced(id, false)));
        let gateway = gateway_on(store.clone());
        let tasks = LocalSet::new();
        tasks.spawn_local(follow_endpoint_list(gateway.clone()));
        let others = (1..=others).map(|port| ([127, 0, 0, 2], port).into()).collect();
        let entry = Entry { store, gateway, tasks, others };
        entry.run(1_000, Some(false)).await;
        entry
    }

    /// Lets time pass. The other entries report whether they can't reach the store; they are not
    /// heard if `store_unreachable` is none.
    async fn run(&self, duration_ms: u64, store_unreachable: Option<bool>) {
        for elapsed_ms in 0..duration_ms {
            if elapsed_ms % GOSSIP_MS == 0
                && let Some(store_unreachable) = store_unreachable
            {
                for other in &self.others {
                    let message = gossip_message(u64::from(other.port()), store_unreachable);
                    apply_message(&self.gateway, *other, &message);
                }
            }
            self.tasks.run_until(tokio::time::sleep(Duration::from_millis(1))).await;
        }
    }

    /// Lets the entry alone be refused by the store for a while.
    async fn cut_off_for(&self, duration_ms: u64, others_heard: bool) {
        self.store.endpoint_list.set_outage(Some(ReadFault::Refused(503)));
        self.run(duration_ms, others_heard.then_some(false)).await;
        self.store.endpoint_list.set_outage(None);
    }

    fn remove(&self, id: &str) {
        self.store.endpoint_list.append(EndpointChange::Removed(id.into()));
    }

    /// Whether a new request may be sent to the endpoint.
    fn chooses(&self, id: &str) -> bool {
        let request = PlacementRequest {
            service: "s".into(),
            parts: vec![],
            object: None,
            regions: Regions::default(),
            excluded: vec![],
            accepts_ejected: false,
        };
        let chosen = (0..8).filter_map(|_| self.gateway.choose(&request));
        let directory = self.gateway.directory.borrow();
        chosen
            .collect::<Vec<_>>()
            .into_iter()
            .any(|key| directory.get(key).is_some_and(|replica| &*replica.id == id))
    }
}

fn announced(id: &str, draining: bool) -> EndpointChange {
    let port = id.bytes().map(u16::from).sum();
    let announcement = Announcement {
        service: "s".into(),
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: "d".into(),
        slots: 2,
        draining,
        cold_left_ms: 0,
        started_at_ms: 5,
        sequence: if draining { 2 } else { 1 },
    };
    EndpointChange::Announcement(id.into(), announcement)
}

// An endpoint leaves just before reads of the list fail, while the store is up: its removal must
// not be taken for a lapse.
#[test_case(&[ReadFault::Unanswered]; "one read without an answer")]
#[test_case(&[ReadFault::Unanswered, ReadFault::Unanswered]; "two reads without an answer")]
#[test_case(&[ReadFault::Refused(429)]; "a read over the rate limit")]
#[test_case(&[ReadFault::Refused(503), ReadFault::Unanswered]; "a refused and an unanswered read")]
#[tokio::test(start_paused = true)]
async fn an_endpoint_that_leaves_as_reads_fail_gets_no_requests_after_the_bound(
    faults: &[ReadFault],
) {
    let entry = Entry::start(4, &["a", "b"]).await;
    entry.store.endpoint_list.fail_next_reads(faults);
    entry.remove("a");
    entry.run(DRAIN_MS, Some(false)).await;
    assert!(!entry.chooses("a"));
    assert!(entry.chooses("b"));
}

// An endpoint leaves and the store drops its history before the removal was read. The next read
// fails, but there was no outage in which records could have lapsed.
#[tokio::test(start_paused = true)]
async fn an_endpoint_that_leaves_as_the_history_is_dropped_gets_no_requests_after_the_bound() {
    let entry = Entry::start(4, &["a", "b"]).await;
    entry.remove("a");
    entry.store.endpoint_list.drop_history();
    entry.run(DRAIN_MS, Some(false)).await;
    assert!(!entry.chooses("a"));
    assert!(entry.chooses("b"));
}

// An entry that alone was cut off from the store reads removals that were made while the store was
// up: the endpoints have left.
#[test_case(true; "others are heard")]
#[test_case(false; "cut off from the others too")]
#[tokio::test(start_paused = true)]
async fn an_entry_that_alone_was_cut_off_keeps_no_endpoint_that_left(others_heard: bool) {
    let entry = Entry::start(4, &["a", "b", "c"]).await;
    entry.cut_off_for(2_500, others_heard).await;
    entry.remove("a");
    entry.run(500, Some(false)).await;
    assert!(!entry.chooses("a"), "it left while the entry was cut off");
    entry.remove("b");
    entry.run(DRAIN_MS, Some(false)).await;
    assert!(!entry.chooses("b"), "it left just after the entry was cut off");
    assert!(entry.chooses("c"));
}

// An outage of the store for all entries ends. Records that lapsed in it, or soon after, are listed
// again within two seconds, and until then requests must go somewhere.
#[test_case(4; "among other entries")]
#[test_case(0; "without other entries")]
#[tokio::test(start_paused = true)]
async fn endpoints_whose_records_lapsed_in_an_outage_stay_in_use(others: u16) {
    let entry = Entry::start(others, &["a", "b"]).await;
    entry.store.endpoint_list.set_outage(Some(ReadFault::Refused(503)));
    entry.run(3_000, Some(true)).await;
    entry.remove("a");
    entry.store.endpoint_list.set_outage(None);
    entry.run(600, Some(false)).await;
    entry.remove("b");
    for _ in (600..LISTED_AGAIN_MS).step_by(100) {
        assert!(entry.chooses("a") || entry.chooses("b"), "no endpoint is left");
        entry.run(100, Some(false)).await;
    }
    entry.store.endpoint_list.append(announced("b", false));
    entry.run(1_100, Some(false)).await;
    assert!(!entry.chooses("a"), "it was not listed again");
    assert!(entry.chooses("b"));
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..Config::default()
    })]

    // Whatever single reads meet while the store is up, no endpoint that has left is chosen after
    // the bound.
    #[test]
    fn faults_of_single_reads_never_delay_a_leave_beyond_the_bound(
        faults in proptest::collection::vec(
            prop_oneof![
                Just(ReadFault::Unanswered),
                Just(ReadFault::Refused(429)),
                Just(ReadFault::Refused(503)),
            ],
            0..=2,
        ),
        leaves_after_ms in 0_u64..500,
        faults_after_ms in 0_u64..500,
        drops_history: bool,
        announces: bool,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime can be built");
        runtime.block_on(async {
            let entry = Entry::start(4, &["a", "b"]).await;
            entry.run(leaves_after_ms.min(faults_after_ms), Some(false)).await;
            if faults_after_ms <= leaves_after_ms {
                entry.store.endpoint_list.fail_next_reads(&faults);
                entry.run(leaves_after_ms - faults_after_ms, Some(false)).await;
            }
            match announces {
                true => entry.store.endpoint_list.append(announced("a", true)),
                false => entry.remove("a"),
            }
            if drops_history {
                entry.store.endpoint_list.drop_history();
            }
            let mut left_ms = DRAIN_MS;
            if faults_after_ms > leaves_after_ms {
                let pause_ms = faults_after_ms - leaves_after_ms;
                entry.run(pause_ms, Some(false)).await;
                entry.store.endpoint_list.fail_next_reads(&faults);
                left_ms -= pause_ms;
            }
            entry.run(left_ms, Some(false)).await;
            assert!(!entry.chooses("a"));
            assert!(entry.chooses("b"));
        });
    }
}
