//! The operators' tool: declares contracts and keys, and shows what is in force.

mod command;
mod error;
mod explain;
mod publisher;
mod run;
mod status;

pub use command::{BRIEF, Command, Invocation, usage};
pub use error::CtlError;
pub use run::{Output, run};

#[cfg(test)]
mod tests;
