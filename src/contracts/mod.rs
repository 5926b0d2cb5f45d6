//! Contracts and keys of workspaces: how operators declare them, the records that publish them, and
//! the configuration in force.

mod config_state;
mod contract;
mod declaration;
mod keys;
mod record;

pub use config_state::{ApplyOutcome, ChangeOutcome, ConfigState, Conflict};
pub use contract::Contract;
pub use declaration::{Declaration, DeclarationError, parse_declaration};
pub use keys::{KeyDigest, KeyId};
pub use record::{ConfigRecord, ConfigSnapshot, Operation};

#[cfg(test)]
mod tests;
