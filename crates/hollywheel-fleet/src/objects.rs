//! Reads and writes object files and sets the addresses of the stand-ins in them.

use std::net::SocketAddr;
use std::path::Path;

use hollywheel_config::{ObjectSet, read_toml, write_toml};
use hollywheel_types::{ServerId, SortedMap};

use crate::error::FleetError;

/// Replaces the addresses of backend servers by those of their stand-ins.
///
/// A server without an entry in `addresses` keeps its address.
pub fn replace_addresses(set: &mut ObjectSet, addresses: &SortedMap<ServerId, SocketAddr>) {
    let servers = set.pools.iter_mut().flat_map(|pool| &mut pool.servers);
    for server in servers {
        if let Some(address) = addresses.get(&server.name) {
            server.address = *address;
        }
    }
}

pub(crate) fn read_objects(path: &Path) -> Result<ObjectSet, FleetError> {
    let text = std::fs::read_to_string(path).map_err(|error| FleetError::file(path, &error))?;
    read_toml(&path.display().to_string(), &text).map_err(|error| FleetError::Input {
        path: path.to_owned(),
        message: error.to_string(),
    })
}

pub(crate) fn write_objects(path: &Path, set: &ObjectSet) -> Result<(), FleetError> {
    std::fs::write(path, write_toml(set)).map_err(|error| FleetError::file(path, &error))
}
