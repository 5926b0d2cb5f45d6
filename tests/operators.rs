//! What operators do with `trefoilctl`, over real processes.

#![allow(clippy::unwrap_used)]

mod common;

use common::{CONTRACT, Deployment};
use serde_json::Value;
use trefoil_standins::caller::{Answer, completion};

fn file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("trefoil-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_contract_is_checked_compared_published_changed_and_withdrawn() {
    let deployment = Deployment::start().await;
    let ctl = |args: &[&str]| deployment.fleet.ctl(args, "").unwrap();
    let bad = file(
        "bad.toml",
        "workspace = \"ice\"\nrate_per_s = -1\nburst = 1\n[program]\nbudget_tokens = 1\nmax_turns = 1\n",
    );
    let (code, said) = ctl(&["publish", &bad]);
    assert_eq!(code, 3, "{said}");
    assert!(said.contains("bad.toml: rate_per_s: -1 is not between 1 and"), "{said}");
    let unknown = file("unknown.toml", &format!("workspace = \"ice\"\nrats = 1{CONTRACT}"));
    assert_eq!(ctl(&["validate", &unknown]).0, 3);

    let changed = CONTRACT.replace("burst = 1000", "burst = 7");
    let changed = file("changed.toml", &format!("workspace = \"ice\"{changed}"));
    let (code, said) = ctl(&["diff", &changed]);
    assert_eq!(code, 0, "{said}");
    assert!(said.contains("burst: 1000 -> 7"), "{said}");
    let (code, said) = ctl(&["publish", &changed, "--wait", "--json"]);
    assert_eq!(code, 0, "{said}");
    let said: Value = serde_json::from_str(&said).unwrap();
    assert_eq!(said["in_force"], true);

    let (code, said) = ctl(&["status"]);
    assert_eq!(code, 0, "{said}");
    assert!(said.contains("ice version") && said.contains("entry e1: configuration"), "{said}");

    // An operator who saw the version before loses, and is told which one won.
    let (code, said) = ctl(&["publish", &changed, "--base", "1"]);
    assert_eq!(code, 4, "{said}");
    assert!(said.contains(&format!("version {} is in force", said_version(&said))), "{said}");

    assert_eq!(ctl(&["withdraw", "ice", "--wait"]).0, 0);
    for entry in deployment.entries() {
        let answer = deployment.caller().call(entry, &completion("w", 1, "x")).await;
        assert_eq!(answer.code(), "bad_key");
    }
    assert_eq!(ctl(&["grant", "ice", "again"]).0, 2, "no key was given");
    assert_eq!(ctl(&["withdraw", "ice"]).0, 4);
    assert_eq!(ctl(&["frobnicate"]).0, 2);
    assert_eq!(ctl(&["status", "--log", "127.0.0.1:1"]).0, 1);
}

fn said_version(said: &str) -> String {
    said.split("version ").nth(1).and_then(|rest| rest.split(' ').next()).unwrap().to_string()
}

/// The log takes a publish but its answer is lost. The tool looks for its change, finds it, and
/// does not publish it twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_publish_whose_answer_was_lost_is_found_again() {
    let deployment = Deployment::start().await;
    let contract = file("lost.toml", &format!("workspace = \"lost\"{CONTRACT}"));
    deployment.fault_log(serde_json::json!({ "lose_answers": 1 })).await;
    let args = ["publish", &contract, "--wait", "--timeout-ms", "500"];
    let (code, said) = deployment.fleet.ctl(&args, "").unwrap();
    assert_eq!(code, 0, "{said}");
    let log = common::get(deployment.log.address, "/streams/config/records?from=0").await;
    let of_lost = |record: &&Value| record["data"]["change"]["workspace"] == "lost";
    assert_eq!(log["records"].as_array().unwrap().iter().filter(of_lost).count(), 1);
    let ice = deployment.caller().call(deployment.entries()[0], &completion("z", 1, "x")).await;
    assert!(matches!(ice, Answer::Whole(_)), "{ice:?}");
}
