use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::load_report::LoadReport;
use super::{LogLine, ReadStats};
use crate::prelude::*;

/// Shown for a workspace or class that the log line does not have.
const MISSING_FIELD: &str = "-";

/// Maximum number of programs whose last request is remembered, which bounds the memory. Further
/// programs are missing from `programs`; each of their requests adds one to `programs_uncounted`.
const MAX_PROGRAMS: usize = 200_000;

/// Why requests were lost, and of which workspace and class.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LossCause {
    /// The code of a refusal, `status N` for an error status, or `late`.
    pub name: Arc<str>,
    /// The workspace, or `-` if the log line has none.
    pub workspace: Arc<str>,
    /// The class of the requests, or `-` if the log line has none.
    pub class: Arc<str>,
}

/// Counts of lost requests: those that were refused, failed, or were answered after their target
/// latency.
#[derive(Debug, Default)]
pub struct LossReport {
    requests: u64,
    causes: BTreeMap<LossCause, u64>,
    /// By the second since the Unix epoch, then by the name of the cause.
    seconds: BTreeMap<u64, BTreeMap<Arc<str>, u64>>,
    /// By a digest of the program's id: the name of the cause for which its last request was lost;
    /// `None` if that request was not lost.
    programs: BTreeMap<u64, Option<Arc<str>>>,
    /// Requests of programs beyond `MAX_PROGRAMS`.
    programs_uncounted: u64,
    load: LoadReport,
}

impl LossReport {
    /// Counts the request that this line ends, or the decision of load control that it tells;
    /// ignores all other lines.
    pub fn record(&mut self, line: &LogLine) {
        self.load.record(line);
        if !matches!(&*line.message, "answered" | "refused") {
            return;
        }
        self.requests += 1;
        let cause_name = loss_cause_name(line);
        self.record_program(line, cause_name.clone());
        let Some(name) = cause_name else {
            return;
        };
        let field_or_dash = |field| line.text(field).unwrap_or(MISSING_FIELD).into();
        let second = self.seconds.entry(line.unix_ms / 1_000).or_default();
        *second.entry(name.clone()).or_default() += 1;
        let cause = LossCause {
            name,
            workspace: field_or_dash("workspace"),
            class: field_or_dash("class"),
        };
        *self.causes.entry(cause).or_default() += 1;
    }

    /// Remembers how the program's last request ended, which counts as the end of the program.
    fn record_program(&mut self, line: &LogLine, cause_name: Option<Arc<str>>) {
        let Some(program) = line.text("program") else {
            return;
        };
        let key = Digest::of(&[program.as_bytes()]).prefix();
        match self.programs.len() < MAX_PROGRAMS || self.programs.contains_key(&key) {
            true => drop(self.programs.insert(key, cause_name)),
            false => self.programs_uncounted += 1,
        }
    }

    /// The number of all requests, and of those lost.
    pub fn counts(&self) -> (u64, u64) {
        (self.requests, self.causes.values().sum())
    }

    /// Lost requests by cause, most frequent first.
    pub fn causes(&self) -> Vec<(&LossCause, u64)> {
        let mut causes: Vec<_> = self.causes.iter().map(|(cause, count)| (cause, *count)).collect();
        causes.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        causes
    }

    /// Lost requests by second and by the name of the cause. Seconds count from the first one with a lost request.
    pub fn by_second(&self) -> Vec<(u64, &BTreeMap<Arc<str>, u64>)> {
        let first = self.seconds.keys().next().copied().unwrap_or(0);
        self.seconds.iter().map(|(second, causes)| (second - first, causes)).collect()
    }

    /// Lost requests by the name of their cause, over all workspaces and classes.
    pub fn by_name(&self) -> BTreeMap<&str, u64> {
        let mut names = BTreeMap::new();
        for (cause, count) in &self.causes {
            *names.entry(&*cause.name).or_default() += count;
        }
        names
    }

    /// The number of programs whose last request was lost, by the name of the cause.
    pub fn programs(&self) -> BTreeMap<&str, u64> {
        let mut names = BTreeMap::new();
        for name in self.programs.values().flatten() {
            *names.entry(&**name).or_default() += 1;
        }
        names
    }

    /// The report as text for people.
    pub fn text(&self, stats: &ReadStats) -> String {
        let (requests, lost) = self.counts();
        let mut rows = vec![format!(
            "{requests} requests, {lost} lost; programs whose last request was lost, by cause:"
        )];
        rows.extend(self.programs().iter().map(|(name, count)| format!("{count:>8}  {name}")));
        rows.push("requests by cause:".into());
        rows.extend(self.by_name().iter().map(|(name, count)| format!("{count:>8}  {name}")));
        rows.push("by cause, workspace and class:".into());
        rows.extend(self.causes().iter().map(|(cause, count)| {
            let LossCause { name, workspace, class } = cause;
            format!("{count:>8}  {name}  {workspace}  {class}")
        }));
        rows.push("by second:".into());
        rows.extend(self.by_second().iter().map(|(second, causes)| {
            let counts: Vec<_> =
                causes.iter().map(|(name, count)| format!("{name} {count}")).collect();
            format!("{second:>8}  {}", counts.join(", "))
        }));
        rows.extend(self.load.rows());
        rows.push(format!(
            "{} log lines read; skipped {} lines without a JSON object and {} broken lines",
            stats.lines, stats.without_object, stats.broken
        ));
        if let Some(first) = stats.first_broken {
            rows.push(format!("the first broken line is line {first} of its file"));
        }
        rows.join("\n")
    }

    /// The report as JSON for scripts. `admissions` and `slow_readers_disconnected` are there only if
    /// lines of load control, or of the limits on slow readers, were read.
    pub fn json(&self, stats: &ReadStats) -> Value {
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
        let mut report = json!({
            "requests": requests, "lost": lost, "programs": self.programs(),
            "programs_uncounted": self.programs_uncounted, "causes": causes, "seconds": seconds,
            "lines": stats.lines, "without_object": stats.without_object,
            "broken": stats.broken,
        });
        self.load.add_to(&mut report);
        report
    }
}

/// The name of the cause for which a request was lost: refused, answered with an error status, or answered after its target
/// latency. `None` if it was not lost.
fn loss_cause_name(line: &LogLine) -> Option<Arc<str>> {
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
