//! Runs a small deployment on loopback: two entries in different failure domains, two model engines
//! and a tool service, each with its process beside it, a log service and a VM list. Then runs
//! programs of several turns against it.

use std::io::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use serde_json::json;
use trefoil_standins::caller::{Answer, Caller, action, completion};
use trefoil_standins::fleet::{Fleet, Process};

const KEY: &str = "demo-key-of-the-ice-watch";
const CONTRACT: &str = r#"workspace = "ice-watch"
rate_per_s = 200
burst = 200
models = ["small"]
actions = ["notices/lookup", "notices/publish"]
irreversible = ["notices/publish"]

[program]
budget_tokens = 20000
max_turns = 240
"#;
const PROGRAMS: usize = 5;

#[tokio::main]
async fn main() -> ExitCode {
    match run_demo().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Folder of this executable, in which the others were built too.
fn program_dir() -> std::io::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    executable
        .parent()
        .map(Path::to_path_buf)
        .ok_or_else(|| Error::other(format!("{} has no parent folder", executable.display())))
}

fn spawn_stand_in(program_dir: &Path, kind: &str) -> std::io::Result<Process> {
    Process::spawn(kind, &program_dir.join("trefoil-standin"), &[kind.to_string()])
}

async fn run_demo() -> std::io::Result<()> {
    let program_dir = program_dir()?;
    let log = spawn_stand_in(&program_dir, "log")?;
    let vms = spawn_stand_in(&program_dir, "vms")?;
    let engines =
        [spawn_stand_in(&program_dir, "engine")?, spawn_stand_in(&program_dir, "engine")?];
    let tools = spawn_stand_in(&program_dir, "tools")?;
    let mut fleet = Fleet::new(&program_dir, log.address("api"), vms.address("api"));
    fleet.start_entry("entry-a", "domain-a")?;
    fleet.start_entry("entry-b", "domain-b")?;
    fleet.start_endpoint("model-a", "domain-a", ("engine", "small", engines[0].address("api")))?;
    fleet.start_endpoint("model-b", "domain-b", ("engine", "small", engines[1].address("api")))?;
    fleet.start_endpoint("tools-a", "domain-a", ("service", "notices", tools.address("api")))?;
    fleet.list().await;
    if !fleet.wait_ready().await {
        return Err(Error::other("the entries did not become ready within the time limit"));
    }
    println!("2 entries, 2 engines and 1 service are up, each in a process of its own");
    publish_contract(&fleet)?;
    let entries = [fleet.callers("entry-a"), fleet.callers("entry-b")];
    let caller = Caller::new(KEY);
    let runs = (1..=PROGRAMS).map(|number| {
        let caller = caller.clone();
        tokio::spawn(async move { run_program(&caller, entries, number).await })
    });
    let runs: Vec<_> = runs.collect();
    let mut all_complete = true;
    for run in runs {
        let (lines, is_complete) = run.await.map_err(Error::other)?;
        println!("{lines}");
        all_complete &= is_complete;
    }
    match all_complete {
        true => Ok(()),
        false => Err(Error::other("at least one call failed or its response was truncated")),
    }
}

fn publish_contract(fleet: &Fleet) -> std::io::Result<()> {
    let file = std::env::temp_dir().join(format!("trefoil-demo-{}.toml", std::process::id()));
    std::fs::write(&file, CONTRACT)?;
    let path = file.to_string_lossy().to_string();
    let (publish_code, output) = fleet.ctl(&["publish", &path, "--wait"], "")?;
    println!("trefoilctl publish: {}", output.trim());
    std::fs::remove_file(&file)?;
    let (grant_code, output) = fleet.ctl(&["grant", "ice-watch", "demo", "--wait"], KEY)?;
    println!("trefoilctl grant: {}", output.trim());
    match publish_code + grant_code {
        0 => Ok(()),
        _ => Err(Error::other(
            "trefoilctl could not publish the contract or grant the key; its output is above",
        )),
    }
}

/// Runs a program of four turns, alternating between the entries. Returns the lines to print and
/// whether all calls completed.
async fn run_program(caller: &Caller, entries: [SocketAddr; 2], number: usize) -> (String, bool) {
    let name = format!("crossing-{number}");
    let turns = [
        completion(&name, 1, "Draft a crossing advisory for the north shore."),
        action(&name, 2, "notices/lookup", json!({ "shore": "north" })),
        completion(&name, 3, "Check it against the last thickness reports."),
        action(&name, 4, "notices/publish", json!({ "advisory": number })),
    ];
    let started = Instant::now();
    let mut lines = vec![format!("program {name}")];
    let mut all_complete = true;
    for (index, turn) in turns.iter().enumerate() {
        let entry = [entries[(number + index) % 2]];
        let answer = caller.insist(&entry, turn, 3).await;
        all_complete &= matches!(answer, Answer::Whole(_));
        let shown = match &answer {
            Answer::Whole(text) => text.clone(),
            other => format!("{other:?}"),
        };
        lines.push(format!("  turn {} via entry {}: {shown}", index + 1, (number + index) % 2));
    }
    let ended = caller.end(entries[0], &name).await;
    all_complete &= matches!(ended, Answer::Whole(_));
    lines.push(format!("  latency of the program: {} ms", started.elapsed().as_millis()));
    (lines.join("\n"), all_complete)
}
