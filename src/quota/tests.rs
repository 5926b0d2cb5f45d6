mod incident_quota;
mod programs;

use test_case::test_case;

use super::*;
use crate::prelude::*;

fn totals(requests: u64) -> UsageTotals {
    UsageTotals { requests, ..UsageTotals::default() }
}

const ALL_HEARD: PeerCounts = PeerCounts { entries: 4, heard: 4 };

fn rate_limit(rate_per_s: f64, burst: f64) -> RateLimit {
    let window = RateWindow { length_ms: 5_000, overrun: 0.1, slack: 20.0 };
    RateLimit { rate_per_s, burst, window }
}

fn window(rate_per_s: f64, burst: f64) -> SharedWindow {
    SharedWindow::open(TimeMs(0), rate_limit(rate_per_s, burst))
}

/// Simulates entries that are offered `offered_per_s` calls each and report to each other ten times
/// a second. Returns the most calls admitted in any five seconds, the length of the window.
fn max_admitted_in_window(rate: f64, burst: f64, offered_per_s: &[u64], connected: bool) -> u64 {
    max_admitted_with_reports(rate, burst, offered_per_s, connected, 100)
}

/// The same with a report of each entry every `report_ms`.
fn max_admitted_with_reports(
    rate: f64,
    burst: f64,
    offered_per_s: &[u64],
    connected: bool,
    report_ms: u64,
) -> u64 {
    let mut entries: Vec<_> = offered_per_s.iter().map(|_| window(rate, burst)).collect();
    let count = entries.len() as u32;
    let peer_counts = PeerCounts { entries: count, heard: if connected { count } else { 1 } };
    let mut admitted = vec![0_u64; 20_000];
    for now in 0..20_000_u64 {
        // The entries send their messages at different times.
        let senders = (0..entries.len())
            .filter(|at| connected && now % report_ms == *at as u64 * 12 % report_ms);
        for sender in senders.collect::<Vec<_>>() {
            let totals = entries[sender].admitted();
            let others = entries.iter_mut().enumerate().filter(|(at, _)| *at != sender);
            others.for_each(|(_, entry)| entry.apply_usage(TimeMs(now), sender as u64, totals));
        }
        // No calls for the first window, so that the whole limit is available when the load starts.
        let offered = offered_per_s.iter().map(|per_s| match now >= 5_000 {
            true => now * per_s / 1_000 - (now - 1) * per_s / 1_000,
            false => 0,
        });
        for (entry, calls) in entries.iter_mut().zip(offered) {
            let accepted = (0..calls).filter(|_| {
                entry
                    .try_admit(TimeMs(now), peer_counts, Claim::Call, &ProgramStats::default())
                    .is_ok()
            });
            admitted[now as usize] += accepted.count() as u64;
        }
    }
    admitted.windows(5_000).map(|window| window.iter().sum()).max().unwrap_or(0)
}

// With many workspaces, a count is in every second or third message only. Each entry took the
// others to have admitted nothing since the last one but for 100 ms, and together they exceeded the
// limit.
#[test_case(100; "in every message")]
#[test_case(250; "seldom")]
#[test_case(500; "in every third message of a large fleet")]
fn rare_reports_do_not_raise_what_is_admitted(report_ms: u64) {
    let max_admitted = max_admitted_with_reports(47.0, 234.0, &[20; 30], true, report_ms);
    assert!((420..=515).contains(&max_admitted), "{max_admitted}");
}

// One workspace sends many times its rate to all entries at once. In no window may all entries
// together admit much more than rate and burst, nor much less.
#[test]
fn flood_at_all_entries_stays_close_to_the_limit() {
    let max_admitted = max_admitted_in_window(100.0, 100.0, &[250, 250, 250, 250], true);
    assert!((560..=680).contains(&max_admitted), "{max_admitted}");
}

// A workspace below its rate sends a burst of calls to a single entry. The entry must admit them
// from the whole limit, without holding back a share for the other entries.
#[test]
fn burst_at_one_entry_may_use_the_whole_limit() {
    let mut shared = window(34.0, 34.0);
    let peer_counts = PeerCounts { entries: 8, heard: 8 };
    let now = TimeMs(10_000);
    shared.apply_usage(now, 7, totals(0));
    assert_eq!(
        (0..300)
            .filter(|_| shared
                .try_admit(now, peer_counts, Claim::Call, &ProgramStats::default())
                .is_ok())
            .count(),
        204
    );
}

