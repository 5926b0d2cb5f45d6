use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use trefoil_standins::http::Running;

use crate::caller::Caller;
use crate::endpoint::{EndpointKind, PlatformEndpoint};
use crate::flood::{FLOODED, FLOODED_RATE};
use crate::gateways::{Gateway, StoreLink};
use crate::journal::Journal;
use crate::platform_store::{PARTS, PlatformStore};
use crate::proxy::Proxy;

/// Time limit until all gateways of a new world serve turns.
const START_LIMIT: Duration = Duration::from_secs(20);

/// The workspaces whose callers use the routes under load control, in the order of their priorities.
pub(crate) const LOAD_WORKSPACES: [&str; 2] = ["first", "second"];

/// The routes under load control and their priorities.
const LOAD_ROUTES: [(&str, u8); 2] = [("urgent", 0), ("patient", 2)];

/// Timeout of the routes whose requests may last longer than a stopped gateway runs.
pub(crate) const LONG_TIMEOUT_MS: u64 = 6_000;

/// The API key of one of [`LOAD_WORKSPACES`].
pub(crate) fn key_of(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// Settings of a world.
#[derive(Debug, Clone)]
pub struct WorldSettings {
    /// Path of the gateway executable.
    pub program: PathBuf,
    /// Number of gateways.
    pub gateways: usize,
    /// The most gateways that are hubs.
    pub max_hubs: usize,
    /// Time after which a withdrawn key must no longer be served.
    pub revoke_ms: u64,
    /// Whether there are routes under load control, with engines of their own that have few slots.
    pub load: bool,
    /// What the VMs of the gateways have, and what callers may send.
    pub limits: WorldLimits,
}

/// What the settings and the configuration limit; by default, nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorldLimits {
    /// Memory of each gateway, in megabytes.
    pub memory_mb: Option<u64>,
    /// File descriptors of each gateway.
    pub max_fds: Option<u64>,
    /// Maximum size of a request's body.
    pub max_body_bytes: Option<u64>,
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
    load: bool,
    max_body_bytes: Option<u64>,
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
        let mut kinds = vec![("llm", EndpointKind::Engine), ("desk", EndpointKind::Tool)];
        if settings.load {
            kinds.push(("pool", EndpointKind::LimitedEngine));
        }
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
            let store = StoreLink { address: link.address, parts: PARTS };
            gateways.push(Gateway::spawn(&name, settings, store)?);
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
            load: settings.load,
            max_body_bytes: settings.limits.max_body_bytes,
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
        let workspace = |name: &str, keys: &[&str], priority: Option<usize>| {
            json!({"name": name, "apiKeys": keys, "ratePerS": rate, "burst": rate,
                "priority": priority})
        };
        let kept = json!({"stateful": true, "retentionS": 60.0});
        let long_kept = json!({"stateful": true, "retentionS": 60.0, "timeoutMs": LONG_TIMEOUT_MS});
        let long_once = json!({"attempts": 1, "timeoutMs": LONG_TIMEOUT_MS});
        let resumable = json!({"resumable": true, "retentionS": 60.0});
        let mut routes = vec![
            route("turns", "streaming", "llm", &kept),
            route("asks", "streaming", "llm", &resumable),
            route("lookups", "idempotent", "desk", &json!({})),
            route("actions", "non_idempotent", "desk", &json!({"attempts": 1})),
            route("notices", "idempotent", "desk", &json!({"public": true})),
            route("long-turns", "streaming", "llm", &long_kept),
            route("long-actions", "non_idempotent", "desk", &long_once),
        ];
        let mut services = vec![engine("llm"), json!({"name": "desk"})];
        let (flooded_rate, flooded_burst) = FLOODED_RATE;
        let flooded = json!({"name": FLOODED, "apiKeys": [key_of(FLOODED)],
            "ratePerS": flooded_rate, "burst": flooded_burst});
        let mut workspaces =
            vec![workspace("ours", keys, None), workspace("theirs", other_keys, None), flooded];
        if self.load {
            for (name, priority) in LOAD_ROUTES {
                let extra = json!({"attempts": 1, "retentionS": 60.0, "priority": priority});
                routes.push(route(name, "streaming", "pool", &extra));
            }
            services.push(engine("pool"));
            for (priority, name) in LOAD_WORKSPACES.into_iter().enumerate() {
                workspaces.push(workspace(name, &[&key_of(name)], Some(priority)));
            }
        }
        let mut config = json!({"version": self.version, "routes": routes, "services": services,
            "tenants": workspaces});
        if let Some(max_body_bytes) = self.max_body_bytes {
            config["limits"] = json!({"maxBodyBytes": max_body_bytes});
        }
        self.store.put("keyed.op", "config", Some(config));
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

/// The configuration of a route whose path prefix is its name. `extra` overrides the defaults.
fn route(name: &str, kind: &str, service: &str, extra: &Value) -> Value {
    let mut route = json!({"name": name, "hostname": "soak.example",
        "pathPrefix": format!("/{name}/"), "routeType": kind, "timeoutMs": 3000,
        "targetLatencyMs": 200, "priority": 0, "service": service, "attempts": 2});
    if let (Some(route), Some(extra)) = (route.as_object_mut(), extra.as_object()) {
        route.extend(extra.clone());
    }
    route
}

/// The configuration of a service whose endpoints are engines.
fn engine(service: &str) -> Value {
    json!({"name": service, "engine": {"stride": 20}})
}
