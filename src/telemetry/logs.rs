use std::collections::VecDeque;
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::prelude::*;

/// Maximum size of the lines buffered for a slow reader of standard output: one second of lines at
/// ten times the usual load. Further lines are dropped and counted, so that a slow reader neither
/// blocks the process nor makes its memory grow.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

/// Bytes per write: a pipe that is ready for writing accepts this many without blocking.
const MAX_WRITE_BYTES: usize = 4_096;

/// Why logging could not be started.
#[value]
#[derive(Copy)]
pub enum LogsError {
    /// The process has already installed a logger.
    AlreadyStarted,
}

impl fmt::Display for LogsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogsError::AlreadyStarted => {
                f.write_str("cannot start logging: a logger is already installed")
            }
        }
    }
}

impl std::error::Error for LogsError {}

/// When log lines are written to standard output.
#[key]
pub enum WriteMode {
    /// Each line immediately.
    EachLine,
    /// Several lines at once: the process calls [`flush_logs`] several times per second. Warnings
    /// and errors are written immediately.
    Buffered,
}

/// Starts writing log records of `level` and of more severe levels to standard output, as one JSON
/// object per line. An unknown `level` means `info`.
///
/// # Errors
/// Fails if a logger is already installed.
pub fn start_logs(level: &str, writing: WriteMode) -> Result<(), LogsError> {
    let logger: &'static LineLogger =
        Box::leak(Box::new(LineLogger { writing, lines: Mutex::default() }));
    log::set_logger(logger).map_err(|_| LogsError::AlreadyStarted)?;
    log::set_max_level(level.parse().unwrap_or(LevelFilter::Info));
    Ok(())
}

/// Writes as many of the buffered lines as standard output accepts without blocking.
pub fn flush_logs() {
    log::logger().flush();
}

#[derive(Default)]
struct LineBuffer {
    buffer: VecDeque<u8>,
    dropped: u64,
}

struct LineLogger {
    writing: WriteMode,
    lines: Mutex<LineBuffer>,
}

impl Log for LineLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = format_line(record);
        let Ok(mut lines) = self.lines.lock() else {
            return;
        };
        lines.push(&line);
        if self.writing == WriteMode::EachLine || record.level() <= Level::Warn {
            lines.write();
        }
    }

    fn flush(&self) {
        if let Ok(mut lines) = self.lines.lock() {
            lines.write();
        }
    }
}

impl LineBuffer {
    fn push(&mut self, line: &str) {
        if self.buffer.len() + line.len() > MAX_BUFFERED_BYTES {
            self.dropped += 1;
            return;
        }
        if self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            let notice =
                format!("{{\"level\":\"WARN\",\"msg\":\"lines dropped\",\"lines\":{dropped}}}\n");
            self.buffer.extend(notice.as_bytes());
        }
        self.buffer.extend(line.as_bytes());
    }

    fn write(&mut self) {
        while !self.buffer.is_empty() && can_write() {
            let (first, _) = self.buffer.as_slices();
            let chunk = &first[..first.len().min(MAX_WRITE_BYTES)];
            match std::io::stdout().lock().write_all(chunk).and_then(|()| std::io::stdout().flush())
            {
                Ok(()) => {
                    let written = chunk.len();
                    self.buffer.drain(..written);
                }
                // Standard output has failed, so the error cannot be logged either.
                Err(_) => return self.buffer.clear(),
            }
        }
    }
}

/// Whether standard output accepts a write without blocking.
fn can_write() -> bool {
    let stdout = std::io::stdout();
    let mut fds = [PollFd::new(&stdout, PollFlags::OUT)];
    poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok_and(|ready_fds| ready_fds > 0)
}

fn format_line(record: &Record<'_>) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix_ms = now.map_or(0, |since| since.as_millis() as u64);
    let mut line = Line(String::with_capacity(256));
    line.start(unix_ms, record);
    // Cannot fail: `visit_pair` only writes to a string.
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
        self.string(&record.args().to_string());
        self.0.push_str(",\"from\":");
        self.string(record.target());
    }

    /// Writes a JSON string.
    fn string(&mut self, text: &str) {
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
        self.string(key.as_str());
        self.0.push(':');
        match (value.to_u64(), value.to_bool(), value.to_f64()) {
            (Some(number), _, _) => write!(self.0, "{number}").unwrap_or_default(),
            (None, Some(boolean), _) => write!(self.0, "{boolean}").unwrap_or_default(),
            // JSON has no NaN or infinities; they are written as strings.
            (None, None, Some(number)) if number.is_finite() => {
                write!(self.0, "{number:.3}").unwrap_or_default();
            }
            _ => self.string(&value.to_string()),
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
