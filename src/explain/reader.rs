use std::io::{self, BufRead, Read};

use super::{LineError, LogLine};

/// The longest line that is parsed. A longer one is not a log line, and buffering it whole could
/// exhaust memory.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// How many lines were read, and how many could not be parsed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadStats {
    /// Valid log lines.
    pub lines: u64,
    /// Lines without a JSON object, for example of other programs.
    pub without_object: u64,
    /// Lines that are not UTF-8, or whose object is malformed, incomplete or cut off because the line
    /// is too long.
    pub broken: u64,
    /// The number of the first broken line within its file, counted from one.
    pub first_broken: Option<u64>,
}

/// Reads all lines from `source` and calls `on_line` for each valid log line, in order. Adds the
/// counts to `stats`.
///
/// # Errors
/// If reading from `source` fails. Lines that can't be parsed are only counted.
pub fn read_lines(
    source: &mut impl BufRead,
    stats: &mut ReadStats,
    mut on_line: impl FnMut(LogLine),
) -> io::Result<()> {
    let mut bytes = Vec::new();
    let mut line_number = 0;
    loop {
        bytes.clear();
        let length = source.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut bytes)?;
        if length == 0 {
            return Ok(());
        }
        line_number += 1;
        if bytes.last() != Some(&b'\n') && length as u64 == MAX_LINE_BYTES {
            skip_line(source)?;
        }
        let parsed = std::str::from_utf8(&bytes).map_err(|_| LineError::Malformed);
        match parsed.and_then(LogLine::parse) {
            Ok(line) => {
                stats.lines += 1;
                on_line(line);
            }
            Err(LineError::NoObject) => stats.without_object += 1,
            Err(LineError::Malformed | LineError::Incomplete) => {
                stats.broken += 1;
                stats.first_broken.get_or_insert(line_number);
            }
        }
    }
}

/// Skips the rest of a line that is too long.
fn skip_line(source: &mut impl BufRead) -> io::Result<()> {
    loop {
        let buffered = source.fill_buf()?;
        if buffered.is_empty() {
            return Ok(());
        }
        let end = buffered.iter().position(|byte| *byte == b'\n');
        let consumed = end.map_or(buffered.len(), |at| at + 1);
        source.consume(consumed);
        if end.is_some() {
            return Ok(());
        }
    }
}
