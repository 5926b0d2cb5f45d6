use std::collections::HashMap;
use std::fmt;

use crate::caller::MAX_TURN_TOKENS;
use crate::endpoint::output_of;
use crate::journal::Run;
use crate::program::{Report, SentRequest};

/// Number of tokens per event, as in the configuration of the service.
const TOKENS_PER_EVENT: u64 = 20;

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The guarantee.
    pub guarantee: &'static str,
    /// What was observed.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.seen)
    }
}

/// Checks the guarantees against what callers and endpoints observed.
pub struct Checks<'a> {
    report: &'a Report,
    runs: HashMap<&'a str, Vec<&'a Run>>,
}

impl<'a> Checks<'a> {
    /// Checks one run of programs.
    pub fn open(report: &'a Report, runs: &'a [Run]) -> Checks<'a> {
        Checks { report, runs: by_request(runs) }
    }

    /// All violations.
    pub fn violations(&self) -> Vec<Violation> {
        let requests = self.report.all_requests().flat_map(|sent| self.of_request(sent));
        requests.chain(self.budgets()).collect()
    }

    fn of_request(&self, sent: &SentRequest) -> Vec<Violation> {
        let runs = self.runs.get(sent.request.as_str()).map_or(&[][..], Vec::as_slice);
        let answer = &sent.answer;
        let (turn, once) = (sent.kind.is_turn(), sent.kind.runs_once());
        let body = String::from_utf8_lossy(&answer.body);
        let served = answer.is_served();
        let checks = [
            ("at most one run", once && runs.len() > 1),
            (
                "a request refused as not run never runs",
                answer.guarantees_not_run() && !runs.is_empty(),
            ),
            ("a served request has run", served && runs.is_empty()),
            (
                "a turn whose end was received is known",
                sent.continues && answer.status == Some(404),
            ),
            ("a valid key is accepted", answer.status == Some(401)),
            ("a response belongs to its request", served && !body.contains(&sent.request)),
            (
                "streams are whole and in order",
                turn && served && data(&body) != output_of(&sent.request),
            ),
            (
                "an endpoint gets the whole history",
                turn && runs.iter().any(|r| r.body != sent.prompt.as_bytes()),
            ),
            (
                "endpoints get the workspace and not the key",
                runs.iter().any(|r| r.workspace != sent.workspace || r.had_key),
            ),
        ];
        let broken = checks.into_iter().filter(|(_, broken)| *broken);
        let seen = || {
            let prompt = start_of(sent.prompt.as_bytes());
            let runs: Vec<_> = runs
                .iter()
                .map(|r| (&r.endpoint, &r.workspace, r.had_key, r.left_ms, start_of(&r.body)))
                .collect();
            format!("{} {:?} {prompt:?} {runs:?}", sent.request, answer.status)
        };
        broken.map(|(guarantee, _)| Violation { guarantee, seen: seen() }).collect()
    }

    fn budgets(&self) -> Vec<Violation> {
        let mut tokens: HashMap<&str, u64> = HashMap::new();
        for sent in self.report.all_requests().filter(|sent| sent.kind.is_turn()) {
            *tokens.entry(&sent.program).or_default() += sent.answer.events() * TOKENS_PER_EVENT;
        }
        let most = self.report.budget + MAX_TURN_TOKENS;
        let over = tokens.into_iter().filter(|(_, tokens)| *tokens > most);
        let broken = |(program, tokens): (&str, u64)| Violation {
            guarantee: "a program stays within its budget",
            seen: format!("{program} got {tokens} tokens"),
        };
        over.map(broken).collect()
    }
}

/// The runs of each request.
pub(crate) fn by_request(runs: &[Run]) -> HashMap<&str, Vec<&Run>> {
    let mut by_request: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        by_request.entry(&run.request).or_default().push(run);
    }
    by_request
}

/// The start of a text, for failure reports.
fn start_of(text: &[u8]) -> String {
    const MAX_SHOWN_BYTES: usize = 2_000;
    String::from_utf8_lossy(&text[..text.len().min(MAX_SHOWN_BYTES)]).into_owned()
}

fn data(events: &str) -> String {
    let lines = events.lines().filter_map(|line| line.strip_prefix("data: "));
    lines.map(|line| format!("{line}\n")).collect()
}
