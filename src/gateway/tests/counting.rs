//! Which hub decides on the admission of a request, and what it records of surges.

use std::collections::HashSet;
use std::net::SocketAddr;

use test_case::test_case;

use super::fakes::{self, FakeStore, RATE_WINDOW};
use super::gossip_message;
use crate::catalog::{Regions, Workspace};
use crate::gateway::ask_hub::{Admitted, request_admission};
use crate::gateway::attach_message::Decision;
use crate::gateway::count_here::{Count, NotGranted};
use crate::gateway::full_windows::FullWindows;
use crate::gateway::hubs::{CountingCandidate, Inquiry, InquiryStep, NotAdmitted, counting_order};
use crate::gateway::peers::Peers;
use crate::gateway::rates::{RateLimiter, workspace_hash};
use crate::prelude::*;
use crate::quota::{Claim, Grant, PeerCounts};

const ALONE_IN_THE_WORLD: PeerCounts = PeerCounts { entries: 1, heard: 1 };

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn hub(port: u16, cpu_millicores: u32, knows_windows: bool) -> CountingCandidate {
    let cpu_millicores = Some(cpu_millicores);
    CountingCandidate { address: address(port), cpu_millicores, knows_windows }
}

// A hub took over with a window that it had not observed; a small VM answered the flood of a workspace.
#[test]
fn hubs_that_know_the_windows_on_large_vms_count_first() {
    let hubs = vec![hub(1, 500, false), hub(2, 90, true), hub(3, 500, true), hub(4, 300, true)];
    for workspace in 0..50 {
        let mut order = counting_order(workspace, hubs.clone());
        order.sort_unstable();
        assert_eq!(order, [address(3), address(4)]);
    }
    let all_started = vec![hub(1, 500, false), hub(2, 90, false)];
    assert_eq!(counting_order(1, all_started), [address(1)]);
}

// A request whose hub had died was refused at once, or asked of all hubs.
#[test]
fn a_request_is_asked_of_further_hubs_one_after_the_other() {
    let order: Vec<_> = (1..=5).map(address).collect();
    let mut inquiry = Inquiry::open();
    let asked = |step| match step {
        InquiryStep::Ask { hubs, .. } => hubs.len(),
        _ => 0,
    };
    let steps = [1, 2, 3, 3].map(|_| asked(inquiry.next_step(order.clone(), address(9))));
    assert_eq!(steps, [1, 2, 3, 3]);
    let end = inquiry.next_step(order.clone(), address(9));
    assert!(matches!(end, InquiryStep::End(NotAdmitted::Undecided { .. })));
}

// A hub that did not know the window was asked again and again.
#[test]
fn a_hub_that_does_not_know_the_window_is_left_out_and_the_next_may_be_this_entry() {
    let mut inquiry = Inquiry::open();
    let order = vec![address(1), address(2)];
    inquiry.next_step(order.clone(), address(2));
    let unknown = Decision::Unknown { retry_after_ms: 400 };
    assert_eq!(inquiry.record_refusal(address(1), unknown), None);
    assert_eq!(inquiry.next_step(order, address(2)), InquiryStep::CountHere);
    let no_room = Decision::NoRoom { retry_after_ms: 70 };
    let refused = inquiry.record_refusal(address(2), no_room);
    assert_eq!(refused, Some(NotAdmitted::NoRoom { retry_after_ms: 70 }));
}

// A flood was asked of one hub request by request; a long answer hid that a refund had made room.
#[test_case(300, 99 => Some(201); "a long wait is taken over for a short time")]
#[test_case(300, 100 => None)]
#[test_case(40, 39 => Some(1))]
#[test_case(40, 40 => None)]
fn an_answer_without_room_stands_for_a_short_time(retry_after_ms: u64, in_ms: u64) -> Option<u64> {
    let mut full_windows = FullWindows::default();
    full_windows.record(TimeMs(1_000), 1, Claim::Call, retry_after_ms);
    assert_eq!(full_windows.retry_after_ms(TimeMs(1_000), 1, Claim::ContinuesProgram), None);
    full_windows.retry_after_ms(TimeMs(1_000 + in_ms), 1, Claim::Call)
}

// A request waited for 340 ms more although all hubs had said that they did not know the window.
#[test]
fn an_inquiry_ends_once_all_hubs_have_said_that_they_do_not_know_the_window() {
    let mut inquiry = Inquiry::open();
    let order = vec![address(1), address(2)];
    for hub in [1, 2] {
        inquiry.next_step(order.clone(), address(9));
        let unknown = Decision::Unknown { retry_after_ms: 400 };
        assert_eq!(inquiry.record_refusal(address(hub), unknown), None);
    }
    let no_room = NotAdmitted::NoRoom { retry_after_ms: 400 };
    assert_eq!(inquiry.next_step(order, address(9)), InquiryStep::End(no_room));
}

