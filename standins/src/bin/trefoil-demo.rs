//! The main job, on loopback: two entries in different failure domains, two model engines and a
//! tool service, each with its process beside it, and the stand-ins; then real programs.

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
    match demo().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("demo: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// The folder that all programs were built into.
fn programs() -> std::io::Result<PathBuf> {
    let me = std::env::current_exe()?;
    me.parent().map(Path::to_path_buf).ok_or(Error::other("no folder"))
}

fn stand_in(programs: &Path, kind: &str) -> std::io::Result<Process> {
    Process::spawn(kind, &programs.join("trefoil-standin"), &[kind.to_string()])
}

async fn demo() -> std::io::Result<()> {
    let programs = programs()?;
    let log = stand_in(&programs, "log")?;
    let vms = stand_in(&programs, "vms")?;
    let engines = [stand_in(&programs, "engine")?, stand_in(&programs, "engine")?];
    let tools = stand_in(&programs, "tools")?;
    let mut fleet = Fleet::new(&programs, log.address("api"), vms.address("api"));
    fleet.start_entry("entry-a", "domain-a")?;
    fleet.start_entry("entry-b", "domain-b")?;
    fleet.start_endpoint("model-a", "domain-a", ("engine", "small", engines[0].address("api")))?;
    fleet.start_endpoint("model-b", "domain-b", ("engine", "small", engines[1].address("api")))?;
    fleet.start_endpoint("tools-a", "domain-a", ("service", "notices", tools.address("api")))?;
    fleet.list().await;
    if !fleet.wait_ready().await {
        return Err(Error::other("the entries do not get ready"));
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
    let mut whole = true;
    for run in runs {
        let (lines, ok) = run.await.map_err(Error::other)?;
        println!("{lines}");
        whole &= ok;
    }
    match whole {
        true => Ok(()),
        false => Err(Error::other("not every answer was whole")),
    }
}

fn publish_contract(fleet: &Fleet) -> std::io::Result<()> {
    let file = std::env::temp_dir().join(format!("trefoil-demo-{}.toml", std::process::id()));
    std::fs::write(&file, CONTRACT)?;
    let path = file.to_string_lossy().to_string();
    let (published, said) = fleet.ctl(&["publish", &path, "--wait"], "")?;
    println!("trefoilctl publish: {}", said.trim());
    std::fs::remove_file(&file)?;
    let (granted, said) = fleet.ctl(&["grant", "ice-watch", "demo", "--wait"], KEY)?;
    println!("trefoilctl grant: {}", said.trim());
    match published + granted {
        0 => Ok(()),
        _ => Err(Error::other("the contract could not be published")),
    }
}

/// A program of four turns, each through the other entry than the one before.
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
    let mut whole = true;
    for (index, turn) in turns.iter().enumerate() {
        let entry = [entries[(number + index) % 2]];
        let answer = caller.insist(&entry, turn, 3).await;
        whole &= matches!(answer, Answer::Whole(_));
        let shown = match &answer {
            Answer::Whole(text) => text.clone(),
            other => format!("{other:?}"),
        };
        lines.push(format!("  turn {} via entry {}: {shown}", index + 1, (number + index) % 2));
    }
    let ended = caller.end(entries[0], &name).await;
    whole &= matches!(ended, Answer::Whole(_));
    lines.push(format!("  latency of the program: {} ms", started.elapsed().as_millis()));
    (lines.join("\n"), whole)
}
