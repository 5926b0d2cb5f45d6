use std::collections::VecDeque;
use std::fmt::{self, Write as _};
use std::io;
use std::os::fd::AsFd;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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

/// Longest wait for the reader of standard output at the exit. A process that is stopped exits when 0.92
/// of its grace period is over: with one of 4 s, it would be killed 320 ms later.
const MAX_EXIT_FLUSH_MS: u64 = 200;

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
    // Only the first logger that is started gets here.
    LOGGER.get_or_init(|| logger);
    log::set_max_level(level.parse().unwrap_or(LevelFilter::Info));
    Ok(())
}

/// The logger of the process, once it is installed.
static LOGGER: OnceLock<&'static LineLogger> = OnceLock::new();

/// Writes as many of the buffered lines as standard output accepts without blocking.
pub fn flush_logs() {
    log::logger().flush();
}

/// Writes all buffered lines before the process exits. A reader of standard output that is behind is
/// waited for, at most for [`MAX_EXIT_FLUSH_MS`].
pub fn flush_logs_before_exit() {
    if let Some(mut lines) = LOGGER.get().and_then(|logger| logger.lines.lock().ok()) {
        lines.write_all(&mut io::stdout(), Duration::from_millis(MAX_EXIT_FLUSH_MS));
    }
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
            lines.write(&mut io::stdout());
        }
    }

    fn flush(&self) {
        if let Ok(mut lines) = self.lines.lock() {
            lines.write(&mut io::stdout());
        }
    }
}

impl LineBuffer {
    fn push(&mut self, line: &str) {
        if self.buffer.len() + line.len() > MAX_BUFFERED_BYTES {
            self.dropped += 1;
            return;
        }
        self.push_notice();
        self.buffer.extend(line.as_bytes());
    }

    /// Adds a line with the number of lines dropped since the last one, if any were.
    fn push_notice(&mut self) {
        if self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            let notice =
                format!("{{\"level\":\"WARN\",\"msg\":\"lines dropped\",\"lines\":{dropped}}}\n");
            self.buffer.extend(notice.as_bytes());
        }
    }

    /// Writes all lines before the process exits, waiting up to `limit` for the reader.
    fn write_all(&mut self, output: &mut (impl io::Write + AsFd), limit: Duration) {
        let started = Instant::now();
        self.push_notice();
        self.write(output);
        while !self.buffer.is_empty() && can_write(output, limit.saturating_sub(started.elapsed()))
        {
            self.write(output);
        }
    }

    /// Writes as many of the lines as the output accepts without blocking.
    fn write(&mut self, output: &mut (impl io::Write + AsFd)) {
        while !self.buffer.is_empty() && can_write(output, Duration::ZERO) {
            let (first, _) = self.buffer.as_slices();
            let chunk = &first[..first.len().min(MAX_WRITE_BYTES)];
            match output.write_all(chunk).and_then(|()| output.flush()) {
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

/// Whether an output accepts a write without blocking, at the latest after `limit`.
fn can_write(output: &impl AsFd, limit: Duration) -> bool {
    let mut fds = [PollFd::new(output, PollFlags::OUT)];
    let limit = Timespec { tv_sec: limit.as_secs() as i64, tv_nsec: limit.subsec_nanos().into() };
    poll(&mut fds, Some(&limit)).is_ok_and(|ready_fds| ready_fds > 0)
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
