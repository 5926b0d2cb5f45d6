use crate::prelude::*;

/// What a request means to its program.
#[key]
pub enum Claim {
    /// It begins a program.
    StartsProgram {
        /// The time in which the program should finish.
        duration_ms: u64,
    },
    /// It belongs to a program that has begun, or to none.
    Continues,
}

impl Claim {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Claim::StartsProgram { .. } => "begins",
            Claim::Continues => "goes_on",
        }
    }
}

/// A request that was admitted. It is given back if the request has not run.
#[value]
#[derive(Copy)]
#[must_use]
pub struct Grant {
    /// Whether it was counted: nothing is while there is no limit.
    pub(super) counted: bool,
    /// The time that was booked for the program that it begins.
    pub(super) booked_ms: Option<u64>,
}
