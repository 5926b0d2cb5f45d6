//! Crowds of callers that do not behave, against real processes of `trefoilproxyd` with little memory.
//!
//! The bound is the memory that the process is told to have. While the crowd stays connected, an ordinary
//! caller of another workspace must be served.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Mutex, MutexGuard};
use trefoil_soak::{Crowd, CrowdRequest};
use trefoil_standins::caller::{Answer, Caller, completion};
use trefoil_standins::engine::Settings;
use trefoil_standins::fleet::{Fleet, Process};
use trefoil_standins::http::Running;
use trefoil_standins::{engine, log_service, process_usage, vm_list};

/// Memory of each process, in megabytes.
const MEMORY_MB: u64 = 64;

/// Maximum size of a call's body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Time limit for a body, longer than a test runs.
const RECEIVE_TIMEOUT_MS: &str = "60000";

/// Callers of a crowd: their bodies together exceed the memory of a process.
const CROWD: usize = 128;

/// Callers of a crowd that sends very small chunks.
const SMALL_CHUNK_CROWD: usize = 64;

/// Size of the bodies in very small chunks.
const SMALL_CHUNK_BODY_BYTES: usize = 64 << 10;

/// Callers of a crowd that sends heads.
const HEAD_CROWD: usize = 640;

/// Size of a head that stops short of its end.
const LONG_HEAD_BYTES: usize = 60_000;

/// Size of a chunk of an endless body.
const CHUNK_BYTES: usize = 64 << 10;

/// A process whose memory has not grown for this long has taken all that it was sent.
const SETTLED_AFTER: Duration = Duration::from_millis(400);

/// How often an ordinary caller tries. Callers repeat a call that was refused.
const TRIES: u32 = 3;

/// The key of the crowd's workspace.
const CROWD_KEY: &str = "key-of-the-crowd-2b6c";

/// The key of an ordinary caller's workspace.
const ORDINARY_KEY: &str = "key-of-another-9d1e";

const CONTRACT: &str = r#"
rate_per_s = 1000
burst = 1000
models = ["small"]
actions = []
irreversible = []

[program]
budget_tokens = 100000
max_turns = 240
"#;

/// Held by each test: a crowd runs apart from other load.
static ALONE: Mutex<()> = Mutex::const_new(());

/// An entry and an endpoint process, with an engine behind it.
struct Deployment {
    fleet: Fleet,
    _running: Vec<Running>,
    _alone: MutexGuard<'static, ()>,
}

impl Deployment {
    async fn start() -> Deployment {
        let alone = ALONE.lock().await;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = log_service::spawn(any).await.expect("it starts");
        let vms = vm_list::spawn(any).await.expect("it starts");
        let engine = engine::spawn(any, Settings::default()).await.expect("it starts");
        let mut fleet = Fleet::new(&program_directory(), log.address, vms.address);
        fleet.env = vec![
            ("TREFOIL_MEMORY_MB".to_string(), MEMORY_MB.to_string()),
            ("TREFOIL_MAX_BODY_BYTES".to_string(), MAX_BODY_BYTES.to_string()),
            ("TREFOIL_RECEIVE_TIMEOUT_MS".to_string(), RECEIVE_TIMEOUT_MS.to_string()),
        ];
        fleet.start_entry("e0", "a").expect("it starts");
        fleet.start_endpoint("m0", "a", ("engine", "small", engine.address)).expect("it starts");
        fleet.list().await;
        assert!(fleet.wait_ready().await, "the fleet did not become ready");
        let deployment = Deployment { fleet, _running: vec![log, vms, engine], _alone: alone };
        deployment.admit("crowd", CROWD_KEY);
        deployment.admit("ordinary", ORDINARY_KEY);
        deployment
    }

    /// Publishes a workspace's contract and its key, and waits until both are in force.
    fn admit(&self, workspace: &str, key: &str) {
        let name = format!("trefoil-crowd-{}-{workspace}.toml", self.fleet.log.port());
        let file = std::env::temp_dir().join(name);
        let contract = format!("workspace = \"{workspace}\"\n{CONTRACT}");
        std::fs::write(&file, contract).expect("written");
        let path = file.to_string_lossy().to_string();
        let published = self.fleet.ctl(&["publish", &path, "--wait"], "").expect("it runs");
        std::fs::remove_file(&file).expect("removed");
        assert_eq!(published.0, 0, "{}", published.1);
        let granted = self.fleet.ctl(&["grant", workspace, "main", "--wait"], key);
        assert_eq!(granted.expect("it runs").0, 0);
    }

    fn processes(&self) -> impl Iterator<Item = &Process> {
        self.fleet.entries.values().chain(self.fleet.endpoints.values())
    }

    fn peak_memory_bytes(&self) -> u64 {
        let peaks = self.processes().map(|process| process_usage::peak_memory_bytes(process.id()));
        peaks.filter_map(Result::ok).sum()
    }

