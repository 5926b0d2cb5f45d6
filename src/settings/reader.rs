use std::net::SocketAddr;

use super::fault::env_name;
use super::{SettingFault, SettingsError};
use crate::ids::InvalidName;

/// One setting: its flag, what stands for its value in the help, its meaning and its default.
pub struct Setting {
    /// The flag, without the dashes.
    pub name: &'static str,
    /// What stands for the value in the help text.
    pub hint: &'static str,
    /// What it means.
    pub meaning: &'static str,
    /// Its default; without one it is required.
    pub default: Option<&'static str>,
}

/// Looks an environment variable up.
type Environment = Box<dyn Fn(&str) -> Option<String>>;

/// Reads settings and gathers all their faults.
pub struct Reader {
    settings: &'static [Setting],
    matches: getopts::Matches,
    env: Environment,
    faults: Vec<(&'static str, SettingFault)>,
}

impl Reader {
    /// Takes the command line; unknown flags are refused.
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
        Ok(Reader { settings, matches, env: Box::new(env), faults: Vec::new() })
    }

    /// The help text.
    pub fn usage(settings: &'static [Setting], brief: &str) -> String {
        options(settings).usage(brief)
    }

    fn raw(&mut self, name: &'static str) -> Option<String> {
        let default = self.settings.iter().find(|setting| setting.name == name)?.default;
        let given = self.matches.opt_str(name).or_else(|| (self.env)(&env_name(name)));
        let value = given.or_else(|| default.map(str::to_string));
        if value.is_none() {
            self.faults.push((name, SettingFault::Missing));
        }
        value
    }

    /// A whole number within bounds.
    pub fn number(&mut self, name: &'static str, least: u64, most: u64) -> u64 {
        let Some(text) = self.raw(name) else {
            return least;
        };
        match text.parse::<u64>() {
            Ok(given) if (least..=most).contains(&given) => given,
            Ok(given) => self.fault(name, SettingFault::OutOfRange { given, least, most }, least),
            Err(_) => self.fault(name, SettingFault::NotANumber(text), least),
        }
    }

    /// An IP address with a port.
    pub fn address(&mut self, name: &'static str) -> SocketAddr {
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let Some(text) = self.raw(name) else {
            return nowhere;
        };
        match text.parse() {
            Ok(address) => address,
            Err(_) => self.fault(name, SettingFault::NotAnAddress(text), nowhere),
        }
    }

    /// A checked name.
    pub fn name<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&str) -> Result<T, InvalidName>,
    ) -> Option<T> {
        let text = self.raw(name)?;
        match parse(&text) {
            Ok(value) => Some(value),
            Err(fault) => self.fault(name, SettingFault::BadName(fault), None),
        }
    }

    /// One of several words.
    pub fn word(&mut self, name: &'static str, words: &'static [&'static str]) -> &'static str {
        let Some(text) = self.raw(name) else {
            return words[0];
        };
        match words.iter().find(|word| **word == text) {
            Some(word) => word,
            None => self.fault(name, SettingFault::NotOneOf(words), words[0]),
        }
    }

    fn fault<T>(&mut self, name: &'static str, fault: SettingFault, placeholder: T) -> T {
        self.faults.push((name, fault));
        placeholder
    }

    /// The error that names every fault, or nothing.
    pub fn finish(self) -> Result<(), SettingsError> {
        match self.faults.is_empty() {
            true => Ok(()),
            false => Err(SettingsError::Faults(self.faults)),
        }
    }
}

fn options(settings: &'static [Setting]) -> getopts::Options {
    let mut options = getopts::Options::new();
    for setting in settings {
        let default = setting.default.map_or(String::new(), |value| format!(" [default: {value}]"));
        let meaning = format!("{}{default}", setting.meaning);
        options.optopt("", setting.name, &meaning, setting.hint);
    }
    options
}
