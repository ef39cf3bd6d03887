//! The record of a running fleet (`fleet.json`), which other tools read.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// Describes the stand-in of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StandinRecord {
    /// The name of the backend server.
    pub name: String,
    /// The name of the pool.
    pub pool: String,
    /// The failure domain.
    pub domain: String,
    /// The listen address.
    pub address: SocketAddr,
    /// The file in which the stand-in records the work that it ran.
    pub ledger: PathBuf,
    /// The process id.
    pub pid: u32,
}

/// Describes a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRecord {
    /// The name of the host.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// The listen address for callers.
    pub callers: SocketAddr,
    /// The listen address for operators.
    pub admin: SocketAddr,
    /// The listen address for other hosts.
    pub peers: SocketAddr,
    /// The process id at the first start; a restart does not update it.
    pub pid: u32,
}

/// Describes a fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetRecord {
    /// The listen address of the platform's stand-in.
    pub platform: SocketAddr,
    /// The object file with the addresses of the stand-ins.
    pub objects: PathBuf,
    /// The operator's access token, valid only for this fleet.
    pub token: String,
    /// The hosts.
    pub hosts: Vec<HostRecord>,
    /// The stand-ins of backend servers.
    pub standins: Vec<StandinRecord>,
}
