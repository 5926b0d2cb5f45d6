use serde_json::{Map, Value, json};

use super::LogLine;
use super::load_line::{LoadLine, is_true};

/// Shown for the entry of a line without a prefix.
const UNNAMED_ENTRY: &str = "an entry without a name in the log";

/// Shown for a number that a line does not have.
const MISSING_NUMBER: &str = "?";

/// The fields of a refusal for lack of capacity that scripts get.
const REFUSAL_FIELDS: [&str; 11] = [
    "request",
    "service",
    "workspace",
    "rank",
    "place",
    "retry_after_ms",
    "slots",
    "in_flight",
    "share",
    "over_share",
    "hears_half",
];

/// How a program came to start, or why it did not: the decisions on its admission, and how late its
/// answers were.
#[derive(Debug)]
pub(super) struct ProgramStart<'a> {
    refusals: Vec<&'a LogLine>,
    /// How often its first turn was held, and for how long in all.
    holds: u64,
    held_ms: u64,
    admitted: Option<&'a LogLine>,
    /// The first request that was answered without an error.
    first_answer: Option<&'a LogLine>,
    /// The most by which it returned later than it was told.
    returned_late_ms: u64,
    answers: u64,
    late_answers: u64,
}

impl<'a> ProgramStart<'a> {
    /// Evaluates the lines of a request or program, which are in order. `None` if no decision on
    /// an admission is among them.
    pub(super) fn of(lines: &[&'a LogLine]) -> Option<ProgramStart<'a>> {
        let decisions: Vec<(LoadLine, &LogLine)> = lines
            .iter()
            .filter_map(|line| Some((LoadLine::of(line).filter(|l| l.is_admission())?, *line)))
            .collect();
        if decisions.is_empty() {
            return None;
        }
        let of_kind = |kind| decisions.iter().filter(move |(k, _)| *k == kind).map(|(_, l)| *l);
        let answers = lines.iter().copied().filter(|line| is_answer(line));
        Some(ProgramStart {
            refusals: of_kind(LoadLine::Refused).collect(),
            holds: of_kind(LoadLine::Held).count() as u64,
            held_ms: of_kind(LoadLine::Held)
                .filter_map(|line| line.number("wait_ms"))
                .fold(0, u64::saturating_add),
            admitted: of_kind(LoadLine::Admitted).next(),
            first_answer: answers.clone().next(),
            returned_late_ms: max_return_delay_ms(&decisions),
            answers: answers.clone().count() as u64,
            late_answers: answers.filter(|line| is_late(line)).count() as u64,
        })
    }

    /// How long the program waited from its first refusal until the turn arrived with which it
    /// started. `None` if it was never refused or has not started.
    fn waited_ms(&self) -> Option<u64> {
        if let Some(admitted) = self.admitted {
            return admitted.number("waited_ms");
        }
        let (refused, answer) = (self.refusals.first()?, self.first_answer?);
        let arrived_ms = answer.unix_ms.saturating_sub(answer.number("took_ms").unwrap_or(0));
        Some(arrived_ms.saturating_sub(refused.unix_ms))
    }

    /// How often it was refused. The logs may lack some of the lines.
    fn refused(&self) -> u64 {
        let counted = self.admitted.and_then(|line| line.number("refusals")).unwrap_or(0);
        counted.max(self.refusals.len() as u64)
    }

    fn has_started(&self) -> bool {
        self.admitted.is_some() || self.first_answer.is_some()
    }

    /// One sentence for each refusal.
    pub(super) fn refusal_rows(&self) -> impl Iterator<Item = String> {
        self.refusals.iter().map(|line| refusal_text(line))
    }

    /// How often and how long it waited before it started, and whether it was late.
    pub(super) fn start_row(&self) -> String {
        let mut parts = vec![format!("refused {}", times(self.refused()))];
        if self.holds > 0 {
            parts.push(format!("held {} for {} ms in all", times(self.holds), self.held_ms));
        }
        parts.push(match (self.has_started(), self.waited_ms()) {
            (false, _) => "no line shows that it started".into(),
            (true, None) => "started without a refusal".into(),
            (true, Some(waited_ms)) => format!("started {waited_ms} ms after its first refusal"),
        });
        if !self.refusals.is_empty() && self.admitted.is_none() && self.has_started() {
            parts.push("no entry had kept its place".into());
        }
        if self.returned_late_ms > 0 {
            parts.push(format!("returned {} ms later than told", self.returned_late_ms));
        }
        if let Some(first) = self.first_answer {
            let (took_ms, target_ms) = (number(first, "took_ms"), number(first, "target_ms"));
            let verdict = if is_late(first) { "late" } else { "in time" };
            parts.push(format!("first answer {verdict} ({took_ms} ms, target {target_ms} ms)"));
            parts.push(format!("{} of {} answers late", self.late_answers, self.answers));
        }
        format!("start: {}", parts.join("; "))
    }

    /// The same for scripts.
    pub(super) fn json(&self) -> Value {
        let refusals: Vec<Value> = self.refusals.iter().map(|line| refusal_json(line)).collect();
        json!({ "refusals": refusals, "refused": self.refused(), "held": self.holds,
            "held_ms": self.held_ms, "started": self.has_started(), "waited_ms": self.waited_ms(),
            "kept_place": self.admitted.is_some(), "returned_late_ms": self.returned_late_ms,
            "late": self.first_answer.map(is_late), "answers": self.answers,
            "late_answers": self.late_answers })
    }
}

/// The entry that wrote a line, for people.
pub(super) fn entry_name(line: &LogLine) -> &str {
    if line.entry().is_empty() { UNNAMED_ENTRY } else { line.entry() }
}

/// The most by which a program returned later than it was told. Compares lines of the same entry
/// only, as the clocks of two may differ.
fn max_return_delay_ms(decisions: &[(LoadLine, &LogLine)]) -> u64 {
    let returns = decisions.windows(2).filter_map(|pair| {
        let [(LoadLine::Refused, refused), (_, next)] = pair else {
            return None;
        };
        let due_ms = refused.unix_ms.saturating_add(refused.number("retry_after_ms")?);
        (refused.entry() == next.entry()).then(|| next.unix_ms.saturating_sub(due_ms))
    });
    returns.max().unwrap_or(0)
}

fn is_answer(line: &LogLine) -> bool {
    &*line.message == "answered" && line.number("status").is_some_and(|status| status < 400)
}

fn is_late(line: &LogLine) -> bool {
    let times_ms = line.number("took_ms").zip(line.number("target_ms"));
    times_ms.is_some_and(|(took_ms, target_ms)| took_ms > target_ms)
}

fn times(count: u64) -> String {
    if count == 1 { "once".into() } else { format!("{count} times") }
}

fn number(line: &LogLine, name: &str) -> String {
    line.number(name).map_or_else(|| MISSING_NUMBER.into(), |number| number.to_string())
}

/// The workspace of a refused program, and whether it was over its share.
fn share_text(line: &LogLine) -> String {
    let workspace = line.text("workspace").unwrap_or("of unknown name");
    let position = if is_true(line, "over_share") { "over" } else { "within" };
    format!("workspace {workspace} {position} its share")
}

fn refusal_text(line: &LogLine) -> String {
    let number = |name| number(line, name);
    let mut parts = vec![
        format!("decided by {}", entry_name(line)),
        format!("rank {}", number("rank")),
        format!(
            "{} requests in flight at {} slots of {}",
            number("in_flight"),
            number("slots"),
            line.text("service").unwrap_or("its service")
        ),
        format!("place {} in the waiting list", number("place")),
        format!("told to return after {} ms", number("retry_after_ms")),
        share_text(line),
    ];
    if line.fields.get("hears_half") == Some(&Value::Bool(false)) {
        parts.push("the entry heard fewer than half of the entries".into());
    }
    format!("refused for lack of capacity: {}", parts.join("; "))
}

fn refusal_json(line: &LogLine) -> Value {
    let present = REFUSAL_FIELDS.iter().filter_map(|name| {
        let value = line.fields.get(*name)?;
        Some((name.to_string(), value.clone()))
    });
    let mut refusal: Map<String, Value> = present.collect();
    refusal.insert("entry".into(), line.entry().into());
    refusal.insert("unix_ms".into(), line.unix_ms.into());
    Value::Object(refusal)
}
