//! Failures to start.

use std::fmt;
use std::io;

use hollywheel_transport::TransportError;

/// Says why a host does not start.
#[derive(Debug)]
pub enum HostError {
    /// An address cannot be listened on.
    Listen {
        /// The setting.
        flag: &'static str,
        /// What the system reported.
        source: io::Error,
    },
    /// The transport between hosts cannot start.
    Transport(TransportError),
    /// The system gives no randomness.
    Random(io::Error),
    /// The system takes no handler of a signal.
    Signals(io::Error),
    /// The token for the platform cannot be sent in a header.
    PlatformToken,
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { flag, source } => write!(f, "--{flag}: {source}"),
            Self::Transport(error) => write!(f, "transport between hosts: {error}"),
            Self::Random(error) => write!(f, "the source of randomness cannot be read: {error}"),
            Self::Signals(error) => write!(f, "the signals that stop the host: {error}"),
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
