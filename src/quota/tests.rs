mod programs;

use super::*;
use crate::prelude::*;

fn requests(requests: u64) -> UsageTotals {
    UsageTotals { requests, ..UsageTotals::default() }
}

const TOGETHER: PeerCounts = PeerCounts { entries: 4, heard: 4 };

fn window(rate_per_s: f64, burst: f64) -> SharedWindow {
    SharedWindow::open(TimeMs(0), RateLimit { rate_per_s, burst, window_ms: 5_000 })
}

/// Plays entries that are offered `offered_per_s` calls each and tell each other every 100 ms, for
/// ten seconds; the most admitted in any five.
fn most_in_window(rate: f64, burst: f64, offered_per_s: &[u64], in_touch: bool) -> u64 {
    let mut entries: Vec<_> = offered_per_s.iter().map(|_| window(rate, burst)).collect();
    let count = entries.len() as u32;
    let peer_counts = PeerCounts { entries: count, heard: if in_touch { count } else { 1 } };
    let mut admitted = vec![0_u64; 20_000];
    for now in 0..20_000_u64 {
        // Each entry tells at a moment of its own.
        let telling = (0..entries.len()).filter(|at| in_touch && now % 100 == *at as u64 * 12);
        for teller in telling.collect::<Vec<_>>() {
            let taken = entries[teller].taken();
            let others = entries.iter_mut().enumerate().filter(|(at, _)| *at != teller);
            others.for_each(|(_, entry)| entry.apply_usage(TimeMs(now), teller as u64, taken));
        }
        // Nothing is offered at first, so that the bucket is full when the load comes.
        let offered = offered_per_s.iter().map(|per_s| match now >= 5_000 {
            true => now * per_s / 1_000 - (now - 1) * per_s / 1_000,
            false => 0,
        });
        for (entry, calls) in entries.iter_mut().zip(offered) {
            let taken = (0..calls).filter(|_| {
                entry
                    .try_admit(TimeMs(now), peer_counts, Claim::Continues, &ProgramStats::default())
                    .is_ok()
            });
            admitted[now as usize] += taken.count() as u64;
        }
    }
    admitted.windows(5_000).map(|window| window.iter().sum()).max().unwrap_or(0)
}

// One workspace sends many times its rate to all entries at once. The caller within its limit is
// served, and in no five seconds do all entries together admit much more than rate and burst.
#[test]
fn a_flood_over_all_entries_stays_within_a_tenth_of_the_limit() {
    let most = most_in_window(100.0, 100.0, &[250, 250, 250, 250], true);
    assert!((560..=680).contains(&most), "{most}");
}

// A workspace below its rate sends a clump of calls to a single entry: what its other entries could
// take must not be kept from it.
#[test]
fn a_clump_at_one_entry_is_admitted_from_the_whole_window() {
    let mut bucket = window(34.0, 34.0);
    let peer_counts = PeerCounts { entries: 8, heard: 8 };
    let now = TimeMs(10_000);
    bucket.apply_usage(now, 7, requests(0));
    assert_eq!(
        (0..300)
            .filter(|_| bucket
                .try_admit(now, peer_counts, Claim::Continues, &ProgramStats::default())
                .is_ok())
            .count(),
        204
    );
}

// A small workspace's flood over eight entries: each sees the same token in its copy of the bucket,
// and between two messages all of them may take it.
#[test]
fn a_flood_of_a_small_workspace_stays_within_its_limit() {
    let most = most_in_window(30.0, 30.0, &[40; 8], true);
    assert!((165..=200).contains(&most), "{most}");
}

#[test]
fn a_flood_at_one_entry_gets_the_whole_limit() {
    let most = most_in_window(100.0, 100.0, &[800, 0, 0, 0], true);
    assert!((560..=680).contains(&most), "{most}");
}

#[test]
fn calls_below_the_rate_are_never_refused_after_the_start() {
    let mut bucket = window(100.0, 50.0);
    for now in (1_000..5_000).step_by(20) {
        assert!(
            bucket
                .try_admit(TimeMs(now), TOGETHER, Claim::Continues, &ProgramStats::default())
                .is_ok()
        );
    }
}

// An entry that hears from nobody can't know what the others admit: were it to go by its own copy
// alone, each side of a cut would admit the whole rate.
#[test]
fn entries_that_are_cut_off_keep_to_their_parts() {
    let most = most_in_window(100.0, 100.0, &[400, 400, 400, 400], false);
    assert!(most <= 660, "{most}");
}

// One of eight entries is cut off from the others but not from its callers, in the middle of a flood.
// The others went on with the whole rate and it with its part, so that more was admitted than the
// contract allows; neither side can know what the other admits.
#[test]
fn both_sides_of_a_cut_admit_no_more_than_the_rate_together() {
    let (side, alone) = (PeerCounts { entries: 8, heard: 7 }, PeerCounts { entries: 8, heard: 1 });
    let mut seven = window(80.0, 80.0);
    let mut one = window(80.0, 80.0);
    let flood = |bucket: &mut SharedWindow, now, peer_counts| {
        (0..50)
            .filter(|_| {
                bucket
                    .try_admit(TimeMs(now), peer_counts, Claim::Continues, &ProgramStats::default())
                    .is_ok()
            })
            .count()
    };
    (0..100).for_each(|now| {
        flood(&mut seven, now * 10, side);
        flood(&mut one, now * 10, alone);
    });
    let admitted: usize = (100..600)
        .map(|now| flood(&mut seven, now * 10, side) + flood(&mut one, now * 10, alone))
        .sum();
    assert!((440..=480).contains(&admitted), "{admitted}");
}

