//! Turn histories and token budgets of the programs of one shard, as state without I/O.
//!
//! A turn is one request of a program with its answer. It may continue an earlier turn, so that
//! turns form chains.
//!
//! Each change returns the records that make it durable. Whether this process may write them is
//! decided elsewhere, by the epoch under which they are appended to the log.

mod events;
mod ledger;
mod record;

pub use events::EventReader;
pub use ledger::{AccountVersion, BudgetExhausted, Ledger};
pub use record::{Account, ProgramKey, Record, RecordFault, Turn, TurnKey};

#[cfg(test)]
mod tests;
