//! Measures a small deployment of real processes on loopback: turns per second, latencies, log
//! appends per turn, and the CPU time and memory of the entries and the processes beside endpoints.
//!
//! Arguments, all optional and in this order: number of concurrent programs, number of shards, words
//! per response, duration of a simulated log outage in ms (0: none), and the entries' setting
//! `when-log-fails`.

use std::io::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{Value, json};
use trefoil_standins::caller::{Answer, Caller, completion};
use trefoil_standins::engine::Settings;
use trefoil_standins::fleet::Fleet;
use trefoil_standins::http::call;
use trefoil_standins::{engine, log_service, vm_list};

const KEY: &str = "key-of-the-load-measurement";
const CONTRACT: &str = "workspace = \"load\"\nrate_per_s = 100000\nburst = 100000\n\
                        models = [\"small\"]\n[program]\nbudget_tokens = 1000000\nmax_turns = 240\n";
const TURNS: u32 = 8;
const DEFAULT_SHARDS: usize = 8;
const DEFAULT_WORDS: usize = 12;
const OUTAGE_DELAY: Duration = Duration::from_millis(300);
const IDLE_PERIOD: Duration = Duration::from_secs(5);
/// Unit of the CPU times in `/proc/PID/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;
const PAGE_KIB: u64 = 4;

#[tokio::main]
async fn main() -> ExitCode {
    let argument = |index| std::env::args().nth(index).and_then(|n| n.parse().ok());
    let programs = argument(1).unwrap_or(64);
    let shards = argument(2).unwrap_or(DEFAULT_SHARDS);
    let words = argument(3).unwrap_or(DEFAULT_WORDS);
    let outage_ms = argument(4).unwrap_or(0) as u64;
    let when_log_fails = std::env::args().nth(5).unwrap_or("refuse".to_string());
    match measure(programs, (shards, words), (outage_ms, &when_log_fails)).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(
    concurrent: usize,
    (shards, words): (usize, usize),
    (outage_ms, when_log_fails): (u64, &str),
) -> std::io::Result<()> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let log = log_service::spawn(loopback).await?;
    let vms = vm_list::spawn(loopback).await?;
    let engine_settings =
        Settings { token_us: 500, token_us_per_running: 0, prefill_us: 1, ..Settings::default() };
    let engines = [
        engine::spawn(loopback, engine_settings.clone()).await?,
        engine::spawn(loopback, engine_settings).await?,
    ];
    let executable = std::env::current_exe()?;
    let program_dir = executable
        .parent()
        .map(Path::to_path_buf)
        .ok_or_else(|| Error::other(format!("{} has no parent folder", executable.display())))?;
    let mut fleet = new_fleet(&program_dir, log.address, vms.address, shards)?;
    for (index, engine) in engines.iter().enumerate() {
        let vm = format!("m{index}");
        fleet.start_endpoint(&vm, "a", ("engine", "small", engine.address))?;
    }
    fleet.list().await;
    let flags = ["--when-log-fails", when_log_fails, "--config-stale-ms", "60000"];
    fleet.entry_flags.extend(flags.map(str::to_string));
    fleet.start_entry("e0", "a")?;
    fleet.start_entry("e1", "b")?;
    fleet.list().await;
    if !fleet.wait_ready().await {
        return Err(Error::other("the entries did not become ready within the time limit"));
    }
    publish(&fleet)?;
    let entries = [fleet.callers("e0"), fleet.callers("e1")];
    let before = usage(&fleet);
    let log_before = log_counters(log.address).await;
    let started = Instant::now();
    let outage = tokio::spawn(outage(log.address, outage_ms));
    let runs = (0..concurrent).map(|number| tokio::spawn(run_program(entries, number, words)));
    let mut latencies_us = Vec::new();
    let mut failed = 0;
    for run in runs.collect::<Vec<_>>() {
        let (turns, failed_turns) = run.await.map_err(Error::other)?;
        latencies_us.extend(turns);
        failed += failed_turns;
    }
    let seconds = started.elapsed().as_secs_f64();
    let _ = outage.await;
    let log_after = log_counters(log.address).await;
    report(concurrent, seconds, &mut latencies_us, failed);
    report_log(&log_before, &log_after, latencies_us.len(), seconds);
    report_usage(&before, &usage(&fleet), latencies_us.len());
    measure_idle(&fleet).await;
    measure_failover(&mut fleet, concurrent).await;
    Ok(())
}

