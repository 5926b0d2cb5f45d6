//! Clock values. Decision logic does not read clocks; it receives these values as arguments.

use tokio::time::Instant;

use crate::prelude::*;

/// A reading of a process's monotonic clock, in milliseconds. Not comparable across processes.
#[key]
#[derive(Default)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// The time `duration_ms` later, saturating at the maximum.
    pub fn plus(self, duration_ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_add(duration_ms))
    }

    /// The time `duration_ms` earlier, saturating at the start of the process.
    pub fn minus(self, duration_ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_sub(duration_ms))
    }

    /// Milliseconds since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: TimeMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Wall-clock time, in milliseconds since the Unix epoch. For times that are compared across
/// processes: retention periods, and the start times of process instances.
#[wire_key]
#[derive(Default)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// Milliseconds since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: UnixMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Reads the clocks of this process. The monotonic time is that of the runtime's timers, so that
/// tests which control the one control the other.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time starts at zero.
    pub fn start() -> Clock {
        Clock { started: Instant::now() }
    }

    /// The monotonic time since the clock was created.
    pub fn now(&self) -> TimeMs {
        TimeMs(self.started.elapsed().as_millis() as u64)
    }

    /// The wall-clock time; zero if the system clock is set before 1970.
    pub fn unix(&self) -> UnixMs {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        UnixMs(since.map_or(0, |elapsed| elapsed.as_millis() as u64))
    }
}
