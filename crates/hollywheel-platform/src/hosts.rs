//! Host list of the platform.

use std::net::SocketAddr;

use hollywheel_types::{DomainId, RegionId};
use serde::{Deserialize, Serialize};

/// Role of a listed host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRole {
    /// A host of this system, which accepts requests.
    Entry,
    /// A backend server.
    Backend,
}

/// State of a host according to the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The host is in service.
    Live,
    /// The host is draining.
    Leaving,
}

/// One entry of the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// The name of the host or backend server.
    pub name: String,
    /// The address; for a host of this system, the one on which it accepts other hosts.
    pub address: SocketAddr,
    /// The failure domain of the host.
    pub domain: DomainId,
    /// The region of the host.
    pub region: RegionId,
    /// The role of the host.
    pub role: HostRole,
    /// The state, which may be out of date.
    pub state: ListedState,
}

/// Holds the host list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostListing {
    /// The hosts and backend servers.
    pub hosts: Vec<HostEntry>,
}