#[test]
fn a_refusal_says_when_to_return() {
    let mut bucket = window(10.0, 10.0);
    let alone = PeerCounts { entries: 1, heard: 1 };
    assert_eq!(
        bucket.try_admit(TimeMs(0), alone, Claim::Continues, &ProgramStats::default()),
        Err(100)
    );
}

#[test]
fn no_rate_means_no_limit() {
    let mut bucket = window(0.0, 0.0);
    assert!((0..1_000).all(|_| {
        bucket.try_admit(TimeMs(0), TOGETHER, Claim::Continues, &ProgramStats::default()).is_ok()
    }));
}

// A program without budget goes on sending turns, each of which is refused without a run. Were they
// counted, the workspace's other programs would be refused for them.
#[test]
fn what_has_not_run_is_given_back_everywhere() {
    let (mut here, mut there) = (window(10.0, 10.0), window(10.0, 10.0));
    let now = TimeMs(10_000);
    there.record_baseline(now, 1, here.taken());
    let grant = here
        .try_admit(now, TOGETHER, Claim::Continues, &ProgramStats::default())
        .expect("there is room");
    there.apply_usage(now, 1, here.taken());
    here.refund(grant);
    there.apply_usage(now, 1, here.taken());
    for bucket in [&mut here, &mut there] {
        let room = (0..100)
            .filter(|_| {
                bucket.try_admit(now, TOGETHER, Claim::Continues, &ProgramStats::default()).is_ok()
            })
            .count();
        assert_eq!(room, 60);
    }
}

// A workspace without a limit has requests that do not run, and then gets a limit. What was never counted
// was taken off its window, and as much more was admitted as had not run before.
#[test]
fn what_was_not_counted_is_not_given_back() {
    let mut bucket = window(0.0, 0.0);
    let now = TimeMs(10_000);
    assert_eq!(bucket.in_window(now), Some(0.0));
    for _ in 0..50 {
        let grant = bucket.try_admit(now, TOGETHER, Claim::Continues, &ProgramStats::default());
        bucket.refund(grant.expect("there is no limit"));
    }
    bucket.set_rate_limit(RateLimit { rate_per_s: 10.0, burst: 10.0, window_ms: 5_000 });
    let takes = |_: &u32| {
        bucket.try_admit(now, TOGETHER, Claim::Continues, &ProgramStats::default()).is_ok()
    };
    assert_eq!((0..300).filter(takes).count(), 60);
}

// Thirty entries each admit a workspace's first request within one message's time. None of those
// first requests was counted by the others, as each stood for all that was taken before.
#[test]
fn the_first_request_at_an_entry_counts_at_the_others() {
    let mut window = window(10.0, 10.0);
    let now = TimeMs(10_000);
    (0..30).for_each(|life| window.apply_usage(now, life, requests(1)));
    let room = (0..100)
        .filter(|_| {
            window.try_admit(now, TOGETHER, Claim::Continues, &ProgramStats::default()).is_ok()
        })
        .count();
    assert!(room <= 30, "{room}");
}

// A workspace begins more programs than its rate can carry to their ends. Admitted alike, requests
// would be refused in the middle of programs, and all of them would fail.
#[test]
fn programs_under_way_go_before_new_ones() {
    let mut bucket = window(30.0, 30.0);
    let now = TimeMs(10_000);
    let mut admitted = |claim| {
        (0..300)
            .filter(|_| bucket.try_admit(now, TOGETHER, claim, &ProgramStats::default()).is_ok())
            .count()
    };
    let begun = admitted(Claim::StartsProgram { duration_ms: 2_000 });
    let gone_on = admitted(Claim::Continues);
    assert!((1..=174).contains(&begun), "{begun}");
    assert_eq!(begun + gone_on, 180);
}

// An entry is restarted while its workspaces send half of what they may. It took their windows for
// full and refused callers for seconds, though the others could tell that there was room.
#[test]
fn an_entry_that_starts_learns_what_is_in_the_window() {
    let mut started = window(10.0, 10.0);
    (0..6).for_each(|told| started.merge(TimeMs(told * 100), 30.0 - told as f64));
    let now = TimeMs(500);
    let room = (0..100)
        .filter(|_| {
            started.try_admit(now, TOGETHER, Claim::Continues, &ProgramStats::default()).is_ok()
        })
        .count();
    assert!((29..=33).contains(&room), "{room}");
}

// All entries are restarted at once: none knows what was taken before, and each believes the others
// as little as itself.
#[test]
fn entries_that_all_start_at_once_take_the_window_for_full() {
    let (mut here, mut there) = (window(10.0, 10.0), window(10.0, 10.0));
    assert!(
        there.try_admit(TimeMs(0), TOGETHER, Claim::Continues, &ProgramStats::default()).is_err()
    );
    for now in (0..5).map(|told| TimeMs(told * 100)) {
        assert_eq!(here.in_window(now), None);
        assert_eq!(there.in_window(now), None);
    }
    assert!(here.in_window(TimeMs(5_000)).is_some());
}

// One of two entries that tell a new one was cut off from the third and knows of half only.
#[test]
fn the_most_that_is_said_counts() {
    let mut started = window(10.0, 10.0);
    for told in 0..6 {
        started.merge(TimeMs(told * 100), 10.0);
        started.merge(TimeMs(told * 100), 50.0);
    }
    let now = TimeMs(500);
    let room = (0..100)
        .filter(|_| {
            started.try_admit(now, TOGETHER, Claim::Continues, &ProgramStats::default()).is_ok()
        })
        .count();
    assert!(room <= 15, "{room}");
}
