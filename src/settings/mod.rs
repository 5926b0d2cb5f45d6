//! Settings: flags and environment variables, read once into typed structs and checked together.

mod endpoint;
mod entry;
mod fault;
mod process;
mod reader;

pub use endpoint::EndpointSettings;
pub use entry::EntrySettings;
pub use fault::{SettingFault, SettingsError};
pub use process::ProcessSettings;
pub use reader::{Reader, Setting};

#[cfg(test)]
mod tests;
