use super::Configuration;
use crate::prelude::*;

/// An instruction in the operator's log.
#[derive(Debug, Clone, PartialEq)]
pub enum Instruction {
    /// Put this configuration into force.
    Configuration(Configuration),
    /// Send no more requests to the endpoints of this failure domain.
    Evacuate(Arc<str>),
    /// Use the endpoints of this failure domain again.
    Restore(Arc<str>),
}
