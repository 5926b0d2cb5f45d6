use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::caller::{Answer, Caller, Turn, TurnKind};

/// Pause of a program between its requests.
const PAUSE: Duration = Duration::from_millis(30);

/// A program's budget: some of the longer ones spend it.
const BUDGET: u64 = 600;

/// One line in so many plays programs whose history is not kept.
const ASKS_ONE_LINE_IN: u64 = 3;

/// What was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A turn of a program whose history is kept.
    Turn,
    /// A turn of a program whose streams may go on elsewhere.
    Ask,
    /// A call that may run twice.
    Lookup,
    /// A call that must not.
    Action,
}

/// A request and its answer.
#[derive(Debug, Clone)]
pub struct Asked {
    /// Its id.
    pub request: String,
    /// What it was.
    pub kind: Kind,
    /// Its program, for turns.
    pub program: String,
    /// The prompt that an endpoint should have got.
    pub prompt: String,
    /// Whether the turn before it had been seen to end.
    pub continues: bool,
    /// When it was sent.
    pub sent: Instant,
    /// The answer.
    pub answer: Answer,
}

/// All that the programs of a run asked for.
#[derive(Debug, Default)]
pub struct Report {
    /// The requests, in the order of each program.
    pub asked: Vec<Asked>,
    /// Each program's budget.
    pub budget: u64,
    /// Each program's last turn whose end was seen, with its whole history.
    pub last: Vec<(String, String, String)>,
}

/// Plays programs one after the other, in several lines at once, until `until`.
pub async fn play_programs(
    caller: &Caller,
    entries: &[SocketAddr],
    seed: u64,
    lines: u64,
    until: Instant,
) -> Report {
    let playing = (0..lines).map(|line| {
        let (caller, entries) = (caller.clone(), entries.to_vec());
        let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(line));
        tokio::spawn(play_line(caller, entries, random, line, until))
    });
    let mut whole = Report { budget: BUDGET, ..Report::default() };
    for playing in playing.collect::<Vec<_>>() {
        let report = playing.await.expect("a line of programs does not panic");
        whole.asked.extend(report.asked);
        whole.last.extend(report.last);
    }
    whole
}

async fn play_line(
    caller: Caller,
    entries: Vec<SocketAddr>,
    mut random: StdRng,
    line: u64,
    until: Instant,
) -> Report {
    let mut report = Report::default();
    for number in 0_u64.. {
        if Instant::now() >= until {
            break;
        }
        let program = format!("p{line}-{number}");
        let turns = match line % ASKS_ONE_LINE_IN {
            0 => Kind::Ask,
            _ => Kind::Turn,
        };
        let line = Line { caller: &caller, entries: &entries, turns, until };
        play_program(line, &mut random, &program, &mut report).await;
    }
    report
}

/// What the programs of a line share.
struct Line<'a> {
    caller: &'a Caller,
    entries: &'a [SocketAddr],
    /// Which kind of turns they ask for.
    turns: Kind,
    until: Instant,
}

async fn play_program(line: Line<'_>, random: &mut StdRng, program: &str, report: &mut Report) {
    let Line { caller, entries, turns, until } = line;
    let (mut previous, mut said): (Option<String>, String) = (None, String::new());
    for step in 0..random.random_range(2..14_u32) {
        if Instant::now() >= until {
            break;
        }
        let entry = entries[random.random_range(0..entries.len())];
        let request = format!("{program}-{step}");
        let kind = match random.random_range(0..4_u32) {
            0 => Kind::Lookup,
            1 => Kind::Action,
            _ => turns,
        };
        let input = format!("say {request};");
        let prompt = format!("{said}{input}");
        let sent = Instant::now();
        let answer = match kind {
            Kind::Lookup => caller.look_up(entry, &request).await,
            Kind::Action => caller.act(entry, &request).await,
            Kind::Turn | Kind::Ask => {
                let (request, program) = (request.clone(), program.to_string());
                let (previous, budget) = (previous.clone(), BUDGET);
                let kind = match kind {
                    Kind::Ask => TurnKind::Resumable,
                    _ => TurnKind::Kept,
                };
                caller.turn(entry, &Turn { kind, request, program, previous, input, budget }).await
            }
        };
        let continues = previous.is_some();
        if kind == Kind::Turn && answer.is_served() {
            said = format!("{prompt}{}", crate::endpoint::output_of(&request));
            previous = Some(request.clone());
        }
        let program = program.to_string();
        report.asked.push(Asked { request, kind, program, prompt, continues, sent, answer });
        tokio::time::sleep(PAUSE).await;
    }
    if let Some(previous) = previous {
        report.last.push((program.to_string(), previous, said));
    }
}
