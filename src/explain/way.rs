use std::collections::{HashMap, VecDeque};

use serde_json::{Value, json};

use super::LogLine;
use crate::prelude::*;

/// What an entry came to believe this long before a request's line may explain it.
const EXPLAINS_FOR_MS: u64 = 5_000;

/// The most of each entry's beliefs that are remembered.
const BELIEFS_MOST: usize = 16;

/// The most lines of one way: a program that never ends writes more.
const LINES_MOST: usize = 10_000;

/// What a way is that of.
#[value]
pub enum Subject {
    /// A request, by its id.
    Request(Arc<str>),
    /// A program, by its id.
    Program(Arc<str>),
}

impl Subject {
    fn is_of(&self, line: &LogLine) -> bool {
        match self {
            Subject::Request(id) => line.text("request") == Some(id),
            Subject::Program(id) => line.text("program") == Some(id),
        }
    }
}

/// Every line about a request or a program, and what the entries on its way believed then.
#[derive(Debug)]
pub struct Way {
    subject: Subject,
    lines: Vec<LogLine>,
    beliefs: HashMap<Arc<str>, VecDeque<LogLine>>,
    left_out: u64,
}

impl Way {
    /// The way of a subject, with no line yet.
    pub fn open(subject: Subject) -> Way {
        Way { subject, lines: Vec::new(), beliefs: HashMap::new(), left_out: 0 }
    }

    /// Takes a line in, if it belongs to the way or may explain it.
    pub fn take(&mut self, line: LogLine) {
        if self.subject.is_of(&line) {
            let explaining = self.explaining(&line);
            match self.lines.len() + explaining.len() < LINES_MOST {
                true => {
                    self.lines.extend(explaining);
                    self.lines.push(line);
                }
                false => self.left_out += 1,
            }
            return;
        }
        if line.is_of_request() {
            return;
        }
        let beliefs = self.beliefs.entry(line.entry().into()).or_default();
        if beliefs.len() == BELIEFS_MOST {
            beliefs.pop_front();
        }
        beliefs.push_back(line);
    }

    /// What the line's entry came to believe shortly before; told once only.
    fn explaining(&mut self, line: &LogLine) -> Vec<LogLine> {
        let Some(beliefs) = self.beliefs.get_mut(line.entry()) else {
            return Vec::new();
        };
        let recent = |belief: &LogLine| belief.unix_ms + EXPLAINS_FOR_MS >= line.unix_ms;
        beliefs.drain(..).filter(recent).collect()
    }

    /// Whether no line is about the subject.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    fn in_order(&self) -> Vec<&LogLine> {
        let mut lines: Vec<_> = self.lines.iter().collect();
        lines.sort_by_key(|line| line.unix_ms);
        lines
    }

    fn first_ms(&self) -> u64 {
        let own = self.lines.iter().filter(|line| self.subject.is_of(line));
        own.map(|line| line.unix_ms).min().unwrap_or(0)
    }

    /// For people: times from the subject's first line, and its end in the last line.
    pub fn text(&self) -> String {
        let first_ms = self.first_ms() as i64;
        let mut rows: Vec<String> = Vec::new();
        for line in self.in_order() {
            let since_ms = line.unix_ms as i64 - first_ms;
            let mark = if self.subject.is_of(line) { ' ' } else { '~' };
            rows.push(format!("{since_ms:>8} ms {mark} {}  {}", line.entry(), line.summary()));
        }
        if self.left_out > 0 {
            rows.push(format!("{} more lines are left out", self.left_out));
        }
        rows.push(format!("ended: {}", self.end()));
        rows.join("\n")
    }

    /// For scripts.
    pub fn json(&self) -> Value {
        let line = |line: &LogLine| {
            let of_subject = self.subject.is_of(line);
            json!({ "unix_ms": line.unix_ms, "entry": line.entry(), "msg": line.message,
                "of_subject": of_subject, "fields": line.fields })
        };
        let lines: Vec<Value> = self.in_order().into_iter().map(line).collect();
        json!({ "lines": lines, "left_out": self.left_out, "ended": self.end() })
    }

    /// How the subject ended: its last answer or refusal, with the line before that names the cause.
    fn end(&self) -> String {
        let own: Vec<_> =
            self.in_order().into_iter().filter(|line| self.subject.is_of(line)).collect();
        let ends = |line: &&&LogLine| matches!(&*line.message, "answered" | "refused");
        let Some(end) = own.iter().rev().find(ends) else {
            return "no line tells its end".into();
        };
        let request = end.text("request");
        let cause = own.iter().rev().find(|line| {
            line.text("request") == request && !matches!(&*line.message, "answered" | "refused")
        });
        let because = cause.map_or_else(String::new, |cause| format!("; {}", cause.message));
        match (end.text("refusal"), end.number("status")) {
            (Some(refusal), _) => format!("refused, {refusal}{because}"),
            (None, Some(status)) => format!("answered with status {status}{because}"),
            (None, None) => end.summary(),
        }
    }
}
