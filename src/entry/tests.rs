use super::freshness::{Freshness, PeerConfig, evaluate_freshness};
use super::pause_detector::PauseDetector;
use crate::prelude::*;

const STALE_MS: u64 = 4_000;

fn peer(config: u64, age_ms: Option<u64>) -> PeerConfig {
    let address = "127.0.0.1:1".parse().unwrap();
    PeerConfig { config: Offset(config), age_ms, address }
}

fn freshness_of(local: (u64, Option<u64>), peers: &[PeerConfig], listed: usize) -> Freshness {
    evaluate_freshness((Offset(local.0), local.1), STALE_MS, peers, listed)
}

/// One entry can't reach the log while another can, and a key may be revoked in the meantime. The
/// entry must admit nobody, unless a peer confirms its configuration or supplies a newer one.
#[test]
fn an_entry_that_alone_lost_the_log_is_fresh_only_by_a_peers_confirmation() {
    let old = Some(60_000);
    assert_eq!(freshness_of((5, Some(100)), &[], 2), Freshness::Fresh);
    assert_eq!(freshness_of((5, old), &[], 2), Freshness::Stale);
    assert_eq!(freshness_of((5, old), &[peer(5, Some(200))], 2), Freshness::Fresh);
    let newer = peer(6, Some(200));
    assert_eq!(freshness_of((5, old), &[newer], 2), Freshness::FetchFrom(newer.address));
}

/// No entry can reach the log, so no newer record was accepted and they keep admitting callers. An
/// entry that receives heartbeats from a minority only may be partitioned and must not.
#[test]
fn configuration_stays_fresh_while_a_majority_agrees_that_the_log_is_down() {
    let old = Some(60_000);
    assert_eq!(freshness_of((5, old), &[peer(5, old), peer(5, old)], 4), Freshness::Fresh);
    assert_eq!(freshness_of((5, old), &[peer(5, old)], 4), Freshness::Stale);
}

/// An entry that starts while the log is unavailable fetches the configuration from a peer, and is
/// not ready before that.
#[test]
fn an_entry_started_during_a_log_outage_fetches_the_configuration_from_a_peer() {
    let with_config = peer(5, Some(60_000));
    assert_eq!(
        freshness_of((0, None), &[with_config], 2),
        Freshness::FetchFrom(with_config.address)
    );
    assert_eq!(freshness_of((5, None), &[with_config], 2), Freshness::Fresh);
    assert_eq!(freshness_of((0, None), &[peer(0, None)], 2), Freshness::Stale);
}

/// An entry is paused for a second while a key is revoked. On resuming it receives heartbeats that
/// were sent as the pause began and report no newer configuration. If it took them for current, it
/// would admit the revoked key. It may trust only messages received after it has run again for a
/// while.
#[test]
fn heartbeats_received_around_a_pause_of_this_process_are_not_trusted() {
    let mut pause_detector = PauseDetector::new(100);
    (1..=10).for_each(|tick| pause_detector.tick(TimeMs(tick * 100)));
    assert_eq!(pause_detector.max_age_ms(TimeMs(1_050), TimeMs(1_040)), Some(310));
    let resumed_at = TimeMs(2_000);
    assert_eq!(
        pause_detector.max_age_ms(resumed_at, resumed_at),
        None,
        "before the first tick after the pause"
    );
    pause_detector.tick(resumed_at);
    assert_eq!(pause_detector.max_age_ms(resumed_at, resumed_at), None, "just after that tick");
    assert_eq!(
        pause_detector.max_age_ms(resumed_at, TimeMs(1_000)),
        None,
        "received before the pause"
    );
    pause_detector.tick(TimeMs(2_100));
    pause_detector.tick(TimeMs(2_200));
    pause_detector.tick(TimeMs(2_300));
    assert_eq!(pause_detector.max_age_ms(TimeMs(2_310), TimeMs(2_305)), Some(305));
}
