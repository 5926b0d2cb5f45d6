//! Which entries are hubs, how leaves find one, and what hubs and leaves tell each other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::fakes::{self, FakeStore, RATE_WINDOW};
use crate::catalog::{Regions, Workspace};
use crate::gateway::PeerRecord;
use crate::gateway::attach_message::{Attach, AttachMessage, Decision, HubRow, HubState, Question};
use crate::gateway::feed_message::{FeedStatus, ListPosition};
use crate::gateway::hub::{answer_attach, answer_question, refund, update_state};
use crate::gateway::hubs::{
    Attachment, CountingCandidate, HubLimit, Recruitment, Roster, counting_order,
};
use crate::gateway::leaf;
use crate::gateway::rates::{RateLimiter, RowSelection, SenderAge};
use crate::gateway::state::Gateway;
use crate::gateway::suspects::CrashKey;
use crate::prelude::*;
use crate::quota::{Claim, PeerCounts};

const DOMAINS: usize = 6;
const MAX_HUBS: usize = 48;

fn record(number: usize) -> PeerRecord {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    PeerRecord {
        name: format!("entry-{number}").into(),
        address: ([10, 0, high, low], 7_780).into(),
        region: None,
        domain: Some(domain(number)),
        cpu_millicores: if number.is_multiple_of(3) { 500 } else { 90 },
        is_hub: false,
        surges: vec![],
        epoch: 0,
    }
}

fn domain(number: usize) -> Arc<str> {
    // Three in a row share a domain, so that each has VMs of both sizes.
    format!("d{}", number / 3 % DOMAINS).into()
}

fn roster(entries: usize) -> Roster {
    let mut roster = Roster::default();
    (0..entries).for_each(|number| assert!(roster.upsert(record(number))));
    roster
}

fn elected(entries: usize) -> Vec<PeerRecord> {
    let roster = roster(entries);
    let limit = HubLimit::new(MAX_HUBS, DOMAINS);
    let ranked = (0..entries).map(record).filter(|entry| roster.is_elected(entry, limit));
    ranked.map(|entry| PeerRecord { is_hub: true, ..entry }).collect()
}

// What each hub sends and receives grew with the number of entries; small VMs owned the shards.
#[test]
fn the_number_of_hubs_is_bounded_and_they_are_the_larger_vms() {
    assert_eq!(elected(40).len(), 40, "while the entries are few, all of them are hubs");
    for entries in [620, 1_240, 2_480] {
        let hubs = elected(entries);
        assert_eq!(hubs.len(), MAX_HUBS);
        assert!(hubs.iter().all(|hub| hub.cpu_millicores == 500));
        for number in 0..DOMAINS {
            let here = hubs.iter().filter(|hub| hub.domain == Some(domain(3 * number)));
            assert_eq!(here.count(), MAX_HUBS / DOMAINS);
        }
    }
}

fn name_hash(name: &str) -> u64 {
    Digest::of(&[name.as_bytes()]).prefix()
}

// A hub with most of a failure domain's leaves would be slow for all of them.
#[test]
fn leaves_spread_over_the_hubs_of_their_domain_also_after_some_are_gone() {
    let hubs = elected(1_240);
    let leaves: Vec<_> =
        (0..1_240).map(record).filter(|e| hubs.iter().all(|h| h.name != e.name)).collect();
    let gone: Vec<SocketAddr> = hubs.iter().step_by(2).map(|hub| hub.address).collect();
    let (mut before, mut after) = (HashMap::new(), HashMap::new());
    for leaf in &leaves {
        let leaf_domain = leaf.domain.clone().expect("has one");
        let mut attachment = Attachment::default();
        let mut choose = |now| {
            let chosen =
                attachment.choose(TimeMs(now), name_hash(&leaf.name), &leaf_domain, hubs.iter());
            let hub = chosen.expect("there are hubs");
            if !gone.contains(&hub) || now == 0 {
                attachment.record_answer(TimeMs(now), hub);
            }
            hub
        };
        let first = choose(0);
        *before.entry(first).or_insert(0) += 1;
        let last = (1..20).map(|step| choose(step * 250)).last().expect("is some");
        assert!(!gone.contains(&last), "attached to a hub that does not answer");
        let hub_domain =
            hubs.iter().find(|hub| hub.address == last).expect("is one").domain.clone();
        assert_eq!(hub_domain, leaf.domain);
        *after.entry(last).or_insert(0) += 1;
    }
    let mean = leaves.len() / MAX_HUBS;
    assert!(before.values().all(|count| *count < 2 * mean), "{before:?}");
    assert!(after.values().all(|count| *count < 4 * mean), "{after:?}");
}

