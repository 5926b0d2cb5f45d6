mod admission;
mod caller_memory;
mod fit;
mod held_bytes;
mod pace;
mod poll;
mod program_times;
mod rank;
mod report;
mod slot_limit;

use super::{TurnSample, Work};

/// A turn at an idle endpoint of service `s`, with 20 events after the first, each of which takes `event_ms`.
pub(crate) fn turn(event_ms: u64) -> TurnSample {
    TurnSample {
        service: "s".into(),
        work: Work { uncached_tokens: 0, load: 0, slots: 6 },
        first_event_ms: 5,
        events: 21,
        timed_events: 20,
        stream_ms: 20 * event_ms,
    }
}
