//! Starts processes and tells them of each other through the list of VMs.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::Value;

use crate::http;
use crate::vm_list::{Vm, VmList};

/// How long a process may take to say where it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A process of the system or a stand-in. It is killed when the handle is dropped.
pub struct Process {
    /// The name given to it.
    pub name: String,
    child: Child,
    addresses: HashMap<String, SocketAddr>,
    output: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program and waits until it says where it listens.
    pub fn spawn(name: &str, program: &Path, args: &[String]) -> std::io::Result<Process> {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let output = Arc::new(Mutex::new(Vec::new()));
        keep_lines(child.stdout.take(), output.clone());
        keep_lines(child.stderr.take(), output.clone());
        let mut process =
            Process { name: name.to_string(), child, addresses: HashMap::new(), output };
        process.addresses = process.wait_listening()?;
        Ok(process)
    }

    fn wait_listening(&mut self) -> std::io::Result<HashMap<String, SocketAddr>> {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            if let Some(addresses) = self.output().iter().find_map(|line| listening(line)) {
                return Ok(addresses);
            }
            if let Some(status) = self.child.try_wait()? {
                let output = self.output().join("\n");
                let fault = format!("{} ended with {status}: {output}", self.name);
                return Err(std::io::Error::other(fault));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Err(std::io::Error::other(format!("{} does not listen", self.name)))
    }

    /// An address that it listens on.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// What it has written to standard output and standard error.
    pub fn output(&self) -> Vec<String> {
        self.output.lock().expect("not poisoned").clone()
    }

    /// Sends it a signal, as `kill` names it.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.id().to_string()).status();
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until it ends by itself, up to a limit.
    pub fn wait_end(&mut self, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The addresses in a log line that says where a process listens.
/// Keeps what a process writes, for as long as it writes.
fn keep_lines(from: Option<impl Read + Send + 'static>, kept: Arc<Mutex<Vec<String>>>) {
    let lines = from.map(BufReader::new);
    std::thread::spawn(move || {
        for line in lines.into_iter().flat_map(BufRead::lines).map_while(Result::ok) {
            kept.lock().expect("not poisoned").push(line);
        }
    });
}

fn listening(line: &str) -> Option<HashMap<String, SocketAddr>> {
    let line: Value = serde_json::from_str(line).ok()?;
    let addresses = line["listening"].as_str()?;
    let addresses: HashMap<String, String> = serde_json::from_str(addresses).ok()?;
    let parsed = addresses.into_iter().filter_map(|(name, at)| Some((name, at.parse().ok()?)));
    Some(parsed.collect())
}

/// The daemons of one deployment.
pub struct Fleet {
    /// The programs' folder.
    programs: PathBuf,
    /// The list of VMs.
    pub vm_list: SocketAddr,
    /// The log.
    pub log: SocketAddr,
    /// The entries, by name.
    pub entries: HashMap<String, Process>,
    /// The processes beside endpoints, by name.
    pub endpoints: HashMap<String, Process>,
    domains: HashMap<String, String>,
    /// Further flags of every entry.
    pub entry_flags: Vec<String>,
    /// Further flags of every endpoint.
    pub endpoint_flags: Vec<String>,
}

impl Fleet {
    /// A fleet without daemons, whose programs lie in a folder.
    pub fn new(programs: &Path, log: SocketAddr, vm_list: SocketAddr) -> Fleet {
        Fleet {
            programs: programs.to_path_buf(),
            vm_list,
            log,
            entries: HashMap::new(),
            endpoints: HashMap::new(),
            domains: HashMap::new(),
            entry_flags: Vec::new(),
            endpoint_flags: Vec::new(),
        }
    }

    /// Starts an entry. It is listed by the next [`Fleet::list`].
    pub fn start_entry(&mut self, vm: &str, domain: &str) -> std::io::Result<()> {
        let mut args = self.common_args("entry", vm, domain);
        args.extend(["--log".to_string(), self.log.to_string()]);
        args.extend(self.entry_flags.clone());
        let process = Process::spawn(vm, &self.programs.join("trefoilproxyd"), &args)?;
        self.entries.insert(vm.to_string(), process);
        self.domains.insert(vm.to_string(), domain.to_string());
        Ok(())
    }

    /// Starts the process beside an endpoint.
    pub fn start_endpoint(
        &mut self,
        vm: &str,
        domain: &str,
        (kind, serves, backend): (&str, &str, SocketAddr),
    ) -> std::io::Result<()> {
        let mut args = self.common_args("endpoint", vm, domain);
        args.extend(["--kind".to_string(), kind.to_string()]);
        args.extend(["--serves".to_string(), serves.to_string()]);
        args.extend(["--backend".to_string(), backend.to_string()]);
        args.extend(self.endpoint_flags.clone());
        let process = Process::spawn(vm, &self.programs.join("trefoilproxyd"), &args)?;
        self.endpoints.insert(vm.to_string(), process);
        self.domains.insert(vm.to_string(), domain.to_string());
        Ok(())
    }

    fn common_args(&self, role: &str, vm: &str, domain: &str) -> Vec<String> {
        let vm_list = self.vm_list.to_string();
        let args = [role, "--vm", vm, "--failure-domain", domain, "--vm-list", &vm_list];
        args.into_iter().map(str::to_string).collect()
    }

    /// Tells the list of VMs which processes there are.
    pub async fn list(&self) {
        let entries = self.entries.values().map(|process| ("entry", process));
        let endpoints = self.endpoints.values().map(|process| ("endpoint", process));
        let vms = entries.chain(endpoints).map(|(role, process)| Vm {
            vm: process.name.clone(),
            role: role.to_string(),
            failure_domain: self.domains[&process.name].clone(),
            address: process.address("peer"),
            state: "live".to_string(),
        });
        let list = VmList { vms: vms.collect(), lag_ms: 0 };
        let url = format!("http://{}/vms", self.vm_list);
        let _: Option<Value> = http::call(Method::PUT, &url, &list).await;
    }

    /// Where callers reach an entry.
    pub fn callers(&self, vm: &str) -> SocketAddr {
        self.entries[vm].address("callers")
    }

    /// An entry's status.
    pub async fn status(&self, vm: &str) -> Option<Value> {
        let url = format!("http://{}/status", self.entries[vm].address("admin"));
        http::call(Method::GET, &url, &()).await
    }

    /// Waits until every entry is ready and has heard of every endpoint.
    pub async fn wait_ready(&self) -> bool {
        let processes = self.endpoints.len() + self.entries.len() - 1;
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            let mut ready = 0;
            for vm in self.entries.keys() {
                let status = self.status(vm).await.unwrap_or_default();
                let peers = status["peers"].as_array().cloned().unwrap_or_default();
                let live = peers.iter().filter(|peer| peer["live"] == true).count();
                ready += usize::from(status["ready"] == true && live >= processes);
            }
            if ready == self.entries.len() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Runs the operators' tool; returns its exit code and what it printed.
    pub fn ctl(&self, args: &[&str], input: &str) -> std::io::Result<(i32, String)> {
        let mut child = Command::new(self.programs.join("trefoilctl"))
            .args(args)
            .env("TREFOIL_LOG", self.log.to_string())
            .env("TREFOIL_VM_LIST", self.vm_list.to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        if let Some(mut stdin) = child.stdin.take() {
            let _ = stdin.write_all(input.as_bytes());
        }
        let output = child.wait_with_output()?;
        let printed = [output.stdout, output.stderr].concat();
        let code = output.status.code().unwrap_or(-1);
        Ok((code, String::from_utf8_lossy(&printed).to_string()))
    }
}
