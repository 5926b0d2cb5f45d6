use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

/// Lines of a process's log that are kept for a report of a failure.
const LINES_KEPT: usize = 20_000;

/// The first of the ports for listeners, and how many there are. The system gives none of them to
/// outgoing connections, which would take a port between its choice and its use, or while its process
/// is down.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;

/// Held while a port is tried and while a process is started: a process that is being started holds
/// its parent's open ports for a moment, and whoever is to listen there finds them taken.
static STARTING: Mutex<()> = Mutex::new(());

/// A port on loopback that nobody listens on, each time another.
///
/// # Errors
/// If all are taken.
pub fn free_port() -> std::io::Result<u16> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let _alone = STARTING.lock().expect("not poisoned");
    for _ in 0..PORTS {
        let offset =
            std::process::id().wrapping_mul(101).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = (FIRST_PORT + offset % PORTS) as u16;
        if TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], port))).is_ok() {
            return Ok(port);
        }
    }
    Err(std::io::Error::other("no port is free"))
}

/// A gateway in a process of its own. It is killed when the handle is dropped.
pub struct Gateway {
    /// The name of its VM.
    pub name: String,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Gateway {
    /// Starts a gateway that meets the store at `store`, with these bounds.
    pub fn spawn(
        name: &str,
        program: &Path,
        store: SocketAddr,
        parts: usize,
        revoke_ms: u64,
    ) -> std::io::Result<Gateway> {
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let callers = local(free_port()?);
        let peers = free_port()?;
        let settings = json!({
            "nodeName": name, "zone": "a", "ip": "127.0.0.1", "portRange": [peers, peers],
            "listen": {"front": callers, "ready": local(free_port()?)},
            "bounds": {"revokeMs": revoke_ms, "graceS": 4, "drainMs": 2000, "quotaWindowS": 5},
            "platform": {"address": store, "parts": parts, "ttlMinMs": 1000},
        });
        let file = std::env::temp_dir().join(format!("trefoil-{name}-{}.json", callers.port()));
        std::fs::write(&file, settings.to_string())?;
        let mut gateway = Gateway {
            name: name.to_string(),
            callers,
            program: program.to_path_buf(),
            settings: file,
            child: None,
            lines: Arc::default(),
        };
        gateway.start()?;
        Ok(gateway)
    }

    /// Starts the process again, with the settings that it had.
    pub fn start(&mut self) -> std::io::Result<()> {
        let _alone = STARTING.lock().expect("not poisoned");
        let mut child = Command::new(&self.program)
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

    /// Sends the process a signal, as `kill` names it; nothing if it does not run. (As the id of a
    /// process, zero means the whole group of the sender.)
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

    /// Waits until the process has ended by itself, up to a limit.
    pub fn wait_end(&mut self, limit: Duration) -> std::io::Result<Option<ExitStatus>> {
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

    /// What it has written, in all its lives.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("not poisoned").clone()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Err(fault) = self.kill().and_then(|()| std::fs::remove_file(&self.settings)) {
            eprintln!("{}: {fault}", self.name);
        }
    }
}

fn keep_lines(from: Option<impl Read + Send + 'static>, kept: Arc<Mutex<Vec<String>>>) {
    let lines = from.map(BufReader::new);
    std::thread::spawn(move || {
        for line in lines.into_iter().flat_map(BufRead::lines).map_while(Result::ok) {
            let mut kept = kept.lock().expect("not poisoned");
            if kept.len() < LINES_KEPT {
                kept.push(line);
            }
        }
    });
}
