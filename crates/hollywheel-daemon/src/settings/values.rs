//! The settings of a host after the check.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_policy::RoutingPolicy;
use hollywheel_types::{ByteSize, DomainId, HostId, RegionId};

use super::secrets::SecretSettings;

/// Names the forms of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Text,
}

/// Names the least severe level that is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Only what ends the process or loses work.
    Error,
    /// Also what is impaired.
    Warn,
    /// Also what changes state.
    Info,
    /// Also each request.
    Debug,
}

/// Says what the program does once the settings are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAction {
    /// Serves.
    Serve,
    /// Checks the settings and ends.
    Check,
    /// Prints the settings without secrets and ends.
    Print,
}

/// Holds the settings of a host.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The name of the host.
    pub host: HostId,
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for operators.
    pub admin_listen: SocketAddr,
    /// The address for other hosts.
    pub peer_listen: SocketAddr,
    /// Addresses of other hosts to join before the host list is read.
    pub seed_hosts: Vec<SocketAddr>,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The way to choose a backend server.
    pub routing: RoutingPolicy,
    /// The longest time for the graceful shutdown.
    pub drain: Duration,
    /// The largest request body.
    pub max_body: ByteSize,
    /// The largest number of requests in progress.
    pub max_requests: usize,
    /// The largest number of open connections of callers.
    pub max_connections: usize,
    /// The largest number of open connections of operators.
    pub max_operator_connections: usize,
    /// The threads that serve callers.
    pub workers: usize,
    /// The time between reads of the newest configuration version.
    pub config_poll: Duration,
    /// The time for which a decided claim is kept.
    pub claim_retention: Duration,
    /// The time between polls of one backend server's load.
    pub load_poll: Duration,
    /// The most polls of backend servers' load a second.
    pub load_polls: usize,
    /// The form of log lines.
    pub log_format: LogFormat,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
    /// The secrets.
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
