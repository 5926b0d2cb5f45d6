use serde_json::{Map, Value};

use crate::prelude::*;

/// Why a line can't be parsed as a log line.
#[key]
pub enum LineError {
    /// It contains no JSON object.
    NoObject,
    /// Its JSON object is truncated or malformed.
    Malformed,
    /// Its object lacks `unix_ms` or `msg`, which every log line has.
    Incomplete,
}

/// One line of an entry's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// The text that a log collector put before the object; it usually names the entry.
    pub prefix: Arc<str>,
    /// When it was written, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The log message (`msg`).
    pub message: Arc<str>,
    /// All other fields.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. Whatever precedes its JSON object becomes the prefix.
    ///
    /// # Errors
    /// If the line has no complete JSON object, or the object lacks a time or a message.
    pub fn parse(text: &str) -> Result<LogLine, LineError> {
        let start = text.find("{\"").ok_or(LineError::NoObject)?;
        let (prefix, object) = text.split_at(start);
        let mut fields: Map<String, Value> =
            serde_json::from_str(object).map_err(|_| LineError::Malformed)?;
        let unix_ms = fields.remove("unix_ms").and_then(|value| value.as_u64());
        let message = fields.remove("msg");
        let message = message.as_ref().and_then(Value::as_str);
        match (unix_ms, message) {
            (Some(unix_ms), Some(message)) => {
                let prefix = prefix.trim().into();
                Ok(LogLine { prefix, unix_ms, message: message.into(), fields })
            }
            _ => Err(LineError::Incomplete),
        }
    }

    /// The value of a string field; `None` if it is absent, empty or not a string.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str).filter(|text| !text.is_empty())
    }

    /// The value of a field that is an unsigned integer.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Whether the line is about a request, rather than about the entry's own state.
    pub fn has_request_id(&self) -> bool {
        self.fields.contains_key("request")
    }

    /// The entry that wrote the line: the last word of its prefix that is not a number, as a time
    /// would be. Empty if there is none.
    pub fn entry(&self) -> &str {
        let words = self.prefix.split_whitespace().rev();
        words.into_iter().find(|word| word.parse::<f64>().is_err()).unwrap_or_default()
    }

    /// The message and the fields, except empty fields, the level and the source location (`from`).
    pub fn summary(&self) -> String {
        let shown = self.fields.iter().filter(|(name, value)| {
            !matches!(name.as_str(), "level" | "from") && **value != Value::String(String::new())
        });
        let fields: Vec<String> = shown.map(|(name, value)| format!("{name}={value}")).collect();
        format!("{}  {}", self.message, fields.join(" "))
    }
}
