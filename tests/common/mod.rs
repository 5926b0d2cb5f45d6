//! A small deployment for end-to-end tests. Entries and endpoint processes are real; the log, the
//! VM list, the engines and the tool service are stand-ins that run inside the test process.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{Value, json};
use trefoil_standins::caller::Caller;
use trefoil_standins::engine::Settings;
use trefoil_standins::fleet::Fleet;
use trefoil_standins::http::{Running, call};
use trefoil_standins::{engine, log_service, tool_service, vm_list};

/// The API key of workspace `ice`.
pub const ICE_KEY: &str = "key-of-the-ice-watch-7f3a";
/// How long a test waits for a condition or for a process to exit.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub const CONTRACT: &str = r#"
rate_per_s = 1000
burst = 1000
models = ["small"]
actions = ["tools/look", "tools/pay"]
irreversible = ["tools/pay"]

[program]
budget_tokens = 100000
max_turns = 240
"#;

pub struct Deployment {
    pub fleet: Fleet,
    pub log: Running,
    pub vms: Running,
    pub engines: Vec<Running>,
    pub tools: Running,
}

fn any_local_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Deployment {
    /// Starts two entries, two engines and a tool service, and waits until they are ready. The
    /// contract and the key of workspace `ice` are in force.
    pub async fn start() -> Deployment {
        Deployment::start_with(Settings::default(), &[], &[]).await
    }

    /// Like [`Deployment::start`], with engine settings and command-line flags.
    pub async fn start_with(
        settings: Settings,
        entry_flags: &[&str],
        endpoint_flags: &[&str],
    ) -> Deployment {
        let log = log_service::spawn(any_local_port()).await.unwrap();
        let vms = vm_list::spawn(any_local_port()).await.unwrap();
        let tools = tool_service::spawn(any_local_port()).await.unwrap();
        let engines = vec![
            engine::spawn(any_local_port(), settings.clone()).await.unwrap(),
            engine::spawn(any_local_port(), settings).await.unwrap(),
        ];
        let programs = Path::new(env!("CARGO_BIN_EXE_trefoilproxyd")).parent().unwrap();
        let mut fleet = Fleet::new(programs, log.address, vms.address);
        fleet.entry_flags = entry_flags.iter().map(|flag| flag.to_string()).collect();
        fleet.endpoint_flags = endpoint_flags.iter().map(|flag| flag.to_string()).collect();
        fleet.start_entry("e0", "a").unwrap();
        fleet.start_entry("e1", "b").unwrap();
        fleet.start_endpoint("m0", "a", ("engine", "small", engines[0].address)).unwrap();
        fleet.start_endpoint("m1", "b", ("engine", "small", engines[1].address)).unwrap();
        fleet.start_endpoint("t0", "a", ("service", "tools", tools.address)).unwrap();
        fleet.list().await;
        assert!(fleet.wait_ready().await, "the fleet did not become ready");
        let deployment = Deployment { fleet, log, vms, engines, tools };
        deployment.publish("ice", CONTRACT);
        deployment.grant("ice", "main", ICE_KEY);
        deployment
    }

    /// Publishes a contract and waits until it is in force.
    pub fn publish(&self, workspace: &str, contract: &str) {
        let name = format!("trefoil-{}-{workspace}.toml", self.fleet.log.port());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, format!("workspace = \"{workspace}\"\n{contract}")).unwrap();
        let path = file.to_string_lossy().to_string();
        let (code, output) = self.fleet.ctl(&["publish", &path, "--wait"], "").unwrap();
        std::fs::remove_file(&file).unwrap();
        assert_eq!(code, 0, "{output}");
    }

    /// Grants a key and waits until it is in force.
    pub fn grant(&self, workspace: &str, id: &str, key: &str) {
        let (code, output) = self.fleet.ctl(&["grant", workspace, id, "--wait"], key).unwrap();
        assert_eq!(code, 0, "{output}");
    }

    pub fn caller(&self) -> Caller {
        Caller::new(ICE_KEY)
    }

    /// The addresses at which the entries listen for callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        vec![self.fleet.callers("e0"), self.fleet.callers("e1")]
    }

    /// Sets the faults that the log stand-in injects.
    pub async fn set_log_faults(&self, faults: Value) {
        configure_stand_in(self.log.address, &faults).await;
    }

    /// The arguments of the payments that the tool service executed, in order.
    pub async fn payments(&self) -> Vec<String> {
        let state = get(self.tools.address, "/control").await;
        let ran = state["ran"].as_array().cloned().unwrap_or_default();
        let paid = ran.iter().filter(|call| call[0] == "pay");
        paid.map(|call| call[1].as_str().unwrap_or_default().to_string()).collect()
    }

    /// Each entry with the number of shards that it owns.
    pub async fn shard_counts(&self) -> Vec<(String, usize)> {
        let mut shard_counts = Vec::new();
        for vm in self.fleet.entries.keys() {
            let status = self.fleet.status(vm).await.unwrap_or_default();
            shard_counts.push((vm.clone(), status["shards"].as_array().map_or(0, Vec::len)));
        }
        shard_counts.sort();
        shard_counts
    }
}

/// Changes the settings of a stand-in.
pub async fn configure_stand_in(address: SocketAddr, body: &Value) {
    let url = format!("http://{address}/control");
    let answer: Option<Value> = call(Method::POST, &url, body).await;
    assert!(answer.is_some(), "POST {url} failed");
}

/// Reads JSON from a stand-in or an admin address; null if the call fails.
pub async fn get(address: SocketAddr, path: &str) -> Value {
    let url = format!("http://{address}{path}");
    call(Method::GET, &url, &json!({})).await.unwrap_or_default()
}

/// Polls a condition until it holds; panics with its description after [`TEST_TIMEOUT`].
pub async fn eventually<F, C>(description: &str, condition: C)
where
    C: Fn() -> F,
    F: Future<Output = bool>,
{
    let started = Instant::now();
    while started.elapsed() < TEST_TIMEOUT {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{description}: not observed within {TEST_TIMEOUT:?}");
}

/// Waits until the engines together run at least `wanted` calls.
pub async fn wait_running(deployment: &Deployment, wanted: u64) {
    eventually("calls running on the engines", || async {
        let mut running = 0;
        for engine in &deployment.engines {
            let state = get(engine.address, "/control").await;
            running += state["running"].as_u64().unwrap_or(0);
        }
        running >= wanted
    })
    .await;
}
