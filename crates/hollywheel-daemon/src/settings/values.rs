//! Validated settings of a host.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_policy::RoutingPolicy;
use hollywheel_types::{ByteSize, DomainId, HostId, RegionId};

use super::secrets::SecretSettings;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Text,
}

/// Least severe level that is logged. Each level includes the ones before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Failures that end the process or lose work.
    Error,
    /// Degraded operation.
    Warn,
    /// Changes of state.
    Info,
    /// Single requests and attempts.
    Debug,
}

/// Action of the program after the settings are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAction {
    /// Serves requests.
    Serve,
    /// Checks the settings and exits.
    Check,
    /// Prints the settings without secrets and exits.
    Print,
}

/// Settings of a host.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Region of the host.
    pub region: RegionId,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for operators.
    pub admin_listen: SocketAddr,
    /// Listen address for other hosts (UDP).
    pub peer_listen: SocketAddr,
    /// Addresses of other hosts to join before the host list is read.
    pub seed_hosts: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Policy for choosing a backend server.
    pub routing: RoutingPolicy,
    /// Time limit of the graceful shutdown.
    pub drain: Duration,
    /// Maximum size of a request body.
    pub max_body: ByteSize,
    /// Maximum number of requests in flight.
    pub max_requests: usize,
    /// Maximum number of open connections of callers.
    pub max_connections: usize,
    /// Maximum number of open connections of operators.
    pub max_operator_connections: usize,
    /// Number of worker threads that serve callers.
    pub workers: usize,
    /// Minimum mean time between two polls of the newest configuration version.
    pub config_poll: Duration,
    /// Time for which a claim that ran or was released is kept. Must be the same on every host.
    pub claim_retention: Duration,
    /// Minimum time between two polls of the load of one backend server.
    pub load_poll: Duration,
    /// Maximum number of load polls per second over all backend servers.
    pub load_polls: usize,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// Secret settings.
    pub secrets: SecretSettings,
}

impl Default for DaemonSettings {
    fn default() -> Self {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            host: "host".parse().expect("a valid name"),
            domain: "domain".parse().expect("a valid name"),
            region: "region".parse().expect("a valid name"),
            listen: local,
            admin_listen: local,
            peer_listen: local,
            seed_hosts: Vec::new(),
            platform: local,
            routing: RoutingPolicy::default(),
            drain: Duration::from_secs(30),
            max_body: ByteSize::from_mib(1),
            max_requests: 4096,
            max_connections: 4096,
            max_operator_connections: 64,
            workers: 2,
            config_poll: Duration::from_secs(2),
            claim_retention: Duration::from_secs(168 * 3600),
            load_poll: Duration::from_secs(1),
            load_polls: 3,
            log_format: LogFormat::Text,
            log_level: LogLevel::Info,
            secrets: SecretSettings::default(),
        }
    }
}
