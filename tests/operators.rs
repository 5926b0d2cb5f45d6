//! Operators' tasks with `trefoilctl`, against real processes.

#![allow(clippy::unwrap_used)]

mod common;

use common::{CONTRACT, Deployment};
use serde_json::Value;
use trefoil_standins::caller::{Answer, completion};

/// Writes a file with a name of its own for this process; returns its path.
fn write_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("trefoil-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_contract_is_checked_compared_published_changed_and_withdrawn() {
    let deployment = Deployment::start().await;
    let ctl = |args: &[&str]| deployment.fleet.ctl(args, "").unwrap();
    let bad = write_file(
        "bad.toml",
        "workspace = \"ice\"\nrate_per_s = -1\nburst = 1\n[program]\nbudget_tokens = 1\nmax_turns = 1\n",
    );
    let (code, output) = ctl(&["publish", &bad]);
    assert_eq!(code, 3, "{output}");
    assert!(output.contains("bad.toml: rate_per_s: -1 is not between 1 and"), "{output}");
    let unknown = write_file("unknown.toml", &format!("workspace = \"ice\"\nrats = 1{CONTRACT}"));
    assert_eq!(ctl(&["validate", &unknown]).0, 3);

    let changed = CONTRACT.replace("burst = 1000", "burst = 7");
    let changed = write_file("changed.toml", &format!("workspace = \"ice\"{changed}"));
    let (code, output) = ctl(&["diff", &changed]);
    assert_eq!(code, 0, "{output}");
    assert!(output.contains("burst: 1000 -> 7"), "{output}");
    let (code, output) = ctl(&["publish", &changed, "--wait", "--json"]);
    assert_eq!(code, 0, "{output}");
    let output: Value = serde_json::from_str(&output).unwrap();
    assert_eq!(output["in_force"], true);

    let (code, output) = ctl(&["status"]);
    assert_eq!(code, 0, "{output}");
    assert!(
        output.contains("ice version") && output.contains("entry e1: configuration"),
        "{output}"
    );

    // A publish based on an older version is refused and names the version in force.
    let (code, output) = ctl(&["publish", &changed, "--base", "1"]);
    assert_eq!(code, 4, "{output}");
    assert!(output.contains(&format!("version {} is in force", version_in(&output))), "{output}");

    assert_eq!(ctl(&["withdraw", "ice", "--wait"]).0, 0);
    for entry in deployment.entries() {
        let answer = deployment.caller().call(entry, &completion("w", 1, "x")).await;
        assert_eq!(answer.code(), "bad_key");
    }
    assert_eq!(ctl(&["grant", "ice", "again"]).0, 2, "a grant without a key must be refused");
    assert_eq!(ctl(&["withdraw", "ice"]).0, 4);
    assert_eq!(ctl(&["frobnicate"]).0, 2);
    assert_eq!(ctl(&["status", "--log", "127.0.0.1:1"]).0, 1);
}

fn version_in(output: &str) -> String {
    output.split("version ").nth(1).and_then(|rest| rest.split(' ').next()).unwrap().to_string()
}

/// The log appends a publish but its response is lost. `trefoilctl` searches the log for its change,
/// finds it and does not publish it twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_publish_whose_response_was_lost_is_not_repeated() {
    let deployment = Deployment::start().await;
    let contract = write_file("lost.toml", &format!("workspace = \"lost\"{CONTRACT}"));
    deployment.set_log_faults(serde_json::json!({ "lose_answers": 1 })).await;
    let args = ["publish", &contract, "--wait", "--timeout-ms", "500"];
    let (code, output) = deployment.fleet.ctl(&args, "").unwrap();
    assert_eq!(code, 0, "{output}");
    let log = common::get(deployment.log.address, "/streams/config/records?from=0").await;
    let of_lost = |record: &&Value| record["data"]["change"]["workspace"] == "lost";
    assert_eq!(log["records"].as_array().unwrap().iter().filter(of_lost).count(), 1);
    let ice = deployment.caller().call(deployment.entries()[0], &completion("z", 1, "x")).await;
    assert!(matches!(ice, Answer::Whole(_)), "{ice:?}");
}
