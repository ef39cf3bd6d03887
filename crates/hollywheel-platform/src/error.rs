//! Errors of calls to the object store and the host list.

use std::fmt;
use std::time::Duration;

/// Describes why a call to the object store or the host list failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The object does not exist.
    Missing {
        /// The name of the object.
        name: String,
    },
    /// The call had no effect: it was rejected or never sent.
    Refused {
        /// How long to wait before the next call.
        retry_after: Duration,
    },
    /// The call may have taken effect: the response was lost or is late.
    Unknown {
        /// The method and path of the call.
        call: String,
    },
    /// The object name holds characters that are not allowed in a path.
    BadName {
        /// The name of the object.
        name: String,
    },
    /// The response violates the protocol.
    BadResponse {
        /// The method and path of the call.
        call: String,
        /// Why the response is invalid.
        detail: String,
    },
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing { name } => write!(f, "object {name:?} does not exist"),
            Self::Refused { retry_after } => write!(
                f,
                "the platform rejected the call; retry in {} ms",
                retry_after.as_millis()
            ),
            Self::Unknown { call } => write!(
                f,
                "{call}: no response from the platform; the call may have taken effect"
            ),
            Self::BadName { name } => write!(
                f,
                "invalid object name {name:?}; expected letters, digits, '-', '_', '.' and '/'"
            ),
            Self::BadResponse { call, detail } => {
                write!(f, "{call}: invalid response from the platform: {detail}")
            }
        }
    }
}

impl std::error::Error for PlatformError {}