// A small workspace floods eight entries. Each entry sees the same free place in its own copy of
// the window, and between two messages all of them may fill it.
#[test]
fn flood_of_a_small_workspace_stays_close_to_its_limit() {
    let max_admitted = max_admitted_in_window(30.0, 30.0, &[40; 8], true);
    assert!((165..=200).contains(&max_admitted), "{max_admitted}");
}

#[test]
fn flood_at_one_entry_may_use_the_whole_limit() {
    let max_admitted = max_admitted_in_window(100.0, 100.0, &[800, 0, 0, 0], true);
    assert!((560..=680).contains(&max_admitted), "{max_admitted}");
}

// An entry that did not know its window admitted more than is tolerated beside a surge before its start.
#[test]
fn an_entry_that_starts_alone_admits_a_part_of_the_tolerance_until_it_knows_the_window() {
    let mut shared = window(100.0, 50.0);
    let mut admit = |now| {
        shared.try_admit(TimeMs(now), ALL_HEARD, Claim::Call, &ProgramStats::default()).is_ok()
    };
    let admitted = (1_000..5_000).step_by(20).filter(|now| admit(*now)).count();
    assert_eq!(admitted, 18, "the limit is 550, and 75 above it are tolerated");
    assert!((5_000..9_000).step_by(20).all(admit), "the window is known, and below its limit");
}

// An entry that receives no messages can't know what the others admit. If it applied the whole
// limit to its own count, each side of a network partition would admit the whole rate.
#[test]
fn isolated_entries_stay_within_their_shares() {
    let max_admitted = max_admitted_in_window(100.0, 100.0, &[400, 400, 400, 400], false);
    assert!(max_admitted <= 660, "{max_admitted}");
}

// During a flood, one of eight entries is cut off from the others but not from its callers. The
// other seven kept using the whole rate while the one used its share, so that together they
// exceeded the limit. Neither side can know what the other admits.
#[test]
fn both_sides_of_a_partition_together_stay_within_the_limit() {
    let (connected, alone) =
        (PeerCounts { entries: 8, heard: 7 }, PeerCounts { entries: 8, heard: 1 });
    let mut seven = window(80.0, 80.0);
    let mut one = window(80.0, 80.0);
    let flood = |shared: &mut SharedWindow, now, peer_counts| {
        (0..50)
            .filter(|_| {
                shared
                    .try_admit(TimeMs(now), peer_counts, Claim::Call, &ProgramStats::default())
                    .is_ok()
            })
            .count()
    };
    (0..100).for_each(|now| {
        flood(&mut seven, now * 10, connected);
        flood(&mut one, now * 10, alone);
    });
    let admitted: usize = (100..600)
        .map(|now| flood(&mut seven, now * 10, connected) + flood(&mut one, now * 10, alone))
        .sum();
    assert!((440..=480).contains(&admitted), "{admitted}");
}

#[test]
fn refusal_returns_the_retry_delay() {
    let mut shared = window(10.0, 10.0);
    let alone = PeerCounts { entries: 1, heard: 1 };
    assert_eq!(shared.try_admit(TimeMs(0), alone, Claim::Call, &ProgramStats::default()), Err(100));
}

#[test]
fn zero_rate_means_no_limit() {
    let mut shared = window(0.0, 0.0);
    assert!((0..1_000).all(|_| {
        shared.try_admit(TimeMs(0), ALL_HEARD, Claim::Call, &ProgramStats::default()).is_ok()
    }));
}

// A program whose budget is exhausted keeps sending turns, which are refused without running. If
// they stayed counted, the workspace's other programs would be refused because of them.
#[test]
fn requests_that_did_not_run_are_refunded_at_all_entries() {
    let (mut local, mut remote) = (window(10.0, 10.0), window(10.0, 10.0));
    let now = TimeMs(10_000);
    remote.record_baseline(now, 1, local.admitted());
    let grant = local
        .try_admit(now, ALL_HEARD, Claim::Call, &ProgramStats::default())
        .expect("the window has room");
    remote.apply_usage(now, 1, local.admitted());
    local.refund(now, grant);
    remote.apply_usage(now, 1, local.admitted());
    remote.apply_refunds(now, 1, &local.refunds(now));
    for shared in [&mut local, &mut remote] {
        let admitted = (0..100)
            .filter(|_| {
                shared.try_admit(now, ALL_HEARD, Claim::Call, &ProgramStats::default()).is_ok()
            })
            .count();
        assert_eq!(admitted, 60);
    }
}

