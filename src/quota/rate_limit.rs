/// The tolerance has one part for each way in which entries can't know of each other's admissions, and
/// one for requests that two of them decide on at the same time.
const TOLERANCE_PARTS: f64 = 4.0;

/// A workspace's limit. Any window may hold the rate times the window's length, plus the burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests per second; zero means no limit.
    pub rate_per_s: f64,
    /// Requests allowed beyond the rate in a window.
    pub burst: f64,
    /// Length of the window and its tolerance.
    pub window: RateWindow,
}

impl RateLimit {
    /// The most requests that a window may hold.
    pub(super) fn max_in_window(&self) -> f64 {
        self.rate_per_s * self.window.length_ms as f64 / 1_000.0 + self.burst
    }

    /// How many more it may hold while the entries can't know of each other's admissions.
    fn tolerance(&self) -> f64 {
        self.max_in_window() * self.window.overrun + self.window.slack
    }

    /// The part of the tolerance for an entry that does not know what the window holds.
    pub(super) fn tolerance_unknown(&self) -> f64 {
        self.tolerance() / TOLERANCE_PARTS
    }

    /// How far requests may be ahead of the rate for their window to empty evenly: what the other
    /// parts are for does not matter once all entries have been killed.
    pub(super) fn tolerance_uneven(&self) -> f64 {
        self.tolerance() / 2.0
    }

    /// The part for all entries together that hear fewer than half of the others.
    pub(super) fn tolerance_alone(&self) -> f64 {
        self.tolerance() / TOLERANCE_PARTS
    }

    /// The part for what an entry has admitted and not reported, and the others don't know if it is
    /// killed.
    pub fn tolerance_unreported(&self) -> f64 {
        self.tolerance() / TOLERANCE_PARTS
    }
}

/// The window in which all rates are measured, and by how much it may exceed a limit. Entries admit
/// up to the limit; the rest is for what they can't know of each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateWindow {
    /// Length of the window.
    pub length_ms: u64,
    /// Tolerated excess as a fraction of the limit.
    pub overrun: f64,
    /// Tolerated excess in requests, beyond that fraction.
    pub slack: f64,
}
