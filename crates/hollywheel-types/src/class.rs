//! Request classes, ordered by priority.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::IdError;

/// Service class of a request. A smaller value has a higher priority.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Moves money or seats; usually not idempotent.
    Transaction,
    /// Reads a small record for a waiting caller.
    Lookup,
    /// Generates an answer for a waiting caller.
    Interactive,
    /// Generates a document that may be delivered later.
    Batch,
}

impl RequestClass {
    /// Lists all classes, highest priority first.
    pub const ALL: [Self; 4] = [
        Self::Transaction,
        Self::Lookup,
        Self::Interactive,
        Self::Batch,
    ];

    /// Returns the position of the class in [`RequestClass::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in objects, headers and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Transaction => "transaction",
            Self::Lookup => "lookup",
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }
}

impl fmt::Display for RequestClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for RequestClass {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        Self::ALL
            .into_iter()
            .find(|class| class.name() == text)
            .ok_or_else(|| IdError::UnknownName {
                kind: "request class",
                given: text.to_owned(),
                expected: "transaction, lookup, interactive or batch",
            })
    }
}
