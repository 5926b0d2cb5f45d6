//! Clock values. Decision logic never reads a clock: it is handed one of these.

use crate::prelude::*;

/// A reading of a process's monotonic clock, in milliseconds. Never compared across processes.
#[key]
#[derive(Default)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// The reading `duration_ms` later.
    pub fn plus(self, duration_ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_add(duration_ms))
    }

    /// Milliseconds since `earlier`; zero if `earlier` lies ahead.
    pub fn since(self, earlier: TimeMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Wall-clock time, in milliseconds since 1970. Used only against the log's retention.
#[wire_key]
#[derive(Default)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// Milliseconds since `earlier`; zero if `earlier` lies ahead.
    pub fn since(self, earlier: UnixMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Reads the clocks of this process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: std::time::Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Clock {
        Clock { started: std::time::Instant::now() }
    }

    /// Monotonic time since the start.
    pub fn now(&self) -> TimeMs {
        TimeMs(self.started.elapsed().as_millis() as u64)
    }

    /// Wall-clock time.
    pub fn unix(&self) -> UnixMs {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        UnixMs(since.map_or(0, |passed| passed.as_millis() as u64))
    }
}