// Leaves that had attached to the first hub that started stayed there: it served all of them, and hubs
// that came later none.
#[test]
fn a_leaf_moves_to_the_hub_that_it_prefers_once_that_is_there() {
    let hubs = elected(1_240);
    let (leaf, domain) = (name_hash("leaf"), domain(0));
    let preferred = Attachment::default().choose(TimeMs(0), leaf, &domain, hubs.iter());
    let others = || hubs.iter().filter(|hub| Some(hub.address) != preferred);
    let mut attachment = Attachment::default();
    let first = attachment.choose(TimeMs(0), leaf, &domain, others()).expect("there are hubs");
    for now in (0..6_000).step_by(250).map(TimeMs) {
        attachment.record_answer(now, first);
        attachment.rebalance(now, leaf, &domain, others());
    }
    attachment.rebalance(TimeMs(6_000), leaf, &domain, hubs.iter());
    assert_eq!(attachment.choose(TimeMs(6_000), leaf, &domain, hubs.iter()), preferred);
    let next = attachment.choose(TimeMs(6_800), leaf, &domain, hubs.iter());
    assert_ne!(next, preferred, "it does not answer");
}

fn candidate(hub: &PeerRecord) -> CountingCandidate {
    CountingCandidate {
        address: hub.address,
        cpu_millicores: Some(hub.cpu_millicores),
        knows_windows: true,
    }
}

// With each hub counting for its own leaves, what the others had just admitted was only estimated, and
// requests were refused although the rate had room. A hub that counts for many workspaces is slow.
#[test]
fn one_hub_counts_a_workspace_and_another_takes_over_when_it_is_gone() {
    let hubs: Vec<_> = elected(1_240).into_iter().map(|hub| candidate(&hub)).collect();
    let mut workspaces = HashMap::new();
    for number in 0..3_300_u64 {
        let workspace = name_hash(&format!("w{number}"));
        let order = counting_order(workspace, hubs.clone());
        let remaining = hubs.iter().copied().filter(|hub| hub.address != order[0]);
        assert_eq!(counting_order(workspace, remaining.collect()), order[1..]);
        *workspaces.entry(order[0]).or_insert(0) += 1;
    }
    assert!(workspaces.values().all(|count| *count < 2 * 3_300 / MAX_HUBS), "{workspaces:?}");
}

// With all leaves becoming hubs at once after their hubs were killed, each would send messages to
// each again.
#[test]
fn leaves_become_hubs_one_after_the_other_and_only_while_there_are_too_few() {
    assert!(!Recruitment::is_short(4, 8, 100));
    assert!(Recruitment::is_short(3, 8, 100));
    assert!(!Recruitment::is_short(1, 8, 2), "a small domain has all its entries");
    let mut leaves: Vec<_> = (0..90).map(|position| (position, Recruitment::default())).collect();
    let mut live = 0;
    for now in (0..20_000).step_by(250) {
        let is_short = Recruitment::is_short(live, 8, 100);
        let before = leaves.len();
        leaves.retain_mut(|(position, leaf)| !leaf.is_due(TimeMs(now), is_short, *position));
        live += before - leaves.len();
    }
    assert_eq!(live, 4);
}

fn workspace() -> Workspace {
    Workspace {
        name: "w".into(),
        priority: None,
        rate_per_s: 1.0,
        burst: 5.0,
        regions: Regions::default(),
    }
}

/// A hub that has counted for long enough to know its windows.
fn hub() -> Rc<Gateway> {
    let gateway = fakes::gateway(FakeStore::default());
    gateway.rates.borrow_mut().reset(TimeMs(0), [Arc::new(workspace())].iter());
    gateway
}

fn leaf_address() -> SocketAddr {
    ([10, 0, 0, 1], 7_780).into()
}

