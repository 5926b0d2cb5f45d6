use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use trefoil_standins::http::Running;

use crate::caller::Caller;
use crate::endpoint::{EndpointKind, PlatformEndpoint};
use crate::gateways::Gateway;
use crate::journal::Journal;
use crate::platform_store::{PARTS, PlatformStore};
use crate::proxy::Proxy;

/// Time limit until all gateways of a new world serve turns.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Settings of a world.
#[derive(Debug, Clone)]
pub struct WorldSettings {
    /// Path of the gateway executable.
    pub program: PathBuf,
    /// Number of gateways.
    pub gateways: usize,
    /// Time after which a withdrawn key must no longer be served.
    pub revoke_ms: u64,
}

/// Real gateway processes and the stand-ins for the platform that they run on.
pub struct World {
    /// The store.
    pub store: PlatformStore,
    /// The gateways, each connected to the store through its own proxy.
    pub gateways: Vec<Gateway>,
    /// The proxies between the gateways and the store, in the order of the gateways.
    pub links: Vec<Proxy>,
    /// The endpoints.
    pub endpoints: Vec<PlatformEndpoint>,
    /// All requests that endpoints have run.
    pub journal: Arc<Journal>,
    /// A caller with a valid key.
    pub caller: Caller,
    /// Rate per second and burst of each workspace, from the next configuration on.
    pub rate_per_s: u64,
    version: u64,
    _running: Running,
}

impl World {
    /// Starts all processes and waits until each gateway serves turns.
    ///
    /// # Errors
    /// If a process can't be started, or a gateway serves no turns within the time limit.
    pub async fn start(settings: &WorldSettings) -> std::io::Result<World> {
        let (store, running) = PlatformStore::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let journal = Arc::new(Journal::default());
        let mut endpoints = Vec::new();
        let kinds = [("llm", EndpointKind::Engine), ("desk", EndpointKind::Tool)];
        for (service, kind) in kinds {
            for number in 0..3 {
                let id = format!("{service}-{number}");
                let (store, journal) = (store.clone(), journal.clone());
                let endpoint = PlatformEndpoint::spawn(&id, service, kind, store, journal);
                endpoints.push(endpoint.await?);
            }
        }
        let (mut gateways, mut links) = (Vec::new(), Vec::new());
        for number in 0..settings.gateways {
            let link = Proxy::bind(running.address).await?;
            let name = format!("entry-{number}");
            gateways.push(Gateway::spawn(
                &name,
                &settings.program,
                link.address,
                PARTS,
                settings.revoke_ms,
            )?);
            links.push(link);
        }
        let caller = Caller { key: "secret-key-in-force".to_string() };
        let mut world = World {
            store,
            gateways,
            links,
            endpoints,
            journal,
            caller,
            rate_per_s: 10_000,
            version: 0,
            _running: running,
        };
        world.configure(&["secret-key-in-force"], &["other-key"]);
        world.wait_serving().await?;
        Ok(world)
    }

    /// Publishes a configuration in which the two workspaces have these keys.
    pub fn configure(&mut self, keys: &[&str], other_keys: &[&str]) {
        self.version += 1;
        let rate = self.rate_per_s;
        let route = |name: &str, kind: &str, prefix: &str, service: &str, extra: Value| {
            let mut route = json!({"name": name, "hostname": "soak.example", "pathPrefix": prefix,
                "routeType": kind, "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 0,
                "service": service, "attempts": 2});
            if let (Some(route), Some(extra)) = (route.as_object_mut(), extra.as_object()) {
                route.extend(extra.clone());
            }
            route
        };
        let turns = json!({"stateful": true, "retentionS": 60.0});
        let asks = json!({"resumable": true, "retentionS": 60.0});
        self.store.put(
            "keyed.op",
            "config",
            Some(json!({
                "version": self.version,
                "routes": [
                    route("turns", "streaming", "/turns/", "llm", turns),
                    route("asks", "streaming", "/asks/", "llm", asks),
                    route("lookups", "idempotent", "/lookups/", "desk", json!({})),
                    route("actions", "non_idempotent", "/actions/", "desk", json!({"attempts": 1})),
                ],
                "services": [{"name": "llm", "engine": {"stride": 20}}, {"name": "desk"}],
                "tenants": [
                    {"name": "ours", "apiKeys": keys, "ratePerS": rate, "burst": rate},
                    {"name": "theirs", "apiKeys": other_keys, "ratePerS": rate, "burst": rate},
                ],
            })),
        );
    }

    /// The address of a gateway; numbers beyond the last one start again from the first.
    pub fn entry(&self, number: usize) -> SocketAddr {
        self.gateways[number % self.gateways.len()].callers
    }

    /// Waits until each gateway serves lookups and turns of every shard.
    pub async fn wait_serving(&self) -> std::io::Result<()> {
        let started = Instant::now();
        for (number, gateway) in self.gateways.iter().enumerate() {
            let mut probe = 0;
            while !self.serves(gateway.callers, number, probe).await {
                probe += 1;
                if started.elapsed() > START_LIMIT {
                    let lines = gateway.lines().join("\n");
                    return Err(std::io::Error::other(format!(
                        "{} serves no turns after {START_LIMIT:?}; its log: {lines}",
                        gateway.name
                    )));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn serves(&self, entry: SocketAddr, number: usize, probe: usize) -> bool {
        let id = format!("probe-{number}-{probe}");
        if !self.caller.look_up(entry, &id).await.is_served() {
            return false;
        }
        for part in 0..2 * PARTS {
            let turn = crate::Turn {
                request: format!("{id}-{part}"),
                program: format!("probe-program-{part}"),
                budget: u64::MAX / 2,
                input: "probe".to_string(),
                ..crate::Turn::default()
            };
            if !self.caller.turn(entry, &turn).await.is_served() {
                return false;
            }
        }
        true
    }
}
