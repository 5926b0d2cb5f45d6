//! Contracts and keys: what operators declare, how it is published, and what is in force.

mod book;
mod contract;
mod declaration;
mod keys;
mod record;

pub use book::{Book, Change, Conflict, Verdict};
pub use contract::Contract;
pub use declaration::{Declaration, DeclarationFault, parse_declaration};
pub use keys::{KeyDigest, KeyId};
pub use record::{BookSnapshot, ConfigRecord, Operation};

#[cfg(test)]
mod tests;
