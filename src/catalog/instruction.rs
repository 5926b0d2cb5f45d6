use super::Configuration;
use crate::prelude::*;

/// What an operator has written.
#[derive(Debug, Clone, PartialEq)]
pub enum Instruction {
    /// A configuration.
    Configuration(Configuration),
    /// Nothing more may be sent to the endpoints of this failure domain.
    Evacuate(Arc<str>),
    /// The endpoints of this failure domain may be used again.
    Restore(Arc<str>),
}
