//! What messages of other entries, and their absence, change.

use std::time::Duration;

use super::{fakes, gossip_message};
use crate::gateway::gossip::{apply_message, compose, forget_silent_entries};
use crate::gateway::message::{
    ClearedReport, CountReport, Datagram, GossipMessage, LoadReport, PaceRow, RefundRow,
};
use crate::gateway::suspects::CrashKey;
use crate::quota::RefundCount;
use crate::replicas::EndpointChange;
use crate::replicas::tests::announcement;

// The requests of a dead entry stayed counted at its endpoints, which were then avoided until
// another entry's count there changed.
#[tokio::test(start_paused = true)]
async fn the_requests_of_a_silent_entry_do_not_count() {
    let gateway = fakes::gateway(fakes::FakeStore::default());
    let change = EndpointChange::Announcement("e".into(), announcement("s", 1, 1, 1));
    gateway.directory.borrow_mut().apply(gateway.now(), change);
    let key = gateway.directory.borrow().find("e").expect("known");
    let load = || {
        let directory = gateway.directory.borrow();
        directory.get(key).expect("known").load(gateway.now())
    };
    let hash = gateway.directory.borrow().get(key).expect("known").hash;
    let message = |instance, running| GossipMessage {
        running: vec![(hash, running)],
        ..gossip_message(instance, false)
    };
    apply_message(&gateway, ([127, 0, 0, 2], 1).into(), &message(1, 5));
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    apply_message(&gateway, ([127, 0, 0, 2], 2).into(), &message(2, 2));
    forget_silent_entries(&gateway, gateway.now());
    assert_eq!(load(), 7);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    forget_silent_entries(&gateway, gateway.now());
    assert_eq!(load(), 2, "the first entry is silent");
}

// With the workspaces' rows of a surge, a message held only a part of the counts, in turn. Receivers
// took the other endpoints to be idle until the next message.
#[tokio::test]
async fn counts_of_running_requests_are_sent_whole_beside_long_lists() {
    let gateway = fakes::gateway(fakes::FakeStore::default());
    for number in 0..30 {
        let endpoint = format!("e{number}").as_str().into();
        let change = EndpointChange::Announcement(endpoint, announcement("s", 1, 1, 1));
        let mut directory = gateway.directory.borrow_mut();
        directory.apply(gateway.now(), change);
        let key = directory.find(&format!("e{number}")).expect("known");
        directory.record_sent(gateway.now(), key);
    }
    for round in 0..3 {
        assert_eq!(compose(&gateway, 1, round, 10).running.len(), 30);
    }
}

// The message before a load report that this version can't decode was discarded too, so that the
// sender seemed dead during an upgrade that changes the report.
#[test]
fn a_message_counts_also_if_the_load_report_after_it_is_undecodable() {
    let message = gossip_message(1, false);
    let mut datagram = postcard::to_allocvec(&message).expect("a message can be encoded");
    datagram.extend([200, 255]);
    let (load, counts) = (LoadReport::default(), None);
    assert_eq!(
        Datagram::decode(&datagram),
        Ok(Datagram { gossip: message, load, counts, cleared: ClearedReport::default() })
    );
}

// A version without reports of counts takes what follows a message for a load report. With the
// refunds in its place, it would have taken them for measurements.
#[test]
fn counts_follow_a_load_report_even_if_that_is_empty() {
    let refunds = vec![RefundCount { age_slots: 20, requests: 3 }];
    let refunds = vec![RefundRow { workspace: 7, refunds }];
    let counts = Some(CountReport { knows_windows: true, refunds });
    let paces = vec![PaceRow { endpoint: 1, events: 2, events_ms: 3 }; 20];
    let load = LoadReport { paces, endpoints: vec![] };
    let gossip = gossip_message(1, false);
    let cleared = ClearedReport { cleared: vec![(CrashKey(3), 2)] };
    let datagram = Datagram { gossip, load, counts, cleared };
    let bytes = datagram.encode(1_400).expect("can be encoded").expect("fits");
    assert_eq!(Datagram::decode(&bytes), Ok(datagram.clone()));
    let shorter = datagram.encode(60).expect("can be encoded").expect("fits without the paces");
    let without_paces = Datagram { load: LoadReport::default(), ..datagram };
    assert_eq!(Datagram::decode(&shorter), Ok(without_paces.clone()));
    let (_, rest) = postcard::take_from_bytes::<GossipMessage>(&shorter).expect("a message");
    assert_eq!(postcard::from_bytes::<LoadReport>(rest), Ok(without_paces.load.clone()));
    assert_eq!(without_paces.encode(10).expect("can be encoded"), None);
}
