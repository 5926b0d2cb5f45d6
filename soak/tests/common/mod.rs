//! Helpers for the tests with real gateways.

// Each test file uses only some of them.
#![allow(dead_code)]

use std::path::PathBuf;
use std::time::Duration;

use trefoil_soak::{Answer, Turn, TurnKind, World, WorldLimits, WorldSettings};

/// Time after which a withdrawn key must no longer be served.
pub const REVOKE_MS: u64 = 2_000;

fn program() -> PathBuf {
    // Test executables are in target/PROFILE/deps, programs in its parent directory.
    let test = std::env::current_exe().expect("a running test has a path");
    test.parent().and_then(|deps| deps.parent()).expect("deps").join("trefoilproxyd-platform")
}

pub async fn world(gateways: usize) -> World {
    world_with_hubs(gateways, gateways).await
}

pub async fn world_with_hubs(gateways: usize, max_hubs: usize) -> World {
    start_world(gateways, max_hubs, WorldLimits::default()).await
}

/// A world whose gateways have little memory and few descriptors.
pub async fn world_with_limits(gateways: usize, limits: WorldLimits) -> World {
    start_world(gateways, gateways, limits).await
}

async fn start_world(gateways: usize, max_hubs: usize, limits: WorldLimits) -> World {
    let (program, revoke_ms, load) = (program(), REVOKE_MS, false);
    let settings = WorldSettings { program, gateways, max_hubs, revoke_ms, load, limits };
    World::start(&settings).await.expect("the world starts")
}

pub fn turn(request: &str, program: &str, previous: Option<&str>) -> Turn {
    Turn {
        request: request.to_string(),
        program: program.to_string(),
        previous: previous.map(str::to_string),
        input: format!("say {request};"),
        budget: 10_000,
        ..Turn::default()
    }
}

/// A turn whose history is not kept and whose stream may be resumed at another endpoint.
pub fn ask(request: &str, program: &str) -> Turn {
    Turn { kind: TurnKind::Resumable, ..turn(request, program, None) }
}

/// The data of the events received.
pub fn data(answer: &Answer) -> String {
    let body = String::from_utf8_lossy(&answer.body);
    let lines = body.lines().filter_map(|line| line.strip_prefix("data: "));
    lines.map(|line| format!("{line}\n")).collect()
}

pub fn output(request: &str) -> String {
    (0..3).map(|event| format!("{request}-{event}\n")).collect()
}

pub fn prompt_of(world: &World, request: &str) -> String {
    let runs = world.journal.runs();
    let run = runs.iter().find(|run| run.request == request).expect("it has run");
    String::from_utf8(run.body.clone()).expect("text")
}

/// Requests a turn until it is served, each time with a new ID, as callers do.
pub async fn served(world: &World, entry: usize, mut asked: Turn) -> String {
    let first = asked.request.clone();
    for attempt in 0..40 {
        asked.request = format!("{first}.{attempt}");
        if world.caller.turn(world.entry(entry + attempt), &asked).await.is_served() {
            return asked.request;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{first} was never served; {:?}", world.gateways[0].lines());
}
