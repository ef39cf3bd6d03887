//! Settings of the transport.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{ByteSize, HostId};

/// The certificates and the private key of a host in PEM format.
#[derive(Clone)]
pub struct TransportIdentity {
    /// The certificates of the authorities that are trusted to sign host certificates.
    pub authority_pem: String,
    /// The certificate of the host, followed by any intermediate certificates.
    pub certificate_pem: String,
    /// The private key of the host.
    pub key_pem: String,
}

impl std::fmt::Debug for TransportIdentity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TransportIdentity").finish_non_exhaustive()
    }
}

/// Settings of the transport.
#[derive(Clone, Debug)]
pub struct TransportSettings {
    /// The local host; its certificate must contain this name as a DNS name.
    pub host: HostId,
    /// The UDP address to listen on.
    pub listen: SocketAddr,
    /// The certificates and the private key.
    pub identity: TransportIdentity,
    /// How long to wait for the answer to a question, including the time to connect.
    pub request_timeout: Duration,
    /// The time after which a connection without traffic is closed.
    pub idle_timeout: Duration,
    /// The maximum number of connections; the least recently used one is closed for a new one.
    pub max_connections: usize,
    /// The maximum number of queued incoming messages and questions; further ones are dropped.
    pub queue_capacity: usize,
    /// The maximum size of an answer to a question.
    pub max_answer: ByteSize,
}

impl TransportSettings {
    /// Returns the settings of a host with the default limits.
    pub const fn new(host: HostId, listen: SocketAddr, identity: TransportIdentity) -> Self {
        Self {
            host,
            listen,
            identity,
            request_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(30),
            max_connections: 64,
            queue_capacity: 1024,
            max_answer: ByteSize::from_mib(16),
        }
    }
}
