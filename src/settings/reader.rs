use std::net::SocketAddr;

use super::error::env_name;
use super::{InvalidSetting, SettingsError};
use crate::ids::InvalidName;

/// A setting: its flag, help text and default.
pub struct Setting {
    /// The flag, without the dashes.
    pub name: &'static str,
    /// Placeholder for the value in the help text.
    pub value_name: &'static str,
    /// Description in the help text.
    pub description: &'static str,
    /// The default; a setting without one is required.
    pub default: Option<&'static str>,
}

/// Looks up an environment variable.
type Environment = Box<dyn Fn(&str) -> Option<String>>;

/// Reads settings from flags, environment variables and defaults, in this order of precedence, and
/// collects all invalid ones. In place of an invalid value, the methods return a placeholder, which
/// must not be used if `finish` fails.
pub struct Reader {
    settings: &'static [Setting],
    matches: getopts::Matches,
    env: Environment,
    invalid: Vec<(&'static str, InvalidSetting)>,
}

impl Reader {
    /// Parses the command line. Unknown flags and other arguments are rejected.
    pub fn open(
        settings: &'static [Setting],
        args: &[String],
        env: impl Fn(&str) -> Option<String> + 'static,
    ) -> Result<Reader, SettingsError> {
        let matches = options(settings)
            .parse(args)
            .map_err(|fault| SettingsError::CommandLine(fault.to_string()))?;
        if let Some(extra) = matches.free.first() {
            return Err(SettingsError::CommandLine(format!("unexpected argument {extra:?}")));
        }
        Ok(Reader { settings, matches, env: Box::new(env), invalid: Vec::new() })
    }

    /// The help text, which starts with `brief`.
    pub fn usage(settings: &'static [Setting], brief: &str) -> String {
        options(settings).usage(brief)
    }

    fn raw_value(&mut self, name: &'static str) -> Option<String> {
        let default = self.settings.iter().find(|setting| setting.name == name)?.default;
        let given = self.matches.opt_str(name).or_else(|| (self.env)(&env_name(name)));
        let value = given.or_else(|| default.map(str::to_string));
        if value.is_none() {
            self.invalid.push((name, InvalidSetting::Missing));
        }
        value
    }

    /// Reads a whole number from `min` to `max`.
    pub fn number(&mut self, name: &'static str, min: u64, max: u64) -> u64 {
        let Some(text) = self.raw_value(name) else {
            return min;
        };
        match text.parse::<u64>() {
            Ok(given) if (min..=max).contains(&given) => given,
            Ok(given) => {
                self.record_invalid(name, InvalidSetting::OutOfRange { given, min, max }, min)
            }
            Err(_) => self.record_invalid(name, InvalidSetting::NotANumber(text), min),
        }
    }

    /// Reads an IP address with a port.
    pub fn address(&mut self, name: &'static str) -> SocketAddr {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let Some(text) = self.raw_value(name) else {
            return unspecified;
        };
        match text.parse() {
            Ok(address) => address,
            Err(_) => self.record_invalid(name, InvalidSetting::NotAnAddress(text), unspecified),
        }
    }

    /// Reads a name, which `parse` validates.
    pub fn name<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&str) -> Result<T, InvalidName>,
    ) -> Option<T> {
        let text = self.raw_value(name)?;
        match parse(&text) {
            Ok(value) => Some(value),
            Err(fault) => self.record_invalid(name, InvalidSetting::NotAName(fault), None),
        }
    }

    /// Reads one of the `allowed` words. The placeholder for an invalid value is the first of them.
    pub fn one_of(&mut self, name: &'static str, allowed: &'static [&'static str]) -> &'static str {
        let Some(text) = self.raw_value(name) else {
            return allowed[0];
        };
        match allowed.iter().find(|word| **word == text) {
            Some(word) => word,
            None => self.record_invalid(name, InvalidSetting::NotOneOf(allowed), allowed[0]),
        }
    }

    fn record_invalid<T>(
        &mut self,
        name: &'static str,
        fault: InvalidSetting,
        placeholder: T,
    ) -> T {
        self.invalid.push((name, fault));
        placeholder
    }

    /// Fails with all invalid settings, if there are any.
    pub fn finish(self) -> Result<(), SettingsError> {
        match self.invalid.is_empty() {
            true => Ok(()),
            false => Err(SettingsError::Invalid(self.invalid)),
        }
    }
}

fn options(settings: &'static [Setting]) -> getopts::Options {
    let mut options = getopts::Options::new();
    for setting in settings {
        let default = setting.default.map_or(String::new(), |value| format!(" [default: {value}]"));
        let description = format!("{}{default}", setting.description);
        options.optopt("", setting.name, &description, setting.value_name);
    }
    options
}
