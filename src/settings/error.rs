use std::fmt;

use crate::ids::InvalidName;
use crate::prelude::*;

/// Why the value of a setting is not valid.
#[value]
pub enum InvalidSetting {
    /// The setting is required but was not given.
    Missing,
    /// The value given is not a whole number.
    NotANumber(String),
    /// The number is out of range.
    OutOfRange {
        /// The value given.
        given: u64,
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// The value given is not an IP address with a port.
    NotAnAddress(String),
    /// The value is not a valid name.
    NotAName(InvalidName),
    /// The value is not one of these.
    NotOneOf(&'static [&'static str]),
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidSetting::Missing => f.write_str("a value is required"),
            InvalidSetting::NotANumber(text) => write!(f, "{text:?} is not a whole number"),
            InvalidSetting::OutOfRange { given, min, max } => {
                write!(f, "{given} is not between {min} and {max}")
            }
            InvalidSetting::NotAnAddress(text) => {
                write!(f, "{text:?} is not an IP address with a port, as in 127.0.0.1:7000")
            }
            InvalidSetting::NotAName(fault) => write!(f, "not a valid name: {fault}"),
            InvalidSetting::NotOneOf(allowed) => write!(f, "must be one of {}", allowed.join(", ")),
        }
    }
}

/// Why the settings were rejected.
#[value]
pub enum SettingsError {
    /// The command line can't be parsed: an unknown flag, a flag without its value, or an unexpected
    /// argument.
    CommandLine(String),
    /// All invalid settings: the flag's name and the reason.
    Invalid(Vec<(&'static str, InvalidSetting)>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::CommandLine(fault) => write!(f, "{fault}"),
            SettingsError::Invalid(settings) => settings.iter().try_for_each(|(name, fault)| {
                writeln!(f, "--{name} (environment variable {}): {fault}", env_name(name))
            }),
        }
    }
}

impl std::error::Error for SettingsError {}

/// The environment variable that sets the same as a flag.
pub(super) fn env_name(flag: &str) -> String {
    format!("TREFOIL_{}", flag.replace('-', "_").to_uppercase())
}
