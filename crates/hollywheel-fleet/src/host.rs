//! Starts hosts and waits until they are ready.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::time::Instant;

use crate::error::FleetError;
use crate::http::call_succeeds;
use crate::keys::HostKeys;
use crate::process::FleetProcess;
use crate::record::HostRecord;

const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a host that stay the same when it is restarted.
#[derive(Debug)]
pub(crate) struct HostSettings {
    pub(crate) programs: PathBuf,
    pub(crate) directory: PathBuf,
    pub(crate) platform: SocketAddr,
    pub(crate) region: String,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) operators: String,
    pub(crate) extra_args: Vec<String>,
    pub(crate) keys: HostKeys,
}

/// A host process with its record and settings.
#[derive(Debug)]
pub(crate) struct HostProcess {
    pub(crate) process: FleetProcess,
    pub(crate) record: HostRecord,
    pub(crate) settings: HostSettings,
}

impl HostProcess {
    /// Starts a host and enters its process id in the record.
    pub(crate) fn start(
        settings: HostSettings,
        mut record: HostRecord,
    ) -> Result<Self, FleetError> {
        let process = spawn(&settings, &record)?;
        record.pid = process.pid();
        Ok(Self {
            process,
            record,
            settings,
        })
    }

    /// Shuts down the process if it still runs and starts a new one at the same addresses.
    pub(crate) async fn restart(&mut self) -> Result<(), FleetError> {
        self.process.shut_down(SHUTDOWN_TIMEOUT).await;
        self.process = spawn(&self.settings, &self.record)?;
        Ok(())
    }

    /// Waits until the health check succeeds.
    pub(crate) async fn wait_listening(&self) -> Result<(), FleetError> {
        self.wait_for_status("/healthz").await
    }

    /// Waits until the host accepts requests.
    pub(crate) async fn wait_ready(&self) -> Result<(), FleetError> {
        self.wait_for_status("/readyz").await
    }

    async fn wait_for_status(&self, path: &str) -> Result<(), FleetError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if call_succeeds(self.record.callers, "GET", path, "").await {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(FleetError::NotReady {
            name: self.record.name.clone(),
            log: self.process.log().to_owned(),
        })
    }
}

fn spawn(settings: &HostSettings, record: &HostRecord) -> Result<FleetProcess, FleetError> {
    let seeds: Vec<String> = settings
        .seeds
        .iter()
        .filter(|seed| **seed != record.peers)
        .map(ToString::to_string)
        .collect();
    let mut args = Vec::new();
    let mut add_flag = |name: &str, value: String| args.extend([format!("--{name}"), value]);
    add_flag("host", record.name.clone());
    add_flag("domain", record.domain.clone());
    add_flag("region", settings.region.clone());
    add_flag("listen", record.callers.to_string());
    add_flag("admin-listen", record.admin.to_string());
    add_flag("peer-listen", record.peers.to_string());
    add_flag("platform", settings.platform.to_string());
    if !seeds.is_empty() {
        add_flag("seed-hosts", seeds.join(","));
    }
    args.extend(settings.extra_args.iter().cloned());
    let variable = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    let variables = [
        variable("HOLLYWHEEL_OPERATORS", &settings.operators),
        variable("HOLLYWHEEL_TLS_CA", &settings.keys.authority),
        variable("HOLLYWHEEL_TLS_CERT", &settings.keys.certificate),
        variable("HOLLYWHEEL_TLS_KEY", &settings.keys.key),
    ];
    let log = settings.directory.join(format!("{}.log", record.name));
    FleetProcess::start(
        &settings.programs.join("hollywheeld"),
        &args,
        &variables,
        &log,
    )
}

/// Returns a record with free ports, which the host keeps across restarts.
///
/// The ports are not reserved: another process can take one before the host binds it.
pub(crate) fn plan_record(
    name: String,
    domain: &str,
    directory: &Path,
) -> Result<HostRecord, FleetError> {
    let bind_error = |error: std::io::Error| FleetError::file(directory, &error);
    let callers = TcpListener::bind("127.0.0.1:0").map_err(bind_error)?;
    let admin = TcpListener::bind("127.0.0.1:0").map_err(bind_error)?;
    let peers = UdpSocket::bind("127.0.0.1:0").map_err(bind_error)?;
    Ok(HostRecord {
        name,
        domain: domain.to_owned(),
        callers: callers.local_addr().map_err(bind_error)?,
        admin: admin.local_addr().map_err(bind_error)?,
        peers: peers.local_addr().map_err(bind_error)?,
        pid: 0,
    })
}
