use crate::catalog::{Regions, Workspace};
use crate::gateway::tests::fakes::RATE_WINDOW;

/// Length of the window.
pub(super) const WINDOW_MS: u64 = RATE_WINDOW.length_ms;

/// The limit of the only workspace.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limit {
    pub(super) rate_per_s: f64,
    pub(super) burst: f64,
}

impl Limit {
    pub(super) fn max_in_window(self) -> f64 {
        self.rate_per_s * WINDOW_MS as f64 / 1_000.0 + self.burst
    }

    pub(super) fn tolerated(self) -> f64 {
        self.max_in_window() * (1.0 + RATE_WINDOW.overrun) + RATE_WINDOW.slack
    }

    pub(super) fn workspace(self) -> Workspace {
        Workspace {
            name: "w".into(),
            priority: None,
            rate_per_s: self.rate_per_s,
            burst: self.burst,
            regions: Regions::default(),
        }
    }
}
