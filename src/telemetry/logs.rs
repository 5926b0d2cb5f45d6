use std::collections::VecDeque;
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::prelude::*;

/// The most bytes of lines that wait for a slow reader: a second of lines at ten times the
/// usual load. Beyond, lines are dropped and counted: a process never waits for whoever reads its
/// log, and never grows for it.
const WAITING_MOST_BYTES: usize = 512 * 1024;

/// Bytes written at once: a pipe that can be written to takes that many without blocking.
const WRITE_MOST_BYTES: usize = 4_096;

/// Why logging could not start.
#[value]
#[derive(Copy)]
pub enum LogsError {
    /// A logger was installed before.
    AlreadyStarted,
}

impl fmt::Display for LogsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogsError::AlreadyStarted => f.write_str("a logger is installed already"),
        }
    }
}

impl std::error::Error for LogsError {}

/// When lines are written.
#[key]
pub enum Writing {
    /// Each as it comes.
    EachLine,
    /// Many at once: the process calls [`flush_logs`] several times a second. Warnings and errors
    /// are written as they come.
    Gathered,
}

/// Writes every record of `level` or above to standard output, one JSON object a line.
///
/// # Errors
/// If a logger was installed before.
pub fn start_logs(level: &str, writing: Writing) -> Result<(), LogsError> {
    let logger: &'static LineLogger =
        Box::leak(Box::new(LineLogger { writing, lines: Mutex::default() }));
    log::set_logger(logger).map_err(|_| LogsError::AlreadyStarted)?;
    log::set_max_level(level.parse().unwrap_or(LevelFilter::Info));
    Ok(())
}

/// Writes the lines that wait, as far as the reader takes them.
pub fn flush_logs() {
    log::logger().flush();
}

#[derive(Default)]
struct Lines {
    waiting: VecDeque<u8>,
    dropped: u64,
}

struct LineLogger {
    writing: Writing,
    lines: Mutex<Lines>,
}

impl Log for LineLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = compose(record);
        let Ok(mut lines) = self.lines.lock() else {
            return;
        };
        lines.add(&line);
        if self.writing == Writing::EachLine || record.level() <= Level::Warn {
            lines.write();
        }
    }

    fn flush(&self) {
        if let Ok(mut lines) = self.lines.lock() {
            lines.write();
        }
    }
}

impl Lines {
    fn add(&mut self, line: &str) {
        if self.waiting.len() + line.len() > WAITING_MOST_BYTES {
            self.dropped += 1;
            return;
        }
        if self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            let note =
                format!("{{\"level\":\"WARN\",\"msg\":\"lines dropped\",\"lines\":{dropped}}}\n");
            self.waiting.extend(note.as_bytes());
        }
        self.waiting.extend(line.as_bytes());
    }

    fn write(&mut self) {
        while !self.waiting.is_empty() && can_write() {
            let (first, _) = self.waiting.as_slices();
            let part = &first[..first.len().min(WRITE_MOST_BYTES)];
            match std::io::stdout().lock().write_all(part).and_then(|()| std::io::stdout().flush())
            {
                Ok(()) => {
                    let written = part.len();
                    self.waiting.drain(..written);
                }
                // Nobody reads any more: there is nowhere left to say so.
                Err(_) => return self.waiting.clear(),
            }
        }
    }
}

/// Whether standard output takes bytes without waiting.
fn can_write() -> bool {
    let stdout = std::io::stdout();
    let mut fds = [PollFd::new(&stdout, PollFlags::OUT)];
    poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok_and(|ready| ready > 0)
}

fn compose(record: &Record<'_>) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix_ms = now.map_or(0, |since| since.as_millis() as u64);
    let mut line = Line(String::with_capacity(256));
    line.start(unix_ms, record);
    // Writing to a string does not fail, and neither does visiting pairs.
    record.key_values().visit(&mut line).unwrap_or_default();
    line.0.push_str("}\n");
    line.0
}

struct Line(String);

impl Line {
    fn start(&mut self, unix_ms: u64, record: &Record<'_>) {
        let level = record.level();
        write!(self.0, "{{\"unix_ms\":{unix_ms},\"level\":\"{level}\",\"msg\":")
            .unwrap_or_default();
        self.text(&record.args().to_string());
        self.0.push_str(",\"from\":");
        self.text(record.target());
    }

    fn text(&mut self, text: &str) {
        self.0.push('"');
        for char in text.chars() {
            match char {
                '"' => self.0.push_str("\\\""),
                '\\' => self.0.push_str("\\\\"),
                '\n' => self.0.push_str("\\n"),
                c if c.is_control() => {
                    write!(self.0, "\\u{:04x}", u32::from(c)).unwrap_or_default();
                }
                c => self.0.push(c),
            }
        }
        self.0.push('"');
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.push(',');
        self.text(key.as_str());
        self.0.push(':');
        match (value.to_u64(), value.to_bool(), value.to_f64()) {
            (Some(number), _, _) => write!(self.0, "{number}").unwrap_or_default(),
            (None, Some(truth), _) => write!(self.0, "{truth}").unwrap_or_default(),
            // JSON has no word for what is not a number.
            (None, None, Some(number)) if number.is_finite() => {
                write!(self.0, "{number:.3}").unwrap_or_default();
            }
            _ => self.text(&value.to_string()),
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
