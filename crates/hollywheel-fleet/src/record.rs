//! The record of a running fleet, for the tools that use it.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// Describes a stand-in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StandinRecord {
    /// The name of the backend server.
    pub name: String,
    /// The pool.
    pub pool: String,
    /// The failure domain.
    pub domain: String,
    /// The address.
    pub address: SocketAddr,
    /// The file that holds what it ran.
    pub ledger: PathBuf,
    /// The process id.
    pub pid: u32,
}

/// Describes a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRecord {
    /// The name.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    /// The address for other hosts.
    pub peers: SocketAddr,
    /// The id of the process that was started first.
    pub pid: u32,
}

/// Describes a fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetRecord {
    /// The platform's address.
    pub platform: SocketAddr,
    /// The object file with the addresses of this fleet.
    pub objects: PathBuf,
    /// The operator's token, valid for this fleet alone.
    pub token: String,
    /// The hosts.
    pub hosts: Vec<HostRecord>,
    /// The stand-ins of backend servers.
    pub standins: Vec<StandinRecord>,
}
