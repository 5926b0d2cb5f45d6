//! Runs programs over real gateways under random faults, and checks the guarantees.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use getopts::Options;
use trefoil_soak::{
    Checks, Faults, Gateway, LoadChecks, LoadPhases, StopChecks, Turn, Violation, World,
    WorldLimits, WorldSettings, run_flood, run_load, run_programs, run_stops,
};

/// Maximum number of attempts to continue a program after the faults.
const MAX_CONTINUE_ATTEMPTS: usize = 60;

/// Pause between two of these attempts.
const CONTINUE_PAUSE: Duration = Duration::from_millis(100);

/// Time after the last request under load until the checks. A refused request that an endpoint holds
/// would run within its timeout.
const LATE_RUN_TIME: Duration = Duration::from_secs(3);

/// The fewest and the most gateways in a run that stops them.
const MIN_STOPPED: usize = 2;
const MAX_STOPPED: usize = 5;

/// The ID of a program, and the request ID and history of its last complete turn.
type LastTurn = (String, String, String);

/// What all runs have in common.
#[derive(Debug)]
struct SoakSettings {
    /// Length of each run under faults.
    seconds: u64,
    gateways: usize,
    /// The most gateways that are hubs.
    max_hubs: usize,
    workers: u64,
    /// Whether programs under load control run as well.
    load: bool,
    /// Whether a workspace sends many times its rate.
    flood: bool,
    /// Whether gateways are stopped, instead of all other faults.
    stops: bool,
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "first seed [default: 1]", "N");
    options.optopt("", "seeds", "number of consecutive seeds [default: 1]", "N");
    options.optopt("", "seconds", "length of each run under faults [default: 8]", "S");
    options.optopt("", "gateways", "number of gateways [default: 4]", "N");
    options.optopt("", "hubs", "most gateways that are hubs [default: 48]", "N");
    options.optopt("", "lines", "number of programs running at once [default: 12]", "N");
    options.optflag("", "load", "adds programs under load control and surges of callers");
    options.optflag("", "flood", "adds a workspace that sends many times its rate, with refunds");
    options.optflag("", "stops", "stops gateways, two to five by the seed, and adds no kills");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let flags = match options.parse(&args) {
        Ok(flags) => flags,
        Err(fault) => {
            eprintln!("{fault}\n{}", options.usage("Usage: trefoil-soak [--FLAG VALUE ...]"));
            return ExitCode::from(2);
        }
    };
    let number = |name: &str, default: u64| flags.opt_get_default(name, default);
    let numbers =
        [("seed", 1), ("seeds", 1), ("seconds", 8), ("gateways", 4), ("hubs", 48), ("lines", 12)];
    let numbers = numbers.map(|(name, default)| number(name, default));
    let [Ok(seed), Ok(seeds), Ok(seconds), Ok(gateways), Ok(max_hubs), Ok(workers)] = numbers
    else {
        eprintln!("the value of each flag must be a whole number");
        return ExitCode::from(2);
    };
    let (gateways, max_hubs) = (gateways as usize, max_hubs as usize);
    let [load, flood, stops] = ["load", "flood", "stops"].map(|name| flags.opt_present(name));
    let settings = SoakSettings { seconds, gateways, max_hubs, workers, load, flood, stops };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::FAILURE;
        }
    };
    let mut failed = 0_u32;
    for seed in seed..seed + seeds {
        match runtime.block_on(soak(seed, &settings)) {
            Ok(true) => {}
            Ok(false) => failed += 1,
            Err(fault) => {
                println!("seed {seed}: {fault}");
                failed += 1;
            }
        }
    }
    println!("{} passed, {failed} failed", seeds - u64::from(failed));
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn program() -> std::io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("trefoilproxyd-platform"))
}

async fn soak(seed: u64, settings: &SoakSettings) -> std::io::Result<bool> {
    let &SoakSettings { seconds, gateways, max_hubs, workers, load, flood, stops } = settings;
    if stops {
        return soak_stops(seed, settings).await;
    }
    let program = program()?;
    let world_settings = WorldSettings {
        program,
        gateways,
        max_hubs,
        revoke_ms: 5_000,
        load,
        limits: WorldLimits::default(),
    };
    let mut world = World::start(&world_settings).await?;
    let until = Instant::now() + Duration::from_secs(seconds);
    let entries: Vec<_> = world.gateways.iter().map(|gateway| gateway.callers).collect();
    let caller = world.caller.clone();
    let phases = LoadPhases::after(until);
    let under_load = load.then(|| {
        let entries = entries.clone();
        tokio::spawn(async move { run_load(&entries, seed, workers, phases).await })
    });
    let flood = flood.then(|| {
        let entries = entries.clone();
        tokio::spawn(async move { run_flood(&entries, seed, until).await })
    });
    let programs =
        tokio::spawn(async move { run_programs(&caller, &entries, seed, workers, until).await });
    let mut faults = Faults::open(seed, load);
    faults.run(&mut world, until).await?;
    let mut report = programs.await.map_err(std::io::Error::other)?;
    if let Some(under_load) = under_load {
        report.programs = under_load.await.map_err(std::io::Error::other)?;
        tokio::time::sleep(LATE_RUN_TIME).await;
    }
    let lost = continue_programs(&world, &report.last_turns).await;
    let flood = match flood {
        Some(flood) => Some(flood.await.map_err(std::io::Error::other)?),
        None => None,
    };
    let runs = world.journal.runs();
    let load_checks = LoadChecks::open(&report.programs, phases);
    let mut violations = Checks::open(&report, &runs).violations();
    violations.extend(load_checks.violations());
    violations.extend(flood.iter().flat_map(|flood| flood.violations(&runs)));
    let served = report.all_requests().filter(|sent| sent.answer.is_served()).count();
    println!(
        "seed {seed}: {} faults, {} requests, {served} served, {} programs continued, {} violations",
        faults.injected.len(),
        report.all_requests().count(),
        report.last_turns.len() - lost.len(),
        violations.len() + lost.len(),
    );
    if load {
        println!("  {load_checks}");
    }
    flood.iter().for_each(|flood| println!("  {flood}"));
    conclude(seed, &world, &violations, &lost, &faults.injected)
}

