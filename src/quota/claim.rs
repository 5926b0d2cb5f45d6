use crate::prelude::*;

/// How a request relates to a program, which decides how much room its admission needs.
#[wire]
#[derive(Copy)]
pub enum Claim {
    /// The request starts a program.
    StartsProgram {
        /// Time within which the program should finish.
        duration_ms: u64,
    },
    /// The request is a turn of a program that has already started.
    ContinuesProgram,
    /// The request is a call that a program made within a turn, or belongs to no program.
    Call,
}

impl Claim {
    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Claim::StartsProgram { .. } => "begins",
            Claim::ContinuesProgram => "goes_on",
            Claim::Call => "call",
        }
    }

    /// The fraction of the limit up to which requests of this kind are admitted (trunk reservation).
    ///
    /// A program whose call is refused fails after few attempts; a turn is attempted more often, and
    /// its calls follow it at once.
    pub(super) fn limit_fraction(self) -> f64 {
        match self {
            Claim::StartsProgram { .. } | Claim::ContinuesProgram => 0.9,
            Claim::Call => 1.0,
        }
    }
}

/// An admitted request, to be refunded if the request does not run.
#[value]
#[derive(Copy)]
#[must_use]
pub struct Grant {
    /// When the request was admitted.
    pub(super) admitted_at: TimeMs,
    /// Whether the request was counted; without a limit nothing is.
    pub(super) counted: bool,
    /// Time booked for the program that the request starts.
    pub(super) booked_ms: Option<u64>,
}

impl Grant {
    /// For how long the request has been admitted.
    pub fn age_ms(&self, now: TimeMs) -> u64 {
        now.since(self.admitted_at)
    }
}
