//! Failures of calls to the object store and the host list.

use std::fmt;
use std::time::Duration;

/// Says why a call of the object store or the host list has no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The object does not exist.
    Missing {
        /// The name of the object.
        name: String,
    },
    /// The call surely had no effect: it was refused or never sent.
    Refused {
        /// When to call again.
        retry_after: Duration,
    },
    /// The call may have had its effect: the answer was lost or is late.
    Unknown {
        /// What was being called.
        call: String,
    },
    /// The name of an object holds characters that a path cannot.
    BadName {
        /// The name.
        name: String,
    },
    /// The answer is not what the protocol says.
    BadAnswer {
        /// What was being called.
        call: String,
        /// What was wrong.
        detail: String,
    },
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing { name } => write!(f, "object {name:?} does not exist"),
            Self::Refused { retry_after } => write!(
                f,
                "the platform refused the call; call again in {} ms",
                retry_after.as_millis()
            ),
            Self::Unknown { call } => write!(f, "{call}: the platform's answer is not known"),
            Self::BadName { name } => write!(
                f,
                "object name {name:?} is not valid; expected letters, digits, '-', '_', '.' and '/'"
            ),
            Self::BadAnswer { call, detail } => {
                write!(f, "{call}: the platform's answer is not valid: {detail}")
            }
        }
    }
}

impl std::error::Error for PlatformError {}
