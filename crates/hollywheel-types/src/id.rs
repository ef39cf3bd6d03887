//! Identifiers: names, random numbers and sequence numbers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Error parsing an identifier or a name of a closed set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IdError {
    /// The text is empty.
    Empty {
        /// The kind of identifier that was expected.
        kind: &'static str,
    },
    /// The text is longer than the limit.
    TooLong {
        /// The kind of identifier that was expected.
        kind: &'static str,
        /// The length of the text in bytes.
        given: usize,
        /// The maximum length in bytes.
        limit: usize,
    },
    /// The text contains a character that is not allowed.
    BadCharacter {
        /// The kind of identifier that was expected.
        kind: &'static str,
        /// The text that was given.
        given: String,
        /// The first character that is not allowed.
        character: char,
    },
    /// The text is not a hexadecimal number of the expected length.
    NotHex {
        /// The kind of identifier that was expected.
        kind: &'static str,
        /// The text that was given.
        given: String,
        /// The maximum number of digits.
        digits: usize,
    },
    /// The text is not a decimal number.
    NotNumber {
        /// The kind of identifier that was expected.
        kind: &'static str,
        /// The text that was given.
        given: String,
    },
    /// The text is not one of the allowed names.
    UnknownName {
        /// The kind of identifier that was expected.
        kind: &'static str,
        /// The text that was given.
        given: String,
        /// The allowed names.
        expected: &'static str,
    },
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty { kind } => write!(f, "{kind} is empty"),
            Self::TooLong { kind, given, limit } => {
                write!(f, "{kind} has {given} bytes; the limit is {limit}")
            }
            Self::BadCharacter {
                kind,
                given,
                character,
            } => write!(
                f,
                "{kind} {given:?} holds {character:?}; letters, digits, '-', '_', '.' and ':' are allowed"
            ),
            Self::NotHex {
                kind,
                given,
                digits,
            } => write!(
                f,
                "{kind} {given:?} is not {digits} lower-case hexadecimal digits"
            ),
            Self::NotNumber { kind, given } => {
                write!(f, "{kind} {given:?} is not a decimal number")
            }
            Self::UnknownName {
                kind,
                given,
                expected,
            } => write!(f, "{kind} {given:?} is not known; expected {expected}"),
        }
    }
}

impl std::error::Error for IdError {}

fn check_name(kind: &'static str, text: &str, limit: usize) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty { kind });
    }
    if text.len() > limit {
        return Err(IdError::TooLong {
            kind,
            given: text.len(),
            limit,
        });
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    match text.chars().find(|c| !is_allowed(*c)) {
        Some(character) => Err(IdError::BadCharacter {
            kind,
            given: text.to_owned(),
            character,
        }),
        None => Ok(()),
    }
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $limit:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(try_from = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name($kind, text, $limit)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }
    };
}

name_id!(
    /// Names a host of the system.
    HostId, "host", 64
);
name_id!(
    /// Names a failure domain: hosts that share power or a switch.
    DomainId, "failure domain", 64
);
name_id!(
    /// Names a region: failure domains with short distances between them.
    RegionId, "region", 64
);
name_id!(
    /// Names a workspace.
    WorkspaceId, "workspace", 64
);
name_id!(
    /// Names a pipeline.
    PipelineId, "pipeline", 64
);
name_id!(
    /// Names a stage of a pipeline.
    StageId, "stage", 64
);
name_id!(
    /// Names a pool of backend servers.
    PoolId, "pool", 64
);
name_id!(
    /// Names a backend server.
    ServerId, "backend server", 64
);
name_id!(
    /// Names a target: the service-level objective of a class of requests.
    TargetId, "target", 64
);
name_id!(
    /// Names a model.
    ModelId, "model", 64
);
name_id!(
    /// Identifies a non-idempotent request within its workspace, so that it is not executed twice.
    IdempotencyKey, "idempotency key", 128
);

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $number:ty, $digits:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(pub $number);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", stringify!($digits), "x}"), self.0)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let invalid = || IdError::NotHex {
                    kind: $kind,
                    given: text.to_owned(),
                    digits: $digits,
                };
                if text.is_empty() || text.len() > $digits {
                    return Err(invalid());
                }
                <$number>::from_str_radix(text, 16).map(Self).map_err(|_| invalid())
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }
    };
}

hex_id!(
    /// Identifies a request across hosts.
    RequestId, "request id", u128, 32
);
hex_id!(
    /// Identifies one attempt; the backend server echoes it with every part of its answer.
    AttemptNonce, "attempt nonce", u128, 32
);
hex_id!(
    /// Identifies one publication of an object set, so that its outcome can be read back if the
    /// answer is lost.
    PublishId, "publish id", u128, 32
);

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse().map(Self).map_err(|_| IdError::NotNumber {
                    kind: $kind,
                    given: text.to_owned(),
                })
            }
        }
    };
}

number_id!(
    /// Distinguishes the process starts of a host: wall-clock microseconds at process start.
    Incarnation, "incarnation"
);
number_id!(
    /// Version number of the published object set.
    ConfigVersion, "configuration version"
);
number_id!(
    /// Fencing number of a lease; a larger number was granted later.
    FencingNumber, "fencing number"
);
