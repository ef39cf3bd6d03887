//! Backend servers that are leaving.

use std::time::Duration;

use hollywheel_types::{Incarnation, MonoTime, ServerId, SortedMap};

/// The most servers that are remembered; the one heard of first is dropped for a new one.
const MAX_SERVERS: usize = 4096;

/// The time for which a server is remembered if its incarnation is not known: when it leaves
/// again after a restart, that must be news again.
const UNKNOWN_RETENTION: Duration = Duration::from_secs(600);

/// Remembers which incarnations of backend servers are leaving.
#[derive(Debug, Default)]
pub(crate) struct LeavingServers {
    servers: SortedMap<ServerId, LeavingServer>,
}

#[derive(Debug)]
struct LeavingServer {
    incarnation: Incarnation,
    heard_at: MonoTime,
}

impl LeavingServers {
    /// Remembers that a server is leaving and says whether that is new.
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
            heard_at: now,
        };
        self.servers.insert(server.clone(), entry);
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .servers
            .iter()
            .min_by_key(|(_, entry)| entry.heard_at)
            .map(|(server, _)| server.clone());
        if let Some(server) = oldest {
            self.servers.remove(&server);
        }
    }

    /// Drops servers whose incarnation is not known and that were heard of long ago.
    pub fn expire(&mut self, now: MonoTime) {
        self.servers.retain(|_, entry| {
            entry.incarnation.0 > 0 || now.since(entry.heard_at) < UNKNOWN_RETENTION
        });
    }

    /// Walks the servers whose incarnation is known, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, Incarnation)> {
        self.servers
            .iter()
            .filter(|(_, entry)| entry.incarnation.0 > 0)
            .map(|(server, entry)| (server, entry.incarnation))
    }

    /// Computes a digest of the servers whose incarnation is known.
    pub fn digest(&self) -> u64 {
        self.iter()
            .map(|(server, incarnation)| {
                xxhash_rust::xxh3::xxh3_64_with_seed(server.as_str().as_bytes(), incarnation.0)
            })
            .fold(0, |sum, digest| sum ^ digest)
    }
}
