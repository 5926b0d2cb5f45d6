use super::freshness::{Freshness, PeerConfig, judge};
use super::standstill::Standstill;
use crate::prelude::*;

const STALE_MS: u64 = 4_000;

fn peer(config: u64, age_ms: Option<u64>) -> PeerConfig {
    let address = "127.0.0.1:1".parse().unwrap();
    PeerConfig { config: Offset(config), age_ms, address }
}

fn judged(own: (u64, Option<u64>), peers: &[PeerConfig], listed: usize) -> Freshness {
    judge((Offset(own.0), own.1), STALE_MS, peers, listed)
}

/// An entry can't reach the log while another can. A key may have been withdrawn meanwhile: it
/// lets nobody in, unless the other says that there is nothing newer, or gives it.
#[test]
fn an_entry_cut_off_alone_goes_by_what_its_peers_know() {
    let old = Some(60_000);
    assert_eq!(judged((5, Some(100)), &[], 2), Freshness::Fresh);
    assert_eq!(judged((5, old), &[], 2), Freshness::Stale);
    assert_eq!(judged((5, old), &[peer(5, Some(200))], 2), Freshness::Fresh);
    let newer = peer(6, Some(200));
    assert_eq!(judged((5, old), &[newer], 2), Freshness::Fetch(newer.address));
}

/// No entry can reach the log. Nothing newer can have been accepted, and they go on; but one that
/// hears only a minority may be on the wrong side of a cut.
#[test]
fn entries_that_agree_that_the_log_is_out_go_on() {
    let old = Some(60_000);
    assert_eq!(judged((5, old), &[peer(5, old), peer(5, old)], 4), Freshness::Fresh);
    assert_eq!(judged((5, old), &[peer(5, old)], 4), Freshness::Stale);
}

/// An entry starts while the log is out: it takes the configuration from a peer, and before that
/// is not ready.
#[test]
fn an_entry_that_starts_in_an_outage_takes_its_peers_configuration() {
    let knows = peer(5, Some(60_000));
    assert_eq!(judged((0, None), &[knows], 2), Freshness::Fetch(knows.address));
    assert_eq!(judged((5, None), &[knows], 2), Freshness::Fresh);
    assert_eq!(judged((0, None), &[peer(0, None)], 2), Freshness::Stale);
}

/// An entry is frozen for a second while a key is withdrawn. It wakes to heartbeats that were sent as the
/// freeze began: they say that nothing is newer, and are taken for news. Only what is heard once it runs
/// again for a while says anything.
#[test]
fn what_waited_while_an_entry_stood_still_is_no_news() {
    let mut standstill = Standstill::open(100);
    (1..=10).for_each(|beat| standstill.beat(TimeMs(beat * 100)));
    assert_eq!(standstill.age_ms(TimeMs(1_050), TimeMs(1_040)), Some(310));
    let woken = TimeMs(2_000);
    assert_eq!(standstill.age_ms(woken, woken), None, "before the first beat");
    standstill.beat(woken);
    assert_eq!(standstill.age_ms(woken, woken), None, "after it");
    assert_eq!(standstill.age_ms(woken, TimeMs(1_000)), None, "what was heard before");
    standstill.beat(TimeMs(2_100));
    standstill.beat(TimeMs(2_200));
    standstill.beat(TimeMs(2_300));
    assert_eq!(standstill.age_ms(TimeMs(2_310), TimeMs(2_305)), Some(305));
}
