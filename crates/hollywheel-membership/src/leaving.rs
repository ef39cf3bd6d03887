//! The backend servers that are known to be leaving.

use std::time::Duration;

use hollywheel_types::{Incarnation, MonoTime, ServerId, SortedMap};

/// Maximum number of servers; the one learned of first is dropped for a new one.
const MAX_SERVERS: usize = 4096;

/// How long a server of unknown incarnation is remembered. It must expire, since the server
/// may restart and leave again, which must then be announced again.
const UNKNOWN_RETENTION: Duration = Duration::from_secs(600);

/// Tracks which incarnations of backend servers are leaving.
#[derive(Debug, Default)]
pub(crate) struct LeavingServers {
    servers: SortedMap<ServerId, LeavingServer>,
}

#[derive(Debug)]
struct LeavingServer {
    incarnation: Incarnation,
    learned_at: MonoTime,
}

impl LeavingServers {
    /// Records that a server is leaving and returns whether that was unknown.
    pub fn add(&mut self, now: MonoTime, server: &ServerId, incarnation: Incarnation) -> bool {
        if let Some(known) = self.servers.get(server)
            && known.incarnation >= incarnation
        {
            return false;
        }
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(server) {
            self.drop_oldest();
        }
        let entry = LeavingServer {
            incarnation,
            learned_at: now,
        };
        self.servers.insert(server.clone(), entry);
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .servers
            .iter()
            .min_by_key(|(_, entry)| entry.learned_at)
            .map(|(server, _)| server.clone());
        if let Some(server) = oldest {
            self.servers.remove(&server);
        }
    }

    /// Removes servers of unknown incarnation after [`UNKNOWN_RETENTION`].
    pub fn expire(&mut self, now: MonoTime) {
        self.servers.retain(|_, entry| {
            entry.incarnation.0 > 0 || now.since(entry.learned_at) < UNKNOWN_RETENTION
        });
    }

    /// Iterates over the servers of known incarnation, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, Incarnation)> {
        self.servers
            .iter()
            .filter(|(_, entry)| entry.incarnation.0 > 0)
            .map(|(server, entry)| (server, entry.incarnation))
    }

    /// Computes an order-independent digest of the servers of known incarnation.
    pub fn digest(&self) -> u64 {
        self.iter()
            .map(|(server, incarnation)| {
                xxhash_rust::xxh3::xxh3_64_with_seed(server.as_str().as_bytes(), incarnation.0)
            })
            .fold(0, |sum, digest| sum ^ digest)
    }
}
