//! The configuration in force: which service a request goes to, whose key it bears, what is allowed.

mod build;
mod instruction;
mod regions;
mod route;
mod workspace;

pub use build::{Catalog, CatalogFault, Configuration};
pub use instruction::Instruction;
pub use regions::Regions;
pub use route::{Backend, RepeatPolicy, Route, Service};
pub use workspace::{Limits, Workspace};

#[cfg(test)]
mod tests;
