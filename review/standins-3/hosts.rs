//! The hosts of a trial: processes of the deploy file's command, each on its own loopback address.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::fetch_status;

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Settings beyond the addresses.
pub struct Deployment<'a> {
    pub root: &'a str,
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub contracts: &'a str,
    pub bounds: &'a str,
    pub control_port: u16,
    /// Whether the seeds in the settings name machines that are down, instead of the first hosts.
    pub seeds_down: bool,
}

/// Contracts and bounds of the site akbulak-rates.
pub const SMALL_CONTRACTS: &str = r#""base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages""#;
pub const SMALL_BOUNDS: &str = "contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
downgrade-slack-ms = 250
outer-ms = 5000
revoke-everywhere = false
revoke-ms = 5000
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 58
recovery-s = 12
forward-pass-ms = 120
";

/// Contracts and bounds of the site akbulak-rates-grown.
pub const GROWN_CONTRACTS: &str = r#""base","drain","config","cost","retry","recover","health","pool","engine","stream","tenants","platform","stages""#;
pub const GROWN_BOUNDS: &str = "contact-ms = 4000
ack-ms = 6000
catch-up-s = 6
drain-ms = 3000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 3000
downgrade-slack-ms = 250
outer-ms = 6000
revoke-everywhere = false
revoke-ms = 5000
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 202
recovery-s = 15
forward-pass-ms = 200
";

/// Returns the IP address of a host: one block of loopback addresses for each trial.
pub fn host_ip(number: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 2 + high % 250, low, 10 + number)
}

pub fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().unwrap().port()
}

impl Host {
    /// Writes the settings of a host.
    pub fn create(deployment: &Deployment, number: u8, name: &str, zone: &str) -> Self {
        let ip = host_ip(number);
        let (front, ready) = (free_port(ip), free_port(ip));
        // The same on all hosts.
        let control = deployment.control_port;
        // Nothing listens at the addresses of machines that are down.
        let first = if deployment.seeds_down { 200 } else { 0 };
        let seeds = [0, 1, 2].map(|seed| format!("\"{}:{control}\"", host_ip(first + seed)));
        let seeds = seeds.join(",");
        let Deployment {
            store,
            contracts,
            bounds,
            ..
        } = deployment;
        let text = format!(
            r#"node = "{name}"
role = "gateway"
machine-class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal-ports = [7740,7755]
seeds = [{seeds}]
bootstrap = true
count-toward-tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = [{contracts}]
[zones]
{zone} = "r"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
file-descriptors = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
{bounds}reuse-window-s = 10
[platform]
address = "{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
transaction-ms = 3.0
partition-writes-s = 300
row-bytes = 65536
across = true
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
"#
        );
        let settings = deployment.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the settings can be written");
        Self {
            name: name.to_owned(),
            front: SocketAddr::from((ip, front)),
            ready: SocketAddr::from((ip, ready)),
            settings,
            log: deployment.folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Starts the process.
    pub fn start(&mut self, deployment: &Deployment) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let child = Command::new(format!("{}/target/release/hollywheeld", deployment.root))
            .arg("gateway")
            .current_dir(deployment.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOLLYWHEEL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the daemon of the release build starts"));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.pid().to_string()])
            .status();
        assert!(status.is_ok_and(|status| status.success()), "kill -{name}");
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        fetch_status(self.ready, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n") == 200
    }

    /// Waits until the host says that it is ready; returns whether it did within ten seconds.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
