use serde_json::Value;

use super::LogLine;

/// A first turn was refused for lack of capacity.
const REFUSED: &str = "service has no capacity for a further program; first turn refused";

/// A first turn waits at the entry for capacity.
const HELD: &str = "program held until its service has capacity";

/// A program that had been refused starts.
const ADMITTED: &str = "program admitted from the waiting list";

/// A response was cut off because its caller reads too slowly.
const DISCONNECTED: &str =
    "limit for buffered bytes reached; disconnecting the response held for the longest";

/// An entry begins to refuse all new requests.
const BYTE_LIMIT_REACHED: &str = "limit for buffered bytes reached; refusing new requests";

/// An entry accepts new requests again.
const BYTE_LIMIT_LEFT: &str = "buffered bytes below their limit; accepting requests again";

/// The first line of a process instance.
const STARTED: &str = "started";

/// What a log line says of the admission of a program, or of the limits on slow readers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadLine {
    /// The first turn of a program was refused.
    Refused,
    /// The first turn of a program waits at the entry that decides on it.
    Held,
    /// A program that was refused before starts.
    Admitted,
    /// A response was cut off because its caller reads too slowly.
    Disconnected,
    /// The entry refuses all new requests from now on.
    ByteLimitReached,
    /// The entry accepts requests again, or its process has started anew.
    ByteLimitLeft,
}

impl LoadLine {
    /// What the line says, if it is one of these.
    pub(super) fn of(line: &LogLine) -> Option<LoadLine> {
        match &*line.message {
            REFUSED => Some(LoadLine::Refused),
            HELD => Some(LoadLine::Held),
            ADMITTED => Some(LoadLine::Admitted),
            DISCONNECTED => Some(LoadLine::Disconnected),
            BYTE_LIMIT_REACHED => Some(LoadLine::ByteLimitReached),
            BYTE_LIMIT_LEFT | STARTED => Some(LoadLine::ByteLimitLeft),
            _ => None,
        }
    }

    /// Whether the line is a decision on the start of a program.
    pub(super) fn is_admission(self) -> bool {
        matches!(self, LoadLine::Refused | LoadLine::Held | LoadLine::Admitted)
    }
}

/// Whether a boolean field of a line is true.
pub(super) fn is_true(line: &LogLine, name: &str) -> bool {
    line.fields.get(name) == Some(&Value::Bool(true))
}
