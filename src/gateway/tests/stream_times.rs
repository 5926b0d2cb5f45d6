use test_case::test_case;

use crate::gateway::stream_times::StreamTimes;
use crate::load::Work;
use crate::prelude::*;

// A stream that waits for its caller or for the store arrives before it is read. Its endpoint would
// seem fast or slow by the wait of another.
#[test_case(&[(0, 12), (12, 14), (14, 16)], Some((12, 2, 4)); "read as it arrives")]
#[test_case(&[(0, 12), (30, 30), (30, 32)], Some((12, 2, 20)); "held back and caught up")]
#[test_case(&[(0, 12), (30, 30), (30, 30)], None; "held back to the end")]
#[test_case(&[(0, 12), (90, 90), (90, 95)], None; "held back for so long that its endpoint waited")]
fn a_response_that_was_held_back_gives_no_sample(
    reads: &[(u64, u64)],
    expected: Option<(u64, u64, u64)>,
) {
    let work = Work { uncached_tokens: 0, load: 0, slots: 6 };
    let mut times = StreamTimes::open(work, TimeMs(0));
    for (index, (from, until)) in reads.iter().enumerate() {
        times.begin_read(TimeMs(*from));
        times.end_read(TimeMs(*until));
        times.record_events(index as u64 + 1);
    }
    let sample = times.sample(&"s".into());
    let measured =
        sample.map(|sample| (sample.first_event_ms, sample.timed_events, sample.stream_ms));
    assert_eq!(measured, expected);
}
