//! Settings of the processes, read from flags and environment variables into typed structs. All
//! invalid settings are reported together.

mod endpoint;
mod entry;
mod error;
mod process;
mod reader;

pub use endpoint::EndpointSettings;
pub use entry::EntrySettings;
pub use error::{InvalidSetting, SettingsError};
pub use process::ProcessSettings;
pub use reader::{Reader, Setting};

#[cfg(test)]
mod tests;