/// Simulates a log outage that starts shortly after the load.
async fn outage(log: SocketAddr, outage_ms: u64) {
    if outage_ms == 0 {
        return;
    }
    let url = format!("http://{log}/control");
    tokio::time::sleep(OUTAGE_DELAY).await;
    let _: Option<Value> = call(Method::POST, &url, &json!({ "outage": true })).await;
    tokio::time::sleep(Duration::from_millis(outage_ms)).await;
    let _: Option<Value> = call(Method::POST, &url, &json!({ "outage": false })).await;
}

fn new_fleet(
    program_dir: &Path,
    log: SocketAddr,
    vms: SocketAddr,
    shards: usize,
) -> std::io::Result<Fleet> {
    let mut fleet = Fleet::new(program_dir, log, vms);
    fleet.endpoint_flags = ["--concurrency", "256"].map(str::to_string).to_vec();
    fleet.entry_flags = vec!["--shards".to_string(), shards.to_string()];
    Ok(fleet)
}

fn publish(fleet: &Fleet) -> std::io::Result<()> {
    let file: PathBuf =
        std::env::temp_dir().join(format!("trefoil-load-{}.toml", std::process::id()));
    std::fs::write(&file, CONTRACT)?;
    let path = file.to_string_lossy().to_string();
    let (publish_code, publish_output) = fleet.ctl(&["publish", &path, "--wait"], "")?;
    std::fs::remove_file(&file)?;
    let started = Instant::now();
    let (grant_code, grant_output) = fleet.ctl(&["grant", "load", "main", "--wait"], KEY)?;
    let ms = started.elapsed().as_millis();
    println!("a key granted and in force on every entry: {ms} ms, with the tool's own start");
    match publish_code + grant_code {
        0 => Ok(()),
        _ => Err(Error::other(format!("{publish_output}{grant_output}"))),
    }
}

async fn run_program(entries: [SocketAddr; 2], number: usize, words: usize) -> (Vec<u64>, usize) {
    let caller = Caller::new(KEY);
    let name = format!("load-{number}");
    let mut latencies_us = Vec::new();
    let mut failed = 0;
    for turn in 1..=TURNS {
        let entry = entries[(number + turn as usize) % 2];
        let started = Instant::now();
        let mut call = completion(&name, turn, &format!("words={words}"));
        // The engine sends two words, `seen=` and `digest=`, before the requested ones.
        call.body["max_tokens"] = json!(words + 2);
        let answer = caller.insist(&[entry], &call, 20).await;
        latencies_us.push(started.elapsed().as_micros() as u64);
        if !matches!(answer, Answer::Whole(_)) {
            println!("{name} turn {turn}: {answer:?}");
            failed += 1;
        }
    }
    (latencies_us, failed)
}

async fn log_counters(log: SocketAddr) -> Value {
    let url = format!("http://{log}/control");
    call(Method::GET, &url, &json!({})).await.unwrap_or_default()
}