    /// Waits until the memory of no process grows any more.
    async fn wait_settled(&self) {
        let mut before = 0;
        while before != self.peak_memory_bytes() {
            before = self.peak_memory_bytes();
            tokio::time::sleep(SETTLED_AFTER).await;
        }
    }

    /// Checks that each process runs within its memory.
    fn assert_within_limits(&self) {
        for process in self.processes() {
            let peak = process_usage::peak_memory_bytes(process.id()).expect("it runs");
            assert!(peak <= MEMORY_MB * 1_000_000, "{}: {peak} bytes of memory", process.name);
        }
    }

    /// Checks that an ordinary call is served.
    async fn assert_ordinary_served(&self, program: &str) {
        let (caller, entry) = (Caller::new(ORDINARY_KEY), self.fleet.callers("e0"));
        let mut answers = Vec::new();
        for turn in 0..TRIES {
            let call = completion(&format!("{program}-{turn}"), 1, "x");
            answers.push(caller.call(entry, &call).await);
            if matches!(answers.last(), Some(Answer::Whole(_))) {
                return;
            }
        }
        panic!("an ordinary call is not served: {answers:?}");
    }

    /// Has a crowd send its requests, and checks what must hold meanwhile and while it stays connected.
    async fn assert_stands(&self, address: SocketAddr, requests: Vec<CrowdRequest>) {
        self.assert_within_limits();
        let crowd = Crowd::spawn(address, requests);
        crowd.wait_read().await;
        self.wait_settled().await;
        self.assert_within_limits();
        self.assert_ordinary_served("beside").await;
        self.assert_within_limits();
    }
}

/// Test executables are in target/PROFILE/deps, programs in its parent directory.
fn program_directory() -> PathBuf {
    let test = std::env::current_exe().expect("a running test has a path");
    test.parent().and_then(|deps| deps.parent()).expect("deps").to_path_buf()
}

/// The head of a call with a body that `framing` frames.
fn head(id: usize, framing: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CROWD_KEY}\r\n\
        trefoil-program: crowd-{id}\r\ntrefoil-turn: 1\r\n{framing}\r\n\r\n"
    )
    .into_bytes()
}

fn chunk(bytes: usize) -> Vec<u8> {
    [format!("{bytes:x}\r\n").as_bytes(), &vec![b'x'; bytes], b"\r\n"].concat()
}

// Guards against memory that many bodies of legal size take, all but their last byte sent at once.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_bodies_that_stop_short_of_their_end() {
    let deployment = Deployment::start().await;
    let crowd = (0..CROWD).map(|id| {
        let head = head(id, &format!("content-length: {MAX_BODY_BYTES}"));
        CrowdRequest::new([[head, vec![b'x'; MAX_BODY_BYTES - 1]].concat()])
    });
    deployment.assert_stands(deployment.fleet.callers("e0"), crowd.collect()).await;
}

// Guards against memory that chunks of one byte take: what is kept of each is many times its length.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_very_small_chunks_that_stop_short_of_their_end() {
    let deployment = Deployment::start().await;
    let chunks: Bytes = chunk(1).repeat(SMALL_CHUNK_BODY_BYTES).into();
    let crowd = (0..SMALL_CHUNK_CROWD).map(|id| {
        CrowdRequest::new([head(id, "transfer-encoding: chunked").into(), chunks.clone()])
    });
    deployment.assert_stands(deployment.fleet.callers("e0"), crowd.collect()).await;
}

// Guards against memory that heads take which never end.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_heads_that_stop_short_of_their_end() {
    let deployment = Deployment::start().await;
    let crowd = (0..HEAD_CROWD).map(|_| {
        let head = format!("GET /v1/none HTTP/1.1\r\nx-long: {}", "x".repeat(LONG_HEAD_BYTES));
        CrowdRequest::new([head])
    });
    deployment.assert_stands(deployment.fleet.callers("e0"), crowd.collect()).await;
}

// Guards against bodies without an end at the listeners of the system's own processes.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_endless_bodies_at_the_other_listeners() {
    let deployment = Deployment::start().await;
    let large: Bytes = chunk(CHUNK_BYTES).into();
    let fleet = &deployment.fleet;
    let listeners = [
        (fleet.entries["e0"].address("peer"), "turns"),
        (fleet.endpoints["m0"].address("peer"), "attempts"),
        (fleet.entries["e0"].address("admin"), "status"),
    ];
    for (address, path) in listeners {
        let head =
            format!("POST /{path} HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n");
        let crowd = (0..CROWD / 8).map(|_| {
            let chunks = std::iter::repeat_n(large.clone(), 16 * MAX_BODY_BYTES / CHUNK_BYTES);
            CrowdRequest::new(std::iter::once(head.clone().into_bytes().into()).chain(chunks))
        });
        deployment.assert_stands(address, crowd.collect()).await;
    }
}
