use super::Grant;
use crate::prelude::*;

/// What an entry has taken out of a workspace's rate in its life, less what was given back.
#[wire]
#[derive(Copy, Default)]
pub struct UsageTotals {
    /// Requests.
    pub requests: u64,
    /// Programs begun.
    pub programs: u64,
    /// The time that was booked for them, in all.
    pub booked_ms: u64,
}

impl UsageTotals {
    /// One more request.
    pub(super) fn add(&mut self, grant: Grant) {
        self.requests += 1;
        if let Some(booked_ms) = grant.booked_ms {
            self.programs += 1;
            self.booked_ms = self.booked_ms.saturating_add(booked_ms);
        }
    }

    /// Takes one back that was added.
    pub(super) fn take_back(&mut self, grant: Grant) {
        self.requests = self.requests.saturating_sub(1);
        if let Some(booked_ms) = grant.booked_ms {
            self.programs = self.programs.saturating_sub(1);
            self.booked_ms = self.booked_ms.saturating_sub(booked_ms);
        }
    }

    /// What has changed since an earlier tally; negative for what was given back.
    pub(super) fn news_since(&self, before: &UsageTotals) -> News {
        News {
            requests: self.requests as f64 - before.requests as f64,
            programs: self.programs as f64 - before.programs as f64,
            booked_ms: self.booked_ms as f64 - before.booked_ms as f64,
        }
    }
}

/// A change of a [`Tally`].
#[derive(Debug, Clone, Copy)]
pub(super) struct News {
    pub(super) requests: f64,
    pub(super) programs: f64,
    pub(super) booked_ms: f64,
}