// A workspace without a limit has requests that do not run, and then gets a limit. Refunds of these
// requests, which were never counted, reduced the count, and as many requests too many were
// admitted.
#[test]
fn refund_of_an_uncounted_request_changes_no_count() {
    let mut shared = window(0.0, 0.0);
    let now = TimeMs(10_000);
    assert_eq!(shared.in_window(now), Some(0.0));
    for _ in 0..50 {
        let grant = shared.try_admit(now, ALL_HEARD, Claim::Call, &ProgramStats::default());
        shared.refund(now, grant.expect("a workspace without a limit is always admitted"));
    }
    shared.set_rate_limit(now, rate_limit(10.0, 10.0));
    let is_admitted =
        |_: &u32| shared.try_admit(now, ALL_HEARD, Claim::Call, &ProgramStats::default()).is_ok();
    assert_eq!((0..300).filter(is_admitted).count(), 60);
}

// Thirty entries each admit a workspace's first request between two messages. The others counted
// none of them, because the first totals of each entry were taken as its baseline.
#[test]
fn first_request_at_an_entry_is_counted_by_the_others() {
    let mut window = window(10.0, 10.0);
    let now = TimeMs(10_000);
    (0..30).for_each(|instance| window.apply_usage(now, instance, totals(1)));
    let admitted = (0..100)
        .filter(|_| window.try_admit(now, ALL_HEARD, Claim::Call, &ProgramStats::default()).is_ok())
        .count();
    assert!(admitted <= 30, "{admitted}");
}

// A workspace starts more programs than its rate can carry. If requests that start a program were
// admitted like all others, requests of running programs would be refused, and all programs would
// fail.
#[test]
fn running_programs_take_precedence_over_new_ones() {
    let mut shared = window(30.0, 30.0);
    let now = TimeMs(10_000);
    let mut admitted = |claim| {
        (0..300)
            .filter(|_| shared.try_admit(now, ALL_HEARD, claim, &ProgramStats::default()).is_ok())
            .count()
    };
    let starts = admitted(Claim::StartsProgram { duration_ms: 2_000 });
    let continued = admitted(Claim::Call);
    assert!((1..=174).contains(&starts), "{starts}");
    assert_eq!(starts + continued, 180);
}

// An entry is restarted while its workspaces use half of their limits. It assumed full windows and
// refused callers for seconds, although the other entries knew that there was room.
#[test]
fn starting_entry_adopts_the_window_reported_by_others() {
    let mut started = window(10.0, 10.0);
    (0..6).for_each(|round| started.merge(TimeMs(round * 100), 30.0 - round as f64));
    let now = TimeMs(500);
    let admitted = (0..100)
        .filter(|_| {
            started.try_admit(now, ALL_HEARD, Claim::Call, &ProgramStats::default()).is_ok()
        })
        .count();
    assert!((29..=33).contains(&admitted), "{admitted}");
}

// All entries are restarted at once. None knows what was admitted before, and none may report its
// assumed window to the others as known.
#[test]
fn entries_that_start_together_assume_a_full_window() {
    let (mut local, mut remote) = (window(10.0, 10.0), window(10.0, 10.0));
    assert!(remote.try_admit(TimeMs(0), ALL_HEARD, Claim::Call, &ProgramStats::default()).is_err());
    for now in (0..5).map(|round| TimeMs(round * 100)) {
        assert_eq!(local.in_window(now), None);
        assert_eq!(remote.in_window(now), None);
    }
    assert!(local.in_window(TimeMs(5_000)).is_some());
}

// Two entries report the window to a new one. One of them was cut off from a third entry and has
// counted only a part of the requests.
#[test]
fn largest_reported_window_is_adopted() {
    let mut started = window(10.0, 10.0);
    for round in 0..6 {
        started.merge(TimeMs(round * 100), 10.0);
        started.merge(TimeMs(round * 100), 50.0);
    }
    let now = TimeMs(500);
    let admitted = (0..100)
        .filter(|_| {
            started.try_admit(now, ALL_HEARD, Claim::Call, &ProgramStats::default()).is_ok()
        })
        .count();
    assert!(admitted <= 15, "{admitted}");
}
