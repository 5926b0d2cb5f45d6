use std::collections::HashMap;
use std::fmt;

use crate::caller::MAX_TURN_TOKENS;
use crate::endpoint::output_of;
use crate::journal::Run;
use crate::program::{Report, RequestKind, SentRequest};

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
        let mut by_request: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in runs {
            by_request.entry(&run.request).or_default().push(run);
        }
        Checks { report, runs: by_request }
    }

    /// All violations.
    pub fn violations(&self) -> Vec<Violation> {
        let requests = self.report.requests.iter().flat_map(|sent| self.of_request(sent));
        requests.chain(self.budgets()).collect()
    }

    fn of_request(&self, sent: &SentRequest) -> Vec<Violation> {
        let runs = self.runs.get(sent.request.as_str()).map_or(&[][..], Vec::as_slice);
        let answer = &sent.answer;
        let turn = matches!(sent.kind, RequestKind::Turn | RequestKind::ResumableTurn);
        let once = matches!(sent.kind, RequestKind::Turn | RequestKind::Action);
        let body = String::from_utf8_lossy(&answer.body);
        let served = answer.is_served();
        let checks = [
            ("at most one run", once && runs.len() > 1),
            (
                "a refusal that says not run is true",
                answer.guarantees_not_run() && !runs.is_empty(),
            ),
            ("a success has run", served && runs.is_empty()),
            (
                "no turn is denied that was seen to end",
                sent.continues && answer.status == Some(404),
            ),
            ("a key in force is known", answer.status == Some(401)),
            ("answers are the request's own", served && !body.contains(&sent.request)),
            (
                "streams are whole and in order",
                turn && served && data(&body) != output_of(&sent.request),
            ),
            (
                "an endpoint gets the whole history",
                turn && runs.iter().any(|r| r.body != sent.prompt.as_bytes()),
            ),
            (
                "the key's workspace, and no key",
                runs.iter().any(|r| r.workspace != "ours" || r.had_key),
            ),
        ];
        let broken = checks.into_iter().filter(|(_, broken)| *broken);
        let seen = || format!("{} {:?} {:?} {runs:?}", sent.request, answer.status, sent.prompt);
        broken.map(|(guarantee, _)| Violation { guarantee, seen: seen() }).collect()
    }

    fn budgets(&self) -> Vec<Violation> {
        let mut tokens: HashMap<&str, u64> = HashMap::new();
        let turn = |sent: &&SentRequest| {
            matches!(sent.kind, RequestKind::Turn | RequestKind::ResumableTurn)
        };
        for sent in self.report.requests.iter().filter(turn) {
            *tokens.entry(&sent.program).or_default() += sent.answer.events() * TOKENS_PER_EVENT;
        }
        let most = self.report.budget + MAX_TURN_TOKENS;
        let over = tokens.into_iter().filter(|(_, tokens)| *tokens > most);
        let broken = |(program, tokens): (&str, u64)| Violation {
            guarantee: "a program keeps to its budget",
            seen: format!("{program} got {tokens} tokens"),
        };
        over.map(broken).collect()
    }
}

fn data(events: &str) -> String {
    let lines = events.lines().filter_map(|line| line.strip_prefix("data: "));
    lines.map(|line| format!("{line}\n")).collect()
}
