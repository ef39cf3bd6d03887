//! Errors of the transport.

use std::fmt;
use std::net::SocketAddr;

/// Says why the transport can't start or take a new identity.
#[derive(Debug)]
pub enum TransportError {
    /// A PEM text can't be used.
    BadPem {
        /// Which text it is.
        what: &'static str,
        /// What is wrong and what was expected.
        message: String,
    },
    /// The certificate is not for this host.
    WrongName {
        /// The host by the settings.
        host: String,
    },
    /// The address can't be bound.
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
}

impl fmt::Display for TransportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadPem { what, message } => write!(f, "{what}: {message}"),
            Self::WrongName { host } => write!(
                f,
                "host certificate: holds no DNS name {host}; expected the name of the host"
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
