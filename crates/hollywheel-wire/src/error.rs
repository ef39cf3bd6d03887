//! Errors of decoding.

use std::fmt;

use hollywheel_types::IdError;

/// Says why bytes are not a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WireError {
    /// The message is longer than the limit.
    TooLong {
        /// What the bytes should hold.
        message: &'static str,
        /// The bytes given.
        given: usize,
        /// The most bytes.
        limit: usize,
    },
    /// The bytes are not in the format.
    Malformed {
        /// What the bytes should hold.
        message: &'static str,
        /// What the reader reported.
        detail: String,
    },
    /// A field is missing or of a kind that this version does not know.
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field has a wrong length or value.
    BadField {
        /// The field.
        field: &'static str,
        /// What was expected.
        expected: &'static str,
    },
    /// A list has too many entries.
    TooMany {
        /// The field.
        field: &'static str,
        /// The entries given.
        given: usize,
        /// The most entries.
        limit: usize,
    },
    /// A name is not valid.
    BadName {
        /// The field.
        field: &'static str,
        /// Why.
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
