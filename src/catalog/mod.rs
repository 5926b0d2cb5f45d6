//! The operator's configuration: routes of requests to services, API keys of workspaces, and
//! limits.

mod configuration;
mod instruction;
mod regions;
mod route;
mod workspace;

pub use configuration::{Catalog, CatalogError, Configuration};
pub use instruction::Instruction;
pub use regions::Regions;
pub use route::{Backend, RepeatPolicy, Route, Service};
pub use workspace::{Limits, Workspace};

#[cfg(test)]
pub(crate) mod tests;
