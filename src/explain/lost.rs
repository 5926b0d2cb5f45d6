use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::{LogLine, Reading};
use crate::prelude::*;

/// What is shown where a line does not tell.
const NOT_TOLD: &str = "-";

/// Programs whose last request is remembered; what is lost of more is not counted.
const PROGRAMS_MOST: usize = 200_000;

/// Why requests were lost, and whose.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cause {
    /// The name of a refusal, `status N` of an answer, or `late`.
    pub name: Arc<str>,
    /// The workspace.
    pub workspace: Arc<str>,
    /// The class of requests.
    pub class: Arc<str>,
}

/// What was refused, failed or came late.
#[derive(Debug, Default)]
pub struct Lost {
    requests: u64,
    causes: BTreeMap<Cause, u64>,
    seconds: BTreeMap<u64, BTreeMap<Arc<str>, u64>>,
    programs: BTreeMap<u64, Option<Arc<str>>>,
    programs_uncounted: u64,
}

impl Lost {
    /// Takes a line in.
    pub fn take(&mut self, line: &LogLine) {
        if !matches!(&*line.message, "answered" | "refused") {
            return;
        }
        self.requests += 1;
        let cause = cause(line);
        self.note_program(line, cause.clone());
        let Some(name) = cause else {
            return;
        };
        let told = |field| line.text(field).unwrap_or(NOT_TOLD).into();
        let second = self.seconds.entry(line.unix_ms / 1_000).or_default();
        *second.entry(name.clone()).or_default() += 1;
        let cause = Cause { name, workspace: told("workspace"), class: told("class") };
        *self.causes.entry(cause).or_default() += 1;
    }

    /// A program is taken to end as its last request did.
    fn note_program(&mut self, line: &LogLine, cause: Option<Arc<str>>) {
        let Some(program) = line.text("program") else {
            return;
        };
        let key = Digest::of(&[program.as_bytes()]).prefix();
        match self.programs.len() < PROGRAMS_MOST || self.programs.contains_key(&key) {
            true => drop(self.programs.insert(key, cause)),
            false => self.programs_uncounted += 1,
        }
    }

    /// Requests in all, and those lost.
    pub fn counts(&self) -> (u64, u64) {
        (self.requests, self.causes.values().sum())
    }

    /// Lost requests by cause, the most frequent first.
    pub fn causes(&self) -> Vec<(&Cause, u64)> {
        let mut causes: Vec<_> = self.causes.iter().map(|(cause, count)| (cause, *count)).collect();
        causes.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        causes
    }

    /// Lost requests by second, counted from the first one in which any was lost, and by cause.
    pub fn by_second(&self) -> Vec<(u64, &BTreeMap<Arc<str>, u64>)> {
        let first = self.seconds.keys().next().copied().unwrap_or(0);
        self.seconds.iter().map(|(second, causes)| (second - first, causes)).collect()
    }

    /// Lost requests by the name of their cause.
    pub fn by_name(&self) -> BTreeMap<&str, u64> {
        let mut names = BTreeMap::new();
        for (cause, count) in &self.causes {
            *names.entry(&*cause.name).or_default() += count;
        }
        names
    }

    /// Programs by the cause that their last request was lost for.
    pub fn programs(&self) -> BTreeMap<&str, u64> {
        let mut names = BTreeMap::new();
        for cause in self.programs.values().flatten() {
            *names.entry(&**cause).or_default() += 1;
        }
        names
    }

    /// For people.
    pub fn text(&self, reading: &Reading) -> String {
        let (requests, lost) = self.counts();
        let mut rows = vec![format!("{requests} requests, {lost} lost; programs that ended so:")];
        rows.extend(self.programs().iter().map(|(name, count)| format!("{count:>8}  {name}")));
        rows.push("requests by cause:".into());
        rows.extend(self.by_name().iter().map(|(name, count)| format!("{count:>8}  {name}")));
        rows.push("by cause, workspace and class:".into());
        rows.extend(self.causes().iter().map(|(cause, count)| {
            let Cause { name, workspace, class } = cause;
            format!("{count:>8}  {name}  {workspace}  {class}")
        }));
        rows.push("by second:".into());
        rows.extend(self.by_second().iter().map(|(second, causes)| {
            let counts: Vec<_> =
                causes.iter().map(|(name, count)| format!("{name} {count}")).collect();
            format!("{second:>8}  {}", counts.join(", "))
        }));
        rows.push(format!(
            "{} lines read, {} without an object, {} broken",
            reading.lines, reading.without_object, reading.broken
        ));
        if let Some(first) = reading.first_broken {
            rows.push(format!("the first broken line of its file is line {first}"));
        }
        rows.join("\n")
    }

    /// For scripts.
    pub fn json(&self, reading: &Reading) -> Value {
        let (requests, lost) = self.counts();
        let causes: Vec<Value> = self
            .causes()
            .iter()
            .map(|(cause, count)| {
                json!({ "cause": cause.name, "workspace": cause.workspace, "class": cause.class,
                    "requests": count })
            })
            .collect();
        let seconds: Vec<Value> = self
            .by_second()
            .iter()
            .map(|(second, causes)| json!({ "second": second, "causes": causes }))
            .collect();
        json!({
            "requests": requests, "lost": lost, "programs": self.programs(),
            "programs_uncounted": self.programs_uncounted, "causes": causes, "seconds": seconds,
            "lines": reading.lines, "without_object": reading.without_object,
            "broken": reading.broken,
        })
    }
}

/// Why a request was lost: refused, failed, or answered after its target.
fn cause(line: &LogLine) -> Option<Arc<str>> {
    if let Some(refusal) = line.text("refusal") {
        return Some(refusal.into());
    }
    let status = line.number("status")?;
    if status >= 400 {
        return Some(format!("status {status}").into());
    }
    let late = line.number("took_ms")? > line.number("target_ms")?;
    late.then(|| "late".into())
}
