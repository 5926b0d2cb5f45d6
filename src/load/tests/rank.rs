use test_case::test_case;

use crate::load::Rank;

#[test_case((Some(0), 0), (Some(0), 2); "the route decides within a workspace priority")]
#[test_case((Some(0), 2), (Some(1), 0); "the workspace goes before the route")]
#[test_case((None, 1), (Some(1), 0); "a workspace without a priority has the highest")]
fn the_first_is_more_urgent(first: (Option<u8>, u8), second: (Option<u8>, u8)) {
    assert!(Rank::of(first.0, first.1) < Rank::of(second.0, second.1));
}

#[test]
fn ranks_stay_within_what_an_endpoint_accepts() {
    assert_eq!(Rank::of(Some(200), 200).number(), 9);
}
