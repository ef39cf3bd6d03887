//! The connections to other hosts.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use hollywheel_types::SortedMap;
use quinn::{Connection, VarInt};

/// The most messages that wait for one connection to be made; later ones are lost.
const MAX_WAITING: usize = 16;

/// Tells the other host that a connection was closed to make room.
pub(crate) const CLOSED_FOR_ROOM: VarInt = VarInt::from_u32(1);

/// Holds a connection or the messages that wait for it.
#[derive(Debug)]
enum PeerLink {
    Connecting(Vec<Bytes>),
    Open(Connection),
}

#[derive(Debug)]
struct PeerEntry {
    link: PeerLink,
    used: Instant,
}

/// Says what becomes of a message.
#[derive(Debug)]
pub(crate) enum SendPlan {
    /// It goes out on a connection.
    Send(Connection),
    /// It waits for a connection that is being made, or is lost.
    Wait,
    /// It waits for a connection that must be made.
    Connect,
}

/// Holds the connections by address. The one unused for longest is closed for a new one.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    peers: SortedMap<SocketAddr, PeerEntry>,
    limit: usize,
}

impl ConnectionTable {
    /// Creates a table.
    pub fn new(limit: usize) -> Self {
        Self {
            peers: SortedMap::new(),
            limit: limit.max(1),
        }
    }

    /// Returns the open connection to an address.
    pub fn get(&mut self, address: SocketAddr) -> Option<Connection> {
        let entry = self.peers.get_mut(&address)?;
        entry.used = Instant::now();
        match &entry.link {
            PeerLink::Open(connection) if connection.close_reason().is_none() => {
                Some(connection.clone())
            }
            _ => None,
        }
    }

    /// Plans how a message is sent.
    pub fn plan(&mut self, address: SocketAddr, message: &Bytes) -> SendPlan {
        if let Some(connection) = self.get(address) {
            return SendPlan::Send(connection);
        }
        if let Some(entry) = self.peers.get_mut(&address)
            && let PeerLink::Connecting(waiting) = &mut entry.link
        {
            if waiting.len() < MAX_WAITING {
                waiting.push(message.clone());
            }
            return SendPlan::Wait;
        }
        self.put(address, PeerLink::Connecting(vec![message.clone()]));
        SendPlan::Connect
    }

    /// Adds an open connection in place of an earlier one, and returns the messages that waited.
    pub fn open(&mut self, address: SocketAddr, connection: Connection) -> Vec<Bytes> {
        match self.put(address, PeerLink::Open(connection)) {
            Some(PeerLink::Connecting(waiting)) => waiting,
            _ => Vec::new(),
        }
    }

    /// Drops the messages that wait for a connection that could not be made.
    pub fn fail(&mut self, address: SocketAddr) {
        let connecting = self
            .peers
            .get(&address)
            .is_some_and(|entry| matches!(entry.link, PeerLink::Connecting(_)));
        if connecting {
            self.peers.remove(&address);
        }
    }

    /// Forgets a connection that was closed, unless another one took its place.
    pub fn closed(&mut self, address: SocketAddr, id: usize) {
        let same = self.peers.get(&address).is_some_and(
            |entry| matches!(&entry.link, PeerLink::Open(open) if open.stable_id() == id),
        );
        if same {
            self.peers.remove(&address);
        }
    }

    /// Forgets every connection without closing any.
    pub fn clear(&mut self) {
        self.peers.clear();
    }

    /// Returns the number of connections, those included that are being made.
    pub const fn len(&self) -> usize {
        self.peers.len()
    }

    fn put(&mut self, address: SocketAddr, link: PeerLink) -> Option<PeerLink> {
        if self.peers.len() >= self.limit && !self.peers.contains_key(&address) {
            self.make_room();
        }
        let entry = PeerEntry {
            link,
            used: Instant::now(),
        };
        self.peers.insert(address, entry).map(|entry| entry.link)
    }

    fn make_room(&mut self) {
        let oldest = self
            .peers
            .iter()
            .min_by_key(|(_, entry)| entry.used)
            .map(|(address, _)| *address);
        let Some(address) = oldest else {
            return;
        };
        if let Some(entry) = self.peers.remove(&address)
            && let PeerLink::Open(connection) = entry.link
        {
            connection.close(CLOSED_FOR_ROOM, b"closed for room");
        }
    }
}
