//! Which host sweeps.

use hollywheel_types::HostId;
use xxhash_rust::xxh3::xxh3_64;

/// Says whether a host sweeps, by rendezvous hashing over the hosts taken for alive.
///
/// Hosts that disagree on who is alive may both sweep, or none for a while. Neither does harm:
/// every delete names the revision that was read.
pub fn is_duty_of(host: &HostId, alive: &[HostId]) -> bool {
    let weight = |host: &HostId| (xxh3_64(host.as_str().as_bytes()), host.clone());
    let own = weight(host);
    alive.iter().all(|other| weight(other) <= own)
}
