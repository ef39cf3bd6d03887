//! Digests of object sets.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::set::ObjectSet;

/// Holds the SHA-256 of an object set in lower-case hexadecimal; empty if unknown.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SetDigest(pub String);

impl SetDigest {
    /// Returns the digest of a sorted set.
    ///
    /// # Panics
    ///
    /// Never panics: every object can be serialized.
    pub fn of(set: &ObjectSet) -> Self {
        let text = serde_json::to_vec(set).expect("every field of an object can be serialized");
        Self(hex::encode(Sha256::digest(&text)))
    }
}

impl fmt::Display for SetDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
