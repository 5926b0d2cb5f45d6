use crate::load::{Disconnect, HeldBytes, HeldResponse, Hold, HoldError};
use crate::prelude::*;

/// Limits: 10 MB for the entry, 5 MB for a workspace.
const MEMORY_BYTES: u64 = 40_000_000;
const CHUNK_BYTES: usize = 100_000;

fn open() -> HeldBytes<u32> {
    HeldBytes::open(MEMORY_BYTES)
}

/// Holds a chunk, and returns the responses disconnected for it.
fn hold(response: &HeldResponse<u32>, now: u64) -> (Option<Hold<u32>>, Vec<Disconnect<u32>>) {
    let mut disconnected = Vec::new();
    loop {
        match response.try_hold(TimeMs(now), CHUNK_BYTES) {
            Ok(hold) => return (Some(hold), disconnected),
            Err(HoldError::Exceeded(disconnect)) => disconnected.push(disconnect),
            Err(HoldError::Disconnected) => return (None, disconnected),
        }
    }
}

// Each small chunk of a body was held with an overhead of its own, many times its bytes, and other responses
// were disconnected for it.
#[test]
fn bytes_added_to_a_hold_count_until_it_is_dropped() {
    let held = open();
    let response = held.open_response(&"w".into(), 1);
    let mut grown = response.try_hold(TimeMs(0), 1).expect("there is room");
    let begun = held.bytes();
    for _ in 0..100 {
        grown.try_grow(TimeMs(5), CHUNK_BYTES / 4).expect("there is room");
    }
    assert_eq!(held.bytes(), begun + 25 * CHUNK_BYTES as u64);
    let beyond = grown.try_grow(TimeMs(9), 40 * CHUNK_BYTES);
    let Err(HoldError::Exceeded(disconnect)) = beyond else {
        panic!("beyond the limit of the workspace");
    };
    assert_eq!((disconnect.handle, disconnect.held_ms), (1, 9), "held since the first byte");
    assert_eq!(held.bytes(), 0);
    assert!(matches!(grown.try_grow(TimeMs(9), 1), Err(HoldError::Disconnected)));
    drop(grown);
    assert_eq!(held.bytes(), 0, "bytes of a disconnected response are subtracted once");
}

// Readers that take what they get must not be cut off for one that does not, although they are
// served for as long and get as much.
#[test]
fn one_slow_reader_among_many_fast_ones_is_disconnected() {
    let held = open();
    let workspace = "w".into();
    let responses: Vec<_> = (0..20).map(|n| held.open_response(&workspace, n)).collect();
    let mut newest: Vec<_> = responses.iter().map(|_| None).collect();
    let (mut kept, mut disconnected) = (Vec::new(), Vec::new());
    for round in 0..60 {
        for (number, response) in responses.iter().enumerate() {
            let (hold, victims) = hold(response, round * 10);
            disconnected.extend(victims.into_iter().map(|victim| victim.handle));
            // The fast ones take each chunk when the next one arrives.
            match number {
                7 => kept.push(hold),
                _ => newest[number] = hold,
            }
        }
    }
    assert_eq!(disconnected, [7]);
    drop((kept, newest));
    assert_eq!(held.bytes(), 0, "bytes of a disconnected response are subtracted once");
}

// The slow readers of one workspace must not take the room of the others, neither below the
// entry's limit nor at it.
#[test]
fn slow_readers_of_one_workspace_cost_no_other_workspace_a_response() {
    let held = open();
    let (mut holds, mut disconnected) = (Vec::new(), Vec::new());
    let names: [Arc<str>; 4] = ["a", "b", "c", "d"].map(Arc::from);
    let mut hold_one = |workspace: usize, handle: u32, now| {
        let response = held.open_response(&names[workspace], handle);
        let (hold, victims) = hold(&response, now);
        disconnected.extend(victims.into_iter().map(|victim| victim.handle));
        holds.push((response, hold));
    };
    // Three workspaces hold less than the fourth, and for longer.
    for workspace in 1..4 {
        (0..20).for_each(|_| hold_one(workspace, workspace as u32, 0));
    }
    (0..200).for_each(|n| hold_one(0, 0, 10 + n));
    assert!(disconnected.len() > 100, "{}", disconnected.len());
    assert!(disconnected.iter().all(|handle| *handle == 0), "{disconnected:?}");
}

// A single response that alone exceeds the limit must be disconnected itself, or the loop that
// makes room for its chunk would not end.
#[test]
fn a_response_that_alone_exceeds_the_limit_is_disconnected_itself() {
    let held = open();
    let response = held.open_response(&"w".into(), 1);
    let oversized = response.try_hold(TimeMs(5), 6_000_000).expect_err("over the limit");
    let disconnect = Disconnect { handle: 1, bytes: 0, held_ms: 0 };
    assert_eq!(oversized, HoldError::Exceeded(disconnect));
    assert!(matches!(response.try_hold(TimeMs(6), 1), Err(HoldError::Disconnected)));
}

// Bytes that are not released on some way out would in time disconnect and refuse everyone.
#[test]
fn bytes_are_released_on_every_way_out() {
    let held = open();
    let response = held.open_response(&"w".into(), 1);
    let (first, _) = hold(&response, 0);
    let (second, _) = hold(&response, 1);
    drop(response);
    assert!(held.bytes() >= 2 * CHUNK_BYTES as u64, "holds outlive the response's handle");
    drop(second);
    drop(first);
    assert_eq!(held.bytes(), 0);
}

// Requests are refused near the limit, which leaves the rest to the responses of those accepted. They are
// accepted again only after the bytes have clearly fallen.
#[test]
fn requests_are_refused_near_the_limit_until_enough_is_released() {
    let held = open();
    let mut responses = Vec::new();
    for (workspace, chunks) in [("a", 45), ("b", 40), ("c", 4)] {
        let response = held.open_response(&workspace.into(), 1);
        let holds: Vec<_> = (0..chunks).map(|_| hold(&response, 0)).collect();
        assert!(holds.iter().all(|(_, disconnected)| disconnected.is_empty()));
        assert!(!held.is_refusing(), "{workspace}: {} bytes", held.bytes());
        responses.push((response, holds));
    }
    let reader = held.open_response(&"d".into(), 1);
    let at_the_limit: Vec<_> = (0..2).map(|_| hold(&reader, 0)).collect();
    assert!(held.is_refusing());
    assert!(at_the_limit.iter().all(|(_, disconnected)| disconnected.is_empty()));
    responses.truncate(2);
    assert!(held.is_refusing() == (held.bytes() >= 7_000_000));
    responses.truncate(1);
    assert!(!held.is_refusing());
}

// A delay longer than a third of the caller's time ends its retries; one near zero adds load.
#[test]
fn the_retry_delay_grows_with_the_age_of_the_oldest_bytes_within_bounds() {
    let held = open();
    assert_eq!(held.retry_after_ms(TimeMs(0)), 200);
    let response = held.open_response(&"w".into(), 1);
    let _hold = hold(&response, 1_000);
    let delays = [1_000, 1_700, 60_000].map(|now| held.retry_after_ms(TimeMs(now)));
    assert_eq!(delays, [200, 700, 1_000]);
}
