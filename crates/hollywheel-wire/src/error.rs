//! Decoding errors.

use std::fmt;

use hollywheel_types::IdError;

/// The reason why bytes could not be decoded as a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WireError {
    /// The message is longer than the limit.
    TooLong {
        /// The kind of message that was expected.
        message: &'static str,
        /// The actual length in bytes.
        given: usize,
        /// The maximum length in bytes.
        limit: usize,
    },
    /// The bytes are not valid Protobuf or JSON.
    Malformed {
        /// The kind of message that was expected.
        message: &'static str,
        /// The error of the parser.
        detail: String,
    },
    /// A field is missing or holds a variant that this version does not know.
    Missing {
        /// The name of the field.
        field: &'static str,
    },
    /// A field has a wrong length or value.
    BadField {
        /// The name of the field.
        field: &'static str,
        /// The expected length or value.
        expected: &'static str,
    },
    /// A list has too many entries.
    TooMany {
        /// The name of the field.
        field: &'static str,
        /// The actual number of entries.
        given: usize,
        /// The maximum number of entries.
        limit: usize,
    },
    /// A field holds an invalid name.
    BadName {
        /// The name of the field.
        field: &'static str,
        /// The reason why the name is invalid.
        error: IdError,
    },
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong {
                message,
                given,
                limit,
            } => write!(f, "{message} has {given} bytes; the limit is {limit}"),
            Self::Malformed { message, detail } => write!(f, "{message}: {detail}"),
            Self::Missing { field } => {
                write!(f, "{field} is missing or not known to this version")
            }
            Self::BadField { field, expected } => {
                write!(f, "{field} is not valid; expected {expected}")
            }
            Self::TooMany {
                field,
                given,
                limit,
            } => write!(f, "{field} has {given} entries; the limit is {limit}"),
            Self::BadName { field, error } => write!(f, "{field}: {error}"),
        }
    }
}

impl std::error::Error for WireError {}
