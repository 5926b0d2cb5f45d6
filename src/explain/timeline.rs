use std::collections::{HashMap, HashSet, VecDeque};

use serde_json::{Value, json};

use super::LogLine;
use super::load_line::LoadLine;
use super::program_start::ProgramStart;
use super::slow_readers::SlowReaders;
use crate::prelude::*;

/// Context lines are shown if their entry wrote them at most this long before a line of the subject.
const CONTEXT_WINDOW_MS: u64 = 5_000;

/// Maximum number of context lines kept for each entry; older ones are dropped.
const MAX_CONTEXT_LINES: usize = 16;

/// Maximum number of lines of one timeline. Bounds the memory, because a program that never ends
/// writes log lines without limit.
const MAX_LINES: usize = 10_000;

/// What a timeline is about.
#[value]
pub enum Subject {
    /// A request, by its id.
    Request(Arc<str>),
    /// A program, by its id.
    Program(Arc<str>),
}

impl Subject {
    fn matches(&self, line: &LogLine) -> bool {
        match self {
            Subject::Request(id) => line.text("request") == Some(id),
            Subject::Program(id) => line.text("program") == Some(id),
        }
    }
}

/// Every log line about a request or a program, with context: the lines about its entries' own state
/// (such as an unreachable service) that were written shortly before.
#[derive(Debug)]
pub struct Timeline {
    subject: Subject,
    lines: Vec<LogLine>,
    /// By entry: the newest lines that are about no request and are not in `lines`.
    context: HashMap<Arc<str>, VecDeque<LogLine>>,
    /// The number of lines of the subject left out because of `MAX_LINES`.
    omitted: u64,
    slow_readers: SlowReaders,
}

impl Timeline {
    /// An empty timeline of a subject.
    pub fn new(subject: Subject) -> Timeline {
        Timeline {
            subject,
            lines: Vec::new(),
            context: HashMap::new(),
            omitted: 0,
            slow_readers: SlowReaders::default(),
        }
    }

    /// Adds a line if it is about the subject, or keeps it as context if it is about no request. Ignores
    /// lines about other requests.
    pub fn record(&mut self, line: LogLine) {
        if self.subject.matches(&line) {
            self.slow_readers.record_own(&line);
            let context = self.take_context(&line);
            match self.lines.len() + context.len() < MAX_LINES {
                true => {
                    self.lines.extend(context);
                    self.lines.push(line);
                }
                false => self.omitted += 1,
            }
            return;
        }
        self.slow_readers.record(&line);
        if line.has_request_id() {
            return;
        }
        let context = self.context.entry(line.entry().into()).or_default();
        if context.len() == MAX_CONTEXT_LINES {
            context.pop_front();
        }
        context.push_back(line);
    }

    /// Removes all context lines of this line's entry, so that each is shown only once, and returns
    /// the recent ones.
    fn take_context(&mut self, line: &LogLine) -> Vec<LogLine> {
        let Some(context) = self.context.get_mut(line.entry()) else {
            return Vec::new();
        };
        let recent = |earlier: &LogLine| earlier.unix_ms + CONTEXT_WINDOW_MS >= line.unix_ms;
        context.drain(..).filter(recent).collect()
    }

    /// Whether no line was about the subject.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// All lines to be shown. The disconnection of a slow reader names no program: it is found by
    /// the requests of the program's other lines.
    fn in_order(&self) -> Vec<&LogLine> {
        let mut lines: Vec<_> = self.lines.iter().collect();
        lines.extend(self.slow_readers.disconnections(&self.requests()));
        lines.sort_by_key(|line| line.unix_ms);
        lines
    }

    /// The subject's lines in order, without context.
    fn own_in_order(&self) -> Vec<&LogLine> {
        self.in_order().into_iter().filter(|line| self.is_own(line)).collect()
    }

    fn is_own(&self, line: &LogLine) -> bool {
        self.subject.matches(line) || LoadLine::of(line) == Some(LoadLine::Disconnected)
    }

    /// The ids of the subject's requests.
    fn requests(&self) -> HashSet<&str> {
        let own = self.lines.iter().filter(|line| self.subject.matches(line));
        own.filter_map(|line| line.text("request")).collect()
    }

    fn start_ms(&self) -> u64 {
        self.own_in_order().first().map_or(0, |line| line.unix_ms)
    }

    /// The timeline as text for people, with times relative to the subject's first line. Context lines
    /// are marked with `~`; the last line says how the subject ended.
    pub fn text(&self) -> String {
        let start_ms = self.start_ms() as i64;
        let mut rows: Vec<String> = Vec::new();
        for line in self.in_order() {
            let since_ms = line.unix_ms as i64 - start_ms;
            let marker = if self.is_own(line) { ' ' } else { '~' };
            rows.push(format!("{since_ms:>8} ms {marker} {}  {}", line.entry(), line.summary()));
        }
        if self.omitted > 0 {
            rows.push(format!("{} more lines are left out", self.omitted));
        }
        rows.extend(self.load_rows());
        rows.push(format!("ended: {}", self.outcome()));
        rows.join("\n")
    }

    /// What the lines of load control and of the limits on slow readers add up to.
    fn load_rows(&self) -> Vec<String> {
        let own = self.own_in_order();
        let mut rows = Vec::new();
        if let Some(start) = ProgramStart::of(&own) {
            rows.extend(start.refusal_rows());
            rows.push(start.start_row());
        }
        rows.extend(self.slow_readers.rows(&own));
        rows
    }

    /// The timeline as JSON for scripts. `start` and `slow_readers` are there only if lines of load
    /// control, or of the limits on slow readers, are about the subject.
    pub fn json(&self) -> Value {
        let line = |line: &LogLine| {
            let of_subject = self.is_own(line);
            json!({ "unix_ms": line.unix_ms, "entry": line.entry(), "msg": line.message,
                "of_subject": of_subject, "fields": line.fields })
        };
        let lines: Vec<Value> = self.in_order().into_iter().map(line).collect();
        let mut timeline =
            json!({ "lines": lines, "left_out": self.omitted, "ended": self.outcome() });
        let own = self.own_in_order();
        if let Some(start) = ProgramStart::of(&own) {
            timeline["start"] = start.json();
        }
        if let Some(slow_readers) = self.slow_readers.json(&own) {
            timeline["slow_readers"] = slow_readers;
        }
        timeline
    }

    /// How the subject ended: its last answer or refusal, followed by the message of the same
    /// request's last other line, which usually names the cause.
    fn outcome(&self) -> String {
        let own = self.own_in_order();
        let is_end = |line: &&&LogLine| matches!(&*line.message, "answered" | "refused");
        let Some(end) = own.iter().rev().find(is_end) else {
            return "no line tells its end".into();
        };
        let request = end.text("request");
        let cause = own.iter().rev().find(|line| {
            line.text("request") == request && !matches!(&*line.message, "answered" | "refused")
        });
        let cause_suffix = cause.map_or_else(String::new, |cause| format!("; {}", cause.message));
        match (end.text("refusal"), end.number("status")) {
            (Some(refusal), _) => format!("refused, {refusal}{cause_suffix}"),
            (None, Some(status)) => format!("answered with status {status}{cause_suffix}"),
            (None, None) => end.summary(),
        }
    }
}
