//! Histories and token budgets of the programs of one shard: state without I/O.
//!
//! Each change yields the records that make it durable. Who may write them is decided elsewhere, by
//! the epoch under which they are appended.

mod events;
mod ledger;
mod record;

pub use events::EventReader;
pub use ledger::{AccountVersion, Ledger, Spent};
pub use record::{Account, ProgramKey, Record, RecordFault, Turn, TurnKey};

#[cfg(test)]
mod tests;