fn question(number: u64) -> Question {
    Question { number, workspace: name_hash("w"), claim: Claim::Call }
}

// A leaf that got no answer asks again. Counted twice, lost datagrams used up the workspaces' rates;
// so did requests that were refused later and had not run.
#[tokio::test(start_paused = true)]
async fn a_repeated_question_is_counted_once_and_a_refund_once() {
    let hub = hub();
    let ask = |number| answer_question(&hub, leaf_address(), &question(number));
    let admitted = |number| AttachMessage::Answer { number, decision: Decision::Admitted };
    assert!(matches!(
        ask(1),
        AttachMessage::Answer { decision: Decision::Unknown { retry_after_ms: 1.. }, .. }
    ));
    tokio::time::sleep(std::time::Duration::from_millis(6_000)).await;
    for _ in 0..50 {
        assert_eq!(ask(1), admitted(1));
    }
    for number in 2..=10 {
        assert_eq!(ask(number), admitted(number), "the limit is ten in five seconds");
    }
    assert!(matches!(
        ask(11),
        AttachMessage::Answer { decision: Decision::NoRoom { retry_after_ms: 1.. }, .. }
    ));
    refund(&hub, leaf_address(), 3);
    refund(&hub, leaf_address(), 3);
    assert_eq!(ask(12), admitted(12));
    assert!(ask(13) != admitted(13), "a grant was refunded twice");
}

// After all hubs had been killed together, none admitted a request for the whole window, although half of
// what may be in it has left it after half of the time.
#[tokio::test(start_paused = true)]
async fn a_hub_without_counts_admits_what_the_rate_has_room_for_in_any_case() {
    let hub = hub();
    tokio::time::sleep(std::time::Duration::from_millis(2_600)).await;
    let answers = (1..=10).map(|number| answer_question(&hub, leaf_address(), &question(number)));
    let is_admitted = |answer: &AttachMessage| {
        matches!(answer, AttachMessage::Answer { decision: Decision::Admitted, .. })
    };
    assert_eq!(answers.filter(is_admitted).count(), 5);
}

// A state that does not fit into a datagram reaches no leaf.
#[test]
fn the_state_for_the_leaves_fits_into_a_datagram() {
    let row = |number: usize| HubRow {
        address: record(number).address,
        leaving: false,
        store_unreachable: true,
    };
    let state = HubState {
        version: u64::MAX,
        hubs: (0..MAX_HUBS).map(row).collect(),
        shards: (0..24).map(|number| (number, u64::from(u32::MAX), 47)).collect(),
        suspects: vec![(CrashKey(u64::MAX), 3); 12],
        ..HubState::default()
    };
    let feeds = FeedStatus {
        asked_at_ms: u64::MAX,
        config_version: u64::MAX,
        config_age_ms: Some(u64::MAX),
        endpoints: ListPosition { instance: u64::MAX, next: u64::MAX },
        list_age_ms: Some(u64::MAX),
    };
    let message = AttachMessage::State { state, feeds: Some(feeds) };
    let datagram = message.encode().expect("can be encoded");
    assert!(datagram.len() <= 1_400, "{} bytes", datagram.len());
    assert!(AttachMessage::is_in(&datagram));
    assert_eq!(AttachMessage::decode(&datagram), Ok(message));
}