/// Name, CPU seconds and resident KiB of each process, read from `/proc`.
fn usage(fleet: &Fleet) -> Vec<(String, f64, u64)> {
    let all = fleet.entries.values().chain(fleet.endpoints.values());
    let mut usage: Vec<(String, f64, u64)> = all
        .map(|process| {
            let read = |file: &str| {
                std::fs::read_to_string(format!("/proc/{}/{file}", process.id()))
                    .unwrap_or_default()
            };
            let stat = read("stat");
            let fields: Vec<&str> = stat.split_whitespace().collect();
            let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
            // utime and stime.
            let cpu_s = (ticks(13).unwrap_or(0.0) + ticks(14).unwrap_or(0.0)) / CLOCK_TICKS_PER_S;
            let statm = read("statm");
            let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse::<u64>().ok());
            (process.name.clone(), cpu_s, pages.unwrap_or(0) * PAGE_KIB)
        })
        .collect();
    usage.sort_by(|a, b| a.0.cmp(&b.0));
    usage
}

fn report(concurrent: usize, seconds: f64, latencies_us: &mut [u64], failed: usize) {
    latencies_us.sort_unstable();
    let percentile_ms = |percent: usize| {
        let index = (latencies_us.len() * percent / 100).min(latencies_us.len() - 1);
        latencies_us[index] as f64 / 1_000.0
    };
    println!(
        "{concurrent} programs of {TURNS} turns at once: {:.0} turns/s, turn p50 {:.1} ms p95 {:.1} ms \
         p99 {:.1} ms, not whole {failed}",
        latencies_us.len() as f64 / seconds,
        percentile_ms(50),
        percentile_ms(95),
        percentile_ms(99)
    );
}

fn report_log(before: &Value, after: &Value, turns: usize, seconds: f64) {
    let increase = |field: &str| {
        (after[field].as_u64().unwrap_or(0) - before[field].as_u64().unwrap_or(0)) as f64
    };
    println!(
        "log: {:.2} appends a turn, {:.0} appends/s, {:.1} records an append, {:.0} bytes a turn",
        increase("appends") / turns as f64,
        increase("appends") / seconds,
        increase("records") / increase("appends").max(1.0),
        increase("bytes") / turns as f64
    );
}

async fn measure_idle(fleet: &Fleet) {
    let before = usage(fleet);
    tokio::time::sleep(IDLE_PERIOD).await;
    for ((name, cpu_before, _), (_, cpu_after, _)) in before.iter().zip(usage(fleet)) {
        let percent = (cpu_after - cpu_before) / IDLE_PERIOD.as_secs_f64() * 100.0;
        println!("{name}: {percent:.1}% of a core while idle");
    }
}

/// Kills an entry and immediately sends the next turn of every program to the other one.
async fn measure_failover(fleet: &mut Fleet, programs: usize) {
    let entry = fleet.callers("e0");
    if let Some(killed) = fleet.entries.get_mut("e1") {
        killed.kill();
    }
    let started = Instant::now();
    let turns = (0..programs).map(|number| {
        tokio::spawn(async move {
            let call = completion(&format!("load-{number}"), TURNS + 1, "words=1");
            let answer = Caller::new(KEY).insist(&[entry], &call, 40).await;
            (started.elapsed().as_millis() as u64, matches!(answer, Answer::Whole(_)))
        })
    });
    let mut latencies_ms = Vec::new();
    let mut complete = 0;
    for turn in turns.collect::<Vec<_>>() {
        if let Ok((ms, is_complete)) = turn.await {
            latencies_ms.push(ms);
            complete += usize::from(is_complete);
        }
    }
    latencies_ms.sort_unstable();
    println!(
        "an entry killed: next turns of {programs} programs, whole {complete}, p50 {} ms, last {} ms",
        latencies_ms.get(programs / 2).copied().unwrap_or(0),
        latencies_ms.last().copied().unwrap_or(0)
    );
}

fn report_usage(before: &[(String, f64, u64)], after: &[(String, f64, u64)], turns: usize) {
    for ((name, cpu_before, _), (_, cpu_after, resident_kib)) in before.iter().zip(after) {
        println!(
            "{name}: {:.2} ms of processor a turn of the fleet, {:.1} MB resident",
            (cpu_after - cpu_before) * 1_000.0 / turns as f64,
            *resident_kib as f64 / 1_024.0
        );
    }
}
