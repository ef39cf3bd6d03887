//! Starting of hosts.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::time::Instant;

use crate::error::FleetError;
use crate::http::call_ok;
use crate::keys::HostKeys;
use crate::process::FleetProcess;
use crate::record::HostRecord;

const END_TIMEOUT: Duration = Duration::from_secs(10);
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const READY_POLL: Duration = Duration::from_millis(20);

/// Holds what is needed to start a host again.
#[derive(Debug)]
pub(crate) struct HostPlan {
    pub(crate) programs: PathBuf,
    pub(crate) directory: PathBuf,
    pub(crate) platform: SocketAddr,
    pub(crate) region: String,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) operators: String,
    pub(crate) extra: Vec<String>,
    pub(crate) keys: HostKeys,
}

/// Holds a host and its record.
#[derive(Debug)]
pub(crate) struct HostProcess {
    pub(crate) process: FleetProcess,
    pub(crate) record: HostRecord,
    pub(crate) plan: HostPlan,
}

impl HostProcess {
    /// Starts a host.
    pub(crate) fn start(plan: HostPlan, mut record: HostRecord) -> Result<Self, FleetError> {
        let process = spawn(&plan, &record)?;
        record.pid = process.pid();
        Ok(Self {
            process,
            record,
            plan,
        })
    }

    /// Starts a new process at the same addresses, once the one before has ended.
    pub(crate) async fn start_again(&mut self) -> Result<(), FleetError> {
        self.process.end(END_TIMEOUT).await;
        self.process = spawn(&self.plan, &self.record)?;
        Ok(())
    }

    /// Waits until the process answers operators.
    pub(crate) async fn wait_listening(&self) -> Result<(), FleetError> {
        self.wait_for("/healthz").await
    }

    /// Waits until the process takes requests.
    pub(crate) async fn wait_ready(&self) -> Result<(), FleetError> {
        self.wait_for("/readyz").await
    }

    async fn wait_for(&self, path: &str) -> Result<(), FleetError> {
        let limit = Instant::now() + READY_TIMEOUT;
        while Instant::now() < limit {
            if call_ok(self.record.callers, "GET", path, "").await {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL).await;
        }
        Err(FleetError::NotReady {
            name: self.record.name.clone(),
            log: self.process.log().to_owned(),
        })
    }
}

fn spawn(plan: &HostPlan, record: &HostRecord) -> Result<FleetProcess, FleetError> {
    let seeds: Vec<String> = plan
        .seeds
        .iter()
        .filter(|seed| **seed != record.peers)
        .map(ToString::to_string)
        .collect();
    let mut args = Vec::new();
    let mut flag = |name: &str, value: String| args.extend([format!("--{name}"), value]);
    flag("host", record.name.clone());
    flag("domain", record.domain.clone());
    flag("region", plan.region.clone());
    flag("listen", record.callers.to_string());
    flag("admin-listen", record.admin.to_string());
    flag("peer-listen", record.peers.to_string());
    flag("platform", plan.platform.to_string());
    if !seeds.is_empty() {
        flag("seed-hosts", seeds.join(","));
    }
    args.extend(plan.extra.iter().cloned());
    let variable = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    let variables = [
        variable("HOLLYWHEEL_OPERATORS", &plan.operators),
        variable("HOLLYWHEEL_TLS_CA", &plan.keys.authority),
        variable("HOLLYWHEEL_TLS_CERT", &plan.keys.certificate),
        variable("HOLLYWHEEL_TLS_KEY", &plan.keys.key),
    ];
    let log = plan.directory.join(format!("{}.log", record.name));
    FleetProcess::start(&plan.programs.join("hollywheeld"), &args, &variables, &log)
}

/// Returns a record with ports that are free now and stay the host's for its restarts.
pub(crate) fn plan_record(
    name: String,
    domain: &str,
    directory: &Path,
) -> Result<HostRecord, FleetError> {
    let failed = |error: std::io::Error| FleetError::file(directory, &error);
    let callers = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
    let admin = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
    let peers = UdpSocket::bind("127.0.0.1:0").map_err(failed)?;
    Ok(HostRecord {
        name,
        domain: domain.to_owned(),
        callers: callers.local_addr().map_err(failed)?,
        admin: admin.local_addr().map_err(failed)?,
        peers: peers.local_addr().map_err(failed)?,
        pid: 0,
    })
}
