//! The platform's host list.

use std::net::SocketAddr;

use hollywheel_types::{DomainId, RegionId};
use serde::{Deserialize, Serialize};

/// Names what a listed host does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRole {
    /// A host of the system.
    Entry,
    /// A backend server.
    Backend,
}

/// Names the state that the list gives a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// In service.
    Live,
    /// Leaving.
    Leaving,
}

/// Describes one host of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// The name; that of a backend server for the role of that kind.
    pub name: String,
    /// The address; that between hosts for an entry host.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
    /// What the host does.
    pub role: HostRole,
    /// The state, which lags.
    pub state: ListedState,
}

/// Holds the host list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostListing {
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}
