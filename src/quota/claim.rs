use crate::prelude::*;

/// How a request relates to a program, which decides how much room its admission needs.
#[key]
pub enum Claim {
    /// The request starts a program.
    StartsProgram {
        /// Time within which the program should finish.
        duration_ms: u64,
    },
    /// The request belongs to a program that has already started, or to no program.
    Continues,
}

impl Claim {
    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Claim::StartsProgram { .. } => "begins",
            Claim::Continues => "goes_on",
        }
    }
}

/// An admitted request, to be refunded if the request does not run.
#[value]
#[derive(Copy)]
#[must_use]
pub struct Grant {
    /// Whether the request was counted; without a limit nothing is.
    pub(super) counted: bool,
    /// Time booked for the program that the request starts.
    pub(super) booked_ms: Option<u64>,
}
