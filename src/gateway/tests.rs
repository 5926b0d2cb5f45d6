use super::gossip::life_number;
use super::suspects::Suspects;
use crate::prelude::*;

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
