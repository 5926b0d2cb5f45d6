use std::fmt;

use crate::ids::InvalidName;
use crate::prelude::*;

/// What is wrong with one setting.
#[value]
pub enum SettingFault {
    /// It has no default and was not given.
    Missing,
    /// Not a whole number.
    NotANumber(String),
    /// Outside of its range.
    OutOfRange {
        /// What was given.
        given: u64,
        /// The least allowed.
        least: u64,
        /// The most allowed.
        most: u64,
    },
    /// Not an IP address with a port.
    NotAnAddress(String),
    /// Not a name.
    BadName(InvalidName),
    /// Not one of the words allowed.
    NotOneOf(&'static [&'static str]),
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingFault::Missing => f.write_str("is required"),
            SettingFault::NotANumber(text) => write!(f, "{text:?} is not a whole number"),
            SettingFault::OutOfRange { given, least, most } => {
                write!(f, "{given} is not between {least} and {most}")
            }
            SettingFault::NotAnAddress(text) => {
                write!(f, "{text:?} is not an IP address with a port, as in 127.0.0.1:7000")
            }
            SettingFault::BadName(fault) => write!(f, "{fault}"),
            SettingFault::NotOneOf(words) => write!(f, "must be one of {}", words.join(", ")),
        }
    }
}

/// Why the settings were refused.
#[value]
pub enum SettingsError {
    /// The command line can't be read: an unknown flag, or one without its value.
    CommandLine(String),
    /// Settings with faults: each flag's name and what is wrong.
    Faults(Vec<(&'static str, SettingFault)>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::CommandLine(fault) => write!(f, "{fault}"),
            SettingsError::Faults(faults) => faults.iter().try_for_each(|(name, fault)| {
                writeln!(f, "--{name} (or {}): {fault}", env_name(name))
            }),
        }
    }
}

impl std::error::Error for SettingsError {}

/// The environment variable that stands for a flag.
pub(super) fn env_name(flag: &str) -> String {
    format!("TREFOIL_{}", flag.replace('-', "_").to_uppercase())
}
