//! Errors that prevent a host from starting.

use std::fmt;
use std::io;

use hollywheel_transport::TransportError;

/// Error that prevents a host from starting.
#[derive(Debug)]
pub enum HostError {
    /// A listener cannot be bound.
    Listen {
        /// Command-line flag of the address, without dashes.
        flag: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The transport between hosts cannot be started.
    Transport(TransportError),
    /// No random seed can be read from the operating system.
    Random(io::Error),
    /// A signal handler cannot be installed.
    Signals(io::Error),
    /// The token for the platform is not a valid header value.
    PlatformToken,
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { flag, source } => write!(f, "--{flag}: {source}"),
            Self::Transport(error) => write!(f, "transport between hosts: {error}"),
            Self::Random(error) => write!(f, "cannot read a random seed: {error}"),
            Self::Signals(error) => write!(f, "cannot install the signal handlers: {error}"),
            Self::PlatformToken => {
                f.write_str("HOLLYWHEEL_PLATFORM_TOKEN: expected printable ASCII without spaces")
            }
        }
    }
}

impl std::error::Error for HostError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Listen { source, .. } | Self::Random(source) | Self::Signals(source) => {
                Some(source)
            }
            Self::Transport(error) => Some(error),
            Self::PlatformToken => None,
        }
    }
}
