use std::collections::{HashMap, HashSet};

use serde_json::{Value, json};

use super::LogLine;
use super::load_line::LoadLine;
use super::program_start::entry_name;
use crate::prelude::*;

/// Maximum number of disconnections that are remembered, which bounds the memory. They don't name
/// their program, so all of them are kept until its requests are known.
const MAX_DISCONNECTIONS: usize = 10_000;

/// What the lines of the limits on slow readers say, of all requests.
#[derive(Debug, Default)]
pub(super) struct SlowReaders {
    disconnections: Vec<LogLine>,
    /// By entry that refuses new requests now: the bytes that it held when it began to.
    refusing: HashMap<Arc<str>, u64>,
    /// By request that was refused by such an entry as unavailable: the entry's name and the bytes.
    refused: HashMap<Arc<str>, (Arc<str>, u64)>,
}

impl SlowReaders {
    /// Takes note of a line that does not name the subject.
    pub(super) fn record(&mut self, line: &LogLine) {
        match LoadLine::of(line) {
            Some(LoadLine::Disconnected) if self.disconnections.len() < MAX_DISCONNECTIONS => {
                self.disconnections.push(line.clone());
            }
            Some(LoadLine::ByteLimitReached) => {
                let held_bytes = line.number("held_bytes").unwrap_or(0);
                self.refusing.insert(line.entry().into(), held_bytes);
            }
            Some(LoadLine::ByteLimitLeft) => drop(self.refusing.remove(line.entry())),
            _ => {}
        }
    }

    /// Takes note of a line of the subject.
    pub(super) fn record_own(&mut self, line: &LogLine) {
        let is_refusal = &*line.message == "refused" && line.text("refusal") == Some("unavailable");
        let held_bytes = self.refusing.get(line.entry()).copied().filter(|_| is_refusal);
        if let (Some(held_bytes), Some(request)) = (held_bytes, line.text("request")) {
            self.refused.insert(request.into(), (entry_name(line).into(), held_bytes));
        }
    }

    /// The disconnections of the subject's requests.
    pub(super) fn disconnections(&self, requests: &HashSet<&str>) -> Vec<&LogLine> {
        let is_own = |line: &&LogLine| line.text("request").is_some_and(|id| requests.contains(id));
        self.disconnections.iter().filter(is_own).collect()
    }

    /// One sentence for each disconnected response, and for each refused request for whose refusal
    /// no line of its own gives another cause.
    pub(super) fn rows(&self, lines: &[&LogLine]) -> Vec<String> {
        let disconnected = disconnected(lines).map(|line| {
            let field = |name| line.number(name).unwrap_or(0);
            format!(
                "response disconnected by {}: its caller had left {} bytes unread for {} ms",
                entry_name(line),
                field("bytes"),
                field("held_ms")
            )
        });
        let refused = self.refused_without_other_cause(lines).into_iter().map(
            |(request, entry, held_bytes)| {
                format!(
                    "request {request} refused while {entry} refused all new requests: \
                     {held_bytes} bytes were buffered for callers"
                )
            },
        );
        disconnected.chain(refused).collect()
    }

    /// The same for scripts; `None` if there is nothing to say.
    pub(super) fn json(&self, lines: &[&LogLine]) -> Option<Value> {
        let disconnected: Vec<Value> = disconnected(lines)
            .map(|line| {
                json!({ "request": line.text("request"), "entry": line.entry(),
                    "bytes": line.number("bytes"), "held_ms": line.number("held_ms") })
            })
            .collect();
        let refused: Vec<Value> = self
            .refused_without_other_cause(lines)
            .into_iter()
            .map(|(request, entry, held_bytes)| {
                json!({ "request": request, "entry": entry, "held_bytes": held_bytes })
            })
            .collect();
        let is_empty = disconnected.is_empty() && refused.is_empty();
        (!is_empty).then(|| json!({ "disconnected": disconnected, "refused": refused }))
    }

    fn refused_without_other_cause<'a>(
        &'a self,
        lines: &[&'a LogLine],
    ) -> Vec<(&'a str, &'a str, u64)> {
        let is_cause = |line: &&&LogLine| &*line.message != "refused";
        let explained: HashSet<&str> =
            lines.iter().filter(is_cause).filter_map(|line| line.text("request")).collect();
        let requests = lines.iter().filter_map(|line| line.text("request"));
        let refused = requests.filter(|request| !explained.contains(request));
        refused
            .filter_map(|request| {
                let (entry, held_bytes) = self.refused.get(request)?;
                Some((request, &**entry, *held_bytes))
            })
            .collect()
    }
}

fn disconnected<'a>(lines: &[&'a LogLine]) -> impl Iterator<Item = &'a LogLine> {
    lines.iter().copied().filter(|line| LoadLine::of(line) == Some(LoadLine::Disconnected))
}