// A leaf sends turns to the owners that its hub names, and only to those.
#[tokio::test]
async fn a_leaf_learns_owners_and_suspects_from_its_hub() {
    let hub = hub();
    let shard = crate::gateway::owned_shard::OwnedShard::open(0, 7);
    shard.set_stage(crate::gateway::owned_shard::Stage::Serving);
    hub.shards.insert_owned(shard);
    for _ in 0..3 {
        hub.suspects.borrow_mut().record_crash(hub.now(), CrashKey(99));
    }
    assert!(update_state(&hub));
    assert!(!update_state(&hub), "nothing has changed");
    let attach = Attach { version: 0, sent_at_ms: 0, suspects: vec![(CrashKey(55), 3)] };
    let AttachMessage::State { state, .. } = answer_attach(&hub, leaf_address(), &attach) else {
        panic!("the leaf has no state yet");
    };
    assert!(hub.is_poison_request(CrashKey(55)));
    let version = state.version;
    let attach = Attach { version, sent_at_ms: 0, suspects: vec![] };
    assert!(matches!(
        answer_attach(&hub, leaf_address(), &attach),
        AttachMessage::Unchanged { version: answered, .. } if answered == version
    ));

    let leaf = fakes::gateway(FakeStore::default());
    leaf.become_leaf();
    let hub_address = hub.settings.peers;
    leaf::apply_state(&leaf, hub_address, state.clone(), None);
    assert_eq!(leaf.shards.remote_owner(0), None, "not attached to that hub");
    let hub_record = PeerRecord { is_hub: true, address: hub_address, ..record(1) };
    leaf.roster.borrow_mut().upsert(hub_record);
    assert_eq!(leaf::choose_hub(&leaf), Some(hub_address));
    leaf::apply_state(&leaf, hub_address, state, None);
    assert_eq!(leaf.shards.remote_owner(0).map(|owner| owner.epoch), Some(7));
    assert!(leaf.is_poison_request(CrashKey(99)));
}

/// When the requests of one workspace were admitted that arrived at leaves of `HUBS` hubs, three times
/// as many as its rate allows. One message in ten is lost, and one hub loses its counts.
fn admissions_under_loss(workspace: &Workspace) -> Vec<TimeMs> {
    const MESSAGE_INTERVAL_MS: u64 = 200;
    let mut random = SmallRng::seed_from_u64(7);
    let window = [Arc::new(workspace.clone())];
    let open = |now| {
        let mut rates = RateLimiter::open(RATE_WINDOW);
        rates.reset(now, window.iter());
        rates
    };
    let mut hubs: Vec<_> =
        (0..MAX_HUBS as u64).map(|id| (id + 1, TimeMs(0), open(TimeMs(0)))).collect();
    let all_heard = PeerCounts { entries: MAX_HUBS as u32, heard: MAX_HUBS as u32 };
    let mut admitted = Vec::new();
    for now in (0..40_000).map(TimeMs) {
        if now == TimeMs(20_000) {
            hubs[0] = (1_000, now, open(now));
        }
        if random.random_bool(workspace.rate_per_s * 3.0 / 1_000.0) {
            let (_, _, rates) = &mut hubs[random.random_range(0..MAX_HUBS)];
            let decision = rates.try_admit(now, name_hash("w"), all_heard, Claim::Call);
            admitted.extend(decision.ok().map(|_| now));
        }
        for sender in 0..MAX_HUBS {
            if now.0 % MESSAGE_INTERVAL_MS != sender as u64 * 4 {
                continue;
            }
            let (instance, since, rates) = &mut hubs[sender];
            let selection =
                RowSelection { round: now.0 as usize, include_all: now.0 < 30_000, max_rows: 50 };
            let rows = rates.rows_to_send(now, selection);
            let (instance, recently_started) = (*instance, now.since(*since) < 5_000);
            let age = SenderAge { since: *since, recently_started };
            for (receiver, (_, _, rates)) in hubs.iter_mut().enumerate() {
                if receiver != sender && random.random_bool(0.9) {
                    rates.apply_remote(now, instance, &rows, age);
                }
            }
        }
    }
    admitted
}

// Only hubs count requests. Their counts must hold a rate for all entries, however many these are,
// while messages are lost and a hub that has died starts again without its counts.
#[test]
fn hubs_keep_a_rate_while_messages_are_lost_and_one_loses_its_counts() {
    let workspace = Workspace { rate_per_s: 100.0, burst: 50.0, ..workspace() };
    let limit = workspace.rate_per_s * 5.0 + workspace.burst;
    let admitted = admissions_under_loss(&workspace);
    let in_window = |from: &TimeMs| {
        admitted.iter().filter(|at| (from.0..from.0 + 5_000).contains(&at.0)).count()
    };
    let most = admitted.iter().map(in_window).max().unwrap_or_default() as f64;
    assert!(most <= limit * 1.1 + 20.0, "{most} in a window, {limit} allowed");
    let served_per_s = admitted.iter().filter(|at| at.0 >= 10_000).count() as f64 / 30.0;
    assert!(served_per_s >= workspace.rate_per_s * 0.9, "{served_per_s} a second");
}
