//! The table of connections to other hosts.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use hollywheel_types::SortedMap;
use quinn::{Connection, VarInt};

/// Maximum number of messages queued while a connection is being established; further ones are
/// lost.
const MAX_QUEUED: usize = 16;

/// Close code for a connection that was evicted to make room for another one.
pub(crate) const EVICTED: VarInt = VarInt::from_u32(1);

/// A connection, or the messages queued until it is established.
#[derive(Debug)]
enum PeerLink {
    Connecting(Vec<Bytes>),
    Open(Connection),
}

#[derive(Debug)]
struct PeerEntry {
    link: PeerLink,
    last_used: Instant,
}

/// How a message is sent.
#[derive(Debug)]
pub(crate) enum SendPlan {
    /// On an open connection.
    Send(Connection),
    /// The message was queued for a connection that is being established, or dropped if that queue
    /// is full.
    Queued,
    /// The message was queued and the caller must establish the connection.
    Connect,
}

/// The connections by address. The least recently used one is closed for a new one.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    peers: SortedMap<SocketAddr, PeerEntry>,
    limit: usize,
}

impl ConnectionTable {
    /// Creates a table of at most `limit` connections, but at least one.
    pub fn new(limit: usize) -> Self {
        Self {
            peers: SortedMap::new(),
            limit: limit.max(1),
        }
    }

    /// Returns the open connection to an address and marks it as used.
    pub fn get(&mut self, address: SocketAddr) -> Option<Connection> {
        let entry = self.peers.get_mut(&address)?;
        entry.last_used = Instant::now();
        match &entry.link {
            PeerLink::Open(connection) if connection.close_reason().is_none() => {
                Some(connection.clone())
            }
            _ => None,
        }
    }

    /// Decides how a message is sent, queueing it if there is no open connection.
    pub fn plan(&mut self, address: SocketAddr, message: &Bytes) -> SendPlan {
        if let Some(connection) = self.get(address) {
            return SendPlan::Send(connection);
        }
        if let Some(entry) = self.peers.get_mut(&address)
            && let PeerLink::Connecting(queued) = &mut entry.link
        {
            if queued.len() < MAX_QUEUED {
                queued.push(message.clone());
            }
            return SendPlan::Queued;
        }
        self.insert(address, PeerLink::Connecting(vec![message.clone()]));
        SendPlan::Connect
    }

    /// Adds an open connection, replacing any earlier one, and returns the messages queued for it.
    pub fn insert_open(&mut self, address: SocketAddr, connection: Connection) -> Vec<Bytes> {
        match self.insert(address, PeerLink::Open(connection)) {
            Some(PeerLink::Connecting(queued)) => queued,
            _ => Vec::new(),
        }
    }

    /// Drops the messages queued for a connection that could not be established.
    pub fn remove_connecting(&mut self, address: SocketAddr) {
        let connecting = self
            .peers
            .get(&address)
            .is_some_and(|entry| matches!(entry.link, PeerLink::Connecting(_)));
        if connecting {
            self.peers.remove(&address);
        }
    }

    /// Removes a connection that was closed, unless another one has replaced it.
    pub fn remove_closed(&mut self, address: SocketAddr, id: usize) {
        let same = self.peers.get(&address).is_some_and(
            |entry| matches!(&entry.link, PeerLink::Open(open) if open.stable_id() == id),
        );
        if same {
            self.peers.remove(&address);
        }
    }

    /// Removes all connections without closing them.
    pub fn clear(&mut self) {
        self.peers.clear();
    }

    /// Returns the number of connections, including those being established.
    pub const fn len(&self) -> usize {
        self.peers.len()
    }

    fn insert(&mut self, address: SocketAddr, link: PeerLink) -> Option<PeerLink> {
        if self.peers.len() >= self.limit && !self.peers.contains_key(&address) {
            self.evict_least_recently_used();
        }
        let entry = PeerEntry {
            link,
            last_used: Instant::now(),
        };
        self.peers.insert(address, entry).map(|entry| entry.link)
    }

    fn evict_least_recently_used(&mut self) {
        let oldest = self
            .peers
            .iter()
            .min_by_key(|(_, entry)| entry.last_used)
            .map(|(address, _)| *address);
        let Some(address) = oldest else {
            return;
        };
        if let Some(entry) = self.peers.remove(&address)
            && let PeerLink::Open(connection) = entry.link
        {
            connection.close(EVICTED, b"closed for room");
        }
    }
}
