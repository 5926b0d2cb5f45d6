//! The configuration in force: which service a request goes to, whose key it bears, what is allowed.

mod build;
mod instruction;
mod regions;
mod route;
mod workspace;

pub use build::{Catalog, CatalogFault, Declared};
pub use instruction::Instruction;
pub use regions::Regions;
pub use route::{Backend, Repeat, Route, Service};
pub use workspace::{Limits, Workspace};

#[cfg(test)]
mod tests;
