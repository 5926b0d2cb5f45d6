use std::collections::HashMap;
use std::fmt;

use crate::caller::MOST_TOKENS;
use crate::endpoint::output_of;
use crate::journal::Run;
use crate::program::{Asked, Kind, Report};

/// Tokens that an event stands for, as the configuration says.
const TOKENS_PER_EVENT: u64 = 20;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// Which.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
    }
}

/// Checks the promises from what callers and endpoints saw.
pub struct Checks<'a> {
    report: &'a Report,
    runs: HashMap<&'a str, Vec<&'a Run>>,
}

impl<'a> Checks<'a> {
    /// Of one run of programs.
    pub fn open(report: &'a Report, runs: &'a [Run]) -> Checks<'a> {
        let mut by_request: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in runs {
            by_request.entry(&run.request).or_default().push(run);
        }
        Checks { report, runs: by_request }
    }

    /// All promises that were broken.
    pub fn broken(&self) -> Vec<Broken> {
        let requests = self.report.asked.iter().flat_map(|asked| self.of_request(asked));
        requests.chain(self.budgets()).collect()
    }

    fn of_request(&self, asked: &Asked) -> Vec<Broken> {
        let runs = self.runs.get(asked.request.as_str()).map_or(&[][..], Vec::as_slice);
        let answer = &asked.answer;
        let turn = matches!(asked.kind, Kind::Turn | Kind::Ask);
        let once = matches!(asked.kind, Kind::Turn | Kind::Action);
        let body = String::from_utf8_lossy(&answer.body);
        let served = answer.is_served();
        let checks = [
            ("at most one run", once && runs.len() > 1),
            ("a refusal that says not run is true", answer.promises() && !runs.is_empty()),
            ("a success has run", served && runs.is_empty()),
            (
                "no turn is denied that was seen to end",
                asked.continues && answer.status == Some(404),
            ),
            ("a key in force is known", answer.status == Some(401)),
            ("answers are the request's own", served && !body.contains(&asked.request)),
            (
                "streams are whole and in order",
                turn && served && data(&body) != output_of(&asked.request),
            ),
            (
                "an endpoint gets the whole history",
                turn && runs.iter().any(|r| r.body != asked.prompt.as_bytes()),
            ),
            (
                "the key's workspace, and no key",
                runs.iter().any(|r| r.workspace != "ours" || r.had_key),
            ),
        ];
        let broken = checks.into_iter().filter(|(_, broken)| *broken);
        let seen = || format!("{} {:?} {:?} {runs:?}", asked.request, answer.status, asked.prompt);
        broken.map(|(promise, _)| Broken { promise, seen: seen() }).collect()
    }

    fn budgets(&self) -> Vec<Broken> {
        let mut tokens: HashMap<&str, u64> = HashMap::new();
        let turn = |asked: &&Asked| matches!(asked.kind, Kind::Turn | Kind::Ask);
        for asked in self.report.asked.iter().filter(turn) {
            *tokens.entry(&asked.program).or_default() += asked.answer.events() * TOKENS_PER_EVENT;
        }
        let most = self.report.budget + MOST_TOKENS;
        let over = tokens.into_iter().filter(|(_, tokens)| *tokens > most);
        let broken = |(program, tokens): (&str, u64)| Broken {
            promise: "a program keeps to its budget",
            seen: format!("{program} got {tokens} tokens"),
        };
        over.map(broken).collect()
    }
}

fn data(events: &str) -> String {
    let lines = events.lines().filter_map(|line| line.strip_prefix("data: "));
    lines.map(|line| format!("{line}\n")).collect()
}
