use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::world::{WorldLimits, WorldSettings};
use serde_json::json;
use trefoil_standins::process_usage;

/// Maximum number of log lines kept per gateway for failure reports.
const MAX_KEPT_LINES: usize = 20_000;

/// The lowest port for listeners. The range is below that of the system's ephemeral ports: an outgoing
/// connection could otherwise take a port before its process listens on it, or while it restarts.
const FIRST_PORT: u32 = 10_000;

/// Number of ports in the range.
const PORTS: u32 = 20_000;

/// Held while a port is probed and while a process is spawned. A child inherits its parent's sockets
/// until it executes its program, so a port that is being probed would appear to be in use.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Returns a loopback port on which nothing listens, a different one on each call.
///
/// # Errors
/// If all ports of the range are in use.
pub fn free_port() -> std::io::Result<u16> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let _guard = SPAWN_LOCK.lock().expect("not poisoned");
    for _ in 0..PORTS {
        let offset =
            std::process::id().wrapping_mul(101).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = (FIRST_PORT + offset % PORTS) as u16;
        if TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], port))).is_ok() {
            return Ok(port);
        }
    }
    Err(std::io::Error::other("all listener ports are in use"))
}

/// How a gateway reaches the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreLink {
    /// The address of the store, or of a proxy before it.
    pub address: SocketAddr,
    /// The number of partitions of each topic.
    pub parts: usize,
}

/// A gateway process. It is killed when the handle is dropped.
pub struct Gateway {
    /// The name of its VM.
    pub name: String,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address for the other entries.
    pub peers: SocketAddr,
    /// File descriptors that its VM has; the most of a number if the settings do not tell.
    pub max_fds: u64,
    program: PathBuf,
    max_hubs: usize,
    settings: PathBuf,
    child: Option<Child>,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Gateway {
    /// Writes a settings file and starts a gateway with it.
    pub fn spawn(name: &str, world: &WorldSettings, store: StoreLink) -> std::io::Result<Gateway> {
        let StoreLink { address: store, parts } = store;
        let revoke_ms = world.revoke_ms;
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let callers = local(free_port()?);
        let peers = free_port()?;
        let ready = local(free_port()?);
        let WorldLimits { memory_mb, max_fds, .. } = world.limits;
        let settings = json!({
            "nodeName": name, "zone": "a", "ip": "127.0.0.1", "portRange": [peers, peers],
            "listen": {"front": callers, "ready": ready},
            "limits": {"memoryMb": memory_mb, "maxFds": max_fds},
            "bounds": {"revokeMs": revoke_ms, "graceS": 4, "drainMs": 2000, "quotaWindowS": 5,
                "quotaOverrun": 0.1, "quotaSlack": 20},
            "platform": {"address": store, "parts": parts, "ttlMinMs": 1000},
        });
        let file = std::env::temp_dir().join(format!("trefoil-{name}-{}.json", callers.port()));
        std::fs::write(&file, settings.to_string())?;
        let mut gateway = Gateway {
            name: name.to_string(),
            callers,
            ready,
            peers: local(peers),
            max_fds: max_fds.unwrap_or(u64::MAX),
            program: world.program.clone(),
            max_hubs: world.max_hubs,
            settings: file,
            child: None,
            lines: Arc::default(),
        };
        gateway.start()?;
        Ok(gateway)
    }

    /// Starts the process, again with the same settings if it ran before.
    pub fn start(&mut self) -> std::io::Result<()> {
        let _guard = SPAWN_LOCK.lock().expect("not poisoned");
        let mut child = Command::new(&self.program)
            .args(["--max-hubs", &self.max_hubs.to_string()])
            .env("TREFOILPROXY_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        keep_lines(child.stdout.take(), self.lines.clone());
        keep_lines(child.stderr.take(), self.lines.clone());
        self.child = Some(child);
        Ok(())
    }

    /// Sends the process a signal, named as for `kill`. Does nothing if the process does not run.
    pub fn signal(&self, signal: &str) -> std::io::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let id = child.id().to_string();
        Command::new("kill").arg(format!("-{signal}")).arg(id).status().map(drop)
    }

    /// Kills the process at once.
    pub fn kill(&mut self) -> std::io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Waits until the process exits by itself. Returns `None` if it still runs after `limit`.
    pub fn wait_for_exit(&mut self, limit: Duration) -> std::io::Result<Option<ExitStatus>> {
        let started = Instant::now();
        while let Some(child) = &mut self.child {
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(Some(status));
            }
            if started.elapsed() > limit {
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(None)
    }

    /// The most memory that the process has had so far.
    ///
    /// # Errors
    /// If the process does not run, or the system does not tell.
    pub fn peak_memory_bytes(&self) -> std::io::Result<u64> {
        process_usage::peak_memory_bytes(self.process()?)
    }

    /// The number of file descriptors that the process has open.
    ///
    /// # Errors
    /// If the process does not run, or the system does not tell.
    pub fn open_descriptors(&self) -> std::io::Result<u64> {
        process_usage::open_descriptors(self.process()?)
    }

    fn process(&self) -> std::io::Result<u32> {
        let child = self.child.as_ref().ok_or_else(|| std::io::Error::other("it does not run"))?;
        Ok(child.id())
    }

    /// The log lines of all process instances so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("not poisoned").clone()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Err(fault) = self.kill().and_then(|()| std::fs::remove_file(&self.settings)) {
            eprintln!("cannot clean up after gateway {}: {fault}", self.name);
        }
    }
}

fn keep_lines(from: Option<impl Read + Send + 'static>, kept: Arc<Mutex<Vec<String>>>) {
    let lines = from.map(BufReader::new);
    std::thread::spawn(move || {
        for line in lines.into_iter().flat_map(BufRead::lines).map_while(Result::ok) {
            let mut kept = kept.lock().expect("not poisoned");
            if kept.len() < MAX_KEPT_LINES {
                kept.push(line);
            }
        }
    });
}
