//! Records that another writer leaves in the list of endpoints and in that of the entries, with real
//! gateways.

mod common;

use std::time::Duration;

use serde_json::{Value, json};
use trefoil_soak::{EndpointKind, PlatformEndpoint, World};

use common::{served, turn, world};

/// The list of endpoints.
const ENDPOINTS: &str = "keyed.servers";

/// The announcements of the entries.
const ENTRIES: &str = "keyed.peers";

/// Time in which every gateway has read the list of endpoints a few times.
const SEVERAL_READS: Duration = Duration::from_millis(1_500);

/// The largest whole number of 64 bits.
const HUGE: u64 = u64::MAX;

/// The record of an endpoint with some fields changed.
fn record(changed: Value) -> Vec<u8> {
    let mut record = json!({"service": "desk", "address": "127.0.0.1:9", "zone": "a", "version": "v1",
        "slots": 4, "state": "ready", "coldLeftMs": 0, "seqNo": 1, "born": 1});
    if let (Some(record), Some(changed)) = (record.as_object_mut(), changed.as_object()) {
        record.extend(changed.clone());
    }
    record.to_string().into_bytes()
}

/// Records that name no endpoint, each for another reason.
fn odd_records() -> Vec<Vec<u8>> {
    let nested = "[".repeat(50_000) + &"]".repeat(50_000);
    let text = String::from_utf8(record(json!({}))).expect("text");
    let mut odd = vec![
        nested.clone().into_bytes(),
        text.replace("\"v1\"", &nested).replace("\"ready\"", "1").into_bytes(),
        text.replace("\"seqNo\":1", "\"seqNo\":1e999").into_bytes(),
        text.replace("\"coldLeftMs\":0", "\"coldLeftMs\":1e999").into_bytes(),
        text.as_bytes()[..text.len() / 2].to_vec(),
        vec![0, 255, 254, 128],
        b"null".to_vec(),
    ];
    let changed = [
        json!({"address": "127.0.0.1:99999"}),
        json!({"address": "127.0.0.1:0"}),
        json!({"address": "0.0.0.0:9"}),
        json!({"slots": 0}),
        json!({"slots": u32::MAX}),
        json!({"coldLeftMs": 1e300}),
        json!({"state": "resting"}),
        json!({"service": "x".repeat(100_000)}),
        // The last one: records that can't be decoded would take it out of the list again.
        json!({"seqNo": HUGE, "born": HUGE}),
    ];
    odd.extend(changed.into_iter().map(record));
    odd
}

/// Writes the odd records under new IDs, which are odd too, and announcements of entries beside them.
fn write_odd_records(world: &World) {
    for (number, value) in odd_records().into_iter().enumerate() {
        for id in [format!("odd-{number}"), format!("odd {number}&#"), format!("odd\n{number}")] {
            world.store.put_bytes(ENDPOINTS, &id, &value);
        }
        world.store.put_bytes(ENTRIES, &format!("odd-{number}"), &value);
    }
    world.store.put_bytes(
        ENTRIES,
        "odd",
        br#"{"address":"127.0.0.1:9","epoch":18446744073709551615}"#,
    );
}

async fn assert_serving(world: &World, round: &str) {
    for entry in 0..world.gateways.len() {
        for number in 0..8 {
            let id = format!("{round}-{entry}-{number}");
            let answer = world.caller.look_up(world.entry(entry), &format!("look-{id}")).await;
            assert!(answer.is_served(), "{id}: {answer:?}");
            let id = format!("turn-{id}");
            let answer = world.caller.turn(world.entry(entry), &turn(&id, &id, None)).await;
            assert!(answer.is_served(), "{id}: {answer:?}");
        }
    }
}

fn assert_running(world: &mut World) {
    for gateway in &mut world.gateways {
        let exit = gateway.wait_for_exit(Duration::ZERO).expect("its state is known");
        assert!(exit.is_none(), "{}: {exit:?}", gateway.name);
    }
}

/// Lines of the log with a warning about a record that can't be used.
fn warnings(world: &World) -> usize {
    let lines = world.gateways[0].lines();
    lines.iter().filter(|line| line.contains("names no endpoint that can be used")).count()
}

/// Adds an endpoint, then has the others of its service leave, and checks that it gets the requests.
async fn assert_new_endpoint_is_used(world: &mut World, id: &str) {
    let (store, journal) = (world.store.clone(), world.journal.clone());
    let added = PlatformEndpoint::spawn(id, "desk", EndpointKind::Tool, store, journal).await;
    tokio::time::sleep(SEVERAL_READS).await;
    let others = world.endpoints.iter_mut().filter(|endpoint| endpoint.id.starts_with("desk"));
    others.for_each(|endpoint| endpoint.drain("desk"));
    world.endpoints.push(added.expect("it starts"));
    tokio::time::sleep(SEVERAL_READS).await;
    for entry in 0..world.gateways.len() {
        let request = format!("{id}-{entry}");
        let answer = world.caller.look_up(world.entry(entry), &request).await;
        assert!(answer.is_served(), "{answer:?}");
        let runs = world.journal.runs();
        let run = runs.iter().find(|run| run.request == request).expect("it has run");
        assert_eq!(run.endpoint, id);
    }
}

// Records that can't be decoded, or with values that no endpoint has, must neither end a gateway nor
// keep it from following the list, whether it runs or starts.
#[tokio::test(flavor = "multi_thread")]
async fn odd_records_neither_end_a_gateway_nor_stop_it_from_following_the_list() {
    let mut world = world(2).await;
    write_odd_records(&world);
    tokio::time::sleep(SEVERAL_READS).await;
    assert_serving(&world, "beside").await;
    let warned = warnings(&world);
    assert!(warned > 0);
    // Another writer repeats what it wrote.
    write_odd_records(&world);
    assert_new_endpoint_is_used(&mut world, "desk-new").await;
    assert_running(&mut world);
    tokio::time::sleep(SEVERAL_READS).await;
    assert_eq!(warnings(&world), warned, "each record is logged once");
    // An entry that starts reads all of the list at once, in pages.
    world.gateways[1].kill().expect("killed");
    world.gateways[1].start().expect("started");
    world.wait_serving().await.expect("it serves again");
    assert_new_endpoint_is_used(&mut world, "desk-newer").await;
    served(&world, 1, turn("after", "after", None)).await;
    assert_running(&mut world);
}

// A record under the ID of an endpoint that runs takes it out of use only until the endpoint's own next
// record. Its numbers must not outrank those of the endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_is_used_again_after_odd_records_under_its_id() {
    let mut world = world(1).await;
    for value in odd_records() {
        world.store.put_bytes(ENDPOINTS, "desk-0", &value);
    }
    tokio::time::sleep(SEVERAL_READS).await;
    let before = world.journal.runs().len();
    for number in 0..60 {
        let answer = world.caller.look_up(world.entry(0), &format!("again-{number}")).await;
        assert!(answer.is_served(), "{number}: {answer:?}");
    }
    let runs = world.journal.runs();
    assert!(runs[before..].iter().any(|run| run.endpoint == "desk-0"), "it is not used");
    assert_running(&mut world);
}