/// Stops gateways while callers use them, and checks what the callers got.
async fn soak_stops(seed: u64, settings: &SoakSettings) -> std::io::Result<bool> {
    let gateways = MIN_STOPPED + seed as usize % (MAX_STOPPED - MIN_STOPPED + 1);
    let &SoakSettings { seconds, max_hubs, .. } = settings;
    let world_settings = WorldSettings {
        program: program()?,
        gateways,
        max_hubs,
        revoke_ms: 5_000,
        load: false,
        limits: WorldLimits::default(),
    };
    let mut world = World::start(&world_settings).await?;
    let until = Instant::now() + Duration::from_secs(seconds);
    let report = run_stops(&mut world, seed, until).await?;
    tokio::time::sleep(LATE_RUN_TIME).await;
    let lost = continue_programs(&world, &report.last_turns).await;
    let logs: Vec<_> = world.gateways.iter().map(Gateway::lines).collect();
    let runs = world.journal.runs();
    let checks = StopChecks::open(&report, &runs, &logs);
    let violations = checks.violations();
    let served = report.requests.iter().filter(|request| request.sent.answer.is_served()).count();
    println!(
        "seed {seed}: {gateways} gateways, {} requests, {served} served, {} programs continued, \
         {} violations",
        report.requests.len(),
        report.last_turns.len() - lost.len(),
        violations.len() + lost.len(),
    );
    println!("  {checks}");
    conclude(seed, &world, &violations, &lost, &report.injected)
}

/// Prints what was violated and keeps the logs. Returns whether nothing was.
fn conclude(
    seed: u64,
    world: &World,
    violations: &[Violation],
    lost: &[String],
    injected: &[String],
) -> std::io::Result<bool> {
    violations.iter().for_each(|violation| println!("  {violation}"));
    lost.iter().for_each(|program| {
        println!("  a program continues after its last complete turn: {program}")
    });
    let passed = violations.is_empty() && lost.is_empty();
    if !passed {
        println!("  faults: {injected:?}");
        keep_logs(seed, world)?;
    }
    Ok(passed)
}

/// Continues each program after the faults. Returns those that can't be continued, or with a wrong
/// history.
async fn continue_programs(world: &World, last_turns: &[LastTurn]) -> Vec<String> {
    let mut lost = Vec::new();
    for (number, (program, previous, history)) in last_turns.iter().enumerate() {
        if !can_continue(world, number, program, previous, history).await {
            lost.push(format!("{program} after {previous}"));
        }
    }
    lost
}

async fn can_continue(
    world: &World,
    number: usize,
    program: &str,
    previous: &str,
    history: &str,
) -> bool {
    for attempt in 0..MAX_CONTINUE_ATTEMPTS {
        let request = format!("last-{program}-{attempt}");
        let input = format!("say {request};");
        let prompt = format!("{history}{input}");
        let turn = Turn {
            request: request.clone(),
            program: format!("last-{program}"),
            previous: Some(previous.to_string()),
            input,
            budget: 10_000,
            ..Turn::default()
        };
        let answer = world.caller.turn(world.entry(number + attempt), &turn).await;
        if answer.is_served() {
            let runs = world.journal.runs();
            let run = runs.iter().rev().find(|run| run.request == request);
            return run.is_some_and(|run| run.body == prompt.as_bytes());
        }
        if answer.status == Some(404) {
            return false;
        }
        tokio::time::sleep(CONTINUE_PAUSE).await;
    }
    false
}

fn keep_logs(seed: u64, world: &World) -> std::io::Result<()> {
    for gateway in &world.gateways {
        let file = std::env::temp_dir().join(format!("soak-{seed}-{}.log", gateway.name));
        std::fs::write(&file, gateway.lines().join("\n"))?;
        println!("  log: {}", file.display());
    }
    Ok(())
}
