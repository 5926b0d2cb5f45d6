/// What is taken to be the pace before any program has run, in requests for each second of its time.
const USUAL_REQUESTS_PER_S: f64 = 8.0;

/// The usual pace counts as much as programs that ran for this time together.
const USUAL_COUNTS_MS: f64 = 5_000.0;

/// Programs that ran for so much time together are remembered; older ones fade.
const REMEMBERED_MS: f64 = 300_000.0;

/// How many requests programs make in the time that they should take, and how long that is.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProgramStats {
    requests: f64,
    ran_ms: f64,
    programs: f64,
    lengths_ms: f64,
}

impl ProgramStats {
    /// Programs under way have run for `ran_ms` together, and made so many requests meanwhile.
    pub(super) fn ran(requests: f64, ran_ms: f64) -> ProgramStats {
        ProgramStats { requests, ran_ms, ..ProgramStats::default() }
    }

    /// So many programs have begun, which should take `lengths_ms` together.
    pub(super) fn begun(programs: f64, lengths_ms: f64) -> ProgramStats {
        ProgramStats { programs, lengths_ms, ..ProgramStats::default() }
    }

    /// Learns what was seen elsewhere or since.
    pub fn merge(&mut self, more: &ProgramStats) {
        self.requests = (self.requests + more.requests).max(0.0);
        self.ran_ms += more.ran_ms;
        self.programs = (self.programs + more.programs).max(0.0);
        self.lengths_ms = (self.lengths_ms + more.lengths_ms).max(0.0);
        if self.ran_ms > REMEMBERED_MS {
            self.requests /= 2.0;
            self.ran_ms /= 2.0;
            self.programs /= 2.0;
            self.lengths_ms /= 2.0;
        }
    }

    /// Requests for each millisecond of a program's time, where all programs show what is usual.
    pub(super) fn requests_per_ms(&self, all: &ProgramStats) -> f64 {
        self.blended(all.blended(USUAL_REQUESTS_PER_S / 1_000.0))
    }

    /// The mean time that programs should take.
    pub(super) fn mean_length_ms(&self) -> f64 {
        self.lengths_ms / self.programs.max(1.0)
    }

    fn blended(&self, usual: f64) -> f64 {
        (self.requests + usual * USUAL_COUNTS_MS) / (self.ran_ms + USUAL_COUNTS_MS)
    }
}
