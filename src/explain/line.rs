use serde_json::{Map, Value};

use crate::prelude::*;

/// Why a line can't be used.
#[key]
pub enum Broken {
    /// There is no JSON object in it.
    NoObject,
    /// Its object is cut short or malformed.
    Malformed,
    /// Its object lacks the time or the message that every line has.
    Incomplete,
}

/// One line of an entry's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// What a collector put before the object; it usually names the entry.
    pub prefix: Arc<str>,
    /// When it was written.
    pub unix_ms: u64,
    /// What happened.
    pub message: Arc<str>,
    /// What else it says.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line. Whatever stands before its JSON object is a prefix.
    ///
    /// # Errors
    /// If there is no whole object, or not one of a log line.
    pub fn parse(text: &str) -> Result<LogLine, Broken> {
        let start = text.find("{\"").ok_or(Broken::NoObject)?;
        let (prefix, object) = text.split_at(start);
        let mut fields: Map<String, Value> =
            serde_json::from_str(object).map_err(|_| Broken::Malformed)?;
        let unix_ms = fields.remove("unix_ms").and_then(|value| value.as_u64());
        let message = fields.remove("msg");
        let message = message.as_ref().and_then(Value::as_str);
        match (unix_ms, message) {
            (Some(unix_ms), Some(message)) => {
                let prefix = prefix.trim().into();
                Ok(LogLine { prefix, unix_ms, message: message.into(), fields })
            }
            _ => Err(Broken::Incomplete),
        }
    }

    /// A field that is text, unless it is empty.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str).filter(|text| !text.is_empty())
    }

    /// A field that is a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Whether it is about a request, and not about what an entry believes.
    pub fn is_of_request(&self) -> bool {
        self.fields.contains_key("request")
    }

    /// The entry that wrote it, as far as its prefix names one: the last word that is no time.
    pub fn entry(&self) -> &str {
        let words = self.prefix.split_whitespace().rev();
        words.into_iter().find(|word| word.parse::<f64>().is_err()).unwrap_or_default()
    }

    /// Its message and fields, but for where in the code it was written.
    pub fn summary(&self) -> String {
        let shown = self.fields.iter().filter(|(name, value)| {
            !matches!(name.as_str(), "level" | "from") && **value != Value::String(String::new())
        });
        let fields: Vec<String> = shown.map(|(name, value)| format!("{name}={value}")).collect();
        format!("{}  {}", self.message, fields.join(" "))
    }
}
