//! Starts the processes of a deployment and registers them in the VM list.

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

/// Time limit for a process to log its listen addresses, and for a fleet to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A process of the system or a stand-in. Dropping the handle kills it.
pub struct Process {
    /// Name that was given at the start.
    pub name: String,
    child: Child,
    addresses: HashMap<String, SocketAddr>,
    output: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program and waits until it logs its listen addresses.
    pub fn spawn(name: &str, program: &Path, args: &[String]) -> std::io::Result<Process> {
        Process::spawn_with_env(name, program, args, &[])
    }

    /// As [`Process::spawn`], with additional environment variables.
    pub fn spawn_with_env(
        name: &str,
        program: &Path,
        args: &[String],
        env: &[(String, String)],
    ) -> std::io::Result<Process> {
        let mut child = Command::new(program)
            .args(args)
            .envs(env.iter().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let output = Arc::new(Mutex::new(Vec::new()));
        collect_output(child.stdout.take(), output.clone());
        collect_output(child.stderr.take(), output.clone());
        let mut process =
            Process { name: name.to_string(), child, addresses: HashMap::new(), output };
        process.addresses = process.wait_until_listening()?;
        Ok(process)
    }

    fn wait_until_listening(&mut self) -> std::io::Result<HashMap<String, SocketAddr>> {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            if let Some(addresses) = self.output().iter().find_map(|line| parse_listening(line)) {
                return Ok(addresses);
            }
            if let Some(status) = self.child.try_wait()? {
                let output = self.output().join("\n");
                let message = format!(
                    "{} exited before it logged its listen addresses: {status}; output: {output}",
                    self.name
                );
                return Err(std::io::Error::other(message));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Err(std::io::Error::other(format!(
            "{}: no listen addresses logged within {START_TIMEOUT:?}",
            self.name
        )))
    }

    /// Returns the listen address with this name, as in the process's log line.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Lines written to standard output and standard error so far.
    pub fn output(&self) -> Vec<String> {
        self.output.lock().expect("not poisoned").clone()
    }

    /// Sends a signal, named as for `kill`.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.id().to_string()).status();
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits by itself; `None` after `limit`.
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

/// Collects the lines that a process writes, until it closes the pipe.
fn collect_output(from: Option<impl Read + Send + 'static>, output: Arc<Mutex<Vec<String>>>) {
    let lines = from.map(BufReader::new);
    std::thread::spawn(move || {
        for line in lines.into_iter().flat_map(BufRead::lines).map_while(Result::ok) {
            output.lock().expect("not poisoned").push(line);
        }
    });
}

/// Parses the log line in which a process names its listen addresses.
fn parse_listening(line: &str) -> Option<HashMap<String, SocketAddr>> {
    let line: Value = serde_json::from_str(line).ok()?;
    let addresses = line["listening"].as_str()?;
    let addresses: HashMap<String, String> = serde_json::from_str(addresses).ok()?;
    let parsed =
        addresses.into_iter().filter_map(|(name, address)| Some((name, address.parse().ok()?)));
    Some(parsed.collect())
}

/// Entry and endpoint processes of one deployment. Entries accept the calls of programs; an endpoint
/// process runs beside a model engine or a tool service and passes calls to it.
pub struct Fleet {
    /// Folder of the executables.
    program_dir: PathBuf,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Entry processes by VM name.
    pub entries: HashMap<String, Process>,
    /// Processes beside endpoints by VM name.
    pub endpoints: HashMap<String, Process>,
    /// Failure domains by VM name.
    domains: HashMap<String, String>,
    /// Additional flags for each entry that is started.
    pub entry_flags: Vec<String>,
    /// Additional flags for each endpoint process that is started.
    pub endpoint_flags: Vec<String>,
    /// Additional environment variables of each process that is started.
    pub env: Vec<(String, String)>,
}

impl Fleet {
    /// Creates a fleet without processes. `program_dir` is the folder of the executables.
    pub fn new(program_dir: &Path, log: SocketAddr, vm_list: SocketAddr) -> Fleet {
        Fleet {
            program_dir: program_dir.to_path_buf(),
            vm_list,
            log,
            entries: HashMap::new(),
            endpoints: HashMap::new(),
            domains: HashMap::new(),
            entry_flags: Vec::new(),
            endpoint_flags: Vec::new(),
            env: Vec::new(),
        }
    }

    /// Starts an entry. The next call of [`Fleet::list`] registers it.
    pub fn start_entry(&mut self, vm: &str, domain: &str) -> std::io::Result<()> {
        let mut args = self.common_args("entry", vm, domain);
        args.extend(["--log".to_string(), self.log.to_string()]);
        args.extend(self.entry_flags.clone());
        let process = self.spawn(vm, &args)?;
        self.entries.insert(vm.to_string(), process);
        self.domains.insert(vm.to_string(), domain.to_string());
        Ok(())
    }

    /// Starts the process beside an endpoint. The next call of [`Fleet::list`] registers it. `kind` is
    /// `engine` or `service`, `serves` the name of the model or service, `backend` its address.
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
        let process = self.spawn(vm, &args)?;
        self.endpoints.insert(vm.to_string(), process);
        self.domains.insert(vm.to_string(), domain.to_string());
        Ok(())
    }

    fn spawn(&self, vm: &str, args: &[String]) -> std::io::Result<Process> {
        Process::spawn_with_env(vm, &self.program_dir.join("trefoilproxyd"), args, &self.env)
    }

    fn common_args(&self, role: &str, vm: &str, domain: &str) -> Vec<String> {
        let vm_list = self.vm_list.to_string();
        let args = [role, "--vm", vm, "--failure-domain", domain, "--vm-list", &vm_list];
        args.into_iter().map(str::to_string).collect()
    }

    /// Replaces the VM list with all processes of this fleet, as live.
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

    /// Address at which an entry accepts calls.
    pub fn callers(&self, vm: &str) -> SocketAddr {
        self.entries[vm].address("callers")
    }

    /// Status document of an entry; `None` if it does not respond.
    pub async fn status(&self, vm: &str) -> Option<Value> {
        let url = format!("http://{}/status", self.entries[vm].address("admin"));
        http::call(Method::GET, &url, &()).await
    }

    /// Waits until every entry is ready and sees all other processes as live. Returns whether this
    /// happened within the time limit.
    pub async fn wait_ready(&self) -> bool {
        let peer_count = self.endpoints.len() + self.entries.len() - 1;
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            let mut ready = 0;
            for vm in self.entries.keys() {
                let status = self.status(vm).await.unwrap_or_default();
                let peers = status["peers"].as_array().cloned().unwrap_or_default();
                let live = peers.iter().filter(|peer| peer["live"] == true).count();
                ready += usize::from(status["ready"] == true && live >= peer_count);
            }
            if ready == self.entries.len() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Runs `trefoilctl` with `input` on standard input. Returns its exit code, -1 if a signal ended
    /// it, and its standard output followed by its standard error.
    pub fn ctl(&self, args: &[&str], input: &str) -> std::io::Result<(i32, String)> {
        let mut child = Command::new(self.program_dir.join("trefoilctl"))
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
