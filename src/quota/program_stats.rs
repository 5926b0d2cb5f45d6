/// Request rate assumed before any program has run, in requests per second of a program's run time.
const ASSUMED_REQUESTS_PER_S: f64 = 8.0;

/// Weight of the assumed rate: it counts like observations over this much run time.
const ASSUMED_WEIGHT_MS: f64 = 5_000.0;

/// Observed run time above which all sums are halved, so that older programs count less and less.
const MAX_OBSERVED_MS: f64 = 300_000.0;

/// Statistics of a workspace's programs: the requests per run time, and the expected duration.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProgramStats {
    requests: f64,
    run_ms: f64,
    programs: f64,
    total_duration_ms: f64,
}

impl ProgramStats {
    /// Programs in flight made `requests` requests in `run_ms` of run time, summed over all of
    /// them.
    pub(super) fn from_requests(requests: f64, run_ms: f64) -> ProgramStats {
        ProgramStats { requests, run_ms, ..ProgramStats::default() }
    }

    /// `programs` programs have started, with an expected duration of `total_duration_ms` in total.
    pub(super) fn from_starts(programs: f64, total_duration_ms: f64) -> ProgramStats {
        ProgramStats { programs, total_duration_ms, ..ProgramStats::default() }
    }

    /// Adds observations from other windows, or newer ones from the same window.
    pub fn merge(&mut self, other: &ProgramStats) {
        self.requests = (self.requests + other.requests).max(0.0);
        self.run_ms += other.run_ms;
        self.programs = (self.programs + other.programs).max(0.0);
        self.total_duration_ms = (self.total_duration_ms + other.total_duration_ms).max(0.0);
        if self.run_ms > MAX_OBSERVED_MS {
            self.requests /= 2.0;
            self.run_ms /= 2.0;
            self.programs /= 2.0;
            self.total_duration_ms /= 2.0;
        }
    }

    /// Requests per millisecond of a program's run time. With few observations the result leans
    /// towards `all`, the statistics of all workspaces.
    pub(super) fn requests_per_ms(&self, all: &ProgramStats) -> f64 {
        self.smoothed_rate(all.smoothed_rate(ASSUMED_REQUESTS_PER_S / 1_000.0))
    }

    /// Mean expected duration of a program.
    pub(super) fn mean_duration_ms(&self) -> f64 {
        self.total_duration_ms / self.programs.max(1.0)
    }

    fn smoothed_rate(&self, assumed_per_ms: f64) -> f64 {
        (self.requests + assumed_per_ms * ASSUMED_WEIGHT_MS) / (self.run_ms + ASSUMED_WEIGHT_MS)
    }
}
