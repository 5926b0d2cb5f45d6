use std::io::{self, BufRead, Read};

use super::{Broken, LogLine};

/// The longest line that is read; what is longer is no line of a log, and would fill the memory.
const LINE_MOST_BYTES: u64 = 64 * 1024;

/// How many lines were read, and how many could not be used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reading {
    /// Lines of logs.
    pub lines: u64,
    /// Lines without a JSON object.
    pub without_object: u64,
    /// Lines that are malformed, incomplete, too long or no text.
    pub broken: u64,
    /// The first broken line, counted from one.
    pub first_broken: Option<u64>,
}

/// Reads all lines from `source` and passes them on, in their order.
///
/// # Errors
/// If `source` fails. Lines that can't be used are counted only.
pub fn read(
    source: &mut impl BufRead,
    reading: &mut Reading,
    mut pass: impl FnMut(LogLine),
) -> io::Result<()> {
    let mut bytes = Vec::new();
    let mut number = 0;
    loop {
        bytes.clear();
        let length = source.by_ref().take(LINE_MOST_BYTES).read_until(b'\n', &mut bytes)?;
        if length == 0 {
            return Ok(());
        }
        number += 1;
        if bytes.last() != Some(&b'\n') && length as u64 == LINE_MOST_BYTES {
            skip_line(source)?;
        }
        let parsed = std::str::from_utf8(&bytes).map_err(|_| Broken::Malformed);
        match parsed.and_then(LogLine::parse) {
            Ok(line) => {
                reading.lines += 1;
                pass(line);
            }
            Err(Broken::NoObject) => reading.without_object += 1,
            Err(Broken::Malformed | Broken::Incomplete) => {
                reading.broken += 1;
                reading.first_broken.get_or_insert(number);
            }
        }
    }
}

/// Passes over the rest of a line that is too long.
fn skip_line(source: &mut impl BufRead) -> io::Result<()> {
    loop {
        let waiting = source.fill_buf()?;
        if waiting.is_empty() {
            return Ok(());
        }
        let end = waiting.iter().position(|byte| *byte == b'\n');
        let passed = end.map_or(waiting.len(), |at| at + 1);
        source.consume(passed);
        if end.is_some() {
            return Ok(());
        }
    }
}
