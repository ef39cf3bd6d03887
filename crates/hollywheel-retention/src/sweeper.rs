//! The choice of the host that sweeps.

use hollywheel_types::HostId;
use xxhash_rust::xxh3::xxh3_64;

/// Returns whether a host is the one that sweeps, by rendezvous hashing over the alive hosts.
///
/// Hosts that disagree on which hosts are alive may both sweep, or none for a while. Neither does
/// harm, since every delete is conditional on the revision that was read.
pub fn is_sweeper(host: &HostId, alive: &[HostId]) -> bool {
    let weight = |host: &HostId| (xxh3_64(host.as_str().as_bytes()), host.clone());
    let own = weight(host);
    alive.iter().all(|other| weight(other) <= own)
}