// An entry that has just started knows no hub yet, but soon will.
#[test]
fn an_inquiry_waits_for_a_first_hub() {
    let step = Inquiry::open().next_step(vec![], address(9));
    assert!(matches!(step, InquiryStep::Ask { hubs, .. } if hubs.is_empty()));
}

fn workspace(rate_per_s: f64) -> Workspace {
    let (name, regions) = ("w".into(), Regions::default());
    Workspace { name, priority: None, rate_per_s, burst: 50.0, regions }
}

// A workspace without a limit was refused at a leaf that no hub answered.
#[tokio::test(start_paused = true)]
async fn a_workspace_without_a_limit_needs_no_hub() {
    let leaf = fakes::gateway(FakeStore::default());
    leaf.become_leaf();
    let unlimited = request_admission(&leaf, &workspace(0.0), Claim::Call).await;
    assert!(matches!(unlimited, Ok(Admitted::Unlimited)));
    let limited = request_admission(&leaf, &workspace(20.0), Claim::Call).await;
    assert!(matches!(limited, Err(NotAdmitted::Undecided { .. })));
}

/// A hub that has observed the window of a workspace with a limit of 150, 35 above it tolerated.
fn limiter() -> RateLimiter {
    let mut rates = RateLimiter::open(RATE_WINDOW);
    rates.open_window(TimeMs(0), &workspace(20.0));
    rates
}

fn admit(rates: &mut RateLimiter, now: u64) -> bool {
    rates.try_admit(TimeMs(now), workspace_hash("w"), ALONE_IN_THE_WORLD, Claim::Call).is_ok()
}

// After a kill of all entries nobody knew that a workspace had just sent a surge.
#[test]
fn a_surge_is_recorded_before_more_of_it_is_admitted_and_no_longer_once_it_has_left_the_window() {
    let mut rates = limiter();
    let workspace = workspace_hash("w");
    let before = (0..100)
        .take_while(|_| {
            !rates.must_record_surge(TimeMs(10_000), workspace) && admit(&mut rates, 10_000)
        })
        .count();
    assert_eq!(before, 17, "half of what is tolerated above the limit");
    assert!(rates.is_surge_record_due());
    let surges = rates.surges_to_record(TimeMs(10_000));
    assert_eq!(surges, [workspace]);
    rates.confirm_surges(&surges);
    assert!(!rates.must_record_surge(TimeMs(10_000), workspace));
    assert_eq!(rates.surges_to_record(TimeMs(14_999)), [workspace]);
    assert!(rates.has_other_surges_recorded(&rates.surges_to_record(TimeMs(15_000))));
}

// After all entries had been killed, workspaces without a surge got little for five seconds.
#[test_case(HashSet::from([workspace_hash("w")]) => 8; "a surge was recorded")]
#[test_case(HashSet::new() => 75; "no surge was recorded")]
fn after_a_start_only_recorded_surges_are_held_back(surges: HashSet<u64>) -> usize {
    let mut rates = limiter();
    rates.set_surges_before_start(surges);
    (0..200).filter(|_| admit(&mut rates, 2_500)).count()
}

/// What a hub decides on a request of a workspace 8.6 s after its start, in contact with one other hub.
fn decide(name: &str, knows_windows: bool, other_knows: bool) -> Result<Grant, NotGranted> {
    let mut rates = limiter();
    let declared_later = Workspace { name: "new".into(), ..workspace(20.0) };
    rates.open_window(TimeMs(6_000), &declared_later);
    rates.set_surges_before_start(HashSet::new());
    let mut peers = Peers::default();
    let now = TimeMs(8_600);
    peers.record_message(now, address(1), &gossip_message(1, false));
    peers.record_knowledge(address(1), other_knows);
    let (workspace, claim) = (workspace_hash(name), Claim::Call);
    Count { now, peers: &peers, rates: &mut rates, knows_windows, workspace, claim }.decide()
}

// After several hubs had started or regained contact together, each left all decisions to the others for a
// tenth of a second, and requests far within the rate were refused with 429; those of a workspace that had
// just been declared for five seconds.
#[test]
fn hubs_leave_decisions_only_to_one_that_knows() {
    assert!(decide("w", true, true).is_ok());
    assert!(decide("w", false, false).is_ok(), "nobody knows");
    assert!(matches!(decide("w", false, true), Err(NotGranted::Unknown { .. })));
    assert!(decide("new", true, true).is_ok(), "nobody knows the window of a new workspace");
}
