//! `trefoilctl`, the operators' tool: publishes contracts and keys, shows the configuration in force
//! and the state of load control, and evaluates logs.

mod command;
mod error;
mod explain;
mod load;
mod load_table;
mod publisher;
mod run;
mod status;

pub use command::{BRIEF, Command, Invocation, usage};
pub use error::CtlError;
pub use run::{Output, run};

#[cfg(test)]
mod tests;
