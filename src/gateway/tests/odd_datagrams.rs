//! Datagrams and feeds whose bytes or numbers no entry would send.

use std::net::SocketAddr;
use std::rc::Rc;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::fakes::{self, FakeStore};
use super::gossip_message;
use crate::gateway::attach_message::AttachMessage;
use crate::gateway::feed_message::{FeedStatus, FeedUpdate};
use crate::gateway::gossip::receive_gossip_message;
use crate::gateway::leaf_feed::apply_status;
use crate::gateway::message::{
    ClearedReport, CountReport, Datagram, EndpointRow, GossipMessage, LoadReport, PaceRow,
    RefundRow, WorkspaceUsage,
};
use crate::gateway::state::Gateway;
use crate::gateway::suspects::CrashKey;
use crate::load::EndpointReport;
use crate::prelude::*;
use crate::quota::{RefundCount, UsageTotals};
use crate::replicas::EndpointChange;
use crate::replicas::tests::announcement;

/// Any datagram is shorter.
const MAX_BYTES: usize = 2_000;

fn config() -> Config {
    Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A hub that knows the endpoint `e`.
fn hub() -> Rc<Gateway> {
    let gateway = fakes::gateway(FakeStore::default());
    let change = EndpointChange::Announcement("e".into(), announcement("s", 1, 1, 1));
    gateway.directory.borrow_mut().apply(TimeMs(0), change);
    gateway.become_hub();
    gateway
}

fn number() -> impl Strategy<Value = u64> {
    let large = [u64::MAX, u64::MAX - 1, 1 << 63, u64::from(u32::MAX)];
    prop_oneof![Just(0_u64), 1..20_u64, proptest::sample::select(large.to_vec())]
}

fn count() -> impl Strategy<Value = u32> {
    number().prop_map(|number| u32::try_from(number).unwrap_or(u32::MAX))
}

fn gossip() -> impl Strategy<Value = GossipMessage> {
    let endpoint = Digest::of(&[b"e"]).prefix();
    let usage = (number(), number(), number(), proptest::option::of(number()));
    let usage = usage.prop_map(|(requests, programs, booked_ms, in_window)| WorkspaceUsage {
        workspace: 1,
        admitted: UsageTotals { requests, programs, booked_ms },
        in_window,
    });
    (number(), count(), (count(), count()), count(), vec(usage, 0..2), number()).prop_map(
        move |(instance, running, (failures, served), crashes, admitted, epoch)| GossipMessage {
            generation: epoch,
            shards: vec![(0, epoch)],
            running: vec![(endpoint, running)],
            admitted,
            answers: vec![(endpoint, failures, served)],
            suspects: vec![(CrashKey(1), crashes)],
            ..gossip_message(instance, false)
        },
    )
}

fn load_report() -> impl Strategy<Value = LoadReport> {
    let endpoint = Digest::of(&[b"e"]).prefix();
    (number(), number(), number(), count(), number()).prop_map(
        move |(events, events_ms, age_ms, running, tokens)| LoadReport {
            paces: vec![PaceRow { endpoint, events, events_ms }],
            endpoints: vec![EndpointRow {
                endpoint,
                age_ms,
                report: EndpointReport {
                    running: Some(running),
                    waiting: Some(running),
                    used_tokens: Some(tokens),
                    total_tokens: Some(tokens),
                    born: Some(tokens),
                },
            }],
        },
    )
}

fn datagram() -> impl Strategy<Value = Datagram> {
    let refund = (any::<u8>(), count());
    (gossip(), load_report(), refund, count()).prop_map(
        |(gossip, load, (age_slots, requests), crashes)| {
            let refunds = vec![RefundCount { age_slots, requests }];
            let refunds = vec![RefundRow { workspace: 1, refunds }];
            Datagram {
                gossip,
                load,
                counts: Some(CountReport { knows_windows: true, refunds }),
                cleared: ClearedReport { cleared: vec![(CrashKey(1), crashes)] },
            }
        },
    )
}

fn encoded(datagram: &Datagram) -> Vec<u8> {
    datagram.encode(MAX_BYTES).expect("can be encoded").expect("fits")
}

proptest! {
    #![proptest_config(config())]

    // Counts of several entries were added without a bound: a sum beyond 32 bits ended the task that
    // receives the messages, or was taken for a small one.
    #[test]
    fn no_number_of_other_entries_stops_an_entry(messages in vec((0_u16..3, datagram()), 1..6)) {
        let hub = hub();
        for (sender, datagram) in messages {
            let sender = SocketAddr::from(([127, 0, 0, 2], 1 + sender));
            receive_gossip_message(&hub, sender, &encoded(&datagram));
            let now = hub.now();
            let key = hub.directory.borrow().find("e").expect("known");
            hub.directory.borrow_mut().record_sent(now, key);
            hub.suspects.borrow_mut().record_crash(now, CrashKey(1));
            prop_assert!(hub.directory.borrow().get(key).expect("known").load(now) > 0);
            hub.service_load("s");
        }
    }

    #[test]
    fn any_bytes_are_read_or_rejected(bytes in vec(any::<u8>(), 0..MAX_BYTES), tagged: bool) {
        let tag: &[u8] = if tagged { &[0x80, 0x00] } else { &[] };
        let bytes = [tag, &bytes].concat();
        let hub = hub();
        receive_gossip_message(&hub, ([127, 0, 0, 2], 1).into(), &bytes);
        drop(AttachMessage::decode(&bytes));
        drop(postcard::from_bytes::<FeedUpdate>(&bytes));
    }

    // A datagram that was cut off or changed on its way.
    #[test]
    fn a_damaged_datagram_is_read_or_rejected(
        datagram in datagram(),
        keep in 0..MAX_BYTES,
        at in 0..MAX_BYTES,
        byte: u8,
    ) {
        let mut bytes = encoded(&datagram);
        bytes.truncate(keep);
        if let Some(changed) = bytes.get_mut(at) {
            *changed = byte;
        }
        receive_gossip_message(&hub(), ([127, 0, 0, 2], 1).into(), &bytes);
    }
}

// The age of what the hub has read and the time of the answer were added without a bound.
#[test]
fn a_huge_age_counts_as_never_read() {
    let leaf = fakes::gateway(FakeStore::default());
    leaf.become_leaf();
    let status = FeedStatus { list_age_ms: Some(u64::MAX), ..FeedStatus::default() };
    apply_status(&leaf, ([127, 0, 0, 2], 1).into(), status);
    let read = leaf.endpoint_list.version().expect("recorded");
    assert_eq!(read.read_at, TimeMs(0));
}
