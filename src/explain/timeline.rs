use std::collections::{HashMap, VecDeque};

use serde_json::{Value, json};

use super::LogLine;
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
}

impl Timeline {
    /// An empty timeline of a subject.
    pub fn new(subject: Subject) -> Timeline {
        Timeline { subject, lines: Vec::new(), context: HashMap::new(), omitted: 0 }
    }

    /// Adds a line if it is about the subject, or keeps it as context if it is about no request. Ignores
    /// lines about other requests.
    pub fn record(&mut self, line: LogLine) {
        if self.subject.matches(&line) {
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

    fn in_order(&self) -> Vec<&LogLine> {
        let mut lines: Vec<_> = self.lines.iter().collect();
        lines.sort_by_key(|line| line.unix_ms);
        lines
    }

    fn start_ms(&self) -> u64 {
        let own = self.lines.iter().filter(|line| self.subject.matches(line));
        own.map(|line| line.unix_ms).min().unwrap_or(0)
    }

    /// The timeline as text for people, with times relative to the subject's first line. Context lines
    /// are marked with `~`; the last line says how the subject ended.
    pub fn text(&self) -> String {
        let start_ms = self.start_ms() as i64;
        let mut rows: Vec<String> = Vec::new();
        for line in self.in_order() {
            let since_ms = line.unix_ms as i64 - start_ms;
            let marker = if self.subject.matches(line) { ' ' } else { '~' };
            rows.push(format!("{since_ms:>8} ms {marker} {}  {}", line.entry(), line.summary()));
        }
        if self.omitted > 0 {
            rows.push(format!("{} more lines are left out", self.omitted));
        }
        rows.push(format!("ended: {}", self.outcome()));
        rows.join("\n")
    }

    /// The timeline as JSON for scripts.
    pub fn json(&self) -> Value {
        let line = |line: &LogLine| {
            let of_subject = self.subject.matches(line);
            json!({ "unix_ms": line.unix_ms, "entry": line.entry(), "msg": line.message,
                "of_subject": of_subject, "fields": line.fields })
        };
        let lines: Vec<Value> = self.in_order().into_iter().map(line).collect();
        json!({ "lines": lines, "left_out": self.omitted, "ended": self.outcome() })
    }

    /// How the subject ended: its last answer or refusal, followed by the message of the same
    /// request's last other line, which usually names the cause.
    fn outcome(&self) -> String {
        let own: Vec<_> =
            self.in_order().into_iter().filter(|line| self.subject.matches(line)).collect();
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
