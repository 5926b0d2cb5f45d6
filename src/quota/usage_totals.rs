use super::Grant;
use crate::prelude::*;

/// Totals of what one process instance of an entry has admitted for a workspace.
#[wire]
#[derive(Copy, Default)]
pub struct UsageTotals {
    /// Requests admitted, also those refunded since; see [`RefundCount`].
    pub requests: u64,
    /// Programs started, less those that have not run.
    pub programs: u64,
    /// Time booked for these programs, in total.
    pub booked_ms: u64,
}

/// Requests admitted about the same time that were refunded, as they have not run.
#[wire]
#[derive(Copy)]
pub struct RefundCount {
    /// For how many slots of the window they have been admitted.
    pub age_slots: u8,
    /// Their number.
    pub requests: u32,
}

impl UsageTotals {
    /// Adds an admitted request.
    pub(super) fn add(&mut self, grant: Grant) {
        self.requests += 1;
        if let Some(booked_ms) = grant.booked_ms {
            self.programs += 1;
            self.booked_ms = self.booked_ms.saturating_add(booked_ms);
        }
    }

    /// Subtracts the program of a request that was added and is refunded.
    pub(super) fn cancel_program(&mut self, grant: Grant) {
        if let Some(booked_ms) = grant.booked_ms {
            self.programs = self.programs.saturating_sub(1);
            self.booked_ms = self.booked_ms.saturating_sub(booked_ms);
        }
    }

    /// The change since earlier totals; negative where more was refunded than added.
    pub(super) fn delta_since(&self, earlier: &UsageTotals) -> UsageDelta {
        UsageDelta {
            requests: self.requests as f64 - earlier.requests as f64,
            programs: self.programs as f64 - earlier.programs as f64,
            booked_ms: self.booked_ms as f64 - earlier.booked_ms as f64,
        }
    }
}

/// A change of the totals, possibly negative.
#[derive(Debug, Clone, Copy)]
pub(super) struct UsageDelta {
    pub(super) requests: f64,
    pub(super) programs: f64,
    pub(super) booked_ms: f64,
}
