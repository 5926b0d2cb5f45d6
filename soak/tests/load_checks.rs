//! The checks of programs under load control find violations.

use std::time::{Duration, Instant};

use trefoil_soak::{
    Answer, LoadChecks, LoadClass, LoadPhases, LoadProgram, RequestKind, SentRequest, TurnKind,
};

/// A program of a workspace whose requests are answered with these statuses.
fn program(workspace: &'static str, begun: Instant, statuses: &[u16]) -> LoadProgram {
    let turns = TurnKind::Urgent;
    let requests = statuses.iter().map(|status| SentRequest {
        request: String::new(),
        kind: RequestKind::Turn(turns),
        program: String::new(),
        workspace,
        prompt: String::new(),
        continues: false,
        sent: begun,
        answer: Answer { status: Some(*status), whole: true, ..Answer::default() },
    });
    LoadProgram { class: LoadClass { workspace, turns }, begun, requests: requests.collect() }
}

fn violations(programs: &[LoadProgram], phases: LoadPhases) -> Vec<&'static str> {
    let violations = LoadChecks::open(programs, phases).violations();
    violations.iter().map(|violation| violation.guarantee).collect()
}

// The check missed refusals of later turns, or blamed those that faults explain.
#[test]
fn a_later_turn_refused_while_calm_is_a_violation() {
    let phases = LoadPhases::after(Instant::now());
    let early = phases.calm_from - Duration::from_millis(1);
    for status in [429, 503] {
        let later = program("first", phases.calm_from, &[503, 200, 200, status]);
        let found = violations(&[later], phases);
        assert_eq!(found, ["a program that was served is not refused later"]);
        assert!(violations(&[program("first", early, &[200, status])], phases).is_empty());
    }
    let refused = program("first", phases.calm_from, &[503, 503]);
    assert!(violations(&[refused], phases).is_empty());
}

// The check missed programs that are still refused, or fail, after a surge.
#[test]
fn a_new_program_that_is_not_served_after_the_surge_is_a_violation() {
    let phases = LoadPhases::after(Instant::now());
    for statuses in [&[503, 429][..], &[502]] {
        let late = program("first", phases.recovered_at, statuses);
        assert_eq!(violations(&[late], phases), ["new programs are served after a surge"]);
        assert!(violations(&[program("first", phases.calm_from, statuses)], phases).is_empty());
    }
    let retried = program("first", phases.recovered_at, &[503, 200]);
    assert!(violations(&[retried], phases).is_empty());
}

// The check missed a workspace of which nothing is served, or blamed one of which a part is served.
#[test]
fn a_workspace_that_gets_nothing_is_a_violation() {
    let phases = LoadPhases::after(Instant::now());
    let begun = phases.faults_until;
    let mut programs = vec![program("first", begun, &[200])];
    programs.extend((0..20).map(|_| program("second", begun, &[503])));
    let guarantee = "no rank and no workspace gets nothing while others are served";
    // The workspace's only rank is reported as well.
    assert_eq!(violations(&programs, phases), [guarantee; 2]);
    programs.push(program("second", begun, &[200]));
    assert!(violations(&programs, phases).is_empty());
}
