//! Evacuated failure domains, with real gateways.

mod common;

use std::time::{Duration, Instant};

use serde_json::json;
use trefoil_soak::World;

use common::{served, turn, world};

/// Time within which all entries have read an instruction of the operator.
const LEARNT: Duration = Duration::from_millis(1_500);

async fn call_all(world: &World, name: &str) -> u32 {
    let mut count = 0;
    for number in 0..12 {
        let id = format!("{name}-{number}");
        let looked_up = world.caller.look_up(world.entry(number), &id).await;
        let turned = world.caller.turn(world.entry(number), &turn(&id, &id, None)).await;
        count += u32::from(looked_up.is_served()) + u32::from(turned.is_served());
    }
    count
}

/// The endpoints that have run requests with this name.
fn ran_at(world: &World, name: &str) -> Vec<String> {
    let runs = world.journal.runs();
    runs.into_iter().filter(|r| r.request.starts_with(name)).map(|r| r.endpoint).collect()
}

// An operator evacuates a failure domain, whose endpoints stay listed and healthy. They must get no
// requests until the domain is restored. If all domains are evacuated, callers must be refused at once.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_reaches_an_evacuated_domain() {
    let world = world(2).await;
    world.store.put("keyed.op", "evacuate/a", Some(json!({})));
    tokio::time::sleep(LEARNT).await;
    assert_eq!(call_all(&world, "moved").await, 24);
    let elsewhere = |endpoint: &String| endpoint.ends_with("-2");
    assert!(ran_at(&world, "moved").iter().all(elsewhere));
    world.store.put("keyed.op", "evacuate/b", Some(json!({})));
    tokio::time::sleep(LEARNT).await;
    let started = Instant::now();
    let refused = world.caller.look_up(world.entry(0), "nowhere").await;
    assert_eq!((refused.status, refused.retry_after_ms), (Some(503), Some(1_000)));
    assert_eq!(call_all(&world, "nowhere").await, 0);
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
    assert!(ran_at(&world, "nowhere").is_empty());
    world.store.put("keyed.op", "evacuate/a", None);
    world.store.put("keyed.op", "evacuate/b", None);
    tokio::time::sleep(LEARNT).await;
    assert_eq!(call_all(&world, "back").await, 24);
    assert!(ran_at(&world, "back").iter().any(|endpoint| !elsewhere(endpoint)));
}

// An entry that starts during an evacuation must read the instructions in force, not only new ones.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_knows_what_is_evacuated() {
    let mut world = world(1).await;
    world.store.put("keyed.op", "evacuate/a", Some(json!({})));
    world.gateways[0].kill().expect("killed");
    world.gateways[0].start().expect("started");
    served(&world, 0, turn("first", "first", None)).await;
    assert_eq!(call_all(&world, "later").await, 24);
    let runs = ["first", "later"].map(|name| ran_at(&world, name)).concat();
    assert!(runs.iter().all(|endpoint| endpoint.ends_with("-2")), "{runs:?}");
}
