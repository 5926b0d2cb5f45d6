use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::LogLine;
use super::load_line::{LoadLine, is_true};
use crate::prelude::*;

/// Shown for a service or workspace that the log line does not have.
const MISSING_FIELD: &str = "-";

/// Decisions on the start of programs of one service and rank.
#[derive(Debug, Default)]
struct Decisions {
    refused: u64,
    /// Those of the refused ones whose workspace was over its share.
    over_share: u64,
    held: u64,
    admitted_from_list: u64,
}

/// Counts of what load control and the limits on slow readers did.
#[derive(Debug, Default)]
pub(super) struct LoadReport {
    /// By service and rank.
    decisions: BTreeMap<(Arc<str>, u64), Decisions>,
    /// Disconnected responses, by workspace.
    disconnected: BTreeMap<Arc<str>, u64>,
}

impl LoadReport {
    /// Counts what a line says; ignores lines of other kinds.
    pub(super) fn record(&mut self, line: &LogLine) {
        let Some(kind) = LoadLine::of(line) else {
            return;
        };
        let text = |name| Arc::from(line.text(name).unwrap_or(MISSING_FIELD));
        if kind.is_admission() {
            let key = (text("service"), line.number("rank").unwrap_or(0));
            self.decisions.entry(key).or_default().record(kind, line);
        }
        if kind == LoadLine::Disconnected {
            *self.disconnected.entry(text("workspace")).or_default() += 1;
        }
    }

    /// The counts for people; no row if there are none.
    pub(super) fn rows(&self) -> Vec<String> {
        let mut rows = Vec::new();
        if !self.decisions.is_empty() {
            rows.push("first turns refused for lack of capacity, by service and rank:".into());
        }
        rows.extend(self.decisions.iter().map(|((service, rank), counts)| {
            let Decisions { refused, over_share, held, admitted_from_list } = counts;
            format!(
                "{refused:>8}  {service}  rank {rank} ({over_share} of workspaces over their share; \
                 turns held: {held}; programs admitted after refusals: {admitted_from_list})"
            )
        }));
        if !self.disconnected.is_empty() {
            rows.push("slow readers disconnected, by workspace:".into());
        }
        let disconnected = self.disconnected.iter();
        rows.extend(disconnected.map(|(workspace, count)| format!("{count:>8}  {workspace}")));
        rows
    }

    /// Adds the counts to a report for scripts; adds nothing if there are none.
    pub(super) fn add_to(&self, report: &mut Value) {
        let decisions = self.decisions.iter().map(|((service, rank), counts)| {
            json!({ "service": service, "rank": rank, "refused": counts.refused,
                "over_share": counts.over_share, "held": counts.held,
                "admitted_from_list": counts.admitted_from_list })
        });
        if !self.decisions.is_empty() {
            report["admissions"] = decisions.collect();
        }
        if !self.disconnected.is_empty() {
            report["slow_readers_disconnected"] = json!(self.disconnected);
        }
    }
}

impl Decisions {
    fn record(&mut self, kind: LoadLine, line: &LogLine) {
        match kind {
            LoadLine::Refused => {
                self.refused += 1;
                self.over_share += u64::from(is_true(line, "over_share"));
            }
            LoadLine::Held => self.held += 1,
            LoadLine::Admitted => self.admitted_from_list += 1,
            _ => {}
        }
    }
}
