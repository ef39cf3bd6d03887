//! Hosts as separate processes.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::proxy::LinkProxy;
use super::support::{HostAddresses, free_address, settings};

/// Maximum time from SIGTERM to the end of a host: the grace period of its settings.
pub const GRACE: Duration = Duration::from_secs(8);
const TICK: Duration = Duration::from_millis(20);

/// State of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessEnd {
    /// The process is running.
    Running,
    /// The process exited with this status.
    Exit(i32),
    /// The process was ended by a signal.
    Killed,
}

/// A host process and its addresses.
pub struct HostProcess {
    /// The name.
    pub name: String,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address of the readiness probe.
    pub ready: SocketAddr,
    peers: SocketAddr,
    metrics_port: u16,
    /// The proxy between the host and the store.
    pub store: LinkProxy,
    directory: PathBuf,
    starts: u32,
    child: Option<Child>,
}

impl HostProcess {
    /// Starts a host with its files in a directory.
    pub fn start(name: &str, store: SocketAddr, directory: &Path) -> Self {
        let mut host = Self {
            name: name.to_owned(),
            callers: free_address(),
            ready: free_address(),
            peers: free_address(),
            metrics_port: free_address().port(),
            store: LinkProxy::start(store),
            directory: directory.to_owned(),
            starts: 0,
            child: None,
        };
        host.write_settings("");
        host.run();
        host
    }

    /// Writes the settings file with a different comment, so that its content changes.
    pub fn write_settings(&self, comment: &str) {
        let addresses = HostAddresses {
            caller_address: self.callers,
            readiness_address: self.ready,
            peer_address: self.peers,
            store: self.store.address,
        };
        let text = format!("# {comment}\n{}", settings(&self.name, &addresses));
        std::fs::write(self.file("toml"), text).unwrap();
    }

    fn file(&self, ending: &str) -> PathBuf {
        self.directory.join(format!("{}.{ending}", self.name))
    }

    /// Returns the resident memory of the process in kilobytes; zero if it has ended.
    pub fn resident_kb(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let size = line.and_then(|line| line.split_whitespace().nth(1));
        size.map_or(0, |size| size.parse().unwrap())
    }

    /// Starts the process.
    pub fn run(&mut self) {
        self.starts += 1;
        let log = File::create(self.file(&format!("{}.log", self.starts))).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_hollywheeld"))
            .args(["gateway", "--metrics-port", &self.metrics_port.to_string()])
            .arg("--settings")
            .arg(self.file("toml"))
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Sends a signal to the process if it is running.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let id = Pid::from_raw(i32::try_from(child.id()).unwrap());
            // The process may have exited in the meantime.
            let _ = kill(id, signal);
        }
    }

    /// Returns the state of the process.
    pub fn end(&mut self) -> ProcessEnd {
        let Some(child) = &mut self.child else {
            return ProcessEnd::Killed;
        };
        match child.try_wait().unwrap() {
            None => ProcessEnd::Running,
            Some(status) => status.code().map_or(ProcessEnd::Killed, ProcessEnd::Exit),
        }
    }

    /// Waits for the exit of the process up to a time limit. Time in which the test itself does not run,
    /// such as a suspension of the machine, is not counted, because it pauses the process as well.
    pub async fn wait_end(&mut self, limit: Duration) -> ProcessEnd {
        /// Longest time between two polls that is counted.
        const MAX_TICK: Duration = Duration::from_millis(500);
        let mut waited = Duration::ZERO;
        while self.end() == ProcessEnd::Running && waited < limit {
            let looked_at = Instant::now();
            tokio::time::sleep(TICK).await;
            waited += looked_at.elapsed().min(MAX_TICK);
        }
        self.end()
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Killing fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
