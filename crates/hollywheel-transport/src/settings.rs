//! Settings of the transport.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{ByteSize, HostId};

/// Holds the keys of a host as PEM texts.
#[derive(Clone)]
pub struct TransportIdentity {
    /// The certificates of the authorities that hosts accept.
    pub authority_pem: String,
    /// The certificate of the host, followed by intermediate ones.
    pub certificate_pem: String,
    /// The private key of the host.
    pub key_pem: String,
}

impl std::fmt::Debug for TransportIdentity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TransportIdentity").finish_non_exhaustive()
    }
}

/// Holds the settings of the transport.
#[derive(Clone, Debug)]
pub struct TransportSettings {
    /// The host; its certificate must hold this DNS name.
    pub host: HostId,
    /// The UDP address to listen on.
    pub listen: SocketAddr,
    /// The keys.
    pub identity: TransportIdentity,
    /// The time in which a question must be answered, connecting included.
    pub request_timeout: Duration,
    /// The time after which a connection without traffic is closed.
    pub idle_timeout: Duration,
    /// The most connections; the one unused for longest is closed for a new one.
    pub max_connections: usize,
    /// The most incoming messages that wait; later ones are dropped.
    pub queue: usize,
    /// The largest answer to a question.
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
            queue: 1024,
            max_answer: ByteSize::from_mib(16),
        }
    }
}
