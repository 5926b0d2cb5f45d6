use super::gossip::life_number;
use super::message::Taken;
use super::rates::{Known, Rates};
use super::suspects::Suspects;
use crate::catalog::Workspace;
use crate::prelude::*;
use crate::quota::{Claim, Peering};

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
    let workspace = Workspace { name: "w".into(), priority: None, rate_per_s: 10.0, burst: 10.0 };
    let mut rates = Rates::open(5_000);
    let known = Known { since: TimeMs(0), young: false };
    let row = |taken, in_window| {
        let workspace = Digest::of(&[b"w"]).prefix();
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
