use crate::prelude::*;

/// What a request means to its program.
#[key]
pub enum Claim {
    /// It begins a program.
    Begins {
        /// The time in which the program should finish.
        length_ms: u64,
    },
    /// It belongs to a program that has begun, or to none.
    GoesOn,
}

impl Claim {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Claim::Begins { .. } => "begins",
            Claim::GoesOn => "goes_on",
        }
    }
}
