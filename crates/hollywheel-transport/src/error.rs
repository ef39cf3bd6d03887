//! Errors of the transport.

use std::fmt;
use std::net::SocketAddr;

/// The reason why the transport can't start or can't take a new identity.
#[derive(Debug)]
pub enum TransportError {
    /// A certificate or key can't be used.
    BadPem {
        /// Which certificate or key it is.
        item: &'static str,
        /// What is wrong and what was expected.
        message: String,
    },
    /// The certificate does not name the local host.
    WrongName {
        /// The local host according to the settings.
        host: String,
    },
    /// The address can't be bound.
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

impl fmt::Display for TransportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadPem { item, message } => write!(f, "{item}: {message}"),
            Self::WrongName { host } => write!(
                f,
                "host certificate: does not contain the DNS name {host} of this host"
            ),
            Self::Bind { address, source } => write!(f, "can't bind {address}: {source}"),
        }
    }
}

impl std::error::Error for TransportError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Bind { source, .. } => Some(source),
            _ => None,
        }
    }
}
